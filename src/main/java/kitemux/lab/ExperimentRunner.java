package kitemux.lab;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import kitemux.fleet.Emulation;

/** Plays the runs of an experiment that its folder lacks: emulated ones first, then those over sockets. */
public final class ExperimentRunner {
    private final LoopbackRun.Launcher launcher;
    private final int jobs;
    private final int atOnce;

    /**
     * @param launcher starts the nodes that serve over sockets
     * @param jobs emulated runs at once
     * @param atOnce runs over sockets at once, 1 to 128: each has processes of its own and a clock to keep
     */
    public ExperimentRunner(LoopbackRun.Launcher launcher, int jobs, int atOnce) {
        this.launcher = launcher;
        this.jobs = jobs;
        this.atOnce = atOnce;
    }

    /**
     * Plays what is missing; each run is kept as soon as it is over, so that it may be stopped at any time.
     *
     * @param played told of each run that is kept
     * @throws IOException if a run cannot be played or kept; those before it are
     */
    public void runMissing(Experiment experiment, ResultsFolder folder, Consumer<ResultRow> played)
            throws IOException, InterruptedException {
        List<ResultRow> there = folder.rows();
        List<Experiment.Run> missing = experiment.runs().stream()
                .filter(run -> there.stream().noneMatch(row -> row.isResultOf(run)))
                .toList();
        playAll(
                of(missing, Experiment.Environment.EMULATOR),
                jobs,
                folder,
                played,
                run -> ResultRow.of(run, Emulation.run(run.variant().fleet(), run.seed()), 0));
        playAll(of(missing, Experiment.Environment.LOOPBACK), atOnce, folder, played, run -> {
            LoopbackRun.Outcome over = LoopbackRun.execute(run.variant().fleet(), run.seed(), launcher);
            return ResultRow.of(run, over.result(), over.maxDelayUs());
        });
    }

    private static List<Experiment.Run> of(List<Experiment.Run> runs, Experiment.Environment where) {
        return runs.stream().filter(run -> run.where() == where).toList();
    }

    /** Plays one run. */
    private interface SingleRun {
        ResultRow play(Experiment.Run run) throws IOException, InterruptedException;
    }

    private static void playAll(
            List<Experiment.Run> runs, int threads, ResultsFolder folder, Consumer<ResultRow> played, SingleRun player)
            throws IOException, InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<?>> all = new ArrayList<>();
            for (Experiment.Run run : runs) {
                all.add(pool.submit(() -> {
                    ResultRow row = player.play(run);
                    folder.append(row);
                    played.accept(row);
                    return null;
                }));
            }
            for (Future<?> one : all) {
                one.get();
            }
        } catch (ExecutionException e) {
            throw e.getCause() instanceof IOException io
                    ? io
                    : new IOException("a run broke off: " + e.getCause(), e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }
}
