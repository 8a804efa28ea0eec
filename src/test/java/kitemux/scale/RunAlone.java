package kitemux.scale;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** A run in a process of its own, so that it can be killed. */
final class RunAlone {
    private RunAlone() {}

    /** Runs the description at the first path, and keeps results at the second. */
    public static void main(String[] args) throws Exception {
        List<String> faults = new ArrayList<>();
        Plan plan = PlanFile.read(args[0], Files.readString(Path.of(args[0])), faults);
        if (!faults.isEmpty()) {
            throw new IllegalArgumentException(faults.toString());
        }
        new ScaleRun(plan, new Processes(), Path.of(args[1]), "test", Set.of(), System.out::println).run();
    }
}
