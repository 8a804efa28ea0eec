package kitemux.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import kitemux.fleet.Fleet;
import kitemux.load.LoadSummary;
import kitemux.load.ServerSpeedEstimator;

/** Replaces the load and work of a fleet description by those of captured traffic. */
public final class CapturedWorkload {
    /**
     * Lowest share of a class or usage of a tenant, which keeps it valid even if the capture hardly contains
     * it.
     */
    private static final double MIN_SHARE_RATIO = 1e-4;
    /** Lowest number of captured first tries; rates of fewer would be dominated by chance. */
    private static final long MIN_FIRST_TRY_COUNT = 100;
    /** Coefficient of variation below which work counts as fixed. */
    private static final double FIXED_MAX_CV = 0.05;

    /** Distance of the coefficient of variation from 1 within which work counts as exponential. */
    private static final double EXPONENTIAL_CV_TOLERANCE = 0.1;

    private CapturedWorkload() {}

    /**
     * Returns the fleet with the captured load: its rate and profile, the shares of classes, and the usage of
     * tenants relative to their shares. Work, latency objectives and all else stay as described, because a
     * capture does not contain them.
     *
     * @param faults receives one line for each reason why the capture does not fit the description
     * @return the fleet; invalid if faults were added
     */
    public static Fleet applyLoad(Fleet fleet, LoadSummary summary, List<String> faults) {
        if (summary.firstTries() < MIN_FIRST_TRY_COUNT || summary.durationS() < 1) {
            faults.add("--load: holds " + summary.firstTries() + " first tries in " + summary.durationS()
                    + " s; at least " + MIN_FIRST_TRY_COUNT + " in 1 s are needed");
            return fleet;
        }
        for (String name : summary.classes().keySet()) {
            if (fleet.classes().stream()
                    .noneMatch(workload -> workload.requestClass().name().equals(name))) {
                faults.add("--load: has class \"" + name + "\", which the description does not have");
            }
        }
        for (String name : summary.firstTriesByTenant().keySet()) {
            if (!fleet.tenants().isEmpty()
                    && fleet.tenants().stream().noneMatch(t -> t.name().equals(name))) {
                faults.add("--load: has tenant \"" + name + "\", which the description does not have");
            }
        }
        if (!faults.isEmpty()) {
            return fleet;
        }
        List<Fleet.ClassWorkload> classes = new ArrayList<>();
        for (Fleet.ClassWorkload workload : fleet.classes()) {
            LoadSummary.ClassSummary captured =
                    summary.classes().get(workload.requestClass().name());
            double share = captured == null ? 0 : (double) captured.firstTries() / summary.firstTries();
            classes.add(new Fleet.ClassWorkload(
                    workload.requestClass(),
                    Math.max(MIN_SHARE_RATIO, share),
                    workload.meanWorkUs(),
                    workload.distribution(),
                    workload.cv()));
        }
        return fleet.withClasses(classes).withTenants(tenants(fleet, summary)).with(profile(fleet.load(), summary));
    }

    /**
     * Returns the fleet with the captured work of its classes. Captured work refers to a server of mean speed
     * and is converted by the mean speed of the described servers.
     *
     * @param capturedWork captured work by class; classes without an entry stay as described
     */
    public static Fleet applyWork(Fleet fleet, List<ServerSpeedEstimator.ClassWork> capturedWork) {
        double logSpeedSum = fleet.kinds().stream()
                .mapToDouble(k -> k.count() * Math.log(k.speed()))
                .sum();
        double meanSpeed = Math.exp(logSpeedSum / fleet.serverCount());
        List<Fleet.ClassWorkload> classes = new ArrayList<>();
        for (Fleet.ClassWorkload described : fleet.classes()) {
            classes.add(capturedWork.stream()
                    .filter(w -> w.className().equals(described.requestClass().name()))
                    .findFirst()
                    .map(w -> new Fleet.ClassWorkload(
                            described.requestClass(),
                            described.share(),
                            w.meanUs() * meanSpeed,
                            distribution(w.cv()),
                            w.cv()))
                    .orElse(described));
        }
        return fleet.withClasses(classes);
    }

    private static Fleet.WorkDistribution distribution(double cv) {
        if (cv < FIXED_MAX_CV) {
            return Fleet.WorkDistribution.FIXED;
        }
        return Math.abs(cv - 1) < EXPONENTIAL_CV_TOLERANCE
                ? Fleet.WorkDistribution.EXPONENTIAL
                : Fleet.WorkDistribution.LOGNORMAL;
    }

    private static List<Fleet.TenantShare> tenants(Fleet fleet, LoadSummary summary) {
        double totalShare =
                fleet.tenants().stream().mapToDouble(Fleet.TenantShare::share).sum();
        Map<String, Long> firstTriesByTenant = summary.firstTriesByTenant();
        return fleet.tenants().stream()
                .map(t -> new Fleet.TenantShare(
                        t.name(),
                        t.share(),
                        Math.max(
                                MIN_SHARE_RATIO,
                                firstTriesByTenant.getOrDefault(t.name(), 0L)
                                        / (double) summary.firstTries()
                                        / (t.share() / totalShare))))
                .toList();
    }

    private static Fleet.Load profile(Fleet.Load load, LoadSummary summary) {
        double ratePerS = summary.firstTries() / summary.durationS();
        List<Fleet.LoadPoint> shape = new ArrayList<>();
        List<LoadSummary.Step> steps = summary.steps();
        // The rate of a step applies to its middle. The last step is incomplete and is left out.
        for (int i = 0; i < Math.max(1, steps.size() - 1); i++) {
            double middleS = i + 1 < steps.size()
                    ? (steps.get(i).startS() + steps.get(i + 1).startS()) / 2
                    : 0;
            shape.add(new Fleet.LoadPoint((long) (middleS * 1e6), steps.get(i).firstTriesPerS() / ratePerS));
        }
        return new Fleet.Load(
                ratePerS,
                Math.max(1_000_000, (long) (summary.durationS() * 1e6)),
                shape,
                load.quotaPerS(),
                load.overShareWorth());
    }
}
