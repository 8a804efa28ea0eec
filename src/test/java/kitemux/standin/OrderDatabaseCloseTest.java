package kitemux.standin;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.junit.jupiter.api.Test;

class OrderDatabaseCloseTest {
    private static final int DATABASE_COUNT = 200;

    /** The listening socket stays open until the thread that is blocked in accept has returned. */
    @Test
    void closedDatabaseAcceptsNoConnection() throws IOException {
        for (int i = 0; i < DATABASE_COUNT; i++) {
            OrderDatabase database = OrderDatabase.start("mysql_native_password", null);
            InetSocketAddress address = database.address();
            try (Socket before = new Socket(address.getAddress(), address.getPort())) {
                assertTrue(before.getInputStream().read() >= 0, "greeting");
            }
            database.close();
            assertThrows(
                    IOException.class,
                    () -> {
                        try (Socket after = new Socket(address.getAddress(), address.getPort())) {
                            after.getInputStream().read();
                        }
                    },
                    "database " + i);
        }
    }
}
