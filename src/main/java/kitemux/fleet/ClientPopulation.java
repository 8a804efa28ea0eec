package kitemux.fleet;

import java.util.List;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;
import kitemux.sim.Scheduler;

/**
 * Emulates the clients and the front end that distributes them over nodes. Arrival times are drawn
 * independently of any answer. A client abandons a try after its timeout and retries where a retry is safe.
 */
final class ClientPopulation {
    /**
     * Tolerance in microseconds after a try's timeout within which an answer still counts. Measurements over
     * sockets allow the same.
     */
    private static final long ANSWER_GRACE_US = 50_000;

    /** Marks a request without a tenant, or one whose tenant is still to be drawn. */
    private static final int NO_TENANT = -1;

    private final Fleet fleet;
    private final Scheduler scheduler;
    private final List<FleetNode> nodes;
    private final RuleChecker rules;
    private final OutcomeCounter outcomes;
    private final RandomStream arrivalRandom;
    private final RandomStream workRandom;
    private final RandomStream clientRandom;
    private final RandomStream frontEndRandom;
    private final double[] cumulativeClassShares;
    private final double[] cumulativeTenantLoads;
    private final double maxLoadFactor;
    /** Cumulative weights with which the front end chooses a node; null if all nodes are equally likely. */
    private final double[] cumulativeNodeWeights;
    /** Time until which the front end still sends clients to each node that has died, in microseconds. */
    private final long[] failureNoticedAtUs;

    private long tryCount;
    private long requestCount;

    ClientPopulation(
            Fleet fleet,
            Scheduler scheduler,
            List<FleetNode> nodes,
            RuleChecker rules,
            OutcomeCounter outcomes,
            long seed) {
        this.fleet = fleet;
        this.scheduler = scheduler;
        this.nodes = nodes;
        this.rules = rules;
        this.outcomes = outcomes;
        arrivalRandom = new RandomStream(seed, RandomStream.Purpose.ARRIVALS);
        workRandom = new RandomStream(seed, RandomStream.Purpose.WORK);
        clientRandom = new RandomStream(seed, RandomStream.Purpose.CLIENTS);
        frontEndRandom = new RandomStream(seed, RandomStream.Purpose.FRONT_END);
        cumulativeClassShares = cumulativeSums(
                fleet.classes().stream().mapToDouble(Fleet.ClassWorkload::share).toArray());
        cumulativeTenantLoads = cumulativeSums(fleet.tenants().stream()
                .mapToDouble(t -> t.share() * t.usageRatio())
                .toArray());
        maxLoadFactor = fleet.load().maxFactor();
        failureNoticedAtUs = new long[nodes.size()];
        cumulativeNodeWeights = fleet.clients().nodeSkew() == 0 ? null : nodeWeights(seed);
    }

    private double[] nodeWeights(long seed) {
        RandomStream skew = new RandomStream(seed, RandomStream.Purpose.SKEW);
        double[] weights = new double[nodes.size()];
        for (int i = 0; i < weights.length; i++) {
            weights[i] = skew.lognormal(1, fleet.clients().nodeSkew());
        }
        return cumulativeSums(weights);
    }

    private static double[] cumulativeSums(double[] values) {
        for (int i = 1; i < values.length; i++) {
            values[i] += values[i - 1];
        }
        return values;
    }

    /** Records a node's death; the front end keeps sending clients to it until the failure is detected. */
    void nodeDied(int node) {
        failureNoticedAtUs[node] = scheduler.nowUs() + fleet.nodes().failureDetectionUs();
    }

    /** Starts the arrival of clients. */
    void start() {
        scheduleNextArrival();
    }

    /**
     * Schedules the next arrival by thinning: arrivals are drawn at the highest rate and skipped in
     * proportion to the current one, so that every variant of the fleet meets the same clients.
     */
    private void scheduleNextArrival() {
        scheduler.scheduleAfterUs(
                (long) arrivalRandom.exponential(1e6 / (fleet.load().ratePerS() * maxLoadFactor)), () -> {
                    long now = scheduler.nowUs();
                    if (now >= fleet.load().durationUs()) {
                        return;
                    }
                    boolean arrives = arrivalRandom.nextDouble() * maxLoadFactor
                            < fleet.load().factorAt(now);
                    drawRequest(arrives, NO_TENANT);
                    scheduleNextArrival();
                });
    }

    /**
     * Draws a request. Skipped arrivals draw the same random numbers, so that other rates meet the same
     * clients.
     */
    private void drawRequest(boolean arrives, int fixedTenant) {
        int classIndex = workRandom.nextWeightedIndex(cumulativeClassShares);
        Fleet.ClassWorkload workload = fleet.classes().get(classIndex);
        double workUs =
                switch (workload.distribution()) {
                    case FIXED -> workload.meanWorkUs();
                    case EXPONENTIAL -> workRandom.exponential(workload.meanWorkUs());
                    case LOGNORMAL -> workRandom.lognormal(workload.meanWorkUs(), workload.cv());
                };
        int tenant = fixedTenant != NO_TENANT
                ? fixedTenant
                : cumulativeTenantLoads.length == 0 ? NO_TENANT : workRandom.nextWeightedIndex(cumulativeTenantLoads);
        if (arrives) {
            new PendingRequest(classIndex, workload.requestClass(), tenant, Math.max(1, workUs)).sendTry();
        }
    }

    /** Adds requests of one tenant at the given rate until the given time. */
    void addTenantLoad(int tenant, double ratePerS, long untilUs) {
        scheduler.scheduleAfterUs((long) arrivalRandom.exponential(1e6 / ratePerS), () -> {
            if (scheduler.nowUs() < Math.min(untilUs, fleet.load().durationUs())) {
                drawRequest(true, tenant);
                addTenantLoad(tenant, ratePerS, untilUs);
            }
        });
    }

    /** A client's request with all its tries. */
    private final class PendingRequest implements ClientTry.ClientRequest {
        private final int classIndex;
        private final RequestClass requestClass;
        private final int tenant;
        private final double workUs;
        private final long arrivedAtUs = scheduler.nowUs();
        private final double worth;
        private final long number = ++requestCount;
        private int triesSent;
        private Scheduler.Event tryTimeout;

        PendingRequest(int classIndex, RequestClass requestClass, int tenant, double workUs) {
            this.classIndex = classIndex;
            this.requestClass = requestClass;
            this.tenant = tenant;
            this.workUs = workUs;
            worth = outcomes.offered(arrivedAtUs, classIndex, tenant);
        }

        /** Returns the time until the request's deadline, in microseconds. */
        private long remainingUs() {
            return arrivedAtUs + requestClass.deadlineUs() - scheduler.nowUs();
        }

        void sendTry() {
            triesSent++;
            tryCount++;
            outcomes.tries++;
            Fleet.Clients clients = fleet.clients();
            double timeoutRatio = clients.minTryTimeoutRatio()
                    + (clients.maxTryTimeoutRatio() - clients.minTryTimeoutRatio()) * clientRandom.nextDouble();
            long timeoutUs = Math.min(remainingUs(), (long) (timeoutRatio * requestClass.deadlineUs()));
            FleetNode node = chooseNode();
            RuleChecker.TrackedTry tracked = new RuleChecker.TrackedTry(requestClass, tryCount);
            ClientTry clientTry = new ClientTry(this, tracked, timeoutUs, node, triesSent > 1);
            scheduler.scheduleAfterUs(clients.oneWayUs(), () -> {
                if (node.isUp()) {
                    node.submit(clientTry);
                } else {
                    clientTry.onInternalError();
                }
            });
            long graceTimeoutUs = timeoutUs + ANSWER_GRACE_US;
            tryTimeout = scheduler.scheduleAfterUs(
                    graceTimeoutUs,
                    () -> node.deadlineReached(clientTry, graceTimeoutUs, () -> {
                        if (!clientTry.isOver()) {
                            clientTry.abandon();
                            rules.unanswered(tracked);
                            node.abandoned(clientTry);
                            tryEnded(ClientTry.Outcome.FAILED, 0);
                        }
                    }));
        }

        /**
         * Returns the node to which the front end sends the next try: a drawn one, or the next that it does
         * not know to be dead.
         */
        private FleetNode chooseNode() {
            long now = scheduler.nowUs();
            int first = cumulativeNodeWeights == null
                    ? frontEndRandom.nextInt(nodes.size())
                    : frontEndRandom.nextWeightedIndex(cumulativeNodeWeights);
            for (int i = 0; i < nodes.size(); i++) {
                int node = (first + i) % nodes.size();
                if (nodes.get(node).isUp() || now < failureNoticedAtUs[node]) {
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
        public void tryCompleted(ClientTry clientTry, ClientTry.Outcome outcome, long retryAfterUs) {
            if (outcome != ClientTry.Outcome.BROKEN) {
                rules.answered(clientTry.tracked(), outcome == ClientTry.Outcome.REFUSED);
            }
            scheduler.scheduleAfterUs(fleet.clients().oneWayUs(), () -> {
                tryTimeout.cancel();
                tryEnded(outcome, retryAfterUs);
            });
        }

        /** Counts the outcome of a request, or schedules a retry if that is safe and the deadline allows it. */
        private void tryEnded(ClientTry.Outcome outcome, long retryAfterUs) {
            if (outcome == ClientTry.Outcome.SERVED) {
                outcomes.served(
                        arrivedAtUs,
                        classIndex,
                        tenant,
                        worth,
                        scheduler.nowUs() - arrivedAtUs,
                        requestClass.targetLatencyUs());
                return;
            }
            Fleet.Clients clients = fleet.clients();
            boolean isRetrySafe =
                    outcome == ClientTry.Outcome.REFUSED || requestClass.retrySafety() != RetrySafety.UNSAFE;
            long waitUs = (long) (clients.backoffUs() * (1L << (triesSent - 1)) * (0.5 + clientRandom.nextDouble()));
            if (outcome == ClientTry.Outcome.REFUSED
                    && clientRandom.nextDouble() < clients.retryAfterComplianceRatio()) {
                waitUs = Math.max(waitUs, retryAfterUs);
            }
            if (isRetrySafe && triesSent <= clients.maxRetries() && waitUs < remainingUs()) {
                scheduler.scheduleAfterUs(waitUs, this::sendTry);
                return;
            }
            outcomes.unserved(classIndex, outcome == ClientTry.Outcome.REFUSED);
        }
    }
}
