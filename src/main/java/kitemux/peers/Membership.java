package kitemux.peers;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One node's view of its fleet, after SWIM and Lifeguard as published. The node probes the others in turn, asks
 * further nodes to probe a target that does not answer, and suspects a node before it declares it gone; member
 * records are gossiped along with the messages that are sent anyway. The suspicion timeout shrinks with the
 * number of nodes that suspect a member. A node that misses answers that others received takes itself to be
 * slow and extends its own timeouts.
 *
 * <p>Additions to the published protocols: nodes that are gone are probed from time to time, so that two
 * partitions of a fleet find each other again; a node whose process was stalled discards its outstanding
 * probes; and a node that hears of a later generation under its own number stops, as another process has
 * replaced it.
 */
public final class Membership {
    /** Maximum of the local health score; this node multiplies its own timeouts by the score plus 1. */
    private static final int MAX_LOCAL_HEALTH_SCORE = 8;
    /** Confirmations that reduce the suspicion timeout to its minimum. */
    private static final int MAX_CONFIRMATION_COUNT = 3;
    /**
     * Of this many probes one goes to a node that is gone and one to a suspected node, if there are any. A
     * suspected node thereby gets more chances to learn of the suspicion and to refute it, and is confirmed
     * sooner if it does not answer.
     */
    private static final int SPECIAL_PROBE_INTERVAL = 3;

    private final MembershipConfig config;
    private final Sender sender;
    private final Listener listener;
    private final SplittableRandom random;
    private final TrackedMember[] members;
    private final GossipQueue gossip;
    private final List<Probe> relayedProbes = new ArrayList<>();
    private int[] probeOrder = new int[0];
    private int probeOrderIndex;
    private MemberRecord selfRecord;
    private Probe currentProbe;
    private long nextProbeAtUs;
    private long nowUs;
    /**
     * Time for which the next tick was scheduled when the last one ended. A tick that comes more than a probe
     * period later shows that this process was stalled.
     */
    private long tickDueAtUs;

    private int probeCount;
    private int localHealthScore;
    private int lastSequence;
    private boolean stopped;
    private boolean leaving;

    /** Sends messages to other nodes. */
    public interface Sender {
        /** Sends a message to the node with this number; the message may be lost. */
        void send(int recipient, Message message);
    }

    /** Receives changes of the membership and updates. */
    public interface Listener {
        /** Called when the record of another node has changed. */
        void onMemberChanged(MemberRecord memberRecord);

        /** Called for an update that is new to this node and has not expired. */
        default void onUpdate(Update update) {}

        /** Called when another process has replaced this node, which sends nothing from then on. */
        default void onReplaced(MemberRecord replacement) {}
    }

    /** A member of the fleet with the state of its suspicion. */
    private static final class TrackedMember {
        private MemberRecord currentRecord;
        private long changedAtUs;
        /** When the member is declared gone; {@code Long.MAX_VALUE} unless it is suspected. */
        private long suspicionEndsAtUs = Long.MAX_VALUE;

        private long suspectedAtUs;
        private final BitSet suspectedBy = new BitSet();
    }

    /** A ping that awaits its answer. */
    private static final class Probe {
        private final int target;
        private final int sequence;
        private final long timeoutAtUs;
        private final long endsAtUs;
        /** Node that requested this probe; -1 for a probe of this node itself. */
        private final int requester;

        private final int requesterSequence;
        private boolean indirectRequested;
        private int expectedNacks;

        Probe(int target, int sequence, long timeoutAtUs, long endsAtUs, int requester, int requesterSequence) {
            this.target = target;
            this.sequence = sequence;
            this.timeoutAtUs = timeoutAtUs;
            this.endsAtUs = endsAtUs;
            this.requester = requester;
            this.requesterSequence = requesterSequence;
        }
    }

    /**
     * Creates the view of a node that has just started: all other nodes count as alive until they fail to
     * answer.
     *
     * @param config settings of the protocol
     * @param generation when this process was started, in milliseconds of Unix time
     * @param seed seed of the random choices
     * @param nowUs current time in microseconds
     * @param sender sends messages to other nodes
     * @param listener receives changes and updates
     * @throws IllegalArgumentException if the settings or the generation are invalid
     */
    public Membership(
            MembershipConfig config, long generation, long seed, long nowUs, Sender sender, Listener listener) {
        if (!config.violations().isEmpty() || !Datagram.isValidGeneration(generation)) {
            throw new IllegalArgumentException(config.violations() + ", generation " + generation);
        }
        this.config = config;
        this.sender = sender;
        this.listener = listener;
        this.nowUs = nowUs;
        random = new SplittableRandom(seed);
        members = new TrackedMember[config.nodeCount()];
        for (int i = 0; i < members.length; i++) {
            members[i] = new TrackedMember();
            members[i].currentRecord =
                    new MemberRecord(i, i == config.self() ? generation : 0, 0, MemberState.ALIVE, i);
            members[i].changedAtUs = nowUs;
        }
        selfRecord = members[config.self()].currentRecord;
        gossip = new GossipQueue(config);
        gossip.enqueue(selfRecord);
        // A random first delay keeps nodes that start together from probing at the same time.
        nextProbeAtUs = nowUs + random.nextLong(config.probePeriodUs());
        tickDueAtUs = nextProbeAtUs;
    }

    // ---------------------------------------------------------------- state of the members

    /** Returns the current record of a node. */
    public MemberRecord recordOf(int node) {
        return members[node].currentRecord;
    }

    /** Returns when the record of a node last changed, on this node's clock in microseconds. */
    public long changedAtUs(int node) {
        return members[node].changedAtUs;
    }

    /** Number of nodes that are alive or suspected, including this one. */
    public int aliveCount() {
        return (int)
                Arrays.stream(members).filter(m -> isPresent(m.currentRecord)).count();
    }

    /** Whether at most half of the configured fleet is alive; with an even split this holds on both sides. */
    public boolean isMinority() {
        return 2 * aliveCount() <= members.length && members.length > 1;
    }

    /** Local health score of Lifeguard: from 0 (healthy) to 8 (this node answers or receives slowly). */
    public int localHealthScore() {
        return localHealthScore;
    }

    /** Whether another process has replaced this node. */
    public boolean isReplaced() {
        return stopped && !leaving;
    }

    private static boolean isPresent(MemberRecord memberRecord) {
        return memberRecord.state() == MemberState.ALIVE || memberRecord.state() == MemberState.SUSPECT;
    }

    // ---------------------------------------------------------------- time

    /** Returns when {@link #tick} is due next, in microseconds; {@code Long.MAX_VALUE} for never. */
    public long nextTickAtUs() {
        if (stopped) {
            return Long.MAX_VALUE;
        }
        long next = currentProbe == null
                ? nextProbeAtUs
                : currentProbe.indirectRequested || config.indirectProbes() == 0
                        ? currentProbe.endsAtUs
                        : currentProbe.timeoutAtUs;
        for (Probe relayed : relayedProbes) {
            next = Math.min(next, relayed.timeoutAtUs);
        }
        for (TrackedMember member : members) {
            next = Math.min(next, member.suspicionEndsAtUs);
        }
        return next;
    }

    /** Handles all timeouts that are due, and starts the next probe. */
    public void tick(long now) {
        nowUs = Math.max(nowUs, now);
        if (stopped) {
            return;
        }
        if (nowUs - tickDueAtUs > config.probePeriodUs()) {
            recoverFromStall();
        }
        for (Probe relayed : List.copyOf(relayedProbes)) {
            if (nowUs >= relayed.timeoutAtUs) {
                relayedProbes.remove(relayed);
                send(relayed.requester, Message.Kind.NACK, relayed.requesterSequence, 0);
            }
        }
        for (int i = 0; i < members.length; i++) {
            if (nowUs >= members[i].suspicionEndsAtUs) {
                apply(members[i].currentRecord.withState(MemberState.GONE, config.self()));
            }
        }
        if (currentProbe != null && !currentProbe.indirectRequested && nowUs >= currentProbe.timeoutAtUs) {
            requestIndirectProbes();
        }
        if (currentProbe != null && nowUs >= currentProbe.endsAtUs) {
            endUnansweredProbe();
        }
        if (currentProbe == null && nowUs >= nextProbeAtUs) {
            startNextProbe();
        }
        tickDueAtUs = nextTickAtUs();
    }

    /**
     * Recovers after this process was stalled. Answers may have arrived while nobody read them, so outstanding
     * probes say nothing about their targets and are discarded. Suspicion timeouts start anew, as a refutation
     * may have arrived meanwhile.
     */
    private void recoverFromStall() {
        currentProbe = null;
        relayedProbes.clear();
        nextProbeAtUs = nowUs;
        localHealthScore = Math.min(MAX_LOCAL_HEALTH_SCORE, localHealthScore + 1);
        for (TrackedMember member : members) {
            if (member.suspicionEndsAtUs != Long.MAX_VALUE) {
                member.suspectedAtUs = nowUs;
                updateSuspicionDeadline(member);
            }
        }
    }

    private void startNextProbe() {
        nextProbeAtUs = nowUs + config.probePeriodUs() * (1 + localHealthScore);
        int node = nextProbeTarget();
        if (node < 0) {
            return;
        }
        gossipUnlessAlive(node);
        currentProbe = new Probe(
                node, ++lastSequence, nowUs + config.probeTimeoutUs() * (1 + localHealthScore), nextProbeAtUs, -1, 0);
        send(node, Message.Kind.PING, currentProbe.sequence, 0);
    }

    /**
     * Returns the next node to probe, or -1 if there is none. The nodes that are present are probed in turn, in
     * an order that is shuffled for each round; some probes go to a suspected or gone node instead.
     */
    private int nextProbeTarget() {
        int kind = ++probeCount % SPECIAL_PROBE_INTERVAL;
        int specialTarget = kind == 0
                ? randomMember(MemberState.GONE, new BitSet())
                : kind == 1 ? randomMember(MemberState.SUSPECT, new BitSet()) : -1;
        if (specialTarget >= 0) {
            return specialTarget;
        }
        for (int attempts = 0; attempts <= 2 * members.length; attempts++) {
            if (probeOrderIndex >= probeOrder.length) {
                shuffleProbeOrder();
            }
            int node = probeOrder[probeOrderIndex++];
            if (node != config.self() && isPresent(members[node].currentRecord)) {
                return node;
            }
        }
        return randomMember(MemberState.GONE, new BitSet());
    }

    private void shuffleProbeOrder() {
        probeOrder = new int[members.length];
        for (int i = 0; i < probeOrder.length; i++) {
            int swapIndex = random.nextInt(i + 1);
            probeOrder[i] = probeOrder[swapIndex];
            probeOrder[swapIndex] = i;
        }
        probeOrderIndex = 0;
    }

    /** Returns a uniformly random other node in this state that is not excluded, or -1 if there is none. */
    private int randomMember(MemberState state, BitSet excluded) {
        int chosen = -1;
        int candidateCount = 0;
        for (int i = 0; i < members.length; i++) {
            if (i != config.self()
                    && !excluded.get(i)
                    && members[i].currentRecord.state() == state
                    && random.nextInt(++candidateCount) == 0) {
                chosen = i;
            }
        }
        return chosen;
    }

    private void requestIndirectProbes() {
        currentProbe.indirectRequested = true;
        if (members[currentProbe.target].currentRecord.state() == MemberState.GONE) {
            return;
        }
        gossipUnlessAlive(currentProbe.target);
        BitSet chosen = new BitSet();
        chosen.set(currentProbe.target);
        for (int i = 0; i < config.indirectProbes(); i++) {
            int helper = randomMember(MemberState.ALIVE, chosen);
            if (helper >= 0) {
                chosen.set(helper);
                currentProbe.expectedNacks++;
                send(helper, Message.Kind.PING_REQUEST, currentProbe.sequence, currentProbe.target);
            }
        }
    }

    private void endUnansweredProbe() {
        Probe expiredProbe = currentProbe;
        currentProbe = null;
        MemberRecord memberRecord = members[expiredProbe.target].currentRecord;
        if (memberRecord.state() == MemberState.GONE) {
            return;
        }
        // A node that did not even receive the NACKs of its helpers is probably slow or cut off itself.
        localHealthScore =
                Math.min(MAX_LOCAL_HEALTH_SCORE, localHealthScore + 1 + (expiredProbe.expectedNacks > 0 ? 1 : 0));
        if (memberRecord.state() == MemberState.ALIVE) {
            apply(memberRecord.withState(MemberState.SUSPECT, config.self()));
        } else if (memberRecord.state() == MemberState.SUSPECT) {
            confirmSuspicion(members[expiredProbe.target], memberRecord.withState(MemberState.SUSPECT, config.self()));
        }
    }

    // ---------------------------------------------------------------- messages

    /**
     * Handles a received message. Node numbers outside the fleet are ignored.
     *
     * @param now current time in microseconds; never earlier than in a previous call
     * @param message the received message
     */
    public void receive(long now, Message message) {
        nowUs = Math.max(nowUs, now);
        handle(message);
        tickDueAtUs = nextTickAtUs();
    }

    private void handle(Message message) {
        int senderNode = message.sender();
        if (stopped
                || senderNode >= members.length
                || senderNode == config.self()
                || message.target() >= members.length) {
            return;
        }
        for (MemberRecord memberRecord : message.members()) {
            if (memberRecord.node() < members.length) {
                merge(memberRecord);
            }
        }
        message.updates().forEach(update -> {
            if (update.origin() < members.length && update.origin() != config.self() && gossip.offer(update, nowUs)) {
                listener.onUpdate(update);
            }
        });
        if (stopped || message.generation() < members[senderNode].currentRecord.generation()) {
            // The message is from an earlier generation of its sender, which gets no answer but the current record.
            if (!stopped) {
                gossip.enqueue(members[senderNode].currentRecord);
                send(senderNode, Message.Kind.NACK, 0, 0);
            }
            return;
        }
        switch (message.kind()) {
            case PING -> {
                gossipUnlessAlive(senderNode);
                send(senderNode, Message.Kind.ACK, message.sequence(), 0);
            }
            case ACK -> handleAck(message);
            case PING_REQUEST -> {
                Probe relayedProbe = new Probe(
                        message.target(),
                        ++lastSequence,
                        nowUs + config.probeTimeoutUs(),
                        0,
                        senderNode,
                        message.sequence());
                relayedProbes.add(relayedProbe);
                send(relayedProbe.target, Message.Kind.PING, relayedProbe.sequence, 0);
            }
            case NACK -> {
                if (currentProbe != null && currentProbe.sequence == message.sequence()) {
                    currentProbe.expectedNacks--;
                }
            }
        }
    }

    /**
     * Gossips the record of a node that is not alive, so that the node itself or the nodes that probe it can
     * refute it.
     */
    private void gossipUnlessAlive(int node) {
        if (members[node].currentRecord.state() != MemberState.ALIVE) {
            gossip.enqueue(members[node].currentRecord);
        }
    }

    private void handleAck(Message message) {
        if (currentProbe != null
                && currentProbe.sequence == message.sequence()
                && currentProbe.target == message.sender()) {
            currentProbe = null;
            localHealthScore = Math.max(0, localHealthScore - 1);
            gossipUnlessAlive(message.sender());
            return;
        }
        if (currentProbe != null && currentProbe.sequence == message.sequence() && message.target() == 0) {
            // A helper reports that the target answered.
            currentProbe = null;
            return;
        }
        for (Probe relayed : relayedProbes) {
            if (relayed.sequence == message.sequence() && relayed.target == message.sender()) {
                relayedProbes.remove(relayed);
                send(relayed.requester, Message.Kind.ACK, relayed.requesterSequence, 0);
                return;
            }
        }
    }

    private void merge(MemberRecord received) {
        if (received.node() == config.self()) {
            mergeSelfRecord(received);
            return;
        }
        TrackedMember member = members[received.node()];
        if (received.overrides(member.currentRecord)) {
            apply(received);
        } else if (received.state() == MemberState.SUSPECT && received.equalsIgnoringReporter(member.currentRecord)) {
            confirmSuspicion(member, received);
        } else if (member.currentRecord.overrides(received)) {
            // The sender has missed newer gossip about this member.
            gossip.enqueue(member.currentRecord);
        }
    }

    private void mergeSelfRecord(MemberRecord received) {
        if (received.generation() > selfRecord.generation()) {
            stopped = true;
            listener.onReplaced(received);
            return;
        }
        if (received.generation() == selfRecord.generation()
                && !leaving
                && received.state() != MemberState.ALIVE
                && received.incarnation() >= selfRecord.incarnation()) {
            // A node that is suspected by others is probably slow.
            localHealthScore = Math.min(MAX_LOCAL_HEALTH_SCORE, localHealthScore + 1);
            selfRecord = new MemberRecord(
                    selfRecord.node(),
                    selfRecord.generation(),
                    received.incarnation() + 1,
                    MemberState.ALIVE,
                    selfRecord.node());
            members[config.self()].currentRecord = selfRecord;
            gossip.enqueue(selfRecord);
        }
    }

    private void apply(MemberRecord newRecord) {
        TrackedMember member = members[newRecord.node()];
        boolean suspected = newRecord.state() == MemberState.SUSPECT;
        member.currentRecord = newRecord;
        member.changedAtUs = nowUs;
        member.suspicionEndsAtUs = Long.MAX_VALUE;
        member.suspectedBy.clear();
        if (suspected) {
            member.suspectedAtUs = nowUs;
            member.suspectedBy.set(newRecord.reporter());
            updateSuspicionDeadline(member);
        }
        gossip.enqueue(newRecord);
        listener.onMemberChanged(newRecord);
    }

    /**
     * Counts an independent observation of a suspicion; the same observation relayed by others has the same
     * reporter and does not count again.
     */
    private void confirmSuspicion(TrackedMember member, MemberRecord received) {
        if (!member.suspectedBy.get(received.reporter())
                && member.suspectedBy.cardinality() <= MAX_CONFIRMATION_COUNT) {
            member.suspectedBy.set(received.reporter());
            updateSuspicionDeadline(member);
            gossip.enqueue(received);
        }
    }

    /** Shortens the suspicion timeout with the number of nodes that suspect the member. */
    private void updateSuspicionDeadline(TrackedMember member) {
        long maxUs = config.maxSuspicionUs();
        long minUs = config.minSuspicionUs();
        double confirmedRatio = Math.log(member.suspectedBy.cardinality()) / Math.log(MAX_CONFIRMATION_COUNT + 1.0);
        long durationUs = Math.max(minUs, (long) (maxUs - (maxUs - minUs) * confirmedRatio));
        member.suspicionEndsAtUs = member.suspectedAtUs + durationUs;
    }

    // ---------------------------------------------------------------- updates and leaving

    /**
     * Broadcasts an update to all other nodes.
     *
     * @param topic application-defined topic, from 0 to 255
     * @param version must increase with each update of the topic
     * @param lifetimeMs time after which the update expires, from 1 to 65,535 milliseconds
     * @param payload at most {@link Datagram#MAX_UPDATE_PAYLOAD_BYTES} bytes
     * @throws IllegalArgumentException if the payload is too long, or the topic or lifetime is out of range
     */
    public void broadcast(int topic, int version, int lifetimeMs, byte[] payload) {
        if (topic < 0
                || topic > 255
                || lifetimeMs < 1
                || lifetimeMs > 65_535
                || payload.length > Datagram.MAX_UPDATE_PAYLOAD_BYTES) {
            throw new IllegalArgumentException("update out of range: topic " + topic + ", lifetime " + lifetimeMs
                    + " ms, payload " + payload.length + " bytes");
        }
        gossip.offer(
                new Update(config.self(), selfRecord.generation(), topic, version, lifetimeMs, payload.clone()), nowUs);
    }

    /** Announces to some nodes at once that this node leaves; nothing is sent afterwards. */
    public void leave(long now) {
        nowUs = Math.max(nowUs, now);
        if (stopped) {
            return;
        }
        leaving = true;
        selfRecord = selfRecord.withState(MemberState.LEFT, selfRecord.node());
        members[config.self()].currentRecord = selfRecord;
        gossip.enqueue(selfRecord);
        for (int i = 0; i < config.transmitLimit(); i++) {
            int recipient = randomMember(MemberState.ALIVE, new BitSet());
            if (recipient >= 0) {
                send(recipient, Message.Kind.NACK, 0, 0);
            }
        }
        stopped = true;
    }

    private void send(int recipient, Message.Kind kind, int sequence, int target) {
        sender.send(recipient, gossip.nextMessage(kind, selfRecord, sequence, target, nowUs));
    }
}
