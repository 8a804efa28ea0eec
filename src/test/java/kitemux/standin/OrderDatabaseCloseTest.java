package kitemux.standin;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.junit.jupiter.api.Test;

class OrderDatabaseCloseTest {
    private static final int TIMES = 200;

    /** A thread that stands in accept holds the listening socket open for a moment longer than its close. */
    @Test
    void nobodyComesUpToOneThatWasClosed() throws IOException {
        for (int i = 0; i < TIMES; i++) {
            OrderDatabase database = OrderDatabase.start("mysql_native_password", null);
            InetSocketAddress at = database.address();
            try (Socket before = new Socket(at.getAddress(), at.getPort())) {
                assertTrue(before.getInputStream().read() >= 0, "it greets");
            }
            database.close();
            assertThrows(
                    IOException.class,
                    () -> {
                        try (Socket after = new Socket(at.getAddress(), at.getPort())) {
                            after.getInputStream().read();
                        }
                    },
                    "after " + i + " others");
        }
    }
}
