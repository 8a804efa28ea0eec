package kitemux.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * The state machine of a keeper: its history, vote, proposals, watches and reports, and its requests to
 * other keepers to catch up. Each event method takes the current time and returns the effects to carry out
 * in their order.
 */
public final class KeeperStateMachine {
    private static final String NOT_CAUGHT_UP = "this keeper has not caught up yet";

    private final ProtocolParameters parameters;
    private final Voter self;
    private final int keeperCount;
    private final History history;
    private final Acceptor acceptor;
    private final Proposer proposer;
    private final Inventory inventory = new Inventory();
    private final Watch.SnapshotCache snapshotCache;
    private final Map<Long, Watch> openWatches = new LinkedHashMap<>();
    private final Map<Long, Long> nextSendAtUsByWatch = new HashMap<>();
    private final SplittableRandom random;
    /** When each keeper last responded to this process. */
    private final Map<Integer, Long> lastResponseAtUsByKeeper = new HashMap<>();
    /** The newest version that any other keeper has reported. */
    private long newestKnownRev;

    private boolean caughtUp;
    private long nextFetchAtUs;
    private long recoverAtUs = Long.MAX_VALUE;
    private long rejectedWatches;
    private long discardReportsUntilUs;
    private long discardedReports;
    private List<Effect> effects = new ArrayList<>();
    private long nowUs;

    /**
     * Restores the state from the log of the keeper.
     *
     * @param self number of this keeper and the identity of its folder
     * @param keeperCount number of keepers, which are numbered from 0
     * @param initialVoters the voters until a version names others
     * @param records the records in the order in which they were written, or those of {@link #toRecords}
     * @param seed seed of the random delays
     */
    public KeeperStateMachine(
            ProtocolParameters parameters,
            Voter self,
            int keeperCount,
            List<Voter> initialVoters,
            Rules rules,
            List<LogRecord> records,
            long seed,
            long nowUs) {
        this.parameters = parameters;
        this.self = self;
        this.keeperCount = keeperCount;
        this.nowUs = nowUs;
        random = new SplittableRandom(seed);
        history = new History(initialVoters);
        Vote vote = Vote.empty(1);
        for (LogRecord entry : records) {
            if (entry instanceof LogRecord.Chosen chosen) {
                history.append(chosen.version());
            } else if (entry instanceof LogRecord.Snapshot snapshot) {
                history.installSnapshot(snapshot.rev(), snapshot.values());
            } else if (entry instanceof LogRecord.Voted voted) {
                vote = voted.vote();
            }
        }
        acceptor = new Acceptor(vote);
        acceptor.advanceTo(history.rev());
        proposer =
                new Proposer(parameters, self.keeper(), history, rules, random.nextLong(), this::onOwnProposalChosen);
        snapshotCache = new Watch.SnapshotCache(parameters.snapshotPartBytes());
        nextFetchAtUs = nowUs;
        updateCaughtUpAndRecovery();
    }

    /** Returns the state of the consensus protocol without times and random values. */
    @Override
    public String toString() {
        Vote vote = acceptor.vote();
        return history.versionsAfter(0, ProtocolParameters.MAX_HISTORY_VERSION_COUNT).stream()
                        .map(version -> version.change().id())
                        .toList()
                + " "
                + vote.rev() + " " + vote.promised() + " " + vote.acceptedAt() + " "
                + (vote.accepted() == null ? "" : vote.accepted().id()) + " " + proposer;
    }

    /** Returns the known versions. The caller must not modify them. */
    public History history() {
        return history;
    }

    /** Returns the reports received by this keeper. The caller must not modify them. */
    public Inventory inventory() {
        return inventory;
    }

    /** Returns the number of open watches. */
    public int openWatches() {
        return openWatches.size();
    }

    /** Returns the number of rejected watches. */
    public long rejectedWatches() {
        return rejectedWatches;
    }

    /** Returns the number of changes rejected because the queue was full. */
    public long rejectedChanges() {
        return proposer.rejectedChanges();
    }

    /**
     * Returns whether this keeper has reached a majority of the voters since its start and knows all
     * versions that they knew. It serves nobody until then.
     */
    public boolean isCaughtUp() {
        return caughtUp;
    }

    /**
     * Returns whether this keeper currently reaches no majority of the voters, so that there may be
     * versions that it does not know.
     */
    public boolean lacksQuorum() {
        return countReachableVoters(parameters.voterTimeoutUs())
                <= history.voters().size() / 2;
    }

    /** Returns the records that a rewritten log must contain, in order. */
    public List<LogRecord> toRecords() {
        List<LogRecord> records = history.toRecords();
        records.add(new LogRecord.Voted(acceptor.vote()));
        return records;
    }

    /** Returns when {@link #tick} must be called, in microseconds. */
    public long nextAtUs() {
        long next = Math.min(Math.min(nextFetchAtUs, recoverAtUs), proposer.nextAtUs());
        for (long sendAtUs : nextSendAtUsByWatch.values()) {
            next = Math.min(next, sendAtUs);
        }
        return next;
    }

    /**
     * Advances the clock. After a stall, reports of unknown age may be waiting to be read, so reports are
     * discarded for a short time. Nodes repeat their reports.
     */
    private void advanceClock(long now) {
        if (now - nowUs > 2 * parameters.fetchIntervalUs()) {
            discardReportsUntilUs = now + parameters.fetchIntervalUs();
        }
        nowUs = now;
    }

    private List<Effect> handle(long now, Runnable event) {
        advanceClock(now);
        effects = new ArrayList<>();
        event.run();
        updateCaughtUpAndRecovery();
        List<Effect> result = effects;
        effects = new ArrayList<>();
        return result;
    }

    /** Handles all timeouts that have passed. */
    public List<Effect> tick(long now) {
        return handle(now, () -> {
            proposer.tick(now, effects);
            if (now >= nextFetchAtUs) {
                nextFetchAtUs = now + parameters.fetchIntervalUs();
                broadcast(new Request.Fetch(history.rev()));
            }
            if (now >= recoverAtUs) {
                recoverAtUs = Long.MAX_VALUE;
                proposer.recoverAccepted(now, effects);
            }
            nextSendAtUsByWatch.replaceAll((id, at) -> now >= at ? sendPending(id) : at);
        });
    }

    /**
     * Handles a request of a keeper. The effects contain exactly one response with the number of this call.
     */
    public List<Effect> handleRequest(long now, long callId, Request request) {
        return handle(now, () -> {
            if (request instanceof Request.Prepare message) {
                voteOn(callId, message.rev(), () -> acceptor.prepare(message));
            } else if (request instanceof Request.Accept message) {
                voteOn(callId, message.rev(), () -> acceptor.accept(message));
            } else if (request instanceof Request.Chosen message) {
                if (message.version().rev() == history.rev() + 1) {
                    learn(message.version());
                    proposer.historyAdvanced(nowUs, effects);
                }
                effects.add(new Effect.Reply(callId, versionsSince(history.rev())));
            } else if (request instanceof Request.Fetch message) {
                newestKnownRev = Math.max(newestKnownRev, message.afterRev());
                effects.add(new Effect.Reply(callId, versionsSince(message.afterRev())));
            }
        });
    }

    private boolean isVoter() {
        return history.voters().contains(self);
    }

    private void voteOn(long callId, long rev, Supplier<Response> decide) {
        if (rev <= history.rev()) {
            effects.add(new Effect.Reply(callId, versionsSince(rev - 1)));
        } else if (rev > history.rev() + 1 || !isVoter()) {
            effects.add(new Effect.Reply(callId, new Response.Behind(rev, history.rev())));
        } else {
            Vote before = acceptor.vote();
            Effect reply = new Effect.Reply(callId, decide.get());
            if (acceptor.vote().equals(before)) {
                effects.add(reply);
            } else {
                effects.add(new Effect.Persist(new LogRecord.Voted(acceptor.vote()), List.of(reply)));
            }
        }
    }

    private Response versionsSince(long afterRev) {
        return history.covers(afterRev) || afterRev >= history.rev()
                ? new Response.Versions(
                        afterRev,
                        history.rev(),
                        history.versionsAfter(afterRev, ProtocolParameters.MAX_RESPONSE_VERSION_COUNT))
                : new Response.Snapshot(history.rev(), history.values());
    }

    /** Handles a keeper's response to a request of this one. */
    public List<Effect> handleResponse(long now, int from, Response response) {
        return handle(now, () -> {
            lastResponseAtUsByKeeper.put(from, now);
            long previousRev = history.rev();
            if (response instanceof Response.Versions versions) {
                versions.versions().forEach(this::learn);
                newestKnownRev = Math.max(newestKnownRev, versions.newestRev());
                if (history.rev() > previousRev && versions.newestRev() > history.rev()) {
                    effects.add(new Effect.Send(from, new Request.Fetch(history.rev())));
                }
            } else if (response instanceof Response.Snapshot snapshot) {
                newestKnownRev = Math.max(newestKnownRev, snapshot.rev());
                if (history.installSnapshot(snapshot.rev(), snapshot.values())) {
                    onHistoryAdvanced(new LogRecord.Snapshot(snapshot.rev(), snapshot.values()));
                }
            } else if (response instanceof Response.Behind behind) {
                sendMissingVersions(from, behind);
            }
            if (history.rev() > previousRev) {
                proposer.historyAdvanced(now, effects);
            }
            proposer.handleResponse(now, from, response, effects);
        });
    }

    private void sendMissingVersions(int to, Response.Behind behind) {
        for (Version version :
                history.versionsAfter(behind.newestRev(), ProtocolParameters.MAX_RESPONSE_VERSION_COUNT)) {
            effects.add(new Effect.Send(to, new Request.Chosen(version)));
        }
    }

    /** Appends a chosen version. It may be passed on before it is synced, since a majority has it on disk. */
    private void learn(Version version) {
        if (history.append(version)) {
            onHistoryAdvanced(new LogRecord.Chosen(version));
        }
    }

    /** Appends a version that was chosen by a proposal of this keeper, and sends it to the other keepers. */
    private void onOwnProposalChosen(Version version) {
        learn(version);
        broadcast(new Request.Chosen(version));
    }

    private void broadcast(Request request) {
        for (int to = 0; to < keeperCount; to++) {
            if (to != self.keeper()) {
                effects.add(new Effect.Send(to, request));
            }
        }
    }

    private void onHistoryAdvanced(LogRecord entry) {
        acceptor.advanceTo(history.rev());
        effects.add(new Effect.Persist(entry, List.of()));
        nextSendAtUsByWatch.replaceAll((id, at) -> sendPending(id));
    }

    /**
     * Handles an operator's change. It is answered by exactly one {@link Effect.CompleteChange}, at once or
     * later.
     */
    public List<Effect> proposeChange(long now, long callId, Change change) {
        return handle(now, () -> {
            if (caughtUp) {
                proposer.propose(now, callId, change, effects);
            } else {
                effects.add(new Effect.CompleteChange(callId, new Outcome.Unavailable(NOT_CAUGHT_UP)));
            }
        });
    }

    /** Opens a node's watch for all versions after {@code afterRev}, or rejects it. */
    public List<Effect> openWatch(long now, long watchId, long afterRev) {
        return handle(now, () -> {
            String reason = !caughtUp
                    ? NOT_CAUGHT_UP
                    : afterRev > history.rev()
                            ? "version " + afterRev + " is not known here yet"
                            : openWatches.size() >= ProtocolParameters.MAX_WATCH_COUNT
                                    ? ProtocolParameters.MAX_WATCH_COUNT + " watches are open"
                                    : null;
            if (reason != null) {
                rejectedWatches++;
                effects.add(new Effect.RejectWatch(watchId, reason));
                return;
            }
            openWatches.put(watchId, new Watch(now, parameters, afterRev));
            nextSendAtUsByWatch.put(watchId, sendPending(watchId));
        });
    }

    /** Removes a watch that has ended, whichever side closed it. */
    public void watchEnded(long watchId) {
        openWatches.remove(watchId);
        nextSendAtUsByWatch.remove(watchId);
    }

    /** Handles a node's report. */
    public void handleReport(long now, Report report) {
        advanceClock(now);
        if (now < discardReportsUntilUs) {
            discardedReports++;
        } else {
            inventory.addReport(now, report);
        }
    }

    /** Returns the number of reports discarded because this process had stalled before. */
    public long discardedReports() {
        return discardedReports;
    }

    private long sendPending(long watchId) {
        return openWatches
                .get(watchId)
                .sendPending(nowUs, watchId, parameters, history, snapshotCache, lacksQuorum(), effects);
    }

    /** Counts the voters that responded within the given time, including this keeper if it votes. */
    private long countReachableVoters(long windowUs) {
        return history.voters().stream()
                .filter(voter -> voter.equals(self)
                        || lastResponseAtUsByKeeper.getOrDefault(voter.keeper(), Long.MIN_VALUE / 2)
                                >= nowUs - windowUs)
                .count();
    }

    /**
     * Updates after each event whether this keeper has caught up, and when an accepted value that is not
     * known to be chosen has to be proposed again.
     */
    private void updateCaughtUpAndRecovery() {
        caughtUp |= countReachableVoters(Long.MAX_VALUE / 2) > history.voters().size() / 2
                && newestKnownRev <= history.rev();
        boolean isOpen = acceptor.vote().accepted() != null && isVoter();
        if (!isOpen) {
            recoverAtUs = Long.MAX_VALUE;
        } else if (recoverAtUs == Long.MAX_VALUE) {
            recoverAtUs = nowUs + random.nextLong(parameters.recoveryDelayUs(), 2 * parameters.recoveryDelayUs());
        }
    }
}
