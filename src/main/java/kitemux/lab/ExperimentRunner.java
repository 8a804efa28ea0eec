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

/**
 * Executes the runs that a results folder lacks of an experiment: the emulated ones first, then those over loopback.
 */
public final class ExperimentRunner {
    private final LoopbackRun.Launcher launcher;
    private final int emulatorJobs;
    private final int loopbackJobs;

    /**
     * Creates a runner.
     *
     * @param launcher starts the nodes of runs over loopback
     * @param emulatorJobs the number of concurrent emulated runs
     * @param loopbackJobs the number of concurrent runs over loopback, 1 to 128; each starts processes and has to
     *     keep up with the clock
     */
    public ExperimentRunner(LoopbackRun.Launcher launcher, int emulatorJobs, int loopbackJobs) {
        this.launcher = launcher;
        this.emulatorJobs = emulatorJobs;
        this.loopbackJobs = loopbackJobs;
    }

    /**
     * Executes the missing runs. Each result is stored as soon as its run is over, so the process may be stopped at
     * any time.
     *
     * @param resultListener called with each stored result
     * @throws IOException if a run cannot be executed or stored; the results of earlier runs are kept
     */
    public void runMissing(Experiment experiment, ResultsFolder folder, Consumer<ResultRow> resultListener)
            throws IOException, InterruptedException {
        List<ResultRow> existing = folder.rows();
        List<Experiment.Run> missing = experiment.runs().stream()
                .filter(run -> existing.stream().noneMatch(row -> row.isResultOf(run)))
                .toList();
        runAll(
                filterByEnvironment(missing, Experiment.Environment.EMULATOR),
                emulatorJobs,
                folder,
                resultListener,
                run -> ResultRow.of(run, Emulation.run(run.variant().fleet(), run.seed()), 0));
        runAll(
                filterByEnvironment(missing, Experiment.Environment.LOOPBACK),
                loopbackJobs,
                folder,
                resultListener,
                run -> {
                    LoopbackRun.Outcome outcome =
                            LoopbackRun.execute(run.variant().fleet(), run.seed(), launcher);
                    return ResultRow.of(run, outcome.result(), outcome.maxDelayUs());
                });
    }

    private static List<Experiment.Run> filterByEnvironment(
            List<Experiment.Run> runs, Experiment.Environment environment) {
        return runs.stream().filter(run -> run.environment() == environment).toList();
    }

    /** Executes one run. */
    private interface SingleRun {
        ResultRow execute(Experiment.Run run) throws IOException, InterruptedException;
    }

    private static void runAll(
            List<Experiment.Run> runs,
            int threads,
            ResultsFolder folder,
            Consumer<ResultRow> resultListener,
            SingleRun singleRun)
            throws IOException, InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<?>> futures = new ArrayList<>();
            for (Experiment.Run run : runs) {
                futures.add(pool.submit(() -> {
                    ResultRow row = singleRun.execute(run);
                    folder.append(row);
                    resultListener.accept(row);
                    return null;
                }));
            }
            for (Future<?> future : futures) {
                future.get();
            }
        } catch (ExecutionException e) {
            throw e.getCause() instanceof IOException io
                    ? io
                    : new IOException("a run failed: " + e.getCause(), e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }
}
