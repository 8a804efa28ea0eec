package kitemux.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import kitemux.fleet.Fleet;
import kitemux.load.Speeds;
import kitemux.load.Summary;

/** Puts what was captured in the place of what a description says of the load. */
public final class CapturedWorkload {
    /** Of what was wanted: a class that hardly came is left as it is described. */
    private static final double NOTHING = 1e-4;
    /** Rates rest on fewer first tries than this by chance alone. */
    private static final long LEAST_WANTED = 100;
    /** Deviations over means under which work counts as fixed, and so near 1 as exponential. */
    private static final double FIXED = 0.05;

    private static final double LIKE_EXPONENTIAL = 0.1;

    private CapturedWorkload() {}

    /**
     * The same fleet under captured load: rate and shape over time, shares of classes, and what tenants ask
     * against their share. Work, aims and all else stay as they are described, as a capture cannot tell them.
     *
     * @param faults one line is added for each reason why it cannot be done, with what it is about
     * @return the fleet; not to be played if there are faults
     */
    public static Fleet applyLoad(Fleet fleet, Summary summary, List<String> faults) {
        if (summary.wanted() < LEAST_WANTED || summary.seconds() < 1) {
            faults.add("--load: holds " + summary.wanted() + " first tries in " + summary.seconds() + " s; at least "
                    + LEAST_WANTED + " in 1 s are needed");
            return fleet;
        }
        for (String name : summary.classes().keySet()) {
            if (fleet.classes().stream()
                    .noneMatch(work -> work.requestClass().name().equals(name))) {
                faults.add("--load: has class \"" + name + "\", which the description does not have");
            }
        }
        for (String name : summary.wantedByTenant().keySet()) {
            if (!fleet.tenants().isEmpty()
                    && fleet.tenants().stream().noneMatch(t -> t.name().equals(name))) {
                faults.add("--load: has tenant \"" + name + "\", which the description does not have");
            }
        }
        if (!faults.isEmpty()) {
            return fleet;
        }
        List<Fleet.ClassWorkload> classes = new ArrayList<>();
        for (Fleet.ClassWorkload work : fleet.classes()) {
            Summary.OfClass of = summary.classes().get(work.requestClass().name());
            double share = of == null ? 0 : (double) of.wanted() / summary.wanted();
            classes.add(new Fleet.ClassWorkload(
                    work.requestClass(), Math.max(NOTHING, share), work.meanWorkUs(), work.distribution(), work.cv()));
        }
        return fleet.withClasses(classes).withTenants(tenants(fleet, summary)).with(shape(fleet.load(), summary));
    }

    /**
     * The same fleet whose classes are as much work as captured answers say. What is captured is told for a
     * server
     * of mean speed; the description's servers say how quick that is.
     *
     * @param works what captures tell; a class that they do not tell of stays as it is described
     */
    public static Fleet applyWork(Fleet fleet, List<Speeds.Work> works) {
        double logs = fleet.kinds().stream()
                .mapToDouble(k -> k.count() * Math.log(k.speed()))
                .sum();
        double meanSpeed = Math.exp(logs / fleet.serverCount());
        List<Fleet.ClassWorkload> classes = new ArrayList<>();
        for (Fleet.ClassWorkload described : fleet.classes()) {
            classes.add(works.stream()
                    .filter(w -> w.name().equals(described.requestClass().name()))
                    .findFirst()
                    .map(w -> new Fleet.ClassWorkload(
                            described.requestClass(),
                            described.share(),
                            w.meanUs() * meanSpeed,
                            spread(w.cv()),
                            w.cv()))
                    .orElse(described));
        }
        return fleet.withClasses(classes);
    }

    private static Fleet.WorkDistribution spread(double cv) {
        if (cv < FIXED) {
            return Fleet.WorkDistribution.FIXED;
        }
        return Math.abs(cv - 1) < LIKE_EXPONENTIAL
                ? Fleet.WorkDistribution.EXPONENTIAL
                : Fleet.WorkDistribution.LOGNORMAL;
    }

    private static List<Fleet.TenantShare> tenants(Fleet fleet, Summary summary) {
        double entitled =
                fleet.tenants().stream().mapToDouble(Fleet.TenantShare::share).sum();
        Map<String, Long> wanted = summary.wantedByTenant();
        return fleet.tenants().stream()
                .map(t -> new Fleet.TenantShare(
                        t.name(),
                        t.share(),
                        Math.max(
                                NOTHING,
                                wanted.getOrDefault(t.name(), 0L)
                                        / (double) summary.wanted()
                                        / (t.share() / entitled))))
                .toList();
    }

    private static Fleet.Load shape(Fleet.Load load, Summary summary) {
        double rate = summary.wanted() / summary.seconds();
        List<Fleet.LoadPoint> shape = new ArrayList<>();
        List<Summary.Step> steps = summary.steps();
        // A step's rate is that of its middle; the last one is not whole.
        for (int i = 0; i < Math.max(1, steps.size() - 1); i++) {
            double middleS = i + 1 < steps.size()
                    ? (steps.get(i).atS() + steps.get(i + 1).atS()) / 2
                    : 0;
            shape.add(new Fleet.LoadPoint((long) (middleS * 1e6), steps.get(i).wantedPerS() / rate));
        }
        return new Fleet.Load(
                rate,
                Math.max(1_000_000, (long) (summary.seconds() * 1e6)),
                shape,
                load.quotaPerS(),
                load.overShareWorth());
    }
}
