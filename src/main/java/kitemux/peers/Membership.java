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
    private static final int MOST_SLOW = 8;
    /** Confirmations that bring a suspect's time down to the least. */
    private static final int ENOUGH_CONFIRM = 3;
    /** One probe in so many goes to a node that was given up, where there is one,
     * and one to a suspect: it has
     * the more chances to hear of that, and is the sooner confirmed where it does not answer. */
    private static final int SPECIAL_EVERY = 3;

    private final MembershipConfig terms;
    private final Sender out;
    private final Listener watcher;
    private final SplittableRandom random;
    private final Member[] members;
    private final GossipQueue news;
    private final List<Probe> asked = new ArrayList<>();
    private int[] turns = new int[0];
    private int turn;
    private MemberRecord me;
    private Probe probe;
    private long probeAtUs;
    private long nowUs;
    /** When the next tick was due as the last one ended: one that comes a period later, or more, tells that
     * this process stood still. */
    private long dueAtUs;

    private int probes;
    private int localHealthScore;
    private int numbers;
    private boolean silent;
    private boolean leaving;

    /** Where messages go. */
    public interface Sender {
        /** To the node of this number; may be lost. */
        void send(int to, Message message);
    }

    /** Who is told of changes. */
    public interface Listener {
        /** A node is believed to stand otherwise. */
        void onMemberChanged(MemberRecord now);

        /** A word that is new here; its time is not over. */
        default void onUpdate(Update word) {}

        /** Another process has this node's place: this one is silent from now on. */
        default void onReplaced(MemberRecord by) {}
    }

    /** One of the fleet. */
    private static final class Member {
        private MemberRecord belief;
        private long sinceUs;
        /** While it is suspected: when it is given up, and who suspects it. */
        private long giveUpAtUs = Long.MAX_VALUE;

        private long suspectedAtUs;
        private final BitSet suspecting = new BitSet();
    }

    /** A ping that is out. */
    private static final class Probe {
        private final int node;
        private final int number;
        private final long answerAtUs;
        private final long endsAtUs;
        /** Who asked for it and by which number; -1 for this node itself. */
        private final int askedBy;

        private final int askedNumber;
        private boolean helped;
        private int nacksDue;

        Probe(int node, int number, long answerAtUs, long endsAtUs, int askedBy, int askedNumber) {
            this.node = node;
            this.number = number;
            this.answerAtUs = answerAtUs;
            this.endsAtUs = endsAtUs;
            this.askedBy = askedBy;
            this.askedNumber = askedNumber;
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
    public Membership(MembershipConfig terms, long life, long seed, long nowUs, Sender out, Listener watcher) {
        if (!terms.violations().isEmpty() || !Datagram.isLife(life)) {
            throw new IllegalArgumentException(terms.violations() + ", life " + life);
        }
        this.terms = terms;
        this.out = out;
        this.watcher = watcher;
        this.nowUs = nowUs;
        random = new SplittableRandom(seed);
        members = new Member[terms.nodeCount()];
        for (int i = 0; i < members.length; i++) {
            members[i] = new Member();
            members[i].belief = new MemberRecord(i, i == terms.self() ? life : 0, 0, MemberState.ALIVE, i);
            members[i].sinceUs = nowUs;
        }
        me = members[terms.self()].belief;
        news = new GossipQueue(terms);
        news.told(me);
        // Nodes that start together do not ping together.
        probeAtUs = nowUs + random.nextLong(terms.probePeriodUs());
        dueAtUs = probeAtUs;
    }

    // ---------------------------------------------------------------- what is believed

    /** What is believed of a node. */
    public MemberRecord recordOf(int node) {
        return members[node].belief;
    }

    /** Since when, by this node's clock. */
    public long changedAtUs(int node) {
        return members[node].sinceUs;
    }

    /** Nodes that are taken to be there, this one among them, suspects too. */
    public int aliveCount() {
        return (int) Arrays.stream(members).filter(m -> isThere(m.belief)).count();
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
        return silent && !leaving;
    }

    private static boolean isThere(MemberRecord belief) {
        return belief.state() == MemberState.ALIVE || belief.state() == MemberState.SUSPECT;
    }

    // ---------------------------------------------------------------- time

    /** When {@link #tick} is to be called next. */
    public long nextTickAtUs() {
        if (silent) {
            return Long.MAX_VALUE;
        }
        long next = probe == null
                ? probeAtUs
                : probe.helped || terms.indirectProbes() == 0 ? probe.endsAtUs : probe.answerAtUs;
        for (Probe one : asked) {
            next = Math.min(next, one.answerAtUs);
        }
        for (Member member : members) {
            next = Math.min(next, member.giveUpAtUs);
        }
        return next;
    }

    /** Time has passed. */
    public void tick(long now) {
        nowUs = Math.max(nowUs, now);
        if (silent) {
            return;
        }
        if (nowUs - dueAtUs > terms.probePeriodUs()) {
            stoodStill();
        }
        for (Probe one : List.copyOf(asked)) {
            if (nowUs >= one.answerAtUs) {
                asked.remove(one);
                send(one.askedBy, Message.Kind.NACK, one.askedNumber, 0);
            }
        }
        for (int i = 0; i < members.length; i++) {
            if (nowUs >= members[i].giveUpAtUs) {
                believe(members[i].belief.with(MemberState.GONE, terms.self()));
            }
        }
        if (probe != null && !probe.helped && nowUs >= probe.answerAtUs) {
            askOthers();
        }
        if (probe != null && nowUs >= probe.endsAtUs) {
            unanswered();
        }
        if (probe == null && nowUs >= probeAtUs) {
            probeNext();
        }
        dueAtUs = nextTickAtUs();
    }

    /**
     * What was waited for came while nobody read it: it says nothing of others. Suspects have their time over
     * again, as their word may have come meanwhile.
     */
    private void stoodStill() {
        probe = null;
        asked.clear();
        probeAtUs = nowUs;
        localHealthScore = Math.min(MOST_SLOW, localHealthScore + 1);
        for (Member member : members) {
            if (member.giveUpAtUs != Long.MAX_VALUE) {
                member.suspectedAtUs = nowUs;
                setGiveUp(member);
            }
        }
    }

    private void probeNext() {
        probeAtUs = nowUs + terms.probePeriodUs() * (1 + localHealthScore);
        int node = choose();
        if (node < 0) {
            return;
        }
        tellIfAway(node);
        probe = new Probe(node, ++numbers, nowUs + terms.probeTimeoutUs() * (1 + localHealthScore), probeAtUs, -1, 0);
        send(node, Message.Kind.PING, probe.number, 0);
    }

    /** All that are there in turn, in an order that is drawn anew each time, but for special ones. */
    private int choose() {
        int kind = ++probes % SPECIAL_EVERY;
        int special = kind == 0
                ? oneOf(MemberState.GONE, new BitSet())
                : kind == 1 ? oneOf(MemberState.SUSPECT, new BitSet()) : -1;
        if (special >= 0) {
            return special;
        }
        for (int looked = 0; looked <= 2 * members.length; looked++) {
            if (turn >= turns.length) {
                shuffle();
            }
            int node = turns[turn++];
            if (node != terms.self() && isThere(members[node].belief)) {
                return node;
            }
        }
        return oneOf(MemberState.GONE, new BitSet());
    }

    private void shuffle() {
        turns = new int[members.length];
        for (int i = 0; i < turns.length; i++) {
            int at = random.nextInt(i + 1);
            turns[i] = turns[at];
            turns[at] = i;
        }
        turn = 0;
    }

    /** A node of this standing, each as likely; -1 if there is none. */
    private int oneOf(MemberState standing, BitSet but) {
        int found = -1;
        int seen = 0;
        for (int i = 0; i < members.length; i++) {
            if (i != terms.self()
                    && !but.get(i)
                    && members[i].belief.state() == standing
                    && random.nextInt(++seen) == 0) {
                found = i;
            }
        }
        return found;
    }

    private void askOthers() {
        probe.helped = true;
        if (members[probe.node].belief.state() == MemberState.GONE) {
            return;
        }
        tellIfAway(probe.node);
        BitSet chosen = new BitSet();
        chosen.set(probe.node);
        for (int i = 0; i < terms.indirectProbes(); i++) {
            int helper = oneOf(MemberState.ALIVE, chosen);
            if (helper >= 0) {
                chosen.set(helper);
                probe.nacksDue++;
                send(helper, Message.Kind.PING_REQUEST, probe.number, probe.node);
            }
        }
    }

    private void unanswered() {
        Probe over = probe;
        probe = null;
        MemberRecord belief = members[over.node].belief;
        if (belief.state() == MemberState.GONE) {
            return;
        }
        // Who did not even hear from those that it asked is likely to be slow, or cut off, itself.
        localHealthScore = Math.min(MOST_SLOW, localHealthScore + 1 + (over.nacksDue > 0 ? 1 : 0));
        if (belief.state() == MemberState.ALIVE) {
            believe(belief.with(MemberState.SUSPECT, terms.self()));
        } else if (belief.state() == MemberState.SUSPECT) {
            confirm(members[over.node], belief.with(MemberState.SUSPECT, terms.self()));
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
        take(message);
        dueAtUs = nextTickAtUs();
    }

    private void take(Message message) {
        int from = message.sender();
        if (silent || from >= members.length || from == terms.self() || message.target() >= members.length) {
            return;
        }
        for (MemberRecord belief : message.members()) {
            if (belief.node() < members.length) {
                hear(belief);
            }
        }
        message.updates().forEach(word -> {
            if (word.origin() < members.length && word.origin() != terms.self() && news.hears(word, nowUs)) {
                watcher.onUpdate(word);
            }
        });
        if (silent || message.generation() < members[from].belief.generation()) {
            // An earlier life of its sender: whoever speaks so late is answered nothing but what is believed.
            if (!silent) {
                news.told(members[from].belief);
                send(from, Message.Kind.NACK, 0, 0);
            }
            return;
        }
        switch (message.kind()) {
            case PING -> {
                tellIfAway(from);
                send(from, Message.Kind.ACK, message.sequence(), 0);
            }
            case ACK -> answered(message);
            case PING_REQUEST -> {
                Probe forOther = new Probe(
                        message.target(), ++numbers, nowUs + terms.probeTimeoutUs(), 0, from, message.sequence());
                asked.add(forOther);
                send(forOther.node, Message.Kind.PING, forOther.number, 0);
            }
            case NACK -> {
                if (probe != null && probe.number == message.sequence()) {
                    probe.nacksDue--;
                }
            }
        }
    }

    /** Whoever is believed to be away hears so, and whoever is asked about it: either can take that back. */
    private void tellIfAway(int node) {
        if (members[node].belief.state() != MemberState.ALIVE) {
            news.told(members[node].belief);
        }
    }

    private void answered(Message message) {
        if (probe != null && probe.number == message.sequence() && probe.node == message.sender()) {
            probe = null;
            localHealthScore = Math.max(0, localHealthScore - 1);
            tellIfAway(message.sender());
            return;
        }
        if (probe != null && probe.number == message.sequence() && message.target() == 0) {
            // A helper tells that it was answered.
            probe = null;
            return;
        }
        for (Probe one : asked) {
            if (one.number == message.sequence() && one.node == message.sender()) {
                asked.remove(one);
                send(one.askedBy, Message.Kind.ACK, one.askedNumber, 0);
                return;
            }
        }
    }

    private void hear(MemberRecord said) {
        if (said.node() == terms.self()) {
            hearOfMe(said);
            return;
        }
        Member member = members[said.node()];
        if (said.overrides(member.belief)) {
            believe(said);
        } else if (said.state() == MemberState.SUSPECT && said.isLike(member.belief)) {
            confirm(member, said);
        } else if (member.belief.overrides(said)) {
            // Whoever still believes that has missed what was told since.
            news.told(member.belief);
        }
    }

    private void hearOfMe(MemberRecord said) {
        if (said.generation() > me.generation()) {
            silent = true;
            watcher.onReplaced(said);
            return;
        }
        if (said.generation() == me.generation()
                && !leaving
                && said.state() != MemberState.ALIVE
                && said.incarnation() >= me.incarnation()) {
            // Whoever is suspected may well be slow.
            localHealthScore = Math.min(MOST_SLOW, localHealthScore + 1);
            me = new MemberRecord(me.node(), me.generation(), said.incarnation() + 1, MemberState.ALIVE, me.node());
            members[terms.self()].belief = me;
            news.told(me);
        }
    }

    private void believe(MemberRecord now) {
        Member member = members[now.node()];
        boolean suspect = now.state() == MemberState.SUSPECT;
        member.belief = now;
        member.sinceUs = nowUs;
        member.giveUpAtUs = Long.MAX_VALUE;
        member.suspecting.clear();
        if (suspect) {
            member.suspectedAtUs = nowUs;
            member.suspecting.set(now.reporter());
            setGiveUp(member);
        }
        news.told(now);
        watcher.onMemberChanged(now);
    }

    /** Another node found it so by itself; passing on what was found is no finding. */
    private void confirm(Member member, MemberRecord said) {
        if (!member.suspecting.get(said.reporter()) && member.suspecting.cardinality() <= ENOUGH_CONFIRM) {
            member.suspecting.set(said.reporter());
            setGiveUp(member);
            news.told(said);
        }
    }

    /** The more nodes suspect it, the sooner it is given up. */
    private void setGiveUp(Member member) {
        long most = terms.mostSuspicionUs();
        long least = terms.leastSuspicionUs();
        double confirmed = Math.log(member.suspecting.cardinality()) / Math.log(ENOUGH_CONFIRM + 1.0);
        long lasts = Math.max(least, (long) (most - (most - least) * confirmed));
        member.giveUpAtUs = member.suspectedAtUs + lasts;
    }

    // ---------------------------------------------------------------- what is told

    /**
     * Tells all others something.
     *
     * @throws IllegalArgumentException if the text is too long or the topic or time out of range
     */
    public void broadcast(int topic, int version, int forMs, byte[] text) {
        if (topic < 0
                || topic > 255
                || forMs < 1
                || forMs > 65_535
                || text.length > Datagram.MAX_UPDATE_PAYLOAD_BYTES) {
            throw new IllegalArgumentException("topic " + topic + ", " + forMs + " ms, " + text.length + " bytes");
        }
        news.hears(new Update(terms.self(), me.generation(), topic, version, forMs, text.clone()), nowUs);
    }

    /** Says that this node leaves, to some at once; nothing is sent afterwards. */
    public void leave(long now) {
        nowUs = Math.max(nowUs, now);
        if (silent) {
            return;
        }
        leaving = true;
        me = me.with(MemberState.LEFT, me.node());
        members[terms.self()].belief = me;
        news.told(me);
        for (int i = 0; i < terms.tellings(); i++) {
            int to = oneOf(MemberState.ALIVE, new BitSet());
            if (to >= 0) {
                send(to, Message.Kind.NACK, 0, 0);
            }
        }
        silent = true;
    }

    private void send(int to, Message.Kind kind, int number, int about) {
        out.send(to, news.message(kind, me, number, about, nowUs));
    }
}
