package kitemux.peers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import kitemux.sim.Scheduler;

/**
 * Simulated fleet on a virtual clock. Datagrams may be lost, delayed, duplicated, corrupted and truncated;
 * nodes may die, stall and restart. It asserts nothing itself; tests query the state.
 */
final class SimulatedFleet {
    static final int FLEET = 77;
    private static final long START_UNIX_MS = 1_800_000_000_000L;
    /** Datagrams that are buffered for a stalled process, as by an operating system. */
    private static final int MAX_QUEUED_DATAGRAM_COUNT = 64;

    final Scheduler scheduler = new Scheduler();
    final List<Node> nodes = new ArrayList<>();
    final List<String> changeLog = new ArrayList<>();
    private final SplittableRandom random;
    private final FaultInjection fault;
    double lossRatio;
    double duplicateRatio;
    double corruptionRatio;
    long minDelayUs = 200;
    long maxDelayUs = 2_000;
    /** Whether messages from one node (first index) to another (second index) are dropped. */
    final boolean[][] blockedLinks;

    long datagramCount;
    long sentBytes;
    int largestBytes;

    /** Modifies the configuration and the messages of a node; a null message is dropped. */
    interface FaultInjection {
        FaultInjection NONE = new FaultInjection() {};

        default MembershipConfig configure(MembershipConfig config) {
            return config;
        }

        default Message beforeSend(Node node, int recipient, Message message) {
            return message;
        }

        default Message beforeReceive(Node node, Message message) {
            return message;
        }
    }

    /** A position in the fleet and the process that currently fills it. */
    final class Node {
        final int number;
        Membership membership;
        boolean running;
        boolean stalled;
        int processCount;
        long startedAtUs;
        private Scheduler.Event nextTick;
        private final ArrayDeque<byte[]> queuedDatagrams = new ArrayDeque<>();
        final List<Update> receivedUpdates = new ArrayList<>();

        Node(int number) {
            this.number = number;
        }

        void start() {
            processCount++;
            running = true;
            stalled = false;
            queuedDatagrams.clear();
            startedAtUs = scheduler.nowUs();
            membership = createMembership(START_UNIX_MS + scheduler.nowUs() / 1_000 + processCount);
            scheduleTick();
        }

        private Membership createMembership(long generation) {
            return new Membership(
                    fault.configure(configOf(number)),
                    generation,
                    random.nextLong(),
                    scheduler.nowUs(),
                    (recipient, message) -> transmit(this, recipient, fault.beforeSend(this, recipient, message)),
                    new Membership.Listener() {
                        @Override
                        public void onMemberChanged(MemberRecord memberRecord) {
                            changeLog.add(scheduler.nowUs() + " " + number + " " + memberRecord);
                        }

                        @Override
                        public void onUpdate(Update update) {
                            receivedUpdates.add(update);
                        }
                    });
        }

        SimulatedFleet fleet() {
            return SimulatedFleet.this;
        }

        /** Kills the process without notice to the others. */
        void kill() {
            running = false;
            cancelTick();
        }

        /** Stalls the process; datagrams are buffered up to a limit. */
        void stall() {
            stalled = true;
            cancelTick();
        }

        void resume() {
            stalled = false;
            while (!queuedDatagrams.isEmpty()) {
                read(queuedDatagrams.poll());
            }
            scheduleTick();
        }

        void deliver(byte[] datagram) {
            if (running && stalled && queuedDatagrams.size() < MAX_QUEUED_DATAGRAM_COUNT) {
                queuedDatagrams.add(datagram);
            } else if (running && !stalled) {
                read(datagram);
                scheduleTick();
            }
        }

        private void read(byte[] datagram) {
            Message message = Datagram.read(datagram, FLEET).message();
            Message accepted = message == null ? null : fault.beforeReceive(this, message);
            if (accepted != null) {
                membership.receive(scheduler.nowUs(), accepted);
            }
        }

        private void cancelTick() {
            if (nextTick != null) {
                nextTick.cancel();
                nextTick = null;
            }
        }

        void scheduleTick() {
            cancelTick();
            long nextAtUs = membership.nextTickAtUs();
            if (running && !stalled && nextAtUs != Long.MAX_VALUE) {
                nextTick = scheduler.scheduleAt(Math.max(nextAtUs, scheduler.nowUs()) * 1_000, () -> {
                    membership.tick(scheduler.nowUs());
                    scheduleTick();
                });
            }
        }
    }

    SimulatedFleet(int nodeCount, long seed, FaultInjection fault) {
        random = new SplittableRandom(seed);
        this.fault = fault;
        blockedLinks = new boolean[nodeCount][nodeCount];
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new Node(i));
        }
        nodes.forEach(seat -> scheduler.scheduleAfterUs(random.nextLong(200_000), seat::start));
        run(1_000_000);
    }

    MembershipConfig configOf(int number) {
        return MembershipConfig.defaults(blockedLinks.length, number);
    }

    private void transmit(Node sender, int recipient, Message message) {
        if (message == null) {
            return;
        }
        byte[] datagram = Datagram.write(message, FLEET);
        datagramCount++;
        sentBytes += datagram.length;
        largestBytes = Math.max(largestBytes, datagram.length);
        if (blockedLinks[sender.number][recipient] || random.nextDouble() < lossRatio) {
            return;
        }
        int copies = random.nextDouble() < duplicateRatio ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            byte[] copy = datagram.clone();
            if (random.nextDouble() < corruptionRatio) {
                copy[random.nextInt(copy.length)] ^= (byte) (1 << random.nextInt(8));
            }
            byte[] received =
                    random.nextDouble() < corruptionRatio ? Arrays.copyOf(copy, random.nextInt(copy.length)) : copy;
            scheduler.scheduleAfterUs(
                    random.nextLong(minDelayUs, maxDelayUs),
                    () -> nodes.get(recipient).deliver(received));
        }
    }

    void run(long durationUs) {
        long endNanos = scheduler.nowNanos() + durationUs * 1_000;
        while (scheduler.runNext(endNanos)) {
            // Each call handles one event.
        }
    }

    /** Runs until a condition holds; returns the elapsed time in microseconds, or -1 on timeout. */
    long runUntil(long timeoutUs, java.util.function.BooleanSupplier condition) {
        long startedAtUs = scheduler.nowUs();
        while (!condition.getAsBoolean()) {
            if (scheduler.nowUs() - startedAtUs > timeoutUs) {
                return -1;
            }
            run(10_000);
        }
        return scheduler.nowUs() - startedAtUs;
    }

    /** Cuts the selected nodes off from all others, or heals all links. */
    void setPartitioned(List<Integer> selected, boolean partitioned) {
        for (int i = 0; i < blockedLinks.length; i++) {
            for (int j = 0; j < blockedLinks.length; j++) {
                blockedLinks[i][j] = partitioned && selected.contains(i) != selected.contains(j);
            }
        }
    }

    MemberState stateSeenBy(int observer, int node) {
        return nodes.get(observer).membership.recordOf(node).state();
    }

    /** Whether all of these nodes see a node in one of the states. */
    boolean allObserve(List<Integer> observers, int node, MemberState... condition) {
        return observers.stream()
                .filter(i -> i != node)
                .allMatch(i -> List.of(condition).contains(stateSeenBy(i, node)));
    }

    List<Integer> allNodes() {
        return nodes.stream().map(seat -> seat.number).toList();
    }

    List<Integer> allExcept(Integer... selected) {
        return allNodes().stream().filter(i -> !List.of(selected).contains(i)).toList();
    }

    boolean allObserveAllAlive() {
        return allNodes().stream().allMatch(i -> allObserve(allNodes(), i, MemberState.ALIVE));
    }
}
