package kitemux.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import kitemux.Balancer;

/**
 * Writes the actions of the instance whose event is being handled. A reply is buffered and written as a whole, or not
 * at all.
 */
final class ReplyWriter implements Balancer.Actions {
    private static final byte[] HEX_DIGITS = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);

    private final OutputStream out;
    private byte[] buffer = new byte[1 << 16];
    private int filledBytes;
    private String node = "";

    ReplyWriter(OutputStream out) {
        this.out = out;
    }

    /** Sets the node whose actions follow. */
    void setNode(String instance) {
        node = instance;
    }

    /** Ends the reply and writes it. */
    void flush() throws IOException {
        writeText("next\n");
        out.write(buffer, 0, filledBytes);
        out.flush();
        filledBytes = 0;
    }

    @Override
    public void send(long requestId, String serverId, long untilUs) {
        beginAction("route");
        writeRequestId(requestId);
        writeText(" server=");
        writeText(serverId);
        writeText(" untilUs=");
        writeNumber(untilUs);
        endAction();
    }

    @Override
    public void cancel(long requestId, int attempt) {
        beginAction("abort_attempt");
        writeRequestId(requestId);
        writeText(" seqNo=");
        writeNumber(attempt);
        endAction();
    }

    @Override
    public void refuse(long requestId, long retryAfterUs) {
        beginAction("decline");
        writeRequestId(requestId);
        if (retryAfterUs > 0) {
            writeText(" retryInUs=");
            writeNumber(retryAfterUs);
        }
        endAction();
    }

    @Override
    public void fail(long requestId) {
        beginAction("lose");
        writeRequestId(requestId);
        endAction();
    }

    @Override
    public void wakeAt(long atUs) {
        beginAction("remind");
        writeText(" dueAtUs=");
        writeNumber(atUs);
        writeText(" label=w");
        endAction();
    }

    @Override
    public void probe(String serverId) {
        writeServerAction("sound_out", serverId);
    }

    @Override
    public void closeIdle(String serverId) {
        writeServerAction("drop_conns", serverId);
    }

    private void writeServerAction(String action, String serverId) {
        beginAction(action);
        writeText(" server=");
        writeText(serverId);
        endAction();
    }

    @Override
    public void subscribe() {
        beginAction("track");
        writeText(" want=1");
        endAction();
    }

    @Override
    public void log(String line) {
        beginAction("record");
        writeNoteAndEnd(line);
    }

    /** Reports that the module has thrown an exception. The bench ends the run with this text. */
    void reportFault(String line) {
        beginAction("fault");
        writeNoteAndEnd(line);
    }

    private void writeNoteAndEnd(String line) {
        writeText(" noteText=");
        writeText(line.replace('\n', ' ').replace('\r', ' '));
        endAction();
    }

    private void beginAction(String action) {
        writeText(action);
        writeText(" node=");
        writeText(node);
    }

    private void endAction() {
        ensureCapacity(1);
        buffer[filledBytes++] = '\n';
    }

    /** Writes the id as 16 hex digits. */
    private void writeRequestId(long id) {
        writeText(" handle=");
        ensureCapacity(16);
        for (int shift = 60; shift >= 0; shift -= 4) {
            buffer[filledBytes++] = HEX_DIGITS[(int) (id >>> shift) & 15];
        }
    }

    private void writeText(String text) {
        int length = text.length();
        ensureCapacity(3 * length);
        for (int i = 0; i < length; i++) {
            char c = text.charAt(i);
            if (c >= 128) {
                byte[] rest = text.substring(i).getBytes(StandardCharsets.UTF_8);
                System.arraycopy(rest, 0, buffer, filledBytes, rest.length);
                filledBytes += rest.length;
                return;
            }
            buffer[filledBytes++] = (byte) c;
        }
    }

    private void writeNumber(long value) {
        if (value < 0) {
            writeText(Long.toString(value));
            return;
        }
        ensureCapacity(20);
        int digits = 1;
        for (long rest = value; rest >= 10; rest /= 10) {
            digits++;
        }
        int position = filledBytes + digits;
        filledBytes = position;
        long rest = value;
        do {
            buffer[--position] = (byte) ('0' + rest % 10);
            rest /= 10;
        } while (rest > 0);
    }

    private void ensureCapacity(int bytes) {
        if (filledBytes + bytes > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, filledBytes + bytes));
        }
    }
}
