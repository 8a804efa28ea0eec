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
 * Manages requests from their arrival to the end of their last attempt. It reports what happens to the
 * {@link Balancer} as events and carries out the balancer's actions through the transport and the clients. It
 * makes no decisions itself and is independent of the protocol, the sockets and the clock that it is given.
 * This class is not thread-safe; all calls must come from the event loop thread.
 *
 * @param <Q> type of the protocol's requests
 * @param <A> type of the protocol's responses
 */
public final class Engine<Q extends RequestInfo, A> implements Balancer.Actions {
    /** Time allowed for the response to a probe. */
    private static final long PROBE_TIMEOUT_US = 1_000_000;
    /**
     * An expiry timer that runs this much too late shows that the event loop was blocked or has a backlog of
     * input, so that the awaited response may have arrived without having been read.
     */
    private static final long LATE_EXPIRY_THRESHOLD_US = 50_000;
    /**
     * Delay before the balancer is woken after an internal error. It is long because the same error may occur
     * again.
     */
    private static final long DEFECT_WAKE_DELAY_US = 100_000;

    private final int maxAttempts;
    private final Clock clock;
    private final Transport<Q, A> transport;
    private final ServerListSource serverListSource;
    private final Observer observer;
    private final SendGate<Q> sendGate;
    private final Log log;
    private final Balancer balancer;

    private final Map<Long, PendingRequest<Q, A>> pendingRequests = new HashMap<>();
    /**
     * Transaction ids of the unanswered requests. A second request with the same id is not accepted, because
     * it could take effect twice.
     */
    private final Set<String> openTxnIds = new HashSet<>();

    /** Transaction ids of requests that may have run and whose clients disconnected before the answer. */
    private final RecentRequestIds abandonedTxnIds = new RecentRequestIds();

    private long lastRequestId;
    /** Events not yet delivered to the balancer, which must not be called from inside one of its events. */
    private final ArrayDeque<Event<Q, A>> events = new ArrayDeque<>();

    private boolean delivering;
    private int inFlightProbeCount;
    private Clock.Timer wakeTimer;
    private long wakeAtUs;
    private boolean closed;
    /** Time by which every request has its final answer, because the process ends; unlimited before that. */
    private long answerDeadlineUs = Long.MAX_VALUE;

    /**
     * An event for the balancer.
     *
     * @param pending the request that the event concerns, or null
     * @param action delivers the event
     * @param onFailure runs if the delivery throws
     */
    private record Event<Q extends RequestInfo, A>(PendingRequest<Q, A> pending, Runnable action, Runnable onFailure) {}

    /**
     * A client's request from its arrival until its last attempt has ended.
     *
     * @param <Q> type of the protocol's requests
     * @param <A> type of the protocol's responses
     */
    public static final class PendingRequest<Q extends RequestInfo, A> {
        private final long id;
        private final Q request;
        private final ResponseSink<A> client;
        private final long deadlineUs;
        private final List<Engine<Q, A>.Attempt> attempts = new ArrayList<>(1);
        private int inFlightAttempts;
        /** Whether the request has its final answer or its client has disconnected. */
        private boolean answered;
        /** The attempt whose response has started, or null. */
        private Engine<Q, A>.Attempt answeringAttempt;

        private PendingRequest(long id, Q request, ResponseSink<A> client, long deadlineUs) {
            this.id = id;
            this.request = request;
            this.client = client;
            this.deadlineUs = deadlineUs;
        }
    }

    /**
     * Creates an engine without servers or requests.
     *
     * @param maxAttempts maximum number of attempts for a request
     * @param sendGate admits each attempt before it is sent
     * @param balancerFactory creates the balancer, which must use the actions that it is given
     */
    public Engine(
            int maxAttempts,
            Clock clock,
            Transport<Q, A> transport,
            ServerListSource serverListSource,
            Observer observer,
            SendGate<Q> sendGate,
            Log log,
            Function<Balancer.Actions, Balancer> balancerFactory) {
        this.sendGate = sendGate;
        this.maxAttempts = maxAttempts;
        this.clock = clock;
        this.transport = transport;
        this.serverListSource = serverListSource;
        this.observer = observer;
        this.log = log;
        balancer = balancerFactory.apply(this);
    }

    // ---------------------------------------------------------------- events for the balancer

    private void emit(PendingRequest<Q, A> pending, Runnable action) {
        emit(pending, action, () -> {});
    }

    private void emit(PendingRequest<Q, A> pending, Runnable action, Runnable onFailure) {
        events.add(new Event<>(pending, action, onFailure));
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            Event<Q, A> event;
            while ((event = events.poll()) != null) {
                deliver(event);
            }
        } finally {
            delivering = false;
        }
    }

    private void deliver(Event<Q, A> event) {
        try {
            event.action.run();
        } catch (RuntimeException e) {
            // An internal error in one request must neither end the node nor leave the request unanswered.
            log.error("event", e);
            PendingRequest<Q, A> pending = event.pending;
            if (pending != null && !pending.answered) {
                markAnswered(pending, Observer.RequestOutcome.BROKEN);
                notifyClient(() -> pending.client.onInternalError());
                withdrawUnsentAttempts(pending);
                releaseIfFinished(pending);
                emit(null, () -> balancer.onClientGone(clock.nowUs(), pending.id));
            }
            event.onFailure.run();
            if (wakeTimer == null) {
                // The balancer may have failed before it set its wake-up; queued requests would wait forever.
                wakeAt(clock.nowUs() + DEFECT_WAKE_DELAY_US);
            }
        }
    }

    /**
     * Passes a server list to the balancer.
     *
     * @param beforeUpdate runs in event order immediately before the balancer receives the list. It updates the
     *     transport, because the balancer may send to new servers at once. Exchanges that the transport ends on
     *     a draining server are reported after the list; otherwise the balancer would send them there again
     */
    public void updateServers(ListKind kind, List<ServerEntry> entries, Runnable beforeUpdate) {
        emit(
                null,
                () -> {
                    beforeUpdate.run();
                    balancer.onServers(clock.nowUs(), kind, entries);
                    // A partly applied list would be neither the old nor the new one, so a failure requests
                    // the full list again.
                },
                serverListSource::requestFullList);
    }

    /** Tells the balancer that the server list could not be fetched; the previous list stays in force. */
    public void reportListFailure() {
        emit(null, () -> balancer.onListFailed(clock.nowUs()));
    }

    /**
     * Accepts a request; from now on the client is owed an answer.
     *
     * @return the handle to pass to {@link #dispatch} and {@link #clientDisconnected}, or null if a request with
     *     the same id is open, or may have run although its client disconnected; no answer is owed in that case
     */
    public PendingRequest<Q, A> accept(ResponseSink<A> client, Q request) {
        if (abandonedTxnIds.contains(request.txn(), clock.nowUs()) || !openTxnIds.add(request.txn())) {
            return null;
        }
        long deadlineUs = Math.min(clock.nowUs() + request.remainingUs(), answerDeadlineUs);
        PendingRequest<Q, A> pending = new PendingRequest<>(++lastRequestId, request, client, deadlineUs);
        pendingRequests.put(pending.id, pending);
        observer.onRequestAccepted(pending.id, request);
        return pending;
    }

    /** Passes an accepted request to the balancer; the client may be answered before this call returns. */
    public void dispatch(PendingRequest<Q, A> pending) {
        Q request = pending.request;
        emit(pending, () -> {
            long now = clock.nowUs();
            balancer.onRequest(
                    now,
                    new Request(
                            pending.id,
                            request.classIndex(),
                            request.tenant(),
                            Math.max(0, pending.deadlineUs - now),
                            request.workUs(),
                            request.isRetry(),
                            request.key(),
                            request.ageUs()));
        });
    }

    /** Ends a request whose client disconnected before its answer; no answer is owed any more. */
    public void clientDisconnected(PendingRequest<Q, A> pending) {
        emit(pending, () -> {
            markAnswered(pending, Observer.RequestOutcome.LEFT);
            if (pending.answeringAttempt != null && pending.answeringAttempt.outcomeReported) {
                // The balancer no longer knows this attempt and cannot cancel it.
                pending.answeringAttempt.cancel();
            }
            balancer.onClientGone(clock.nowUs(), pending.id);
            withdrawUnsentAttempts(pending);
            if (!pending.request.isSafeToRepeat() && pending.attempts.stream().anyMatch(Attempt::mayHaveRun)) {
                abandonedTxnIds.add(pending.request.txn(), clock.nowUs());
            }
            releaseIfFinished(pending);
        });
    }

    /**
     * Sets the time by which every pending request and every request accepted later has its final answer. A
     * response that has started to be forwarded continues beyond it.
     *
     * @param atUs the deadline, in microseconds of the engine's clock
     */
    public void setAnswerDeadline(long atUs) {
        answerDeadlineUs = atUs;
        clock.schedule(
                Math.max(0, atUs - clock.nowUs()),
                () -> List.copyOf(pendingRequests.values()).forEach(this::answerAtDeadline));
    }

    private void answerAtDeadline(PendingRequest<Q, A> pending) {
        emit(pending, () -> {
            if (pending.answered || pending.answeringAttempt != null) {
                return;
            }
            if (pending.attempts.stream().anyMatch(Attempt::mayHaveRun)) {
                markAnswered(pending, Observer.RequestOutcome.FAILED);
                notifyClient(() -> pending.client.onFailed());
            } else {
                markAnswered(pending, Observer.RequestOutcome.REFUSED);
                notifyClient(() -> pending.client.onRefused(0));
            }
            balancer.onClientGone(clock.nowUs(), pending.id);
            withdrawUnsentAttempts(pending);
            releaseIfFinished(pending);
        });
    }

    /**
     * Withdraws the unsent attempts of an answered request: those that wait at the gate or for a connection.
     * Settings that forbid cancellation do not apply to them, because no server has received them.
     */
    private void withdrawUnsentAttempts(PendingRequest<Q, A> pending) {
        for (Attempt attempt : List.copyOf(pending.attempts)) {
            attempt.withdraw();
        }
    }

    /** Returns the number of listed servers that the balancer has ejected. */
    public int ejectedServerCount() {
        return balancer.ejectedServerCount();
    }

    /** Stops waking the balancer. The transport must be closed first. */
    public void close() {
        closed = true;
        if (wakeTimer != null) {
            wakeTimer.cancel();
            wakeTimer = null;
        }
    }

    // ---------------------------------------------------------------- attempts

    /** One sending of a request to a server. */
    private final class Attempt implements Transport.Exchange<Q, A> {
        private final PendingRequest<Q, A> pending;
        private final int number;
        private final String serverId;
        private final long sentAtUs = clock.nowUs();
        private final long expiresAtUs;
        private Clock.Timer expiryTimer;
        /** Time at which the response started; 0 before that. */
        private long responseStartedAtUs;
        /** Whether the balancer received the outcome when the response started. */
        private boolean outcomeReported;

        private boolean finished;
        private Result result;
        private boolean sent;
        /** Whether the expiry timer ran much later than it was due. */
        private boolean expiredLate;

        Attempt(PendingRequest<Q, A> pending, int number, String serverId, long expiresAtUs) {
            this.pending = pending;
            this.number = number;
            this.serverId = serverId;
            this.expiresAtUs = expiresAtUs;
        }

        @Override
        public Q request() {
            return pending.request;
        }

        @Override
        public long expiresAtUs() {
            return expiresAtUs;
        }

        @Override
        public long deadlineUs() {
            return pending.deadlineUs;
        }

        @Override
        public boolean mayBeWritten() {
            if (finished || pending.answered) {
                return false;
            }
            Observer.WithheldReason reason = withheldReason();
            if (reason != null) {
                observer.onAttemptWithheld(pending.id, number, reason);
            }
            return reason == null;
        }

        /** Returns why the attempt must not be written now, or null if it may be. */
        private Observer.WithheldReason withheldReason() {
            if (clock.nowUs() >= expiresAtUs) {
                return Observer.WithheldReason.EXPIRED;
            }
            if (pending.client.clientInput() == ResponseSink.ClientInput.PAUSED) {
                return Observer.WithheldReason.CLIENT_INPUT_PAUSED;
            }
            return balancer.mayWrite(clock.nowUs(), pending.id, number) ? null : Observer.WithheldReason.NOT_ALLOWED;
        }

        @Override
        public void onWriting() {
            observer.onAttemptWritten(pending.id, number);
        }

        void requestAdmission() {
            pending.inFlightAttempts++;
            observer.onAttemptStarted(pending.id, number, serverId, expiresAtUs);
            if (expiresAtUs <= sentAtUs || number >= maxAttempts || pending.answered) {
                onEnded(Result.MOOT, null);
                return;
            }
            expiryTimer = clock.schedule(expiresAtUs - sentAtUs, this::expire);
            sendGate.admit(
                    pending.id,
                    pending.request,
                    number,
                    serverId,
                    () -> transport.endpoint(serverId),
                    expiresAtUs,
                    this::onGateDecision);
        }

        /** Handles the decision of the gate. */
        private void onGateDecision(boolean admitted) {
            if (finished) {
                return;
            }
            if (!admitted) {
                refuseIfNeverRan();
                onEnded(Result.MOOT, null);
            } else if (clock.readLagUs() > 0) {
                startAfterReading();
            } else {
                startExchange();
            }
        }

        /**
         * Starts the exchange after the next iteration of the event loop. Unread input may include the disconnect of
         * the client; it is read in this iteration and reported in the next.
         */
        private void startAfterReading() {
            clock.schedule(0, () -> clock.schedule(0, this::startExchange));
        }

        private void startExchange() {
            if (finished) {
                return;
            }
            switch (pending.client.clientInput()) {
                case READ -> {
                    sent = true;
                    transport.start(serverId, this);
                }
                case UNREAD -> startAfterReading();
                case PAUSED -> {
                    observer.onAttemptWithheld(pending.id, number, Observer.WithheldReason.CLIENT_INPUT_PAUSED);
                    answerWithoutAttempt();
                    onEnded(Result.MOOT, null);
                }
            }
        }

        /** Refuses the request if no part of it can have run, so that the client can safely retry at once. */
        private void refuseIfNeverRan() {
            if (!pending.answered && pending.attempts.stream().noneMatch(Attempt::mayHaveRun)) {
                markAnswered(pending, Observer.RequestOutcome.REFUSED);
                notifyClient(() -> pending.client.onRefused(sendGate.retryAfterUs()));
                Engine.this.withdrawUnsentAttempts(pending);
            }
        }

        /** Gives the final answer of a request for which no attempt may begin, unless another attempt is in flight. */
        private void answerWithoutAttempt() {
            refuseIfNeverRan();
            boolean isAttemptInFlight =
                    pending.attempts.stream().anyMatch(attempt -> attempt.sent && !attempt.finished);
            if (!pending.answered && !isAttemptInFlight) {
                markAnswered(pending, Observer.RequestOutcome.FAILED);
                notifyClient(() -> pending.client.onFailed());
                Engine.this.withdrawUnsentAttempts(pending);
            }
        }

        /**
         * Returns the result to report to the balancer for this server. If the request waited unread in this
         * node for longer than the server had to serve it, a full or silent server is this node's fault:
         * reporting it would take traffic from servers that have capacity. The same holds for servers whose
         * responses are unread because this node ran the expiry timer late.
         */
        private Result resultForServer(Result actual) {
            if (pending.request.ageUs() <= expiresAtUs - sentAtUs && !expiredLate) {
                return actual;
            }
            return switch (actual) {
                case FULL -> Result.MOOT;
                case TIMEOUT -> Result.CANCELLED;
                case CONNECT_FAILED -> expiredLate ? Result.MOOT : actual;
                default -> actual;
            };
        }

        private boolean mayHaveRun() {
            return sent && (result == null || !result.neverRan);
        }

        private void expire() {
            if (transport.startPartialResponse(serverId, this) || finished) {
                return;
            }
            expiredLate = clock.nowUs() - expiresAtUs > LATE_EXPIRY_THRESHOLD_US;
            // A request that was not written because no connection opened is known not to have run.
            endWithoutResponse(transport.abandon(serverId, this) ? Result.TIMEOUT : Result.CONNECT_FAILED);
        }

        void cancel() {
            if (!finished) {
                transport.abandon(serverId, this);
                endWithoutResponse(Result.CANCELLED);
            }
        }

        /** Withdraws the attempt if it was not sent; a sent attempt continues. */
        void withdraw() {
            if (!finished && (!sent || transport.withdraw(serverId, this))) {
                onEnded(Result.MOOT, null);
            }
        }

        /** Ends the attempt; one that still waits at the gate has not run and says nothing about its server. */
        private void endWithoutResponse(Result resultIfSent) {
            onEnded(sent ? resultIfSent : Result.MOOT, null);
        }

        @Override
        public boolean onResponseStarted(A response) {
            if (finished) {
                return false;
            }
            if (pending.answered || pending.answeringAttempt != null) {
                // The response is not needed, whatever its status.
                onEnded(Result.CANCELLED, null);
                return false;
            }
            pending.answeringAttempt = this;
            responseStartedAtUs = clock.nowUs();
            // The deadline of a long response applies to its first bytes. While data keeps arriving it is
            // forwarded to its end, also past the client's deadline; the transport aborts a response that
            // stalls or does not end.
            expiryTimer.cancel();
            notifyClient(() -> pending.client.onResponseStarted(response));
            if (pending.request.isStreamed()) {
                emit(pending, () -> balancer.onFirstByte(clock.nowUs(), pending.id, number));
                return true;
            }
            // For the balancer the request is served: there is nothing left to decide, and a server that only
            // sends a finished response has a free slot. The drawback is that servers which truncate long
            // responses are not penalised.
            outcomeReported = true;
            emit(
                    pending,
                    () -> balancer.onOutcome(
                            clock.nowUs(),
                            new Outcome(pending.id, number, Result.OK, responseStartedAtUs - sentAtUs, true, null)));
            return true;
        }

        @Override
        public void onConnectionLost(ConnectionLoss loss) {
            if (!finished) {
                observer.onConnectionLost(pending.id, number, loss);
            }
        }

        @Override
        public void onEnded(Result transportResult, A response) {
            if (finished) {
                return;
            }
            // If another attempt is answering the client, this response is not used, but the request may have run.
            Result finalResult =
                    transportResult == Result.OK && pending.answeringAttempt != null && pending.answeringAttempt != this
                            ? Result.CANCELLED
                            : transportResult;
            finished = true;
            result = finalResult;
            if (expiryTimer != null) {
                expiryTimer.cancel();
            }
            observer.onAttemptEnded(pending.id, number, finalResult);
            if (finalResult == Result.OK && !pending.answered) {
                markAnswered(pending, Observer.RequestOutcome.SERVED);
                notifyClient(() -> pending.client.onServed(response));
            } else if (outcomeReported && !pending.answered) {
                markAnswered(pending, Observer.RequestOutcome.FAILED);
                notifyClient(() -> pending.client.onFailed());
            }
            emit(pending, () -> {
                pending.inFlightAttempts--;
                releaseIfFinished(pending);
                if (outcomeReported) {
                    return;
                }
                // The transfer time of a long response depends on the client as much as on the server.
                long latencyUs =
                        responseStartedAtUs > 0 ? responseStartedAtUs - sentAtUs : latencyUs(finalResult, sentAtUs);
                balancer.onOutcome(
                        clock.nowUs(),
                        new Outcome(
                                pending.id, number, resultForServer(finalResult), latencyUs, pending.answered, null));
            });
            if (pending.answered) {
                Engine.this.withdrawUnsentAttempts(pending);
            }
        }
    }

    /**
     * Returns the server's latency for an attempt that ends now. When the loop is behind, the response may have
     * arrived at any time since the last poll. Half of that read lag is subtracted: keeping all of it would make
     * fast servers appear slow, and subtracting all of it would make them appear faster than possible.
     */
    private long latencyUs(Result result, long sentAtUs) {
        long elapsedUs = clock.nowUs() - sentAtUs;
        boolean isResponse = result == Result.OK || result == Result.ERROR || result == Result.FULL;
        return isResponse ? elapsedUs - Math.min(elapsedUs, clock.readLagUs()) / 2 : elapsedUs;
    }

    private void releaseIfFinished(PendingRequest<Q, A> pending) {
        if (pending.answered && pending.inFlightAttempts == 0) {
            pendingRequests.remove(pending.id);
            observer.onRequestReleased(pending.id);
            pending.request.onReleased();
        }
    }

    /**
     * Tells a client something about its request. A failure there concerns that client alone: the request's attempts must
     * come to their ends all the same.
     */
    private void notifyClient(Runnable notification) {
        try {
            notification.run();
        } catch (RuntimeException e) {
            log.error("client", e);
        }
    }

    /** Records the final answer of a request; no attempt is sent for it afterwards. */
    private void markAnswered(PendingRequest<Q, A> pending, Observer.RequestOutcome outcome) {
        pending.answered = true;
        openTxnIds.remove(pending.request.txn());
        observer.onRequestAnswered(pending.id, outcome);
    }

    // ---------------------------------------------------------------- actions of the balancer

    @Override
    public void send(long requestId, String serverId, long untilUs) {
        PendingRequest<Q, A> pending = pendingRequests.get(requestId);
        long expiresAtUs = untilUs == 0 ? pending.deadlineUs : Math.min(untilUs, pending.deadlineUs);
        Attempt attempt = new Attempt(pending, pending.attempts.size(), serverId, expiresAtUs);
        pending.attempts.add(attempt);
        attempt.requestAdmission();
    }

    @Override
    public void cancel(long requestId, int attempt) {
        PendingRequest<Q, A> pending = pendingRequests.get(requestId);
        if (pending != null) {
            pending.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void refuse(long requestId, long retryAfterUs) {
        PendingRequest<Q, A> pending = pendingRequests.get(requestId);
        if (pending != null && !pending.answered) {
            markAnswered(pending, Observer.RequestOutcome.REFUSED);
            notifyClient(() -> pending.client.onRefused(retryAfterUs));
            withdrawUnsentAttempts(pending);
            releaseIfFinished(pending);
        }
    }

    @Override
    public void fail(long requestId) {
        PendingRequest<Q, A> pending = pendingRequests.get(requestId);
        if (pending != null && !pending.answered) {
            markAnswered(pending, Observer.RequestOutcome.FAILED);
            notifyClient(() -> pending.client.onFailed());
            withdrawUnsentAttempts(pending);
            releaseIfFinished(pending);
        }
    }

    /** Schedules the balancer's wake-up and replaces the pending one, if any; at most one is pending. */
    @Override
    public void wakeAt(long atUs) {
        if (wakeTimer != null) {
            wakeTimer.cancel();
            wakeTimer = null;
        }
        wakeAtUs = atUs;
        if (!closed) {
            scheduleWake();
        }
    }

    private void scheduleWake() {
        wakeTimer = clock.schedule(Math.max(0, wakeAtUs - clock.nowUs()), () -> {
            wakeTimer = null;
            if (clock.nowUs() < wakeAtUs) {
                scheduleWake();
                return;
            }
            emit(null, () -> balancer.onWake(clock.nowUs()));
        });
    }

    @Override
    public void probe(String serverId) {
        new Probe(serverId).start();
    }

    /** A probe of one server. */
    private final class Probe implements Transport.Exchange<Q, A> {
        private final String serverId;
        private final long sentAtUs = clock.nowUs();
        private Clock.Timer timeoutTimer;

        Probe(String serverId) {
            this.serverId = serverId;
        }

        void start() {
            inFlightProbeCount++;
            timeoutTimer = clock.schedule(PROBE_TIMEOUT_US, () -> {
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
            return sentAtUs + PROBE_TIMEOUT_US;
        }

        @Override
        public void onEnded(Result result, A response) {
            inFlightProbeCount--;
            timeoutTimer.cancel();
            emit(null, () -> balancer.onProbe(clock.nowUs(), serverId, result, clock.nowUs() - sentAtUs, null));
        }
    }

    @Override
    public void closeIdle(String serverId) {
        transport.closeIdle(serverId);
    }

    @Override
    public void subscribe() {
        serverListSource.subscribe();
    }

    @Override
    public void log(String line) {
        log.info(line);
    }

    // ---------------------------------------------------------------- state for monitoring and tests

    /** Returns the number of requests that are unanswered or have attempts in flight. */
    public int pendingCount() {
        return pendingRequests.size();
    }

    /** Returns the number of attempts and probes whose end has not been reported. */
    public int inFlightCount() {
        int count = inFlightProbeCount;
        for (PendingRequest<Q, A> pending : pendingRequests.values()) {
            count += pending.inFlightAttempts;
        }
        return count;
    }
}
