package kitemux.net;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import jdk.net.ExtendedSocketOptions;

/** A connection opened by this node that can tell whether it has unread input. */
final class OutboundChannel extends NioSocketChannel implements InputAwareChannel {
    private final ByteBuffer readBuffer = ByteBuffer.allocate(1);
    private boolean canAcknowledge = true;

    @Override
    public void acknowledgeInput() {
        if (canAcknowledge && isActive()) {
            try {
                javaChannel().setOption(ExtendedSocketOptions.TCP_QUICKACK, true);
            } catch (IOException | UnsupportedOperationException e) {
                canAcknowledge = false;
            }
        }
    }

    /**
     * Whether the connection is open and has no unread input. This may only be called between two exchanges: it
     * discards a byte that was received without a request, and the connection must then be closed.
     */
    @Override
    public boolean hasNoUnreadInput() {
        try {
            return isActive() && javaChannel().read(readBuffer.clear()) == 0;
        } catch (IOException e) {
            return false;
        }
    }
}
