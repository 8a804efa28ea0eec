package kitemux.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Tests errors on a connection that has not been taken over by the pool. */
class ConnectErrorHandlerTest {

    @Test
    void resetConnectionIsClosedSilently() {
        EmbeddedChannel channel = new EmbeddedChannel(new ConnectErrorHandler());
        channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
        channel.checkException();
        assertFalse(channel.isOpen());
    }

    @Test
    void unexpectedExceptionIsPropagated() {
        EmbeddedChannel channel = new EmbeddedChannel(new ConnectErrorHandler());
        IllegalStateException defect = new IllegalStateException("defect");
        channel.pipeline().fireExceptionCaught(defect);
        assertSame(defect, assertThrows(IllegalStateException.class, channel::checkException));
    }
}
