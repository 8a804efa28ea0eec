package kitemux.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import kitemux.Balancer;
import kitemux.Balancer.ListKind;
import kitemux.Balancer.Outcome;
import kitemux.Balancer.Request;
import kitemux.Balancer.Result;
import kitemux.Balancer.ServerEntry;

/**
 * Carries requests from their coming to the end of their last attempt: what happens goes to the decision
 * module as events, what the module asks for goes to the transport and the clients. It decides nothing and
 * knows no protocol, socket or clock but those that it is given. One thread calls it.
 *
 * @param <Q> requests of the protocol
 * @param <A> answers of the protocol
 */
public final class Engine<Q extends RequestInfo, A> implements Balancer.Actions {
    /** A server that has not answered a probe in this time is not going to. */
    private static final long PROBE_US = 1_000_000;
    /** A timer that is so late tells of a loop that stood still, or of one that has much to read: what it
     * waited for may have come. */
    private static final long LATE_US = 50_000;
    /** For one that met a defect to be woken once more: far apart, as it may meet it again. */
    private static final long WAKE_AFTER_DEFECT_US = 100_000;

    private final int maxAttempts;
    private final Clock time;
    private final Transport<Q, A> transport;
    private final ServerListSource lists;
    private final Observer observer;
    private final SendGate<Q> gate;
    private final Log log;
    private final Balancer balancer;

    private final Map<Long, PendingRequest<Q, A>> held = new HashMap<>();
    /** The ids of those that are owed an answer. A second one of the same id could have its effect twice. */
    private final Set<String> openTxns = new HashSet<>();

    private long lastId;
    /** What the module is still to be told: nothing is fed back into it from inside one of its events. */
    private final ArrayDeque<Event<Q, A>> events = new ArrayDeque<>();

    private boolean telling;
    private int probing;
    private Clock.Timer wake;
    private long wakeAtUs;
    private boolean closed;
    /** Every request has its final answer by then: the process ends. Without end while it serves. */
    private long answerByUs = Long.MAX_VALUE;

    /** Something to tell the module, the request that it is about, or null, and what is to be done where the
     * module does not get through with it. */
    private record Event<Q extends RequestInfo, A>(PendingRequest<Q, A> about, Runnable call, Runnable onDefect) {}

    /**
     * A client's request from its coming until its last attempt has ended.
     *
     * @param <Q> requests of the protocol
     * @param <A> answers of the protocol
     */
    public static final class PendingRequest<Q extends RequestInfo, A> {
        private final long id;
        private final Q request;
        private final ResponseSink<A> client;
        private final long deadlineUs;
        private final List<Engine<Q, A>.Attempt> attempts = new ArrayList<>(1);
        private int outstanding;
        private boolean ended;
        /** The attempt whose answer has begun, or null. */
        private Engine<Q, A>.Attempt answering;

        private PendingRequest(long id, Q request, ResponseSink<A> client, long deadlineUs) {
            this.id = id;
            this.request = request;
            this.client = client;
            this.deadlineUs = deadlineUs;
        }
    }

    /**
     * An engine that has been told nothing.
     *
     * @param maxAttempts most attempts for a request
     * @param gate stands before each attempt
     * @param module makes the decision module, which is to call the actions that it is given
     */
    public Engine(
            int maxAttempts,
            Clock time,
            Transport<Q, A> transport,
            ServerListSource lists,
            Observer observer,
            SendGate<Q> gate,
            Log log,
            Function<Balancer.Actions, Balancer> module) {
        this.gate = gate;
        this.maxAttempts = maxAttempts;
        this.time = time;
        this.transport = transport;
        this.lists = lists;
        this.observer = observer;
        this.log = log;
        balancer = module.apply(this);
    }

    // ---------------------------------------------------------------- events for the module

    private void tell(PendingRequest<Q, A> about, Runnable call) {
        tell(about, call, () -> {});
    }

    private void tell(PendingRequest<Q, A> about, Runnable call, Runnable onDefect) {
        events.add(new Event<>(about, call, onDefect));
        if (telling) {
            return;
        }
        telling = true;
        try {
            Event<Q, A> event;
            while ((event = events.poll()) != null) {
                tellOne(event);
            }
        } finally {
            telling = false;
        }
    }

    private void tellOne(Event<Q, A> event) {
        try {
            event.call.run();
        } catch (RuntimeException e) {
            // A defect met by one request must neither end the node nor leave it without an answer.
            log.error("event", e);
            PendingRequest<Q, A> about = event.about;
            if (about != null && !about.ended) {
                end(about, Observer.RequestOutcome.BROKEN);
                about.client.onInternalError();
                withdraw(about);
                forgetIfOver(about);
                tell(null, () -> balancer.onClientGone(time.nowUs(), about.id));
            }
            event.onDefect.run();
            if (wake == null) {
                // It was about to say when it wants to be woken: whoever waits would wait for good.
                wakeAt(time.nowUs() + WAKE_AFTER_DEFECT_US);
            }
        }
    }

    /**
     * The list of servers as it is now.
     *
     * @param before run just before the module is told, in turn with all other events: the transport follows
     *     the list first, as the module sends to new servers at once. What it frees from a draining server
     *     is told after the list: the module would else send it there again
     */
    public void updateServers(ListKind kind, List<ServerEntry> entries, Runnable before) {
        tell(
                null,
                () -> {
                    before.run();
                    balancer.onServers(time.nowUs(), kind, entries);
                    // Taken in by half it would be neither the old list nor the new: all of it has to come again.
                },
                lists::requestFullList);
    }

    /** The list could not be had; the old one stands. */
    public void reportListFailure() {
        tell(null, () -> balancer.onListFailed(time.nowUs()));
    }

    /**
     * Takes a request in, for which the client is owed an answer from now on.
     *
     * @return what to pass to {@link #dispatch} and {@link #clientDisconnected}, or null if one of its id is open: nothing is
     *     owed then
     */
    public PendingRequest<Q, A> accept(ResponseSink<A> client, Q request) {
        if (!openTxns.add(request.txn())) {
            return null;
        }
        long deadlineUs = Math.min(time.nowUs() + request.remainingUs(), answerByUs);
        PendingRequest<Q, A> taken = new PendingRequest<>(++lastId, request, client, deadlineUs);
        held.put(taken.id, taken);
        observer.onRequestAccepted(taken.id, request);
        return taken;
    }

    /** Puts a request that was taken before the module; its answer may come from inside this call. */
    public void dispatch(PendingRequest<Q, A> taken) {
        Q request = taken.request;
        tell(taken, () -> {
            long now = time.nowUs();
            balancer.onRequest(
                    now,
                    new Request(
                            taken.id,
                            request.classIndex(),
                            request.tenant(),
                            Math.max(0, taken.deadlineUs - now),
                            request.workUs(),
                            request.isRetry(),
                            request.key(),
                            request.ageUs()));
        });
    }

    /** A client has left before it had its answer: nothing is owed any more. */
    public void clientDisconnected(PendingRequest<Q, A> gone) {
        tell(gone, () -> {
            end(gone, Observer.RequestOutcome.LEFT);
            if (gone.answering != null && gone.answering.told) {
                // The module knows it no more.
                gone.answering.cancel();
            }
            balancer.onClientGone(time.nowUs(), gone.id);
            withdraw(gone);
            forgetIfOver(gone);
        });
    }

    /**
     * Every request that is held then, and every one that is taken from now on, has its final answer by this
     * time; an answer that has begun to be passed on goes on.
     */
    public void setAnswerDeadline(long atUs) {
        answerByUs = atUs;
        time.schedule(
                Math.max(0, atUs - time.nowUs()),
                () -> List.copyOf(held.values()).forEach(this::answerNow));
    }

    private void answerNow(PendingRequest<Q, A> request) {
        tell(request, () -> {
            if (request.ended || request.answering != null) {
                return;
            }
            if (request.attempts.stream().anyMatch(Attempt::mayHaveRun)) {
                end(request, Observer.RequestOutcome.FAILED);
                request.client.onFailed();
            } else {
                end(request, Observer.RequestOutcome.REFUSED);
                request.client.onRefused(0);
            }
            balancer.onClientGone(time.nowUs(), request.id);
            withdraw(request);
            forgetIfOver(request);
        });
    }

    /**
     * Takes back what was never sent of a request that is over: what stands at the gate, and what a
     * connection is being opened for. The settings may forbid to call off what a server has; it has none of
     * this.
     */
    private void withdraw(PendingRequest<Q, A> over) {
        for (Attempt attempt : List.copyOf(over.attempts)) {
            attempt.withdraw();
        }
    }

    /** How many servers of the list the module avoids of its own choice. */
    public int ejectedServerCount() {
        return balancer.ejectedServerCount();
    }

    /** Tells the module nothing more by itself; the transport is to be closed before. */
    public void close() {
        closed = true;
        if (wake != null) {
            wake.cancel();
            wake = null;
        }
    }

    // ---------------------------------------------------------------- attempts

    private final class Attempt implements Transport.Exchange<Q, A> {
        private final PendingRequest<Q, A> of;
        private final int number;
        private final String serverId;
        private final long sentAtUs = time.nowUs();
        private final long untilUs;
        private Clock.Timer expiry;
        /** When its answer began; 0 before. */
        private long begunAtUs;
        /** Whether the module was told of its end as its answer began. */
        private boolean told;

        private boolean over;
        private Result result;
        private boolean sent;
        /** Whether it was given up much later than it should have been. */
        private boolean late;

        Attempt(PendingRequest<Q, A> of, int number, String serverId, long untilUs) {
            this.of = of;
            this.number = number;
            this.serverId = serverId;
            this.untilUs = untilUs;
        }

        @Override
        public Q request() {
            return of.request;
        }

        @Override
        public long expiresAtUs() {
            return untilUs;
        }

        @Override
        public long deadlineUs() {
            return of.deadlineUs;
        }

        void begin() {
            of.outstanding++;
            observer.onAttemptStarted(of.id, number, serverId, untilUs);
            if (untilUs <= sentAtUs || number >= maxAttempts || of.ended) {
                onEnded(Result.MOOT, null);
                return;
            }
            expiry = time.schedule(untilUs - sentAtUs, this::expire);
            gate.admit(of.id, of.request, number, serverId, () -> transport.endpoint(serverId), untilUs, this::passed);
        }

        /** The gate has opened, or is not going to. */
        private void passed(boolean open) {
            if (over) {
                return;
            }
            if (open && time.readLagUs() > 0) {
                // A loop that is behind has not read all that has come: that its client has left may lie
                // there. It is read in this turn, and told in the next.
                time.schedule(0, () -> time.schedule(0, this::start));
            } else if (open) {
                start();
            } else {
                if (!of.ended && of.attempts.stream().noneMatch(Attempt::mayHaveRun)) {
                    // Nothing of it has been sent anywhere: trying again is harmless, and at once.
                    end(of, Observer.RequestOutcome.REFUSED);
                    of.client.onRefused(gate.retryAfterUs());
                    Engine.this.withdraw(of);
                }
                onEnded(Result.MOOT, null);
            }
        }

        private void start() {
            if (!over) {
                sent = true;
                transport.start(serverId, this);
            }
        }

        /**
         * What the module is to know of the server. Where a request lay unread here for longer than the
         * server then had for it, that it was over there tells of this node: counted as full or silent,
         * servers with room would lose their share. So would those whose answers lie unread as this node
         * gives up late.
         */
        private Result known(Result how) {
            if (of.request.ageUs() <= untilUs - sentAtUs && !late) {
                return how;
            }
            return switch (how) {
                case FULL -> Result.MOOT;
                case TIMEOUT -> Result.CANCELLED;
                case CONNECT_FAILED -> late ? Result.MOOT : how;
                default -> how;
            };
        }

        private boolean mayHaveRun() {
            return sent && (result == null || !result.neverRan);
        }

        private void expire() {
            late = time.nowUs() - untilUs > LATE_US;
            // What never left for want of a connection is known not to have run.
            giveUp(transport.abandon(serverId, this) ? Result.TIMEOUT : Result.CONNECT_FAILED);
        }

        void cancel() {
            if (!over) {
                transport.abandon(serverId, this);
                giveUp(Result.CANCELLED);
            }
        }

        /** Takes it back if it was not sent; what was sent goes on. */
        void withdraw() {
            if (!over && (!sent || transport.withdraw(serverId, this))) {
                onEnded(Result.MOOT, null);
            }
        }

        /** What still waits at the gate has not run, and says nothing of its server. */
        private void giveUp(Result ifSent) {
            onEnded(sent ? ifSent : Result.MOOT, null);
        }

        @Override
        public boolean onResponseStarted(A answer) {
            if (over) {
                return false;
            }
            if (of.ended || of.answering != null) {
                // Called off, whatever came of it.
                onEnded(Result.CANCELLED, null);
                return false;
            }
            of.answering = this;
            begunAtUs = time.nowUs();
            // What is timed of a long answer is its first bytes. A server that goes on giving is heard to the
            // last, past the client's time; one that stops or has no end is broken off by the transport.
            expiry.cancel();
            of.client.onResponseStarted(answer);
            if (of.request.isStreamed()) {
                tell(of, () -> balancer.onFirstByte(time.nowUs(), of.id, number));
                return true;
            }
            // For whoever decides it is served: nothing can be decided any more, and a server that only has
            // to pass on what it made has its place free. Harm: who breaks off long answers is not blamed.
            told = true;
            tell(
                    of,
                    () -> balancer.onOutcome(
                            time.nowUs(), new Outcome(of.id, number, Result.OK, begunAtUs - sentAtUs, true, null)));
            return true;
        }

        @Override
        public void onEnded(Result ended, A answer) {
            if (over) {
                return;
            }
            // Another's answer is on its way to the client: this one is not served, but may have run.
            Result how = ended == Result.OK && of.answering != null && of.answering != this ? Result.CANCELLED : ended;
            over = true;
            result = how;
            if (expiry != null) {
                expiry.cancel();
            }
            observer.onAttemptEnded(of.id, number, how);
            if (how == Result.OK && !of.ended) {
                end(of, Observer.RequestOutcome.SERVED);
                of.client.onServed(answer);
            } else if (told && !of.ended) {
                end(of, Observer.RequestOutcome.FAILED);
                of.client.onFailed();
            }
            tell(of, () -> {
                of.outstanding--;
                forgetIfOver(of);
                if (told) {
                    return;
                }
                // How long a long answer takes to pass is the client's affair as much as the server's.
                long latencyUs = begunAtUs > 0 ? begunAtUs - sentAtUs : latencyUs(how, sentAtUs);
                balancer.onOutcome(time.nowUs(), new Outcome(of.id, number, known(how), latencyUs, of.ended, null));
            });
            if (of.ended) {
                Engine.this.withdraw(of);
            }
        }
    }

    /**
     * How long a server took for what ends now. An answer that a loop which is behind comes to read may have
     * lain there since it last looked or have come just now: the middle of the two, as all of it would make
     * servers slow that are not, and none of it quicker than any server is.
     */
    private long latencyUs(Result result, long sentAtUs) {
        long sinceUs = time.nowUs() - sentAtUs;
        boolean isRead = result == Result.OK || result == Result.ERROR || result == Result.FULL;
        return isRead ? sinceUs - Math.min(sinceUs, time.readLagUs()) / 2 : sinceUs;
    }

    private void forgetIfOver(PendingRequest<Q, A> request) {
        if (request.ended && request.outstanding == 0) {
            held.remove(request.id);
            observer.onRequestReleased(request.id);
        }
    }

    /** The request has its one final answer; nothing is sent for it after it. */
    private void end(PendingRequest<Q, A> request, Observer.RequestOutcome answer) {
        request.ended = true;
        openTxns.remove(request.request.txn());
        observer.onRequestAnswered(request.id, answer);
    }

    // ---------------------------------------------------------------- what the module asks for

    @Override
    public void send(long requestId, String serverId, long untilUs) {
        PendingRequest<Q, A> request = held.get(requestId);
        long until = untilUs == 0 ? request.deadlineUs : Math.min(untilUs, request.deadlineUs);
        Attempt attempt = new Attempt(request, request.attempts.size(), serverId, until);
        request.attempts.add(attempt);
        attempt.begin();
    }

    @Override
    public void cancel(long requestId, int attempt) {
        PendingRequest<Q, A> request = held.get(requestId);
        if (request != null) {
            request.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void refuse(long requestId, long retryAfterUs) {
        PendingRequest<Q, A> request = held.get(requestId);
        if (request != null && !request.ended) {
            end(request, Observer.RequestOutcome.REFUSED);
            request.client.onRefused(retryAfterUs);
            withdraw(request);
            forgetIfOver(request);
        }
    }

    @Override
    public void fail(long requestId) {
        PendingRequest<Q, A> request = held.get(requestId);
        if (request != null && !request.ended) {
            end(request, Observer.RequestOutcome.FAILED);
            request.client.onFailed();
            withdraw(request);
            forgetIfOver(request);
        }
    }

    /** The module keeps one wake-up pending at most: an earlier one takes the place of a later. */
    @Override
    public void wakeAt(long atUs) {
        if (wake != null) {
            wake.cancel();
            wake = null;
        }
        wakeAtUs = atUs;
        if (!closed) {
            scheduleWake();
        }
    }

    private void scheduleWake() {
        wake = time.schedule(Math.max(0, wakeAtUs - time.nowUs()), () -> {
            wake = null;
            if (time.nowUs() < wakeAtUs) {
                scheduleWake();
                return;
            }
            tell(null, () -> balancer.onWake(time.nowUs()));
        });
    }

    @Override
    public void probe(String serverId) {
        new Probe(serverId).begin();
    }

    /** A check of one server. */
    private final class Probe implements Transport.Exchange<Q, A> {
        private final String serverId;
        private final long sentAtUs = time.nowUs();
        private Clock.Timer expiry;

        Probe(String serverId) {
            this.serverId = serverId;
        }

        void begin() {
            probing++;
            expiry = time.schedule(PROBE_US, () -> {
                transport.abandon(serverId, this);
                onEnded(Result.TIMEOUT, null);
            });
            transport.start(serverId, this);
        }

        @Override
        public Q request() {
            return transport.probeRequest();
        }

        @Override
        public long expiresAtUs() {
            return sentAtUs + PROBE_US;
        }

        @Override
        public void onEnded(Result result, A answer) {
            probing--;
            expiry.cancel();
            tell(null, () -> balancer.onProbe(time.nowUs(), serverId, result, time.nowUs() - sentAtUs, null));
        }
    }

    @Override
    public void closeIdle(String serverId) {
        transport.closeIdle(serverId);
    }

    @Override
    public void subscribe() {
        lists.subscribe();
    }

    @Override
    public void log(String line) {
        log.info(line);
    }

    // ---------------------------------------------------------------- what stands, for whoever checks

    /** Requests that are owed an answer or have attempts out. */
    public int pendingCount() {
        return held.size();
    }

    /** Attempts and probes whose end has not been told. */
    public int inFlightCount() {
        int out = probing;
        for (PendingRequest<Q, A> request : held.values()) {
            out += request.outstanding;
        }
        return out;
    }
}
