package kitemux.standin;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * Reads and writes MySQL packets on a blocking connection. It shares no code with the node's own codec, so that an error
 * in one is not repeated in the other. A response can be cut off after a number of packets or bytes.
 */
final class MysqlPackets {
    private static final int MAX_PAYLOAD_BYTES = 0xffffff;
    private static final int HEADER_BYTES = 4;
    private static final int MAX_SEQUENCE_NUMBER = 0xff;

    private final DataInputStream in;
    private final OutputStream out;
    private int sequenceNumber;
    private long remainingPackets = Long.MAX_VALUE;
    private long remainingBytes = Long.MAX_VALUE;
    private int sequenceOffset;

    MysqlPackets(DataInputStream in, OutputStream out) {
        this.in = in;
        this.out = out;
    }

    /** Thrown when a response reaches the point at which it is to be cut off. */
    static final class CutOffException extends IOException {
        private static final long serialVersionUID = 1L;
    }

    /** Cuts the next response off after this many packets or bytes. */
    void cutOffAfter(long packets, long bytes) {
        remainingPackets = packets;
        remainingBytes = bytes;
        sequenceOffset = 0;
    }

    /** Adds this offset to the sequence numbers of the next response. */
    void shiftSequenceNumbers(int offset) {
        cutOffAfter(Long.MAX_VALUE, Long.MAX_VALUE);
        sequenceOffset = offset;
    }

    /** Starts the next exchange, whose first packet has the sequence number 0. */
    void startExchange() {
        sequenceNumber = 0;
    }

    /**
     * Reads a payload, which may span several packets.
     *
     * @throws EOFException if the connection ends before the payload
     * @throws IOException if a sequence number is not the expected one
     */
    byte[] read() throws IOException {
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        int length;
        do {
            int first = in.read();
            if (first < 0) {
                throw new EOFException();
            }
            length = first | in.readUnsignedByte() << 8 | in.readUnsignedByte() << 16;
            int received = in.readUnsignedByte();
            if (received != sequenceNumber) {
                throw new IOException("sequence number " + received + " instead of " + sequenceNumber);
            }
            sequenceNumber = received + 1 & MAX_SEQUENCE_NUMBER;
            payload.write(in.readNBytes(length));
        } while (length == MAX_PAYLOAD_BYTES);
        return payload.toByteArray();
    }

    /**
     * Writes a payload in as many packets as it needs.
     *
     * @throws CutOffException if the response is to be cut off here
     */
    void write(byte[] payload) throws IOException {
        int offset = 0;
        int length;
        do {
            length = Math.min(MAX_PAYLOAD_BYTES, payload.length - offset);
            ByteBuffer packet = ByteBuffer.allocate(length + HEADER_BYTES).order(ByteOrder.LITTLE_ENDIAN);
            packet.putInt(length | (sequenceNumber + sequenceOffset & MAX_SEQUENCE_NUMBER) << 24)
                    .put(payload, offset, length);
            sequenceNumber = sequenceNumber + 1 & MAX_SEQUENCE_NUMBER;
            offset += length;
            writePacket(packet.array());
        } while (length == MAX_PAYLOAD_BYTES);
    }

    private void writePacket(byte[] packet) throws IOException {
        if (remainingPackets-- <= 0) {
            throw new CutOffException();
        }
        int length = (int) Math.min(remainingBytes, packet.length);
        out.write(packet, 0, length);
        remainingBytes -= length;
        if (length < packet.length) {
            out.flush();
            throw new CutOffException();
        }
    }

    void flush() throws IOException {
        out.flush();
    }
}
