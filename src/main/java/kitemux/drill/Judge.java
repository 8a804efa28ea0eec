package kitemux.drill;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import kitemux.sim.ColdStartLoad;

/**
 * Reads a time-line and holds it against the four rules over the whole fleet, and against the bounds of the
 * drill. Knows nothing of nodes but what was seen of them, and of their code nothing at all.
 */
public final class Judge {
    /** Each time limit is so much longer on sockets, by the protocol. */
    private static final long SLACK_US = 50_000;
    /** A player that was later than this has not seen enough to tell. */
    private static final long MOST_LATE_US = 250_000;
    /** What could not reach a node counts as told so long after it was written. */
    private static final long TOLD_US = 6_000_000;
    /** A process that was stopped gets so long to answer what waited for it. */
    private static final long AWAKE_US = 1_000_000;
    /** A way that was cut gives up what it held, and systems dial again, within so long. */
    private static final long HEALED_US = 4_000_000;

    private static final double FALL_MULTIPLE = 4;
    private static final long FALL_US = 2_000_000;
    private static final long SUM_US = 100_000;
    /** In which a node has to see that a client has left: what waited is not sent on after it. */
    private static final long LEFT_US = 100_000;
    /** In which a node has to pass on what a server gives of a long answer, or tell that it stopped. */
    private static final long WITHHELD_US = 2_000_000;
    /** After a request's time its final answer is not lost for so long; its client closes only then. */
    private static final long LAST_ANSWER_US = 500_000;

    private static final String LONG_ANSWERS = "long answers passed on";
    private static final int MOST_TOLD = 30;
    private static final String PLAYER = "player";

    private final Facts facts = new Facts();
    private final Spans wrong = new Spans();
    private final Map<String, Request> requests = new HashMap<>();
    private final Map<Long, Wish> wishes = new LinkedHashMap<>();
    private final Map<String, Target> targets = new HashMap<>();
    private final Window calls = new Window(SUM_US);
    private final List<String> broken = new ArrayList<>();
    private long breaks;
    private long crossings;
    private long overdue;
    private long lateUs;
    private long slackUs;

    /** What the head of the time-line says. */
    private static final class Facts {
        private Event head;
        private final Map<String, Event> boxes = new HashMap<>();
        private List<Event> classes = List.of();
    }

    /** A client's wish, over all its tries. */
    private static final class Wish {
        private final long cameUs;
        private final int of;
        private long servedUs = -1;
        private int tries;
        private int attempts;
        private int refused;
        private int failed;

        Wish(long cameUs, int of) {
            this.cameUs = cameUs;
            this.of = of;
        }
    }

    /** One try at one node, and what came of it at servers. */
    private static final class Request {
        private final String txn;
        private final Event asked;
        private final Wish wish;
        private long writtenUs = -1;
        /** When its client left without an answer; -1 if it did not. */
        private long leftUs = -1;
        /** The first attempt that may have run. */
        private Attempt first;

        private int attemptsSinceWritten;
        private boolean refused;
        /** A long answer has begun to come to its client, and neither its last byte nor an end. */
        private boolean amid;
        /** By server: how it stands with the long answer that it gives. */
        private final Map<String, Given> given = new LinkedHashMap<>();

        Request(Event asked, Wish wish) {
            this.asked = asked;
            this.wish = wish;
            txn = asked.text("txn");
        }

        int node() {
            return (int) asked.number("node");
        }
    }

    private static final class Attempt {
        private final long atUs;
        private final String box;
        private final String way;

        Attempt(long atUs, String box, String way) {
            this.atUs = atUs;
            this.box = box;
            this.way = way;
        }
    }

    /** A long answer that a server gives: until when it did, -1 while it does, and how that ended. */
    private static final class Given {
        private long untilUs = -1;
        private String how = "";
    }

    /** A server, as it is seen from outside. */
    private static final class Target {
        private final Window attempts = new Window(SUM_US);
        private final Window dials = new Window(SUM_US);
        private final ColdStartLoad cold;
        /** When its process last began, in the run; -1 for before it. */
        private long startedUs = -1;

        private boolean fell;
        /** By node: when it was told that nothing new is wanted; and whether it was told of this process. */
        private final Map<Integer, Long> unwantedUs = new HashMap<>();

        private final Map<Integer, Boolean> toldOfStart = new HashMap<>();
        /** By request: its attempts here whose end is not known. */
        private final Map<String, Attempt> open = new HashMap<>();

        Target(double meanWorkUs) {
            cold = new ColdStartLoad(meanWorkUs, FALL_US);
        }
    }

    private Judge() {}

    /**
     * Judges a time-line.
     *
     * @throws IOException if it cannot be read or is none; the message says in which line
     */
    public static Verdict of(Path file) throws IOException {
        Judge judge = new Judge();
        List<Event> events = read(file);
        // How late the player was and when what was wrong is known before anything is held against it.
        events.forEach(judge::learn);
        if (judge.facts.head == null) {
            throw new IOException(file + " does not begin as a time-line does");
        }
        judge.slackUs = SLACK_US + judge.lateUs;
        events.forEach(judge::hold);
        return judge.verdict();
    }

    private static List<Event> read(Path file) throws IOException {
        List<Event> events = new ArrayList<>();
        try (BufferedReader in = Files.newBufferedReader(file)) {
            String line;
            while ((line = in.readLine()) != null) {
                try {
                    events.add(Event.read(line));
                } catch (JsonProcessingException e) {
                    throw new IOException(file + ", line " + (events.size() + 1) + ": " + e.getOriginalMessage(), e);
                }
            }
        }
        return events;
    }

    private void learn(Event event) {
        switch (event.kind()) {
            case "begin" -> {
                facts.head = event;
                event.events("boxes").forEach(box -> facts.boxes.put(box.text("id"), box));
                facts.classes = event.events("classes");
            }
            case "late" -> {
                wrong.begins(PLAYER, event.atUs() - event.number("by"));
                wrong.ends(PLAYER, event.atUs());
            }
            case "end" -> lateUs = event.number("late");
            case "fault" -> about(event).forEach(what -> wrong.begins(what, event.atUs()));
            case "mended" -> about(event).forEach(what -> wrong.ends(what, event.atUs()));
            case "down" -> wrong.begins(process(event.number("node")), event.atUs());
            case "up" -> wrong.ends(process(event.number("node")), event.atUs());
            case "box" -> {
                // A server that has gone without a word is cut off from all.
                for (int node = 0; node < facts.head.number("nodes"); node++) {
                    String way = way(node, event.text("box"));
                    if (event.text("state").equals("silent")) {
                        wrong.begins(way, event.atUs());
                    } else {
                        wrong.ends(way, event.atUs());
                    }
                }
            }
            default -> {
                // What is done by nodes and clients is held against the rules, in order.
            }
        }
    }

    private static String process(long node) {
        return "process " + node;
    }

    private static String way(long node, String box) {
        return "node-" + node + ">" + box;
    }

    private static String front(long node) {
        return "clients>node-" + node;
    }

    /** What a fault befalls: ways, and processes where it stops them. */
    private static List<String> about(Event fault) {
        List<String> all = new ArrayList<>(fault.texts("ways"));
        if (fault.text("what").equals("stop")) {
            fault.numbers("nodes").forEach(node -> all.add(process(node)));
        }
        return all;
    }

    // ---------------------------------------------------------------- the rules

    private void hold(Event event) {
        switch (event.kind()) {
            case "ask" -> {
                Wish wish = wishes.computeIfAbsent(
                        event.number("wish"), w -> new Wish(event.atUs(), (int) event.number("class")));
                wish.tries++;
                requests.put(event.text("txn"), new Request(event, wish));
            }
            case "written" -> {
                Request of = requests.get(event.text("txn"));
                of.writtenUs = event.atUs();
                of.attemptsSinceWritten = 0;
            }
            case "broken" -> broke(event);
            case "answer" -> answered(event);
            case "left" -> {
                Request of = requests.get(event.text("txn"));
                of.wish.failed++;
                of.leftUs = event.atUs();
                // A late player is no excuse: it has counted what it took itself, and read what had come.
                if (!isExcused(of, event.atUs())) {
                    tell(
                            event.atUs(),
                            "no request lost",
                            of,
                            "had no answer in its time of " + of.asked.number("left") / 1_000
                                    + " ms, nor half a second later");
                }
            }
            case "gives" -> requests.get(event.text("txn")).given.put(event.text("box"), new Given());
            case "gave" -> {
                Given given = requests.get(event.text("txn")).given.get(event.text("box"));
                given.untilUs = event.atUs();
                given.how = event.text("how");
            }
            case "begun" -> requests.get(event.text("txn")).amid = true;
            case "cut-off" -> cutOff(event);
            case "end" -> requests.values().stream().filter(of -> of.amid).forEach(of -> stood(of, event.atUs()));
            case "try" -> came(event);
            case "told" -> {
                if (event.text("result").equals("FULL")) {
                    Attempt of = target(event.text("box")).open.remove(event.text("txn"));
                    if (of != null) {
                        turnedAway(requests.get(event.text("txn")), of);
                    }
                }
            }
            case "dial" -> {
                int in = target(event.text("box")).dials.came(event.atUs());
                // The handshake is work for its server as much as a request is.
                cold(event, facts.head.real("handshake"));
                bound(event.atUs(), "dials", in, event.text("box"));
            }
            case "call" -> bound(event.atUs(), "calls", calls.came(event.atUs()), "discovery");
            case "box" -> {
                if (event.text("state").equals("up")) {
                    Target target = target(event.text("box"));
                    target.startedUs = event.atUs();
                    target.fell = false;
                    target.cold.reset();
                    target.toldOfStart.clear();
                    target.open.clear();
                }
            }
            case "list" ->
                event.fields("states")
                        .forEach((box, state) ->
                                listed(event.atUs(), (int) event.number("node"), box, String.valueOf(state)));
            case "up" ->
                targets.values()
                        .forEach(target -> target.unwantedUs.computeIfPresent(
                                (int) event.number("node"), (node, since) -> Math.max(since, event.atUs() + TOLD_US)));
            default -> {
                // Learned before, or told for people.
            }
        }
    }

    private Target target(String box) {
        return targets.computeIfAbsent(box, b -> new Target(facts.head.number("meanWork")));
    }

    /** Whether its node, or the way to it, was at fault while it was asked. */
    private boolean isExcused(Request of, long untilUs) {
        long from = of.asked.atUs();
        return wrong.touches(process(of.node()), from, untilUs, AWAKE_US)
                || wrong.touches(front(of.node()), from, untilUs, HEALED_US);
    }

    private void broke(Event event) {
        Request of = requests.get(event.text("txn"));
        if (isExcused(of, event.atUs())) {
            of.wish.failed += event.flag("again") ? 0 : 1;
            return;
        }
        if (!event.flag("again")) {
            of.wish.failed++;
            tell(event.atUs(), "no request lost", of, "its connection ended without an answer");
        } else if (of.attemptsSinceWritten > 0) {
            tell(event.atUs(), "no request lost", of, "its connection ended after it was sent to a server");
        } else if (event.atUs() - of.writtenUs > slackUs) {
            tell(
                    event.atUs(),
                    "no request lost",
                    of,
                    "its connection ended " + (event.atUs() - of.writtenUs) / 1_000 + " ms after it was written");
        } else {
            crossings++;
        }
    }

    /** A long answer is not cut off while its server gives it, nor as the node closes on what it gives. */
    private void cutOff(Event event) {
        Request of = requests.get(event.text("txn"));
        of.wish.failed++;
        long now = event.atUs();
        of.given.forEach((box, given) -> {
            boolean goesOn = given.untilUs < 0 || given.how.equals("CLOSED") && now - given.untilUs < slackUs;
            if (goesOn && !isExcused(of, box, now)) {
                tell(now, LONG_ANSWERS, of, "was cut off though " + box + " was still giving");
            }
        });
        stood(of, now);
        of.amid = false;
    }

    /** What has been given, or has stopped, does not stand for longer than it may. */
    private void stood(Request of, long now) {
        of.given.forEach((box, given) -> {
            boolean stopped = given.how.equals("STOPPED");
            long due = given.untilUs + WITHHELD_US + slackUs;
            due = stopped ? Math.max(due, of.writtenUs + of.asked.number("left") + LAST_ANSWER_US + slackUs) : due;
            if ((stopped || given.how.equals("WHOLE")) && now > due && !isExcused(of, box, now)) {
                tell(
                        now,
                        LONG_ANSWERS,
                        of,
                        (stopped ? "had no end " : "was kept back ")
                                + (now - given.untilUs) / 1_000 + " ms after " + box
                                + (stopped ? " had stopped" : " had given its last"));
            }
        });
    }

    private boolean isExcused(Request of, String box, long untilUs) {
        return isExcused(of, untilUs)
                || wrong.touches(way(of.node(), box), of.asked.atUs(), untilUs, HEALED_US)
                || wrong.touches(PLAYER, untilUs - SUM_US, untilUs, SUM_US);
    }

    private void answered(Event event) {
        Request of = requests.get(event.text("txn"));
        if (of.amid) {
            stood(of, event.atUs());
            of.amid = false;
        }
        if (event.atUs() > of.writtenUs + of.asked.number("left") + slackUs && !isExcused(of, event.atUs())) {
            overdue++;
        }
        long status = event.number("status");
        if (status == 200) {
            of.wish.servedUs = of.wish.servedUs < 0 ? event.atUs() : of.wish.servedUs;
        } else if (status == 429 || status == 503) {
            of.wish.refused++;
            of.refused = true;
            if (of.first != null && repeat(of).equals("UNSAFE")) {
                tell(
                        event.atUs(),
                        "no effect twice",
                        of,
                        "is refused as harmless after it was sent to " + of.first.box);
            }
        } else {
            of.wish.failed++;
        }
    }

    private Event classOf(Request of) {
        return facts.classes.get((int) of.asked.number("class"));
    }

    private String repeat(Request of) {
        return classOf(of).text("repeat");
    }

    private void came(Event event) {
        long now = event.atUs();
        int node = (int) event.number("node");
        String box = event.text("box");
        Request of = requests.get(event.text("txn"));
        Target target = target(box);
        of.wish.attempts++;
        of.attemptsSinceWritten++;
        bound(now, "attempts", target.attempts.came(now), box);
        Attempt mine = new Attempt(now, box, way(node, box));
        target.open.put(of.txn, mine);
        again(of, mine);
        if (of.leftUs >= 0
                && now - of.leftUs > LEFT_US + slackUs
                && !isExcused(of, now)
                && !wrong.touches(mine.way, of.leftUs, now, HEALED_US)) {
            tell(
                    now,
                    "no one who left sent on",
                    of,
                    "is sent to " + box + " " + (now - of.leftUs) / 1_000 + " ms after its client left");
        }
        Long unwanted = target.unwantedUs.get(node);
        if (unwanted != null
                && now > unwanted + facts.head.number("grace") + slackUs
                && !wrong.touches(mine.way, unwanted, now, HEALED_US)) {
            tell(
                    now,
                    "drains kept",
                    of,
                    "is sent to " + box + " " + (now - unwanted) / 1_000 + " ms after node-" + node
                            + " was told that it drains");
        }
        if (event.flag("runs")) {
            // Time-lines of before say nothing of work.
            cold(event, event.real("work") > 0 ? event.real("work") : facts.head.real("meanWork"));
        }
    }

    private void again(Request of, Attempt mine) {
        if (of.refused && repeat(of).equals("UNSAFE")) {
            tell(mine.atUs, "no effect twice", of, "comes to " + mine.box + " though it was refused as harmless");
        }
        if (of.first == null) {
            of.first = mine;
            return;
        }
        boolean late = mine.atUs > of.first.atUs + classOf(of).number("window") + slackUs
                && !wrong.touches(mine.way, of.first.atUs, mine.atUs, HEALED_US)
                && !wrong.touches(of.first.way, of.first.atUs, mine.atUs, HEALED_US);
        boolean elsewhere = classOf(of).text("group").equals("CELL") && rack(mine.box) != rack(of.first.box);
        switch (repeat(of)) {
            case "UNSAFE" ->
                tell(
                        mine.atUs,
                        "no effect twice",
                        of,
                        "comes to " + mine.box + " though it may have run at " + of.first.box);
            case "KEYED" -> {
                if (late || elsewhere) {
                    tell(
                            mine.atUs,
                            "no effect twice",
                            of,
                            "comes to " + mine.box + (late ? " too late" : "") + (elsewhere ? " in another rack" : "")
                                    + " after " + of.first.box);
                }
            }
            default -> {
                // Safe to repeat.
            }
        }
    }

    private long rack(String box) {
        return facts.boxes.get(box).number("rack");
    }

    /** It never ran there, and may be sent elsewhere. */
    private void turnedAway(Request of, Attempt attempt) {
        if (of.first == attempt) {
            of.first = null;
        }
    }

    private void listed(long now, int node, String box, String state) {
        Target target = target(box);
        if (state.equals("READY")) {
            target.unwantedUs.remove(node);
            target.toldOfStart.put(node, true);
            return;
        }
        long told = wrong.touches("node-" + node + ">list", now, now, HEALED_US) ? now + TOLD_US : now;
        target.unwantedUs.putIfAbsent(node, wrong.endOf(process(node), told));
    }

    /** What comes to a server that has just started, against what it can do then; the first fall counts. */
    private void cold(Event came, double workUs) {
        String box = came.text("box");
        Target target = target(box);
        Event facts = this.facts.boxes.get(box);
        long now = came.atUs();
        if (target.startedUs < 0 || now >= target.startedUs + facts.number("cold")) {
            return;
        }
        double warmth =
                facts.real("coldFrom") + (1 - facts.real("coldFrom")) * (now - target.startedUs) / facts.number("cold");
        double allowedUs = FALL_MULTIPLE * facts.number("cores") * facts.real("speed") * warmth * FALL_US;
        ColdStartLoad.Verdict verdict = target.cold.recordArrival(
                now, workUs, target.toldOfStart.getOrDefault((int) came.number("node"), false), allowedUs);
        if (verdict != ColdStartLoad.Verdict.WITHIN_LIMIT && !target.fell) {
            target.fell = true;
            if (verdict == ColdStartLoad.Verdict.OVERLOADED_BY_NODES) {
                tell(
                        now,
                        "no cold server pushed over: " + box + " is sent "
                                + Math.round(target.cold.recentRequests()) + " within 2 s and may get "
                                + Math.round(allowedUs / this.facts.head.real("meanWork")));
            }
        }
    }

    private void bound(long now, String what, int in, String where) {
        long most = facts.head.part("bounds").number(what);
        if (most > 0 && in == most + 1) {
            tell(now, in + " " + what + " at " + where + " within 100 ms, " + most + " are allowed");
        }
    }

    private void tell(long now, String rule, Request of, String what) {
        tell(now, rule + ": request " + of.txn + " (" + classOf(of).text("name") + ", node-" + of.node() + ") " + what);
    }

    private void tell(long now, String what) {
        if (breaks++ < MOST_TOLD) {
            broken.add(String.format(Locale.ROOT, "%.3f s  %s", now / 1e6, what));
        }
    }

    // ---------------------------------------------------------------- what it came to

    private Verdict verdict() {
        List<Verdict.Share> shares = new ArrayList<>();
        shares.add(share("all", 0, Long.MAX_VALUE));
        for (Event phase : facts.head.events("phases")) {
            shares.add(share(phase.text("name"), phase.number("from"), phase.number("to")));
        }
        return new Verdict(
                broken,
                breaks,
                lateUs,
                lateUs <= MOST_LATE_US,
                shares,
                new Verdict.Sums(
                        targets.values().stream()
                                .mapToInt(t -> t.attempts.most())
                                .max()
                                .orElse(0),
                        targets.values().stream()
                                .mapToInt(t -> t.dials.most())
                                .max()
                                .orElse(0),
                        calls.most(),
                        crossings,
                        overdue,
                        targets.values().stream()
                                .mapToDouble(t -> t.cold.peakRatio())
                                .max()
                                .orElse(0)));
    }

    private Verdict.Share share(String phase, long fromUs, long toUs) {
        int classes = facts.classes.size();
        long[] asked = new long[classes];
        long[] good = new long[classes];
        long tries = 0;
        long attempts = 0;
        long refused = 0;
        long failed = 0;
        for (Wish wish : wishes.values()) {
            if (wish.cameUs < fromUs || wish.cameUs >= toUs) {
                continue;
            }
            asked[wish.of]++;
            good[wish.of] += isInTime(wish) ? 1 : 0;
            tries += wish.tries;
            attempts += wish.attempts;
            refused += wish.refused;
            failed += wish.failed;
        }
        List<Verdict.OfClass> by = new ArrayList<>();
        long wanted = 0;
        double worth = 0;
        double got = 0;
        for (int c = 0; c < classes; c++) {
            by.add(new Verdict.OfClass(
                    facts.classes.get(c).text("name"), asked[c], asked[c] == 0 ? 1 : (double) good[c] / asked[c]));
            wanted += asked[c];
            worth += asked[c] * facts.classes.get(c).real("worth");
            got += good[c] * facts.classes.get(c).real("worth");
        }
        double each = Math.max(1, wanted);
        return new Verdict.Share(
                phase, wanted, worth == 0 ? 1 : got / worth, by, tries / each, attempts / each, refused, failed);
    }

    private boolean isInTime(Wish wish) {
        long within =
                facts.classes.get(wish.of).number("aim") + (wish.tries > 1 ? facts.head.number("repeatGrace") : 0);
        return wish.servedUs >= 0 && wish.servedUs - wish.cameUs <= within;
    }
}
