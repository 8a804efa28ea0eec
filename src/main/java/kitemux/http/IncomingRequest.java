package kitemux.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.util.List;

/**
 * The request that is being received on a connection, and the memory that it and the decoder's buffer take. Memory is
 * reserved before it is taken; where there is no room, the request is rejected.
 */
final class IncomingRequest {
    /** Initial capacity of the decoder's buffer for a line, in bytes. */
    private static final int MIN_LINE_CAPACITY_BYTES = 128;
    /** How much input of a head is parsed at once; it holds fewer requests than a client may pipeline. */
    private static final int HEAD_PART_BYTES = 512;
    /** How much input of a body in chunks is parsed at once. */
    private static final int CHUNKS_PART_BYTES = 2 << 10;
    /** How much input of a body of known length, which costs little to parse, is parsed at once. */
    private static final int BODY_PART_BYTES = 64 << 10;

    private final MemoryAccount memory;
    private RequestReservation reservation;
    /** The memory of the decoder's buffer, which grows to the longest line that it has read. */
    private final RequestReservation decoder;
    /** Number of bytes of the line of a head that is being received. */
    private int lineBytes;
    /** Capacity of the decoder's buffer, in bytes. */
    private int lineCapacityBytes = MIN_LINE_CAPACITY_BYTES;

    private HttpRequest head;
    private RequestBody body;

    /**
     * A request that has been received completely.
     *
     * @param body the body in parts
     * @param reservation the memory of the request; its new owner gives it back
     */
    record Complete(HttpRequest head, List<byte[]> body, RequestReservation reservation) {}

    IncomingRequest(MemoryAccount memory) {
        this.memory = memory;
        reservation = new RequestReservation(memory);
        decoder = new RequestReservation(memory);
    }

    /** Returns whether the head has been received. */
    boolean hasHead() {
        return body != null;
    }

    /** Returns how much input may be parsed at once; each part costs little time, whatever it holds. */
    int maxPartBytes() {
        if (body == null) {
            return HEAD_PART_BYTES;
        }
        long missingBytes = HttpUtil.getContentLength(head, 0L) - body.size();
        return missingBytes <= 0 ? CHUNKS_PART_BYTES : (int) Math.min(BODY_PART_BYTES, missingBytes);
    }

    /**
     * Reserves the memory of the decoder's buffer for the longest line of these bytes, and of those before.
     *
     * @return false if there is no room
     */
    boolean reserveLine(ByteBuf bytes) {
        if (lineBytes + bytes.readableBytes() <= lineCapacityBytes) {
            lineBytes += bytes.readableBytes();
            return true;
        }
        int longestBytes = 0;
        int lineStart = bytes.readerIndex();
        int lineEnd;
        while ((lineEnd = bytes.indexOf(lineStart, bytes.writerIndex(), (byte) '\n')) >= 0) {
            longestBytes = Math.max(longestBytes, lineBytes + lineEnd - lineStart);
            lineBytes = 0;
            lineStart = lineEnd + 1;
        }
        lineBytes += bytes.writerIndex() - lineStart;
        longestBytes = Math.max(longestBytes, lineBytes);
        int neededBytes = Integer.highestOneBit(2 * Math.max(longestBytes, MIN_LINE_CAPACITY_BYTES) - 1);
        if (neededBytes > lineCapacityBytes && decoder.addToHead(neededBytes - lineCapacityBytes)) {
            lineCapacityBytes = neededBytes;
        }
        return neededBytes <= lineCapacityBytes;
    }

    /**
     * Reserves memory for a field of the head.
     *
     * @return false if the heads of all requests have used up their memory
     */
    boolean reserveHeadField(int bytes) {
        return reservation.addToHead(bytes);
    }

    /**
     * Takes the head.
     *
     * @return the status with which the request is rejected, or null
     */
    HttpResponseStatus begin(HttpRequest request) {
        head = request;
        body = new RequestBody();
        HttpResponseStatus error = RequestReader.headError(request);
        if (error != null) {
            return error;
        }
        boolean hasRoom =
                reservation.addToHead(Limits.REQUEST_BYTES + 2L * request.uri().length())
                        && reservation.growBodyTo(HttpUtil.getContentLength(request, 0L));
        return hasRoom ? null : HttpResponseStatus.SERVICE_UNAVAILABLE;
    }

    /**
     * Takes a part of the body.
     *
     * @return the status with which the request is rejected, or null
     */
    HttpResponseStatus append(ByteBuf bytes) {
        if (body.size() + bytes.readableBytes() > Limits.MAX_REQUEST_BODY_BYTES) {
            return HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
        }
        if (!reservation.growBodyTo(body.size() + bytes.readableBytes())) {
            return HttpResponseStatus.SERVICE_UNAVAILABLE;
        }
        body.append(bytes);
        return null;
    }

    /** Hands over the request, all of which has been received; the next one may begin. */
    Complete complete() {
        Complete complete = new Complete(head, body.parts(), reservation);
        reservation = new RequestReservation(memory);
        discard();
        return complete;
    }

    /** Drops what has been received of the request and gives its memory back. */
    void discard() {
        head = null;
        body = null;
        reservation.release();
        lineBytes = 0;
    }

    /** Gives all memory back, that of the decoder's buffer too. */
    void close() {
        discard();
        decoder.release();
    }
}
