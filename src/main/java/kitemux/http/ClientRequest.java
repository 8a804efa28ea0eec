package kitemux.http;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import kitemux.engine.RequestInfo;

/**
 * A client's request as it came.
 *
 * @param method passed on unchanged, like path, id, idempotency key and body
 * @param uri path and query
 * @param txn the client's id for it; null for a probe
 * @param idempotencyKey or null
 * @param classIndex its class by the settings
 * @param tenant by the settings, or -1
 * @param remainingUs how long the client waits from now on
 * @param workUs a guess at the work, or 0
 * @param isRetry whether the client marks it as a repeat
 * @param key what it is about, or null
 * @param ageUs how long ago it came, as far as that can be told
 * @param isStreamed whether answers of its class are streams
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
        boolean isStreamed)
        implements RequestInfo {

    /** What checks a server, where the settings allow probes. */
    static final ClientRequest PROBE =
            new ClientRequest(HttpMethod.GET, "/alive", null, null, List.of(), -1, -1, 0, 0, false, null, 0, false);
}
