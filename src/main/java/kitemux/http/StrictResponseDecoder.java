package kitemux.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Reads servers' answers and takes none that could mean something else. Netty's decoder is kind to answers:
 * it takes a line without a colon for a header without a value, and a status with a sign for a number.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        String status = initialLine[1];
        if (status.length() != 3 || !status.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new IllegalArgumentException("not a status: " + status);
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (length == 0 || line[start + length] != ':') {
            throw new IllegalArgumentException("no colon behind a header's name");
        }
        return super.splitHeaderName(line, start, length);
    }

    /** A node asks for no other protocol: what follows a 101 is read like what follows any interim answer. */
    @Override
    protected boolean isSwitchingToNonHttp1Protocol(HttpResponse answer) {
        return false;
    }
}
