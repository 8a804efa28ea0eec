package kitemux.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.BindException;
import java.net.ConnectException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import org.junit.jupiter.api.Test;

/** Tests the reservation of addresses for processes that start later. */
class ReservedAddressTest {
    @Test
    void reservedPortCanBeListenedOnAndIsAssignedToNobodyElse() throws Exception {
        try (ReservedAddress reserved = new ReservedAddress()) {
            for (int round = 0; round < 2; round++) {
                assertThrows(
                        ConnectException.class,
                        () -> SocketChannel.open(reserved.address()).close());
                try (SocketChannel other = SocketChannel.open()) {
                    assertThrows(BindException.class, () -> other.bind(reserved.address()));
                }
                // The second round finds the port as a node does that was killed and starts again.
                try (ServerSocketChannel node = ServerSocketChannel.open().bind(reserved.address());
                        SocketChannel client = SocketChannel.open(reserved.address());
                        SocketChannel accepted = node.accept()) {
                    assertEquals(client.getLocalAddress(), accepted.getRemoteAddress());
                }
            }
        }
    }
}
