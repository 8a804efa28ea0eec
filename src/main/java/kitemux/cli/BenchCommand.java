package kitemux.cli;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import kitemux.bench.CaptureBench;
import kitemux.bench.JournalBench;
import kitemux.bench.LoadBench;
import kitemux.bench.StartBench;
import kitemux.standin.Relay;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures what a node costs under load. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = {
            "Measures requests a second and latencies on loopback, straight to a stand-in box, through a relay of "
                    + "bytes and "
                    + "through nodes, in turn; it stops by itself."
        })
final class BenchCommand implements Callable<Integer> {
    private static final int MOST_CONNECTIONS = 400;
    /** Some 2.5 GB on disk. */
    private static final int MOST_ORDERS = 10_000_000;

    @Option(
            names = "--jar",
            paramLabel = "FILE",
            description = "a build whose node is measured; may be given again; target/kitemux.jar by default")
    private List<Path> jars = List.of(Path.of("target", "kitemux.jar"));

    @Option(names = "--connections", paramLabel = "N", split = ",", description = "1,16,64 by default")
    private int[] connections = {1, 16, 64};

    @Option(names = "--rounds", paramLabel = "N", description = "measurements of each; 5 by default")
    private int rounds = 5;

    @Option(names = "--seconds", paramLabel = "S", description = "length of each; 2 by default")
    private double seconds = 2;

    @Option(names = "--warm", paramLabel = "S", description = "before each, not counted; 1 by default")
    private double warm = 1;

    @Option(names = "--pin", paramLabel = "CPU", description = "processor of the nodes, for taskset; none by default")
    private String pin = "";

    @Option(
            names = "--starts",
            paramLabel = "N",
            description = "measures starts, so many of each build, in place of load")
    private int starts;

    @Option(names = "--half", description = "with --starts: a busy process takes half of the processor; needs --pin")
    private boolean half;

    @Option(
            names = "--orders",
            description = "orders in place of pages, at the first build: without a journal of orders and "
                    + "with each way to sync one")
    private boolean orders;

    @Option(
            names = "--journal",
            paramLabel = "N",
            description = "a journal of so many orders in place of load: written, taken up, asked, checked")
    private int journal;

    @Option(names = "--capture", description = "what capturing load costs a node's loop, in place of load")
    private boolean capture;

    @Option(names = "--as-relay", arity = "2", hidden = true, description = "relays from one address to another")
    private List<String> relay = List.of();

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (!relay.isEmpty()) {
            Relay.start(
                    new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()),
                    address(relay.get(0)),
                    address(relay.get(1)));
            System.err.println("relaying");
            Thread.currentThread().join();
        }
        for (int n : connections) {
            if (n < 1 || n > MOST_CONNECTIONS) {
                return unusable("--connections has " + n + ", which is not from 1 to " + MOST_CONNECTIONS);
            }
        }
        if (rounds < 1 || rounds > 100 || !(seconds > 0 && seconds <= 60) || !(warm >= 0 && warm <= 60)) {
            return unusable("--rounds is not from 1 to 100, or --seconds or --warm not up to 60");
        }
        for (Path jar : jars) {
            if (!Files.isReadable(jar)) {
                return unusable("--jar cannot be read: " + jar);
            }
        }
        if (starts < 0 || starts > 100 || half && (starts == 0 || pin.isEmpty())) {
            return unusable("--starts is not up to 100, or --half is given without --starts and --pin");
        }
        if (journal < 0 || journal > MOST_ORDERS) {
            return unusable("--journal is not up to " + MOST_ORDERS);
        }
        if (journal > 0) {
            new JournalBench(journal, System.out).run();
            return Main.DONE;
        }
        if (capture) {
            new CaptureBench(System.out).run();
            return Main.DONE;
        }
        if (starts > 0) {
            new StartBench(jars.stream().map(Path::toAbsolutePath).toList(), starts, pin, half, System.out).run();
            return Main.DONE;
        }
        new LoadBench(
                        jars.stream().map(Path::toAbsolutePath).toList(),
                        connections,
                        warm,
                        seconds,
                        rounds,
                        pin,
                        orders,
                        System.out)
                .run();
        return Main.DONE;
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private static int unusable(String why) {
        System.err.println("kitemux: " + why);
        return Main.UNUSABLE;
    }
}
