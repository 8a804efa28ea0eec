package kitemux.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import kitemux.world.Defect;
import kitemux.world.FaultRuns;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Plays worlds on a virtual clock and says which broke a rule. */
@Command(
        name = "faults",
        mixinStandardHelpOptions = true,
        description = {
            "Plays nodes, with their real network code, on a virtual clock among servers, clients and a discovery "
                    + "that go "
                    + "wrong as a seed says, and holds what they do against the rules.",
            "Exit code 0: no rule was broken; 1: one was; 2: the call cannot be used."
        })
final class FaultsCommand implements Callable<Integer> {
    private static final int MOST_JOBS = 256;

    @Option(names = "--seeds", paramLabel = "FROM-TO", description = "which seeds are played; 1-1000 by default")
    private String seeds = "1-1000";

    @Option(names = "--jobs", paramLabel = "N", description = "how many at once; by default one for each core")
    private int jobs = Runtime.getRuntime().availableProcessors();

    @Option(names = "--only", paramLabel = "KIND", description = "what is played; 'list' tells which kinds there are")
    private String only = "random";

    @Option(names = "--seed", paramLabel = "N", description = "one seed alone, with all that it broke")
    private Long seed;

    @Option(
            names = "--without",
            paramLabel = "I",
            split = ",",
            description = "with --seed: the faults of these numbers are left out")
    private List<Integer> without = List.of();

    @Option(names = "--trace", paramLabel = "FILE", description = "with --seed: what happened, line by line")
    private Path trace;

    @Option(names = "--shrink", description = "with --seed: leaves out what is not needed to break the same rule")
    private boolean shrink;

    @Override
    public Integer call() throws InterruptedException {
        if (only.equals("list")) {
            FaultRuns.kinds().forEach(System.out::println);
            return Main.DONE;
        }
        if (seed == null && (trace != null || shrink || !without.isEmpty())) {
            return unusable("--trace, --without and --shrink go with --seed");
        }
        if (jobs < 1 || jobs > MOST_JOBS) {
            return unusable("--jobs is not from 1 to " + MOST_JOBS);
        }
        if (!seeds.matches("[0-9]{1,15}-[0-9]{1,15}")) {
            return unusable("--seeds is not FROM-TO: " + seeds);
        }
        long first = Long.parseLong(seeds.substring(0, seeds.indexOf('-')));
        long last = Long.parseLong(seeds.substring(seeds.indexOf('-') + 1));
        if (last < first) {
            return unusable("--seeds ends before it begins: " + seeds);
        }
        try {
            FaultRuns runs = new FaultRuns(only, Defect.NONE);
            if (seed == null) {
                return runs.report(runs.play(first, last, jobs, System.err), System.out);
            }
            if (shrink) {
                return runs.shrink(seed, System.out) == null ? Main.DONE : Main.FOUND;
            }
            return runs.playOne(seed, without, trace, System.out);
        } catch (IllegalArgumentException e) {
            return unusable(e.getMessage());
        } catch (IOException e) {
            return unusable("--trace cannot be written: " + e.getMessage());
        }
    }

    private static int unusable(String why) {
        System.err.println("kitemux: " + why);
        return Main.UNUSABLE;
    }
}
