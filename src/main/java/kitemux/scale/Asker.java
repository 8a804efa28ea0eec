package kitemux.scale;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;

/**
 * Asks at a rate, whether or not answers come: times between requests are drawn, each client has its own. A
 * request that its client could not send for want of an answer counts from when it was due.
 */
final class Asker implements AutoCloseable {
    private static final int CLIENTS = 16;
    private static final long MOST_US = 10_000_000;
    private static final int TIMEOUT_MS = 5_000;
    private static final byte[] HEAD_END = {'\r', '\n', '\r', '\n'};

    private final int tenants;
    private final SplittableRandom seeds;
    private final List<Client> clients = new ArrayList<>();
    private final AtomicLong txns = new AtomicLong();

    /**
     * What came of a slice.
     *
     * @param times of answers with status 200, in microseconds
     * @param others answers of any other status, and none
     * @param lateUs the most by which a request was sent later than it was due with its client free: this
     *     process had no processor
     */
    record Slice(Histogram times, long others, long lateUs) {
        /** Both together. */
        Slice and(Slice other) {
            Histogram sum = times.copy();
            sum.add(other.times);
            return new Slice(sum, others + other.others, Math.max(lateUs, other.lateUs));
        }
    }

    static Histogram times() {
        return new Histogram(1, MOST_US, 3);
    }

    /**
     * Asks nothing yet.
     *
     * @param tenants each request is of one of so many, drawn
     */
    Asker(int tenants, long seed) {
        this.tenants = tenants;
        seeds = new SplittableRandom(seed);
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Client(seeds.split()));
        }
    }

    /** Asks this address for so long, at so many requests a second over all clients. */
    Slice ask(InetSocketAddress at, double rate, long us) throws InterruptedException {
        long begins = System.nanoTime();
        List<Thread> threads = new ArrayList<>();
        List<Slice> slices = new ArrayList<>();
        for (Client client : clients) {
            Thread thread = new Thread(
                    () -> {
                        Slice slice = client.ask(at, rate / CLIENTS, begins, begins + us * 1_000);
                        synchronized (slices) {
                            slices.add(slice);
                        }
                    },
                    "client");
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join(TimeUnit.MICROSECONDS.toMillis(us) + 2 * TIMEOUT_MS);
        }
        Slice sum = new Slice(times(), 0, 0);
        synchronized (slices) {
            for (Slice slice : slices) {
                sum = sum.and(slice);
            }
        }
        return sum;
    }

    @Override
    public void close() {
        clients.forEach(Client::close);
    }

    /** One that asks one request at a time, and keeps a connection to each address. */
    private final class Client {
        private final SplittableRandom draws;
        private final Map<InetSocketAddress, Socket> open = new HashMap<>();
        private final byte[] read = new byte[16_384];

        Client(SplittableRandom draws) {
            this.draws = draws;
        }

        Slice ask(InetSocketAddress at, double rate, long begins, long ends) {
            Histogram times = times();
            long others = 0;
            long lateNanos = 0;
            long free = begins;
            double due = begins + gap(rate);
            while (due < ends) {
                long at0 = (long) due;
                while (System.nanoTime() < at0) {
                    LockSupport.parkNanos(at0 - System.nanoTime());
                }
                long sent = System.nanoTime();
                boolean waited = free > at0;
                if (!waited) {
                    lateNanos = Math.max(lateNanos, sent - at0);
                }
                boolean served = served(at);
                free = System.nanoTime();
                if (served) {
                    times.recordValue(Math.min(MOST_US, Math.max(1, (free - (waited ? at0 : sent)) / 1_000)));
                } else {
                    others++;
                }
                due += gap(rate);
            }
            return new Slice(times, others, lateNanos / 1_000);
        }

        private double gap(double rate) {
            return -Math.log(1 - draws.nextDouble()) / rate * 1e9;
        }

        private boolean served(InetSocketAddress at) {
            boolean kept = open.containsKey(at);
            try {
                return exchange(at);
            } catch (IOException e) {
                drop(at);
                if (!kept) {
                    return false;
                }
            }
            // It crossed the end of an unused connection: asked once more, on a new one.
            try {
                return exchange(at);
            } catch (IOException e) {
                drop(at);
                return false;
            }
        }

        private void drop(InetSocketAddress at) {
            Socket broken = open.remove(at);
            if (broken != null) {
                Asker.close(broken);
            }
        }

        private boolean exchange(InetSocketAddress at) throws IOException {
            Socket socket = open.get(at);
            if (socket == null) {
                socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(TIMEOUT_MS);
                socket.connect(at, TIMEOUT_MS);
                open.put(at, socket);
            }
            String id = Long.toHexString(txns.incrementAndGet());
            String request = "GET /api/k" + id + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: t" + id
                    + "\r\nX-Lane: page\r\nX-Org: " + Sized.tenant(draws.nextInt(tenants))
                    + "\r\nX-Remaining: 2000m\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return answer(socket.getInputStream());
        }

        private boolean answer(InputStream in) throws IOException {
            int have = 0;
            int head;
            while ((head = headEnd(have)) < 0) {
                have += more(in, have);
            }
            String text = new String(read, 0, head, StandardCharsets.US_ASCII).toLowerCase(Locale.ROOT);
            int at = text.indexOf("content-length:");
            if (at < 0) {
                throw new IOException("an answer of no told length");
            }
            int end = text.indexOf('\r', at);
            int whole = head
                    + Integer.parseInt(text.substring(at + "content-length:".length(), end < 0 ? text.length() : end)
                            .trim());
            while (have < whole) {
                have += more(in, have);
            }
            return text.startsWith("http/1.1 200");
        }

        private int more(InputStream in, int have) throws IOException {
            int came = have == read.length ? -1 : in.read(read, have, read.length - have);
            if (came < 0) {
                throw new IOException("an answer that is not whole");
            }
            return came;
        }

        private int headEnd(int have) {
            for (int i = 0; i + HEAD_END.length <= have; i++) {
                if (Arrays.equals(read, i, i + HEAD_END.length, HEAD_END, 0, HEAD_END.length)) {
                    return i + HEAD_END.length;
                }
            }
            return -1;
        }

        void close() {
            open.values().forEach(Asker::close);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is of no use either way.
        }
    }
}
