package kitemux.mysql;

import java.util.List;
import kitemux.engine.RequestInfo;
import kitemux.mysql.ResponseTracker.ResponseType;

/**
 * A client's command that wants an answer, as the engine carries it.
 *
 * @param txn its id, of which none is open twice
 * @param classIndex by the settings
 * @param tenant by the settings, or -1
 * @param remainingUs how long it may take from now on, in microseconds
 * @param responseType of its answer
 * @param payload the command's byte and what follows; not to be changed
 */
record Command(String txn, int classIndex, int tenant, long remainingUs, ResponseType responseType, byte[] payload)
        implements RequestInfo {
    private static final byte COM_PING = 0x0e;

    /** COM_PING: what checks a server, where the settings allow probes. */
    static final Command PING = new Command(null, -1, -1, 0, ResponseType.STATUS_ONLY, new byte[] {COM_PING});

    @Override
    public List<byte[]> body() {
        return List.of(payload);
    }
}
