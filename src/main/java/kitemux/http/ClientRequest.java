package kitemux.http;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import kitemux.engine.RequestInfo;

/**
 * A client's request as it was received.
 *
 * @param method HTTP method; forwarded unchanged, like the URI, transaction id, idempotency key and body
 * @param uri path and query
 * @param txn the client's id for the request; null for a probe
 * @param idempotencyKey the client's idempotency key, or null
 * @param body the body in parts
 * @param classIndex index of the request's class in the settings, or -1 for a probe
 * @param tenant index of the tenant in the settings, or -1 if it is unknown
 * @param remainingUs how much longer the client waits, in microseconds
 * @param workUs estimated work in microseconds, or 0 if it is unknown
 * @param isRetry whether the client marked the request as a retry
 * @param key last segment of the path, which identifies the subject of the request, or null
 * @param ageUs estimated time since the request arrived, in microseconds
 * @param isStreamed whether responses of the request's class are streams
 * @param reservation the memory that is given back once the engine no longer holds the request, or null
 */
public record ClientRequest(
        HttpMethod method,
        String uri,
        String txn,
        String idempotencyKey,
        List<byte[]> body,
        int classIndex,
        int tenant,
        long remainingUs,
        long workUs,
        boolean isRetry,
        String key,
        long ageUs,
        boolean isStreamed,
        RequestReservation reservation)
        implements RequestInfo {

    /** The request that probes a server, where the settings allow probes. */
    static final ClientRequest PROBE = new ClientRequest(
            HttpMethod.GET, "/alive", null, null, List.of(), -1, -1, 0, 0, false, null, 0, false, null);

    @Override
    public void onReleased() {
        if (reservation != null) {
            reservation.release();
        }
    }

    @Override
    public boolean isSafeToRepeat() {
        return method.equals(HttpMethod.GET);
    }
}
