package kitemux.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import kitemux.fleet.Emulation;
import kitemux.fleet.Fleet;
import kitemux.fleet.RunResult;
import kitemux.lab.FaultScript;
import kitemux.lab.LoopbackRun;
import kitemux.plan.FleetFile;
import kitemux.standin.BuildCommand;
import org.jline.terminal.Attributes;
import org.jline.terminal.Size;
import org.jline.terminal.Terminal;
import org.jline.terminal.TerminalBuilder;
import org.jline.utils.AttributedString;
import org.jline.utils.Display;
import org.jline.utils.NonBlockingReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * The first thing to run: a node, servers of two speeds and some traffic on this machine, to be broken by
 * hand.
 */
@Command(
        name = "try",
        mixinStandardHelpOptions = true,
        description = {
            "Plays a node process among stand-in servers of two speeds over loopback, with a little traffic of "
                    + "three classes,",
            "and shows what becomes of it. Keys: a server's number, then k kill, s silence, l slow, f fail, d "
                    + "drain, b back;",
            "r restarts the node, t has a tenant ask ten times as much, q ends. Ends by itself.",
            "Exit code 0: the rules were kept; 1: one was broken; 2: the call or a file cannot be used."
        })
final class TryCommand implements Callable<Integer> {
    private static final String FLEET = "/kitemux/cli/try.hcl";
    private static final double MOST_S = 3_600;
    private static final int BAR = 24;
    /** Of a terminal that does not say how large it is. */
    private static final Size USUAL = Size.of(30, 120);
    /** Between two plain lines where there is no terminal. */
    private static final long LINE_US = 1_000_000;

    private static final List<String> RULES =
            List.of("no request lost", "no effect twice", "drains kept", "no cold server pushed over");

    @Spec
    private CommandSpec spec;

    @Option(names = "--for", paramLabel = "TIME", defaultValue = "120s", description = "how long, such as 20s; 120s")
    private String length;

    @Option(
            names = "--script",
            paramLabel = "FILE",
            description =
                    "what is done, a line each, such as: 3s kill old-1; without a terminal this " + "is the only way")
    private Path script;

    private final LoopbackRun.Launcher launcher;
    private final Deque<FaultScript.TimedAction> deeds = new ArrayDeque<>();
    private final ConcurrentLinkedQueue<Integer> keys = new ConcurrentLinkedQueue<>();
    private final List<String> done = new ArrayList<>();
    private Fleet fleet;
    private int chosen;
    private long lineAtUs;
    private Display display;

    /** Its node is of this build. */
    TryCommand() {
        this(() -> BuildCommand.create(List.of(), ownJar(), "node"));
    }

    TryCommand(LoopbackRun.Launcher launcher) {
        this.launcher = launcher;
    }

    private static Path ownJar() {
        try {
            return Path.of(TryCommand.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        List<String> faults = new ArrayList<>();
        double seconds = length.matches("\\d+(\\.\\d+)?s")
                ? Double.parseDouble(length.substring(0, length.length() - 1))
                : Double.NaN;
        if (!(seconds >= 2 && seconds <= MOST_S)) {
            faults.add("--for is not from 2s to " + (long) MOST_S + "s: " + length);
        }
        fleet = fleet(faults.isEmpty() ? seconds : 2);
        if (script != null) {
            try {
                List<String> inScript = new ArrayList<>();
                deeds.addAll(FaultScript.parse(Files.readString(script), fleet, inScript));
                inScript.forEach(fault -> faults.add(script + ": " + fault));
            } catch (IOException e) {
                faults.add("--script: " + script + " cannot be read");
            }
        }
        if (!faults.isEmpty()) {
            faults.forEach(fault -> spec.commandLine().getErr().println("kitemux: " + fault));
            spec.commandLine().getErr().flush();
            return Main.UNUSABLE;
        }
        RunResult result;
        if (script == null && System.console() != null) {
            result = inTerminal();
        } else {
            result = play((live, nowUs) -> {
                if (nowUs >= lineAtUs) {
                    lineAtUs = nowUs + LINE_US;
                    out.println(line(live, nowUs));
                    out.flush();
                }
            });
        }
        summary(result, out);
        out.flush();
        return result.violationCount() == 0 ? Main.DONE : Main.FOUND;
    }

    private static Fleet fleet(double seconds) throws IOException {
        List<String> faults = new ArrayList<>();
        String text = new String(TryCommand.class.getResourceAsStream(FLEET).readAllBytes(), StandardCharsets.UTF_8);
        Fleet read = FleetFile.read(text, faults);
        if (!faults.isEmpty()) {
            throw new IllegalStateException(faults.toString());
        }
        Fleet.Load load = read.load();
        return read.with(new Fleet.Load(
                load.ratePerS(), (long) (seconds * 1e6), load.profile(), load.quotaPerS(), load.overShareWorth()));
    }

    private interface Shown {
        void show(Emulation live, long nowUs);
    }

    private RunResult play(Shown shown) throws IOException, InterruptedException {
        return LoopbackRun.execute(fleet, 1, launcher, (live, nowUs) -> {
                    while (!deeds.isEmpty() && deeds.peek().atUs() <= nowUs) {
                        FaultScript.TimedAction next = deeds.poll();
                        act(next.action(), next.target(), live, nowUs);
                    }
                    boolean goesOn = heed(live, nowUs);
                    shown.show(live, nowUs);
                    return goesOn;
                })
                .result();
    }

    private void act(FaultScript.Action deed, String to, Emulation live, long nowUs) {
        FaultScript.apply(deed, to, fleet, live);
        done.add(String.format(
                Locale.ROOT, "%.1f s  %s %s", nowUs / 1e6, deed.name().toLowerCase(Locale.ROOT), to));
    }

    // ---------------------------------------------------------------- keys

    /** What has been typed; whether the run goes on. */
    private boolean heed(Emulation live, long nowUs) {
        Integer key;
        while ((key = keys.poll()) != null) {
            if (key == 'q' || key == 3) {
                return false;
            }
            List<Emulation.BoxStatus> boxes = live.boxStatuses();
            if (key >= '1' && key < '1' + boxes.size()) {
                chosen = key - '1';
            }
            for (FaultScript.Action deed : FaultScript.Action.values()) {
                if (deed.key().charAt(0) == key) {
                    act(
                            deed,
                            deed.targetsBox()
                                    ? boxes.get(chosen).id()
                                    : deed == FaultScript.Action.FLOOD
                                            ? fleet.tenants()
                                                    .get(fleet.tenants().size() - 1)
                                                    .name()
                                            : "",
                            live,
                            nowUs);
                }
            }
        }
        return true;
    }

    private RunResult inTerminal() throws IOException, InterruptedException {
        try (Terminal terminal = TerminalBuilder.builder().system(true).build()) {
            Attributes before = terminal.enterRawMode();
            NonBlockingReader reader = terminal.reader();
            Thread typed = new Thread(
                    () -> {
                        try {
                            int key;
                            while ((key = reader.read()) >= 0) {
                                keys.add(key);
                            }
                        } catch (IOException e) {
                            // The terminal has gone: nothing more is typed.
                        }
                    },
                    "keys");
            typed.setDaemon(true);
            typed.start();
            display = new Display(terminal, false);
            try {
                return play((live, nowUs) -> {
                    Size size = terminal.getSize();
                    display.resize(size.getRows() > 0 && size.getColumns() > 0 ? size : USUAL);
                    display.update(
                            picture(live, nowUs).stream()
                                    .map(AttributedString::new)
                                    .toList(),
                            0);
                });
            } finally {
                terminal.setAttributes(before);
                terminal.writer().println();
                terminal.flush();
            }
        }
    }

    // ---------------------------------------------------------------- what is seen

    private List<String> picture(Emulation live, long nowUs) {
        List<String> lines = new ArrayList<>();
        lines.add(line(live, nowUs));
        lines.add("");
        List<Emulation.BoxStatus> boxes = live.boxStatuses();
        for (int i = 0; i < boxes.size(); i++) {
            Emulation.BoxStatus box = boxes.get(i);
            lines.add(String.format(
                    Locale.ROOT,
                    "%s%d %-8s %-9s %3d%% warm  %-" + BAR + "s %3d held, %3d connections," + " %d done",
                    i == chosen ? ">" : " ",
                    i + 1,
                    box.id(),
                    box.state(),
                    Math.round(100 * box.warmUpRatio()),
                    "#".repeat(Math.min(BAR, box.inFlight())),
                    box.inFlight(),
                    box.connections(),
                    box.completed()));
        }
        lines.add("");
        lines.add("number: server; k kill s silence l slow f fail d drain b back; r restart node; t " + "flood; q end");
        done.stream().skip(Math.max(0, done.size() - 5)).forEach(deed -> lines.add("  " + deed));
        return lines;
    }

    private String line(Emulation live, long nowUs) {
        RunResult now = live.result();
        long refused = now.classes().stream()
                .mapToLong(RunResult.ClassOutcome::refused)
                .sum();
        long failed =
                now.classes().stream().mapToLong(RunResult.ClassOutcome::failed).sum();
        List<Double> seconds = now.inTimeBySecond();
        int second = (int) Math.min(seconds.size(), nowUs / 1_000_000) - 1;
        return String.format(
                Locale.ROOT,
                "%5.1f s  %d asked, %.3f in time, %.3f in the last second, %d refused, %d"
                        + " failed; node %s; servers %s; rules broken %d",
                nowUs / 1e6,
                now.requests(),
                now.inTimeRatio(),
                second < 0 ? 1 : seconds.get(second),
                refused,
                failed,
                live.nodesUp().get(0) ? "up" : "down",
                states(live),
                now.violationCount());
    }

    /** How many are in each state, the usual one last. */
    private static String states(Emulation live) {
        Map<String, Integer> counted = new TreeMap<>();
        live.boxStatuses().forEach(box -> counted.merge(box.state(), 1, Integer::sum));
        List<String> shown = new ArrayList<>();
        counted.forEach((state, count) -> shown.add(count + " " + state));
        return String.join(", ", shown);
    }

    private void summary(RunResult result, PrintWriter out) {
        out.println();
        done.forEach(deed -> out.println("  " + deed));
        result.classes()
                .forEach(of -> out.printf(
                        Locale.ROOT,
                        "%s: %d asked, %d in time, %d late, %d refused, %d failed%n",
                        of.name(),
                        of.offered(),
                        of.inTime(),
                        of.late(),
                        of.refused(),
                        of.failed()));
        for (int t = 0; t < result.inTimeByTenant().size(); t++) {
            out.printf(
                    Locale.ROOT,
                    "%s: %.3f in time, of what is within its share%n",
                    fleet.tenants().get(t).name(),
                    result.inTimeByTenant().get(t));
        }
        for (String rule : RULES) {
            long told = result.violations().stream()
                    .filter(line -> line.contains(rule))
                    .count();
            out.println(rule + ": " + (told == 0 ? "kept" : "BROKEN, " + told + " told of"));
        }
        result.violations().forEach(line -> out.println("  " + line));
    }
}
