package kitemux.peers;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What one node believes of all others of its fleet, after SWIM and Lifeguard as published: it pings one
 * after another, asks others to try where no answer comes, and suspects before it gives up; what is believed
 * is told along with what is sent anyway. A suspect has less time the more nodes suspect it; a node that is
 * slow itself, as it misses answers that others had, gives others more time.
 *
 * <p>Ours: nodes that were given up are pinged too, now and then, so that two parts of a fleet find each
 * other
 * again; a node whose process stood still drops what it was waiting for; and one that hears of a later life
 * under its own number falls silent, as another process has its place.
 */
public final class Membership {
    /** The most by which a node takes itself to be slow, and so the most times longer that it waits. */
    private static final int MAX_LOCAL_HEALTH_SCORE = 8;
    /** Confirmations that bring a suspect's time down to the least. */
    private static final int MAX_CONFIRMATION_COUNT = 3;
    /** One probe in so many goes to a node that was given up, where there is one,
     * and one to a suspect: it has
     * the more chances to hear of that, and is the sooner confirmed where it does not answer. */
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
    /** When the next tick was due as the last one ended: one that comes a period later, or more, tells that
     * this process stood still. */
    private long tickDueAtUs;

    private int probeCount;
    private int localHealthScore;
    private int lastSequence;
    private boolean stopped;
    private boolean leaving;

    /** Where messages go. */
    public interface Sender {
        /** To the node of this number; may be lost. */
        void send(int recipient, Message message);
    }

    /** Who is told of changes. */
    public interface Listener {
        /** A node is believed to stand otherwise. */
        void onMemberChanged(MemberRecord memberRecord);

        /** A word that is new here; its time is not over. */
        default void onUpdate(Update update) {}

        /** Another process has this node's place: this one is silent from now on. */
        default void onReplaced(MemberRecord replacement) {}
    }

    /** One of the fleet. */
    private static final class TrackedMember {
        private MemberRecord currentRecord;
        private long changedAtUs;
        /** While it is suspected: when it is given up, and who suspects it. */
        private long suspicionEndsAtUs = Long.MAX_VALUE;

        private long suspectedAtUs;
        private final BitSet suspectedBy = new BitSet();
    }

    /** A ping that is out. */
    private static final class Probe {
        private final int target;
        private final int sequence;
        private final long timeoutAtUs;
        private final long endsAtUs;
        /** Who asked for it and by which number; -1 for this node itself. */
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
     * A node that has just started and has heard of nobody: the others of its fleet are taken to be alive
     * until
     * they do not answer.
     *
     * @param life when this process was started, in milliseconds of Unix time
     * @throws IllegalArgumentException if the terms cannot be
     */
    public Membership(
            MembershipConfig config, long generation, long seed, long nowUs, Sender sender, Listener listener) {
        if (!config.violations().isEmpty() || !Datagram.isValidGeneration(generation)) {
            throw new IllegalArgumentException(config.violations() + ", life " + generation);
        }
        this.config = config;
        this.sender = sender;
        this.listener = listener;
        this.nowUs = nowUs;
        random = new SplittableRandom(seed);
        members = new TrackedMember[config.nodeCount()];
        for (int i = 0; i < members.length; i++) {
            members[i] = new TrackedMember();
            members[i].currentRecord = new MemberRecord(i, i == config.self() ? generation : 0, 0, MemberState.ALIVE, i);
            members[i].changedAtUs = nowUs;
        }
        selfRecord = members[config.self()].currentRecord;
        gossip = new GossipQueue(config);
        gossip.enqueue(selfRecord);
        // Nodes that start together do not ping together.
        nextProbeAtUs = nowUs + random.nextLong(config.probePeriodUs());
        tickDueAtUs = nextProbeAtUs;
    }

    // ---------------------------------------------------------------- what is believed

    /** What is believed of a node. */
    public MemberRecord recordOf(int node) {
        return members[node].currentRecord;
    }

    /** Since when, by this node's clock. */
    public long changedAtUs(int node) {
        return members[node].changedAtUs;
    }

    /** Nodes that are taken to be there, this one among them, suspects too. */
    public int aliveCount() {
        return (int) Arrays.stream(members).filter(m -> isPresent(m.currentRecord)).count();
    }

    /** Whether this node hears half of its fleet or less, as it is described; of two halves both do. */
    public boolean isMinority() {
        return 2 * aliveCount() <= members.length && members.length > 1;
    }

    /** How slow this node takes itself to be, from 0 to 8. */
    public int localHealthScore() {
        return localHealthScore;
    }

    /** Whether another process has this node's place. */
    public boolean isReplaced() {
        return stopped && !leaving;
    }

    private static boolean isPresent(MemberRecord memberRecord) {
        return memberRecord.state() == MemberState.ALIVE || memberRecord.state() == MemberState.SUSPECT;
    }

    // ---------------------------------------------------------------- time

    /** When {@link #tick} is to be called next. */
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

    /** Time has passed. */
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
     * What was waited for came while nobody read it: it says nothing of others. Suspects have their time over
     * again, as their word may have come meanwhile.
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

    /** All that are there in turn, in an order that is drawn anew each time, but for special ones. */
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

    /** A node of this standing, each as likely; -1 if there is none. */
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
        // Who did not even hear from those that it asked is likely to be slow, or cut off, itself.
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
     * A message has come. Numbers that the fleet does not have are passed over.
     *
     * @param now not before any earlier time
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
            // An earlier life of its sender: whoever speaks so late is answered nothing but what is believed.
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

    /** Whoever is believed to be away hears so, and whoever is asked about it: either can take that back. */
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
            // A helper tells that it was answered.
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
            // Whoever still believes that has missed what was told since.
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
            // Whoever is suspected may well be slow.
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

    /** Another node found it so by itself; passing on what was found is no finding. */
    private void confirmSuspicion(TrackedMember member, MemberRecord received) {
        if (!member.suspectedBy.get(received.reporter())
                && member.suspectedBy.cardinality() <= MAX_CONFIRMATION_COUNT) {
            member.suspectedBy.set(received.reporter());
            updateSuspicionDeadline(member);
            gossip.enqueue(received);
        }
    }

    /** The more nodes suspect it, the sooner it is given up. */
    private void updateSuspicionDeadline(TrackedMember member) {
        long maxUs = config.maxSuspicionUs();
        long minUs = config.minSuspicionUs();
        double confirmedRatio = Math.log(member.suspectedBy.cardinality()) / Math.log(MAX_CONFIRMATION_COUNT + 1.0);
        long durationUs = Math.max(minUs, (long) (maxUs - (maxUs - minUs) * confirmedRatio));
        member.suspicionEndsAtUs = member.suspectedAtUs + durationUs;
    }

    // ---------------------------------------------------------------- what is told

    /**
     * Tells all others something.
     *
     * @throws IllegalArgumentException if the text is too long or the topic or time out of range
     */
    public void broadcast(int topic, int version, int lifetimeMs, byte[] payload) {
        if (topic < 0
                || topic > 255
                || lifetimeMs < 1
                || lifetimeMs > 65_535
                || payload.length > Datagram.MAX_UPDATE_PAYLOAD_BYTES) {
            throw new IllegalArgumentException(
                    "topic " + topic + ", " + lifetimeMs + " ms, " + payload.length + " bytes");
        }
        gossip.offer(
                new Update(config.self(), selfRecord.generation(), topic, version, lifetimeMs, payload.clone()), nowUs);
    }

    /** Says that this node leaves, to some at once; nothing is sent afterwards. */
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
