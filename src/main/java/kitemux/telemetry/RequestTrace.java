package kitemux.telemetry;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Supplier;
import kitemux.Balancer.Result;
import kitemux.engine.Clock;
import kitemux.engine.ConnectionLoss;
import kitemux.engine.Observer;
import kitemux.engine.RequestInfo;
import kitemux.http.ClientClose;
import kitemux.http.ConnectionObserver;
import kitemux.http.ShutdownPhase;

/**
 * Writes a line for each step of each request and connection: acceptance, attempts with their servers and results, the
 * response, and the reason of each close. Each line begins with the event loop's time in microseconds. Requests are
 * named by the client's id, connections by their number. All methods but {@link #close} are called on the event loop's
 * thread.
 */
public final class RequestTrace implements Observer, ConnectionObserver, AutoCloseable {
    private final Clock clock;
    private final TraceFile file;
    /** The client's id of each open request, by the engine's id. */
    private final Map<Long, String> clientIds = new HashMap<>();

    private RequestTrace(Clock clock, TraceFile file) {
        this.clock = clock;
        this.file = file;
    }

    /**
     * Opens a trace in a new file in the configured folder.
     *
     * @param name prefix of the file name
     * @param systemSamplers called every half second, on a thread of the trace's own; each returns what the system says, or
     *     null for nothing new
     * @param onWarning called once if lines can no longer be written
     * @throws IOException if the file cannot be created
     */
    public static RequestTrace open(
            TraceSettings settings,
            String name,
            Clock clock,
            List<Supplier<String>> systemSamplers,
            Consumer<String> onWarning)
            throws IOException {
        Files.createDirectories(settings.folder());
        Path path =
                settings.folder().resolve(name + "-" + ProcessHandle.current().pid() + ".trace");
        Supplier<List<String>> sampledLines = () -> systemSamplers.stream()
                .map(Supplier::get)
                .filter(Objects::nonNull)
                .map(line -> clock.nowUs() + " " + line)
                .toList();
        return new RequestTrace(clock, new TraceFile(path, settings.queueCapacity(), sampledLines, onWarning));
    }

    private void writeLine(String text) {
        file.add(clock.nowUs() + " " + text);
    }

    private void writeRequestLine(long id, String text) {
        writeLine("request " + clientIds.get(id) + " " + text);
    }

    @Override
    public void connectionAccepted(long connection, SocketAddress client) {
        writeLine("connection " + connection + " accepted from " + client);
    }

    @Override
    public void requestReceived(long connection, String txn) {
        writeLine("request " + txn + " on connection " + connection);
    }

    @Override
    public void readingPaused(long connection) {
        writeLine("connection " + connection + " paused");
    }

    @Override
    public void readingResumed(long connection) {
        writeLine("connection " + connection + " resumed");
    }

    @Override
    public void connectionClosed(long connection, ClientClose close) {
        writeLine("connection " + connection + " closed " + close.reason() + ", " + close.unsentBytes()
                + " bytes unsent, waiting for " + close.waitingMs() + " ms" + inParentheses(close.detail()));
    }

    private static String inParentheses(String detail) {
        return detail.isEmpty() ? "" : " (" + detail + ")";
    }

    @Override
    public void shutdownPhaseEntered(ShutdownPhase phase) {
        writeLine("shutdown " + phase);
    }

    @Override
    public void onRequestAccepted(long id, RequestInfo request) {
        clientIds.put(id, request.txn());
        writeRequestLine(id, "taken, " + request.remainingUs() + " us left");
    }

    @Override
    public void onAttemptStarted(long id, int attempt, String serverId, long untilUs) {
        writeRequestLine(id, "attempt " + attempt + " to " + serverId + ", " + (untilUs - clock.nowUs()) + " us left");
    }

    @Override
    public void onAttemptWritten(long id, int attempt) {
        writeRequestLine(id, "attempt " + attempt + " written");
    }

    @Override
    public void onAttemptWithheld(long id, int attempt, WithheldReason reason) {
        writeRequestLine(id, "attempt " + attempt + " withheld " + reason);
    }

    @Override
    public void onConnectionLost(long id, int attempt, ConnectionLoss loss) {
        writeRequestLine(
                id,
                "attempt " + attempt + " lost " + loss.cause() + " after " + loss.responseBytes() + " bytes of a body"
                        + inParentheses(loss.detail()));
    }

    @Override
    public void onAttemptEnded(long id, int attempt, Result result) {
        writeRequestLine(id, "attempt " + attempt + " ended " + result);
    }

    @Override
    public void onRequestAnswered(long id, RequestOutcome answer) {
        writeRequestLine(id, "answered " + answer);
    }

    @Override
    public void onRequestReleased(long id) {
        clientIds.remove(id);
    }

    /** Writes the queued lines and closes the file. Must not be called on the event loop's thread. */
    @Override
    public void close() {
        file.close();
    }
}
