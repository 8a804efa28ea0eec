package kitemux.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import kitemux.fleet.Fleet;
import kitemux.fleet.Result;

/**
 * Answers operators' questions by playing fleets: does this one hold, at what load does it break and by
 * what, how
 * many servers it needs, what a loss costs. Two variants meet the same clients with the same work, so that
 * what differs is the variant. Pure: who plays, and on how many processors, is handed in.
 */
public final class Planner {
    /** Seeds that are played at once, and at most for one question. */
    private static final int BATCH = 8;

    private static final int MOST_SEEDS = 32;
    /** An interval this narrow decides, on whichever side its middle lies. */
    private static final double NARROW = 0.004;
    /** Loads are told to this part. */
    private static final double LOAD_STEP = 0.02;

    private static final double LEAST_LOAD = 0.05;
    private static final double MOST_LOAD = 8;
    private static final int MOST_BOXES = 2_000;
    /** A remedy that gains less of what is missing is no cause. */
    private static final double GAINS = 0.1;
    /** A pulse that asks whether an overload ends by itself: so many times the load, for so long. */
    private static final double PULSE = 2.5;

    private static final long PULSE_US = 5_000_000;
    /** A tenant that heeds no share asks so many times as much. */
    private static final double GREEDY = 10;

    private final Player player;
    private final double goal;

    /** Plays a fleet once for each seed; results are in the order of the seeds. */
    public interface Player {
        List<Result> play(Fleet fleet, List<Long> seeds);
    }

    /**
     * @param goal share of the worth asked for that must be answered within its aim, in (0, 1)
     */
    public Planner(Player player, double goal) {
        if (!(goal > 0 && goal < 1)) {
            throw new IllegalArgumentException("a goal is above 0 and under 1, not " + goal);
        }
        this.player = player;
        this.goal = goal;
    }

    // ---------------------------------------------------------------- does it hold

    /**
     * Whether a fleet holds the goal.
     *
     * @param inTime share that was answered in time
     * @param surely whether the interval lies on one side of the goal
     * @param breaks rules broken in all runs together
     */
    public record Verdict(
            boolean holds, boolean surely, Estimate inTime, Estimate worstWindow, long breaks, List<Result> runs) {}

    /** Plays seeds until the interval is on one side of the goal, or narrow, or all are played. */
    public Verdict holds(Fleet fleet) {
        List<Result> runs = new ArrayList<>();
        Estimate inTime;
        do {
            runs.addAll(player.play(
                    fleet,
                    LongStream.range(runs.size() + 1, runs.size() + 1 + BATCH)
                            .boxed()
                            .toList()));
            inTime = Estimate.of(runs.stream().map(Result::inTime).toList());
        } while (inTime.low() <= goal && inTime.high() >= goal && inTime.half() > NARROW && runs.size() < MOST_SEEDS);
        return new Verdict(
                inTime.mean() >= goal,
                inTime.low() > goal || inTime.high() < goal,
                inTime,
                Estimate.of(runs.stream().map(Result::worstWindow).toList()),
                runs.stream().mapToLong(Result::breaks).sum(),
                List.copyOf(runs));
    }

    // ---------------------------------------------------------------- what breaks first

    /**
     * Where the goal breaks as the load grows.
     *
     * @param holdsAt the highest multiple of today's load at which it held
     * @param breaksAt the lowest at which it did not; infinite if it held at all that were tried
     * @param by what gains most of what is missing there when it is taken out of the way, most first
     */
    public record Break(double holdsAt, double breaksAt, List<Cause> by) {}

    /**
     * Something that holds a fleet back.
     *
     * @param what in words
     * @param gains part of what is missing to the goal that comes back without it; above 1 where it is more
     */
    public record Cause(String what, double gains) {}

    /** Finds the load at which the goal breaks, to {@link #LOAD_STEP}, and by what it does. */
    public Break breaksAt(Fleet fleet) {
        double low = 0;
        double high = 1;
        while (high <= MOST_LOAD && holds(fleet.with(fleet.load().times(high))).holds()) {
            low = high;
            high *= 1.5;
        }
        if (high > MOST_LOAD) {
            return new Break(low, Double.POSITIVE_INFINITY, List.of());
        }
        while (high - low > LOAD_STEP * high && high > LEAST_LOAD) {
            double middle = (low + high) / 2;
            if (holds(fleet.with(fleet.load().times(middle))).holds()) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return new Break(low, high, causes(fleet.with(fleet.load().times(high))));
    }

    /**
     * Each bound is taken out of the way by itself, under the same clients: what that brings back is its
     * part.
     */
    private List<Cause> causes(Fleet fleet) {
        Map<String, Fleet> without = new LinkedHashMap<>();
        for (int k = 0; k < fleet.kinds().size(); k++) {
            Fleet.Kind kind = fleet.kinds().get(k);
            if (kind.count() > 0) {
                List<Fleet.Kind> swifter = new ArrayList<>(fleet.kinds());
                swifter.set(
                        k,
                        new Fleet.Kind(
                                kind.name(),
                                kind.count(),
                                kind.cores(),
                                kind.speed() * 1.25,
                                kind.speedCv(),
                                kind.room(),
                                kind.coldFrom(),
                                kind.coldUs(),
                                kind.warmsByWork(),
                                kind.cost()));
                without.put(
                        "processors of " + kind.name() + " servers (a quarter more would help)",
                        fleet.withKinds(swifter));
            }
        }
        if (fleet.choke() != null) {
            without.put("servers that turn slow when crowded", fleet.with((Fleet.Choke) null));
        }
        Fleet.Links links = fleet.links();
        without.put(
                "connections that a server accepts",
                fleet.with(new Fleet.Links(
                        links.oneWayUs(),
                        links.jitter(),
                        links.handshakeRtts(),
                        links.handshakeUs(),
                        1_000_000,
                        links.idleUs(),
                        links.connectUs())));
        without.put(
                "work of new connections",
                fleet.with(new Fleet.Links(
                        links.oneWayUs(), links.jitter(), 0, 0, links.most(), links.idleUs(), links.connectUs())));
        Fleet.Nodes nodes = fleet.nodes();
        without.put(
                "processors of nodes",
                fleet.with(new Fleet.Nodes(nodes.count(), 0, nodes.cores(), nodes.startUs(), nodes.noticeUs())));
        Fleet.Clients clients = fleet.clients();
        without.put(
                "clients that ask again",
                fleet.with(new Fleet.Clients(
                        clients.oneWayUs(),
                        0,
                        clients.tryFrom(),
                        clients.tryTo(),
                        clients.backoffUs(),
                        clients.honour(),
                        clients.mostRetryAfterUs(),
                        clients.skew())));
        if (!fleet.tenants().isEmpty()) {
            without.put("a tenant's use beside its share", fleet.withoutShares());
        }
        if (fleet.kinds().stream().anyMatch(k -> k.coldUs() > 0)
                && !fleet.faults().isEmpty()) {
            without.put(
                    "servers that come back cold",
                    fleet.withKinds(fleet.kinds().stream()
                            .map(k -> new Fleet.Kind(
                                    k.name(),
                                    k.count(),
                                    k.cores(),
                                    k.speed(),
                                    k.speedCv(),
                                    k.room(),
                                    1,
                                    0,
                                    k.warmsByWork(),
                                    k.cost()))
                            .toList()));
        }
        if (!fleet.faults().isEmpty()) {
            without.put("what goes wrong", fleet.withFaults(List.of()));
        }
        double now = mean(fleet);
        double missing = Math.max(1e-6, goal - now);
        List<Cause> causes = new ArrayList<>();
        without.forEach((what, other) -> causes.add(new Cause(what, (mean(other) - now) / missing)));
        causes.removeIf(cause -> cause.gains < GAINS);
        causes.sort(Comparator.comparingDouble(Cause::gains).reversed());
        return List.copyOf(causes);
    }

    private double mean(Fleet fleet) {
        return player.play(fleet, LongStream.rangeClosed(1, BATCH).boxed().toList()).stream()
                .mapToDouble(Result::inTime)
                .average()
                .orElse(0);
    }

    // ---------------------------------------------------------------- how many servers

    /**
     * Fewest servers of one kind that hold the goal beside the others as they are.
     *
     * @param count -1 if no number does
     * @param why where none does
     * @param cost of the whole fleet then
     */
    public record Fewest(String kind, int count, double cost, String why) {}

    /** For each kind by itself. */
    public List<Fewest> fewest(Fleet fleet) {
        List<Fewest> found = new ArrayList<>();
        for (int k = 0; k < fleet.kinds().size(); k++) {
            found.add(fewest(fleet, k));
        }
        return found;
    }

    private Fewest fewest(Fleet fleet, int kind) {
        String name = fleet.kinds().get(kind).name();
        int others = fleet.boxes() - fleet.kinds().get(kind).count();
        int low = others == 0 ? 0 : -1;
        int high = Math.max(1, fleet.kinds().get(kind).count());
        while (!holds(with(fleet, kind, high)).holds()) {
            low = high;
            high *= 2;
            if (high > MOST_BOXES || high > 16 * Math.max(fleet.boxes(), 4)) {
                return new Fewest(name, -1, Double.NaN, whyNone(with(fleet, kind, low)));
            }
        }
        while (high - low > 1) {
            int middle = (low + high) / 2;
            if (holds(with(fleet, kind, middle)).holds()) {
                high = middle;
            } else {
                low = middle;
            }
        }
        return new Fewest(name, high, cost(with(fleet, kind, high)), "");
    }

    /** With so many servers that work cannot be it, what is left is named. */
    private String whyNone(Fleet fleet) {
        List<Cause> causes = causes(fleet);
        return causes.isEmpty()
                ? "the goal is beyond what work and ways take where nothing waits"
                : "held back by " + causes.get(0).what();
    }

    private static double cost(Fleet fleet) {
        return fleet.kinds().stream().mapToDouble(k -> k.count() * k.cost()).sum();
    }

    private static Fleet with(Fleet fleet, int kind, int count) {
        List<Fleet.Kind> kinds = new ArrayList<>(fleet.kinds());
        Fleet.Kind of = kinds.get(kind);
        kinds.set(
                kind,
                new Fleet.Kind(
                        of.name(),
                        count,
                        of.cores(),
                        of.speed(),
                        of.speedCv(),
                        of.room(),
                        of.coldFrom(),
                        of.coldUs(),
                        of.warmsByWork(),
                        of.cost()));
        return fleet.withKinds(kinds);
    }

    // ---------------------------------------------------------------- what a loss costs

    /**
     * What something that goes wrong costs.
     *
     * @param backAfterS seconds from its beginning until the goal is met for good, in the mean; of runs that
     *     came back
     * @param never share of runs that did not come back before clients stopped
     * @param worstTenant share in time of the tenant that was served worst, of what was within its share;
     * where one
     *     asks beyond it, of the others
     * @param bySecond share in time of each second, in the mean
     */
    public record Loss(
            String what,
            Estimate inTime,
            Estimate worstWindow,
            Estimate worstTenant,
            double backAfterS,
            double never,
            long breaks,
            List<Double> bySecond) {}

    /** Share in time of each second, in the mean over runs. */
    public static List<Double> bySecond(List<Result> runs) {
        int seconds = runs.stream().mapToInt(run -> run.bySecond().size()).min().orElse(0);
        return IntStream.range(0, seconds)
                .mapToObj(s -> runs.stream()
                        .mapToDouble(run -> run.bySecond().get(s))
                        .average()
                        .orElse(Double.NaN))
                .toList();
    }

    /**
     * What a rack, a zone, some servers, a release, a rack that is lost meanwhile, a restart of all nodes
     * and a
     * tenant that asks far beyond its share cost today's fleet.
     */
    public List<Loss> losses(Fleet fleet) {
        long atUs = fleet.load().lengthUs() / 4;
        List<Loss> losses = new ArrayList<>();
        if (fleet.racks() > 1) {
            losses.add(loss(
                    fleet,
                    "a rack dies for 15 s",
                    atUs,
                    new Fleet.Fault(Fleet.Trouble.DIE, Fleet.Among.RACK, 0, 0, atUs, 15_000_000, 0)));
            losses.add(loss(
                    fleet,
                    "a rack goes silent for 15 s",
                    atUs,
                    new Fleet.Fault(Fleet.Trouble.VANISH, Fleet.Among.RACK, 0, 0, atUs, 15_000_000, 0)));
        }
        if (fleet.zones().count() > 1) {
            // The last one: discovery has its place in the first.
            int zone = fleet.zones().count() - 1;
            losses.add(loss(
                    fleet,
                    "a zone is lost for 15 s, its nodes too",
                    atUs,
                    new Fleet.Fault(Fleet.Trouble.VANISH, Fleet.Among.ZONE, zone, 0, atUs, 15_000_000, 0),
                    new Fleet.Fault(
                            Fleet.Trouble.NODES_RESTART,
                            Fleet.Among.ZONE,
                            zone,
                            0,
                            atUs,
                            15_000_000,
                            fleet.nodes().count())));
            losses.add(loss(
                    fleet,
                    "a zone is cut off for 15 s",
                    atUs,
                    new Fleet.Fault(Fleet.Trouble.CUT, Fleet.Among.ZONE, zone, 0, atUs, 15_000_000, 0)));
        }
        int fifth = Math.max(1, fleet.boxes() / 5);
        losses.add(loss(
                fleet,
                fifth + " of " + fleet.boxes() + " servers die for 15 s",
                atUs,
                new Fleet.Fault(Fleet.Trouble.DIE, Fleet.Among.ANY, 0, fifth, atUs, 15_000_000, 0)));
        Fleet.Fault release = new Fleet.Fault(Fleet.Trouble.RELEASE, Fleet.Among.ANY, 0, 0, atUs, 1_000_000, fifth);
        losses.add(loss(fleet, "a release, " + fifth + " servers at a time", atUs, release));
        if (fleet.racks() > 1) {
            losses.add(loss(
                    fleet,
                    "a rack dies for 15 s in the middle of such a release",
                    atUs,
                    release,
                    new Fleet.Fault(Fleet.Trouble.DIE, Fleet.Among.RACK, 0, 0, atUs + 4_000_000, 15_000_000, 0)));
        }
        losses.add(loss(
                fleet,
                "all nodes restart, one at a time",
                atUs,
                new Fleet.Fault(Fleet.Trouble.NODES_RESTART, Fleet.Among.ANY, 0, 0, atUs, 500_000, 1)));
        if (fleet.tenants().size() > 1) {
            losses.add(greedy(fleet, atUs));
        }
        return losses;
    }

    /**
     * One tenant, that with the smallest share, asks ten times as much from a time on; the others as
     * before.
     */
    private Loss greedy(Fleet fleet, long atUs) {
        Fleet.Share least = fleet.tenants().stream()
                .min(Comparator.comparingDouble(Fleet.Share::share))
                .orElseThrow();
        double all =
                fleet.tenants().stream().mapToDouble(t -> t.share() * t.usage()).sum();
        double more = (GREEDY - 1) * least.share() * least.usage() / all;
        Fleet asking = fleet.withTenants(fleet.tenants().stream()
                .map(t -> t.equals(least) ? new Fleet.Share(t.name(), t.share(), t.usage() * GREEDY) : t)
                .toList());
        int greedy = fleet.tenants().indexOf(least);
        return loss(
                least.name() + " asks " + (int) GREEDY + " times as much",
                atUs,
                asking.with(fleet.load().times(1 + more)),
                run -> IntStream.range(0, run.byTenant().size())
                        .filter(t -> t != greedy)
                        .mapToDouble(t -> run.byTenant().get(t))
                        .min()
                        .orElse(1));
    }

    private Loss loss(Fleet fleet, String what, long atUs, Fleet.Fault... more) {
        List<Fleet.Fault> faults = new ArrayList<>(fleet.faults());
        faults.addAll(List.of(more));
        return loss(what, atUs, fleet.withFaults(faults), Result::worstTenant);
    }

    private Loss loss(String what, long atUs, Fleet fleet, ToDoubleFunction<Result> worstTenant) {
        List<Result> runs =
                player.play(fleet, LongStream.rangeClosed(1, 2 * BATCH).boxed().toList());
        int from = (int) (atUs / 1_000_000);
        List<Integer> back =
                runs.stream().map(run -> run.backAfterS(from, goal)).toList();
        return new Loss(
                what,
                Estimate.of(runs.stream().map(Result::inTime).toList()),
                Estimate.of(runs.stream().map(Result::worstWindow).toList()),
                Estimate.of(runs.stream().map(worstTenant::applyAsDouble).toList()),
                back.stream().filter(s -> s >= 0).mapToInt(s -> s).average().orElse(Double.NaN),
                (double) back.stream().filter(s -> s < 0).count() / back.size(),
                runs.stream().mapToLong(Result::breaks).sum(),
                bySecond(runs));
    }

    /** Whether an overload ends by itself: a pulse of load, and how long the way back takes from its end. */
    public Loss pulse(Fleet fleet) {
        long atUs = fleet.load().lengthUs() / 4;
        Fleet.Load load = fleet.load();
        List<Fleet.Point> shape = List.of(
                new Fleet.Point(0, 1),
                new Fleet.Point(atUs, 1),
                new Fleet.Point(atUs + 1, PULSE),
                new Fleet.Point(atUs + PULSE_US, PULSE),
                new Fleet.Point(atUs + PULSE_US + 1, 1));
        return loss(
                "load of " + PULSE + " times for " + PULSE_US / 1_000_000 + " s",
                atUs + PULSE_US,
                fleet.with(new Fleet.Load(
                        load.ratePerS(), load.lengthUs(), shape, load.quotaPerS(), load.overShareWorth())),
                Result::worstTenant);
    }
}
