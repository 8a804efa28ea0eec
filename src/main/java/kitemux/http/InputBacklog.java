package kitemux.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.ArrayDeque;
import kitemux.net.BoundedReadBuffers;
import kitemux.net.ByteBudget;

/**
 * Input of a connection that has been read and not parsed yet. It is held in pieces of at most {@link #MAX_PIECE_BYTES},
 * so that it takes little more memory than its bytes and is never moved.
 */
final class InputBacklog {
    private static final int MIN_PIECE_BYTES = 512;
    private static final int MAX_PIECE_BYTES = 16 << 10;

    private final ByteBudget budget;
    private final ArrayDeque<Piece> pieces = new ArrayDeque<>();
    private int readableBytes;
    private long reservedBytes;

    /** Bytes that arrived together, and when they arrived at the earliest. */
    private static final class Piece {
        private final byte[] bytes;
        private final long arrivedUs;
        private int readPosition;
        private int writePosition;

        private Piece(int capacity, long arrivedUs) {
            bytes = new byte[capacity];
            this.arrivedUs = arrivedUs;
        }
    }

    /** Creates an empty backlog whose memory counts in this budget. */
    InputBacklog(ByteBudget budget) {
        this.budget = budget;
    }

    /**
     * Appends all readable bytes of the input, for which there must be room: no more is read than {@link #maxReadBytes}.
     *
     * @param arrivedUs the earliest time at which the input may have arrived, in microseconds
     */
    void append(ByteBuf input, long arrivedUs) {
        readableBytes += input.readableBytes();
        while (input.isReadable()) {
            Piece last = pieces.peekLast();
            if (last == null || last.writePosition == last.bytes.length) {
                last = addPiece(input.readableBytes(), arrivedUs);
            }
            int count = Math.min(input.readableBytes(), last.bytes.length - last.writePosition);
            input.readBytes(last.bytes, last.writePosition, count);
            last.writePosition += count;
        }
    }

    /**
     * Returns how many bytes may be read, in the worst case to be appended here; 0 if there is no room for them. The more
     * is held, the less a read takes. The last part of the room is for connections that hold nothing, in small reads, so
     * that a short request finds room beside a crowd of long ones.
     */
    int maxReadBytes() {
        long shareBytes = (budget.roomBytes() - Limits.INPUT_BYTES_FOR_OTHERS) / Limits.INPUT_SHARE_DIVISOR;
        if (reservedBytes == 0 && budget.roomBytes() >= Limits.MIN_INPUT_ROOM_BYTES) {
            shareBytes = Math.max(shareBytes, Limits.MIN_INPUT_READ_BYTES);
        }
        return shareBytes < Limits.MIN_INPUT_READ_BYTES
                ? 0
                : (int) Math.min(BoundedReadBuffers.MAX_READ_BYTES, shareBytes);
    }

    /** Returns whether this connection holds as much as is left, apart from what is left to the others. */
    boolean isFull() {
        return reservedBytes > 0 && reservedBytes >= budget.roomBytes() - Limits.INPUT_BYTES_FOR_OTHERS;
    }

    private Piece addPiece(int neededBytes, long arrivedUs) {
        int capacity = Math.max(MIN_PIECE_BYTES, Math.min(MAX_PIECE_BYTES, neededBytes));
        budget.add(capacity);
        reservedBytes += capacity;
        Piece piece = new Piece(capacity, arrivedUs);
        pieces.add(piece);
        return piece;
    }

    /** Removes up to {@code maxBytes} of the oldest input, which must not be empty, into a new buffer on the heap. */
    ByteBuf read(ByteBufAllocator allocator, int maxBytes) {
        Piece oldest = pieces.element();
        int count = Math.min(maxBytes, oldest.writePosition - oldest.readPosition);
        ByteBuf part = allocator.heapBuffer(count).writeBytes(oldest.bytes, oldest.readPosition, count);
        oldest.readPosition += count;
        readableBytes -= count;
        if (oldest.readPosition == oldest.writePosition) {
            release(pieces.remove());
        }
        return part;
    }

    private void release(Piece piece) {
        budget.release(piece.bytes.length);
        reservedBytes -= piece.bytes.length;
    }

    /** Returns the earliest time at which the oldest input may have arrived; the backlog must not be empty. */
    long oldestArrivalUs() {
        return pieces.element().arrivedUs;
    }

    int readableBytes() {
        return readableBytes;
    }

    boolean isEmpty() {
        return readableBytes == 0;
    }

    /** Drops all input and gives its memory back. */
    void clear() {
        pieces.clear();
        readableBytes = 0;
        budget.release(reservedBytes);
        reservedBytes = 0;
    }
}
