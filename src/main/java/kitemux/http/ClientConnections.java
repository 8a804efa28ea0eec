package kitemux.http;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The open client connections, and which of them give way when descriptors are short or the node shuts down. A connection
 * is closed without an answer only if no byte of a request has arrived that is not answered. One whose request has arrived in
 * part is refused instead, and closes after its answer.
 */
final class ClientConnections {
    /** Connections that have not received a complete request yet, oldest first. */
    private final Set<ClientConnection> newConnections = new LinkedHashSet<>();
    /** Connections with a request whose response is not written yet. */
    private final Set<ClientConnection> busyConnections = new LinkedHashSet<>();
    /** All other connections, longest idle first. */
    private final Set<ClientConnection> idleConnections = new LinkedHashSet<>();

    void add(ClientConnection client) {
        newConnections.add(client);
    }

    void remove(ClientConnection client) {
        newConnections.remove(client);
        busyConnections.remove(client);
        idleConnections.remove(client);
    }

    /** Marks a connection as busy when a request was received on it. */
    void markBusy(ClientConnection client) {
        remove(client);
        busyConnections.add(client);
    }

    /**
     * Marks a connection as idle when its response is written.
     *
     * @return false if it was not busy
     */
    boolean markIdle(ClientConnection client) {
        return busyConnections.remove(client) && idleConnections.add(client);
    }

    int idleCount() {
        return idleConnections.size();
    }

    boolean isEmpty() {
        return newConnections.isEmpty() && busyConnections.isEmpty() && idleConnections.isEmpty();
    }

    List<ClientConnection> all() {
        List<ClientConnection> all = new ArrayList<>(newConnections);
        all.addAll(busyConnections);
        all.addAll(idleConnections);
        return all;
    }

    /**
     * Makes room for a new connection: closes the oldest one without any input unless it is new, otherwise the longest
     * idle one. If connections without a request are the majority they are closed however new they are, so that a flood of
     * them does not cost the other clients their connections. If none can be closed, the longest begun request is refused,
     * and its connection makes room soon.
     *
     * @return false if no connection could be closed
     */
    boolean makeRoom() {
        if (closeSilent()) {
            return true;
        }
        boolean isPartialMajority = newConnections.size() > busyConnections.size() + idleConnections.size();
        if (!isPartialMajority && closeUnusedIdle()) {
            return true;
        }
        refusePartialRequests(1);
        return closeLingering();
    }

    private boolean closeSilent() {
        if (newConnections.isEmpty()) {
            return false;
        }
        boolean isMajority = newConnections.size() > busyConnections.size() + idleConnections.size();
        boolean isOld = newConnections.iterator().next().isWaitingLongerThan(Limits.NEW_CONNECTION_GRACE_MS);
        return (isMajority || isOld) && closeFirstUnused(newConnections);
    }

    /**
     * Closes the longest idle connection.
     *
     * @return false if there is none
     */
    boolean closeUnusedIdle() {
        return closeFirstUnused(idleConnections);
    }

    /**
     * Closes the first connection on which nothing has arrived; a node that has fallen behind would otherwise lose requests
     * of clients that it takes for idle. The connection is removed at once, since the event loop reports its end later and
     * it would be chosen again until then. The cost is that a flood of connections has to be searched.
     *
     * @return false if there is none
     */
    private static boolean closeFirstUnused(Set<ClientConnection> clients) {
        for (Iterator<ClientConnection> iterator = clients.iterator(); iterator.hasNext(); ) {
            ClientConnection client = iterator.next();
            if (client.isUnused()) {
                iterator.remove();
                client.close(CloseReason.NO_ROOM);
                return true;
            }
        }
        return false;
    }

    /** Refuses the longest begun ones of the requests that have not arrived completely in a while. */
    void refusePartialRequests(int maxCount) {
        all().stream()
                .filter(client ->
                        client.hasPartialRequest() && client.isWaitingLongerThan(Limits.NEW_CONNECTION_GRACE_MS))
                .sorted(Comparator.comparingLong(ClientConnection::waitingSinceNanos))
                .limit(maxCount)
                .toList()
                .forEach(ClientConnection::rejectPartialRequest);
    }

    /** Refuses all requests that have not arrived completely, as their rest would come too late. */
    void refuseAllPartialRequests() {
        all().forEach(ClientConnection::rejectPartialRequest);
    }

    /**
     * Closes the connection whose request was refused the longest ago, and whose client still sends the rest of it, once
     * the client has had time to read the answer.
     *
     * @return false if there is none
     */
    private boolean closeLingering() {
        Optional<ClientConnection> longest = lingering().findFirst();
        longest.ifPresent(this::closeForRoom);
        return longest.isPresent();
    }

    /** Closes all connections that {@link #closeLingering} may close. */
    void closeAllLingering() {
        lingering().toList().forEach(this::closeForRoom);
    }

    private Stream<ClientConnection> lingering() {
        return idleConnections.stream()
                .filter(client -> client.isLingering() && client.isWaitingLongerThan(Limits.MIN_LINGER_MS));
    }

    private void closeForRoom(ClientConnection client) {
        idleConnections.remove(client);
        client.close(CloseReason.LAST_ANSWER);
    }

    /**
     * Closes the connections that neither have a request nor unread input; the others are served, and their response
     * closes them.
     */
    void closeUnused(long minUnusedMs, CloseReason reason) {
        List<ClientConnection> unused = new ArrayList<>(newConnections);
        unused.addAll(idleConnections);
        unused.removeIf(client -> !client.isUnused() || minUnusedMs > 0 && !client.isWaitingLongerThan(minUnusedMs));
        unused.forEach(client -> client.close(reason));
    }
}
