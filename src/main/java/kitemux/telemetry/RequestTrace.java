package kitemux.telemetry;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import kitemux.Balancer.Result;
import kitemux.engine.Clock;
import kitemux.engine.Observer;
import kitemux.engine.RequestInfo;
import kitemux.http.CloseReason;
import kitemux.http.ConnectionObserver;
import kitemux.http.ShutdownPhase;

/**
 * Writes a line for each step of each request and connection: accepted, requested, attempts with their servers
 * and results, the answer, and the reason of each close. Lines begin with the loop's time in microseconds and
 * name requests by the client's id and connections by their number. Called on the loop's thread, except for
 * {@link #close}.
 */
public final class RequestTrace implements Observer, ConnectionObserver, AutoCloseable {
    private final Clock time;
    private final TraceFile file;
    /** The client's id of each request that is held, by the engine's. */
    private final Map<Long, String> txns = new HashMap<>();

    private RequestTrace(Clock time, TraceFile file) {
        this.time = time;
        this.file = file;
    }

    /**
     * Begins a trace in a file of its own in the settings' folder.
     *
     * @param name begins the file's name
     * @param say told once that lines cannot be written
     * @throws IOException if the file cannot be made
     */
    public static RequestTrace open(TraceSettings settings, String name, Clock time, Consumer<String> say)
            throws IOException {
        Files.createDirectories(settings.folder());
        Path path =
                settings.folder().resolve(name + "-" + ProcessHandle.current().pid() + ".trace");
        return new RequestTrace(time, new TraceFile(path, settings.queueCapacity(), say));
    }

    private void line(String text) {
        file.add(time.nowUs() + " " + text);
    }

    private void request(long id, String text) {
        line("request " + txns.get(id) + " " + text);
    }

    @Override
    public void connectionAccepted(long connection, SocketAddress client) {
        line("connection " + connection + " accepted from " + client);
    }

    @Override
    public void requestReceived(long connection, String txn) {
        line("request " + txn + " on connection " + connection);
    }

    @Override
    public void connectionClosed(long connection, CloseReason reason) {
        line("connection " + connection + " closed " + reason);
    }

    @Override
    public void shutdownPhaseEntered(ShutdownPhase phase) {
        line("shutdown " + phase);
    }

    @Override
    public void onRequestAccepted(long id, RequestInfo request) {
        txns.put(id, request.txn());
        request(id, "taken, " + request.remainingUs() + " us left");
    }

    @Override
    public void onAttemptStarted(long id, int attempt, String serverId, long untilUs) {
        request(id, "attempt " + attempt + " to " + serverId + ", " + (untilUs - time.nowUs()) + " us left");
    }

    @Override
    public void onAttemptEnded(long id, int attempt, Result result) {
        request(id, "attempt " + attempt + " ended " + result);
    }

    @Override
    public void onRequestAnswered(long id, RequestOutcome answer) {
        request(id, "answered " + answer);
    }

    @Override
    public void onRequestReleased(long id) {
        txns.remove(id);
    }

    /** Writes what waits and ends the file; from any thread but the loop's. */
    @Override
    public void close() {
        file.close();
    }
}
