package kitemux.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.BindException;
import java.net.ConnectException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import org.junit.jupiter.api.Test;

/** Ports for processes that are yet to start. */
class HeldAddressTest {
    @Test
    void aPortIsKeptForWhoeverWillListenOnItAndGivenToNobodyElse() throws Exception {
        try (HeldAddress held = new HeldAddress()) {
            for (int round = 0; round < 2; round++) {
                assertThrows(
                        ConnectException.class,
                        () -> SocketChannel.open(held.address()).close());
                try (SocketChannel other = SocketChannel.open()) {
                    assertThrows(BindException.class, () -> other.bind(held.address()));
                }
                // As a node does after each kill; round two finds what round one's connection left behind.
                try (ServerSocketChannel node = ServerSocketChannel.open().bind(held.address());
                        SocketChannel client = SocketChannel.open(held.address());
                        SocketChannel taken = node.accept()) {
                    assertEquals(client.getLocalAddress(), taken.getRemoteAddress());
                }
            }
        }
    }
}
