package kitemux.fleet;

import java.util.List;
import kitemux.Balancer.Repeat;
import kitemux.Balancer.RequestClass;
import kitemux.sim.Scheduler;

/**
 * Clients and the front that deals them out: they ask at times drawn ahead of any answer, give a try up after
 * their time, and ask again as far as that does no harm.
 */
final class ClientPopulation {
    /** How much later than its time an answer may come before it counts as none: what is measured on sockets
     * allows as much. */
    private static final long GRACE_US = 50_000;

    /** Of no tenant, or of one that is drawn. */
    private static final int NOBODY = -1;

    private final Fleet fleet;
    private final Scheduler time;
    private final List<FleetNode> nodes;
    private final RuleChecker rules;
    private final OutcomeCounter tally;
    private final RandomStream arrivals;
    private final RandomStream work;
    private final RandomStream patience;
    private final RandomStream front;
    private final double[] classesUpTo;
    private final double[] tenantsUpTo;
    private final double most;
    /** What each node gets, summed up to it; null where all get alike. */
    private final double[] nodesUpTo;
    /** Until when the front still deals clients out to a node that has died, and from when not yet again. */
    private final long[] noticedAtUs;

    private long tries;
    private long wishes;

    ClientPopulation(
            Fleet fleet, Scheduler time, List<FleetNode> nodes, RuleChecker rules, OutcomeCounter tally, long seed) {
        this.fleet = fleet;
        this.time = time;
        this.nodes = nodes;
        this.rules = rules;
        this.tally = tally;
        arrivals = new RandomStream(seed, RandomStream.Purpose.ARRIVALS);
        work = new RandomStream(seed, RandomStream.Purpose.WORK);
        patience = new RandomStream(seed, RandomStream.Purpose.CLIENTS);
        front = new RandomStream(seed, RandomStream.Purpose.FRONT);
        classesUpTo = sums(
                fleet.classes().stream().mapToDouble(Fleet.ClassWorkload::share).toArray());
        tenantsUpTo = sums(fleet.tenants().stream()
                .mapToDouble(t -> t.share() * t.usageRatio())
                .toArray());
        most = fleet.load().maxFactor();
        noticedAtUs = new long[nodes.size()];
        nodesUpTo = fleet.clients().nodeSkew() == 0 ? null : weights(seed);
    }

    private double[] weights(long seed) {
        RandomStream skew = new RandomStream(seed, RandomStream.Purpose.SKEW);
        double[] weights = new double[nodes.size()];
        for (int i = 0; i < weights.length; i++) {
            weights[i] = skew.lognormal(1, fleet.clients().nodeSkew());
        }
        return sums(weights);
    }

    private static double[] sums(double[] of) {
        for (int i = 1; i < of.length; i++) {
            of[i] += of[i - 1];
        }
        return of;
    }

    /** The front deals out to a node until it notices that it has died. */
    void died(int node) {
        noticedAtUs[node] = time.nowUs() + fleet.nodes().failureDetectionUs();
    }

    void begin() {
        next();
    }

    /** Times are those of the highest rate, of which as many are passed over as the rate is lower: the same
     * clients come whatever the fleet is. */
    private void next() {
        time.afterUs((long) arrivals.exponential(1e6 / (fleet.load().ratePerS() * most)), () -> {
            long now = time.nowUs();
            if (now >= fleet.load().durationUs()) {
                return;
            }
            boolean comes = arrivals.nextDouble() * most < fleet.load().factorAt(now);
            draw(comes, NOBODY);
            next();
        });
    }

    /**
     * Something is wanted, or not: the same is drawn for either, so that other rates meet the same clients.
     *
     */
    private void draw(boolean comes, int by) {
        int of = work.nextWeightedIndex(classesUpTo);
        Fleet.ClassWorkload drawn = fleet.classes().get(of);
        double workUs =
                switch (drawn.distribution()) {
                    case FIXED -> drawn.meanWorkUs();
                    case EXPONENTIAL -> work.exponential(drawn.meanWorkUs());
                    case LOGNORMAL -> work.lognormal(drawn.meanWorkUs(), drawn.cv());
                };
        int tenant = by != NOBODY ? by : tenantsUpTo.length == 0 ? NOBODY : work.nextWeightedIndex(tenantsUpTo);
        if (comes) {
            new Wish(of, drawn.requestClass(), tenant, Math.max(1, workUs)).ask();
        }
    }

    /** A tenant asks so often besides, until then. */
    void flood(int tenant, double ratePerS, long untilUs) {
        time.afterUs((long) arrivals.exponential(1e6 / ratePerS), () -> {
            if (time.nowUs() < Math.min(untilUs, fleet.load().durationUs())) {
                draw(true, tenant);
                flood(tenant, ratePerS, untilUs);
            }
        });
    }

    /** What a client wants. */
    private final class Wish implements ClientTry.ClientRequest {
        private final int classIndex;
        private final RequestClass of;
        private final int tenant;
        private final double workUs;
        private final long cameUs = time.nowUs();
        private final double worth;
        private final long number = ++wishes;
        private int asked;
        private Scheduler.Event patienceEnds;

        Wish(int classIndex, RequestClass of, int tenant, double workUs) {
            this.classIndex = classIndex;
            this.of = of;
            this.tenant = tenant;
            this.workUs = workUs;
            worth = tally.offered(cameUs, classIndex, tenant);
        }

        private long leftUs() {
            return cameUs + of.deadlineUs() - time.nowUs();
        }

        void ask() {
            asked++;
            tries++;
            tally.tries++;
            Fleet.Clients how = fleet.clients();
            double share = how.minTryTimeoutRatio()
                    + (how.maxTryTimeoutRatio() - how.minTryTimeoutRatio()) * patience.nextDouble();
            long forUs = Math.min(leftUs(), (long) (share * of.deadlineUs()));
            FleetNode at = choose();
            RuleChecker.TrackedTry mine = new RuleChecker.TrackedTry(of, tries);
            ClientTry one = new ClientTry(this, mine, forUs, at, asked > 1);
            time.afterUs(how.oneWayUs(), () -> {
                if (at.isUp()) {
                    at.submit(one);
                } else {
                    one.broken();
                }
            });
            long patientUs = forUs + GRACE_US;
            patienceEnds = time.afterUs(
                    patientUs,
                    () -> at.deadlineReached(one, patientUs, () -> {
                        if (!one.isOver()) {
                            one.abandon();
                            rules.unanswered(mine);
                            at.abandoned(one);
                            over(ClientTry.Outcome.FAILED, 0);
                        }
                    }));
        }

        private FleetNode choose() {
            long now = time.nowUs();
            int first = nodesUpTo == null ? front.nextInt(nodes.size()) : front.nextWeightedIndex(nodesUpTo);
            for (int i = 0; i < nodes.size(); i++) {
                int node = (first + i) % nodes.size();
                if (nodes.get(node).isUp() || now < noticedAtUs[node]) {
                    return nodes.get(node);
                }
            }
            return nodes.get(first);
        }

        @Override
        public long number() {
            return number;
        }

        @Override
        public int classIndex() {
            return classIndex;
        }

        @Override
        public int tenant() {
            return tenant;
        }

        @Override
        public double workUs() {
            return workUs;
        }

        @Override
        public void ended(ClientTry which, ClientTry.Outcome how, long retryAfterUs) {
            if (how != ClientTry.Outcome.BROKEN) {
                rules.answered(which.tracked(), how == ClientTry.Outcome.REFUSED);
            }
            time.afterUs(fleet.clients().oneWayUs(), () -> {
                patienceEnds.cancel();
                over(how, retryAfterUs);
            });
        }

        private void over(ClientTry.Outcome how, long retryAfterUs) {
            if (how == ClientTry.Outcome.SERVED) {
                tally.served(cameUs, classIndex, tenant, worth, time.nowUs() - cameUs, of.aimUs());
                return;
            }
            Fleet.Clients clients = fleet.clients();
            boolean harmless = how == ClientTry.Outcome.REFUSED || of.repeat() != Repeat.UNSAFE;
            long waitUs = (long) (clients.backoffUs() * (1L << (asked - 1)) * (0.5 + patience.nextDouble()));
            if (how == ClientTry.Outcome.REFUSED && patience.nextDouble() < clients.retryAfterComplianceRatio()) {
                waitUs = Math.max(waitUs, retryAfterUs);
            }
            if (harmless && asked <= clients.maxRetries() && waitUs < leftUs()) {
                time.afterUs(waitUs, this::ask);
                return;
            }
            tally.unserved(classIndex, how == ClientTry.Outcome.REFUSED);
        }
    }
}
