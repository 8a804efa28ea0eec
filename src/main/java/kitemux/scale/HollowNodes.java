package kitemux.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;

/** The processes of hollow nodes that a run has started. They end with their input, so with this process. */
final class HollowNodes implements AutoCloseable {
    /** Whoever ends a run that takes too long kills them from a thread of its own. */
    private final List<Child> children = new CopyOnWriteArrayList<>();

    private record Child(Process process, BufferedReader answers, PrintStream asks, long pid) {}

    /** What they have used and heard so far, node by node, and what their processes hold. */
    record Figures(List<HollowNode.Figures> nodes, List<ProcessFigures> processes) {
        double sum(ToDoubleFunction<HollowNode.Figures> of) {
            return nodes.stream().mapToDouble(of).sum();
        }

        double least(ToDoubleFunction<HollowNode.Figures> of) {
            return nodes.stream().mapToDouble(of).min().orElse(0);
        }

        double most(ToDoubleFunction<HollowNode.Figures> of) {
            return nodes.stream().mapToDouble(of).max().orElse(0);
        }

        boolean haveAll(long rev) {
            return nodes.stream().allMatch(node -> node.rev() >= rev);
        }
    }

    /**
     * Starts so many nodes, in processes of some each; they have not heard of anything yet.
     *
     * @param told what one process is told; the numbers of its nodes are filled in here
     */
    void start(Commands commands, Hollow.Told told, int nodes, int inProcess) throws IOException {
        int processes = (nodes + inProcess - 1) / inProcess;
        for (int first = 0; first < nodes; first += inProcess) {
            Process process = commands.hollow(processes)
                    .redirectError(ProcessBuilder.Redirect.INHERIT)
                    .start();
            PrintStream asks = new PrintStream(process.getOutputStream(), true, StandardCharsets.UTF_8);
            children.add(new Child(process, process.inputReader(), asks, process.pid()));
            asks.println(new Hollow.Told(
                            first,
                            Math.min(inProcess, nodes - first),
                            told.size(),
                            told.list(),
                            told.place(),
                            told.peers(),
                            told.seed())
                    .line());
        }
        for (Child child : children) {
            answer(child);
        }
    }

    private static String answer(Child child) throws IOException {
        String line = child.answers.readLine();
        if (line == null) {
            throw new IOException("a process of hollow nodes has ended by itself");
        }
        return line;
    }

    Figures figures() throws IOException {
        children.forEach(child -> child.asks.println("figures"));
        List<HollowNode.Figures> nodes = new ArrayList<>();
        List<ProcessFigures> processes = new ArrayList<>();
        for (Child child : children) {
            nodes.addAll(Hollow.figures(answer(child)));
            processes.add(ProcessFigures.of(child.pid));
        }
        return new Figures(nodes, processes);
    }

    void forgetLongest() throws IOException {
        children.forEach(child -> child.asks.println("forget"));
        for (Child child : children) {
            answer(child);
        }
    }

    /** Kills all, from any thread: whoever waits for an answer of one is told that it has ended. */
    void kill() {
        children.forEach(child -> child.process.destroyForcibly());
    }

    /** Ends all, and waits until they have. */
    @Override
    public void close() {
        children.forEach(child -> child.asks.close());
        for (Child child : children) {
            try {
                if (!child.process.waitFor(5, TimeUnit.SECONDS)) {
                    child.process.destroyForcibly().waitFor();
                }
            } catch (InterruptedException e) {
                child.process.destroyForcibly();
                Thread.currentThread().interrupt();
            }
        }
    }
}
