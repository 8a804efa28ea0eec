package kitemux.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A way between two parties, with real sockets at both ends. */
class LinkTest {
    private static final Link.State CUT = new Link.State(true, true, 0, 0, 0);
    /** Long enough for what passes, and short for what does not. */
    private static final int SILENT_MS = 150;

    private static final int MOST_MS = 10_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final CompletableFuture<Throwable> failed = new CompletableFuture<>();
    private ServerSocket target;
    private InetSocketAddress near;
    private Link link;

    @BeforeEach
    void open() throws Exception {
        target = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        target.setSoTimeout(MOST_MS);
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            near = new InetSocketAddress("127.0.0.1", free.getLocalPort());
        }
        link = new Link(
                loop,
                near,
                (InetSocketAddress) target.getLocalSocketAddress(),
                new InetSocketAddress("127.77.0.9", 0),
                1,
                failed::complete);
        loop.execute(link::open);
        link.opened().get(MOST_MS, TimeUnit.MILLISECONDS);
    }

    @AfterEach
    void close() throws Exception {
        loop.submit(link::close).get();
        target.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        assertTrue(!failed.isDone(), () -> String.valueOf(failed.join()));
    }

    private void set(Link.State state) throws Exception {
        loop.submit(() -> link.set(state)).get();
    }

    private Socket dial() throws IOException {
        Socket socket = new Socket();
        socket.connect(near, MOST_MS);
        socket.setSoTimeout(MOST_MS);
        return socket;
    }

    /** A way that is whole again listens after its loop's next look: a dial before that is refused. */
    private Socket dialOnceItListens() throws IOException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MOST_MS);
        while (true) {
            try {
                return dial();
            } catch (ConnectException e) {
                assertTrue(System.nanoTime() < until, "it never listens again");
            }
        }
    }

    private static void assertSilent(Socket socket) throws IOException {
        socket.setSoTimeout(SILENT_MS);
        assertThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
        socket.setSoTimeout(MOST_MS);
    }

    @Test
    void bytesAndEndsPassBothWaysAndTheFarSideSeesWhoDials() throws Exception {
        try (Socket one = dial();
                Socket other = target.accept()) {
            assertEquals("127.77.0.9", other.getInetAddress().getHostAddress());
            one.getOutputStream().write(7);
            assertEquals(7, other.getInputStream().read());
            one.shutdownOutput();
            assertEquals(-1, other.getInputStream().read());
            other.getOutputStream().write(8);
            assertEquals(8, one.getInputStream().read());
            other.shutdownOutput();
            assertEquals(-1, one.getInputStream().read());
        }
    }

    @Test
    void aCutSaysNothingAndWhatWasOnItsWayComesLate() throws Exception {
        try (Socket one = dial();
                Socket other = target.accept()) {
            set(CUT);
            one.getOutputStream().write(7);
            one.shutdownOutput();
            assertSilent(other);
            Socket never = new Socket();
            assertThrows(SocketTimeoutException.class, () -> never.connect(near, SILENT_MS));
            never.close();
            set(Link.State.WELL);
            assertEquals(7, other.getInputStream().read());
            assertEquals(-1, other.getInputStream().read());
            dialOnceItListens().close();
        }
    }

    @Test
    void aCutOfOneDirectionLeavesTheOther() throws Exception {
        try (Socket one = dial();
                Socket other = target.accept()) {
            set(new Link.State(false, true, 0, 0, 0));
            one.getOutputStream().write(7);
            assertEquals(7, other.getInputStream().read());
            other.getOutputStream().write(8);
            assertSilent(one);
        }
    }

    @Test
    void aSlowWayIsAsLateAsItIsToldAndKeepsTheOrder() throws Exception {
        try (Socket one = dial();
                Socket other = target.accept()) {
            set(new Link.State(false, false, 100_000, 50_000, 0));
            long began = System.nanoTime();
            for (int i = 0; i < 20; i++) {
                one.getOutputStream().write(i);
            }
            for (int i = 0; i < 20; i++) {
                assertEquals(i, other.getInputStream().read());
            }
            assertTrue(System.nanoTime() - began >= 100_000_000);
        }
    }

    @Test
    void aNarrowWayHoldsItsSenderBack() throws Exception {
        try (Socket one = dial();
                Socket other = target.accept()) {
            set(new Link.State(false, false, 0, 0, 100_000));
            long began = System.nanoTime();
            one.getOutputStream().write(new byte[20_000]);
            one.shutdownOutput();
            assertEquals(20_000, other.getInputStream().readAllBytes().length);
            assertTrue(System.nanoTime() - began >= 190_000_000);
        }
    }

    @Test
    void aResetIsToldOnBothSides() throws Exception {
        try (Socket one = dial();
                Socket other = target.accept()) {
            one.getOutputStream().write(1);
            assertEquals(1, other.getInputStream().read());
            loop.submit(link::reset).get();
            assertThrows(SocketException.class, () -> one.getInputStream().read());
            assertThrows(SocketException.class, () -> other.getInputStream().read());
        }
    }

    @Test
    void whileNobodyListensBehindItADialIsRefused() throws Exception {
        loop.submit(() -> link.targetListens(false)).get();
        // The system lets go of a listener at the loop's next look.
        loop.submit(() -> {}).get();
        assertThrows(ConnectException.class, () -> {
            while (true) {
                dial().close();
            }
        });
        loop.submit(() -> link.targetListens(true)).get();
        Socket dialled = null;
        for (int tries = 0; dialled == null && tries < MOST_MS; tries++) {
            try {
                dialled = dial();
            } catch (ConnectException e) {
                Thread.onSpinWait();
            }
        }
        dialled.close();
    }
}
