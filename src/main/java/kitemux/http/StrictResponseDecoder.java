package kitemux.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Decodes servers' responses and rejects those that are ambiguous. Netty's decoder is lenient: it accepts a
 * line without a colon as a header without a value, and a status code with a sign.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        String status = initialLine[1];
        if (status.length() != 3 || !status.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new IllegalArgumentException("invalid status code: " + status);
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (length == 0 || line[start + length] != ':') {
            throw new IllegalArgumentException("header name is not followed by a colon");
        }
        return super.splitHeaderName(line, start, length);
    }

    /**
     * Returns false, since a node never requests a protocol upgrade: a 101 response is treated like any other
     * interim response.
     */
    @Override
    protected boolean isSwitchingToNonHttp1Protocol(HttpResponse response) {
        return false;
    }
}
