package kitemux.mysql;

import java.util.List;
import kitemux.engine.RequestInfo;
import kitemux.mysql.ResponseTracker.ResponseType;

/**
 * A client's command that has a response, in the form that the engine carries.
 *
 * @param txn identifier, unique among the open commands
 * @param classIndex index of the request class in the settings
 * @param tenant index of the tenant in the settings, or -1
 * @param remainingUs time until the deadline, in microseconds
 * @param responseType structure of the response
 * @param payload command byte and arguments; must not be modified
 */
record Command(String txn, int classIndex, int tenant, long remainingUs, ResponseType responseType, byte[] payload)
        implements RequestInfo {
    private static final byte COM_PING = 0x0e;

    /** COM_PING, which probes a server if the settings allow probes. */
    static final Command PING = new Command(null, -1, -1, 0, ResponseType.STATUS_ONLY, new byte[] {COM_PING});

    @Override
    public List<byte[]> body() {
        return List.of(payload);
    }
}
