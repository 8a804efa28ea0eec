package kitemux.net;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A socket that this node opens; it can be asked whether anything has come that was not read yet. */
final class OutboundChannel extends NioSocketChannel implements InputAwareChannel {
    private final ByteBuffer one = ByteBuffer.allocate(1);

    /**
     * Whether the connection is open and nothing is to be read on it. For use between two exchanges alone:
     * a byte that has come, which nobody has asked for, is gone then, and the connection must be closed.
     */
    @Override
    public boolean hasNoUnreadInput() {
        try {
            return isActive() && javaChannel().read(one.clear()) == 0;
        } catch (IOException e) {
            return false;
        }
    }
}
