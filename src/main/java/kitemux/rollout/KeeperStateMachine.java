package kitemux.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * A keeper: history, vote, proposals, watches and reports, and what it asks of the others to catch up. Events
 * come with the time; what is to be done comes out as effects, to be carried out in their order.
 */
public final class KeeperStateMachine {
    private static final String NOT_CAUGHT_UP = "this keeper has not caught up yet";

    private final ProtocolParameters terms;
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
    /** When each keeper last answered, in this life. */
    private final Map<Integer, Long> lastResponseAtUsByKeeper = new HashMap<>();
    /** The newest version that another keeper has told of. */
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
     * Begins from what its folder holds.
     *
     * @param me its number and the identity of its folder
     * @param keepers how many keepers there are, numbered from 0
     * @param founding the voters as long as no version names others
     * @param kept what was written, in order; what {@link #toRecords} gives will do as well
     * @param seed of what it draws
     */
    public KeeperStateMachine(
            ProtocolParameters terms,
            Voter self,
            int keeperCount,
            List<Voter> initialVoters,
            Rules rules,
            List<LogRecord> records,
            long seed,
            long nowUs) {
        this.terms = terms;
        this.self = self;
        this.keeperCount = keeperCount;
        this.nowUs = nowUs;
        random = new SplittableRandom(seed);
        history = new History(initialVoters);
        Vote vote = Vote.empty(1);
        for (LogRecord entry : records) {
            if (entry instanceof LogRecord.Chosen chosen) {
                history.append(chosen.version());
            } else if (entry instanceof LogRecord.Snapshot whole) {
                history.installSnapshot(whole.rev(), whole.values());
            } else if (entry instanceof LogRecord.Voted voted) {
                vote = voted.vote();
            }
        }
        acceptor = new Acceptor(vote);
        acceptor.advanceTo(history.rev());
        proposer = new Proposer(terms, self.keeper(), history, rules, random.nextLong(), this::onOwnProposalChosen);
        snapshotCache = new Watch.SnapshotCache(terms.snapshotPartBytes());
        nextFetchAtUs = nowUs;
        updateCaughtUpAndRecovery();
    }

    /** Its part in decisions, whole but for times and draws. */
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

    /** What is known; to be read only. */
    public History history() {
        return history;
    }

    /** Who reported what here; to be read only. */
    public Inventory inventory() {
        return inventory;
    }

    /** Watches that are open. */
    public int openWatches() {
        return openWatches.size();
    }

    /** Watches that found no room. */
    public long rejectedWatches() {
        return rejectedWatches;
    }

    /** Changes that found no room. */
    public long rejectedChanges() {
        return proposer.rejectedChanges();
    }

    /**
     * Whether it has heard a majority since its start, and knew all that they knew; until then it serves
     * nobody.
     */
    public boolean isCaughtUp() {
        return caughtUp;
    }

    /** Whether it hears no majority of the voters: there may be versions that it does not know. */
    public boolean lacksQuorum() {
        return countReachableVoters(terms.voterTimeoutUs()) <= history.voters().size() / 2;
    }

    /** What a folder that is written anew has to hold, in order. */
    public List<LogRecord> toRecords() {
        List<LogRecord> records = history.toRecords();
        records.add(new LogRecord.Voted(acceptor.vote()));
        return records;
    }

    /** When {@link #tick} is to be called, in microseconds. */
    public long nextAtUs() {
        long next = Math.min(Math.min(nextFetchAtUs, recoverAtUs), proposer.nextAtUs());
        for (long at : nextSendAtUsByWatch.values()) {
            next = Math.min(next, at);
        }
        return next;
    }

    /**
     * Whoever stood still finds reports that lay unread; how long nobody knows. They are let pass for a
     * while: nodes report again.
     */
    private void advanceClock(long now) {
        if (now - nowUs > 2 * terms.fetchIntervalUs()) {
            discardReportsUntilUs = now + terms.fetchIntervalUs();
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

    /** Time has passed. */
    public List<Effect> tick(long now) {
        return handle(now, () -> {
            proposer.tick(now, effects);
            if (now >= nextFetchAtUs) {
                nextFetchAtUs = now + terms.fetchIntervalUs();
                broadcast(new Request.Fetch(history.rev()));
            }
            if (now >= recoverAtUs) {
                recoverAtUs = Long.MAX_VALUE;
                proposer.recoverAccepted(now, effects);
            }
            nextSendAtUsByWatch.replaceAll((id, at) -> now >= at ? sendPending(id) : at);
        });
    }

    /** Another keeper asks; the effects hold its answer, once, under this number of the call. */
    public List<Effect> handleRequest(long now, long call, Request request) {
        return handle(now, () -> {
            if (request instanceof Request.Prepare message) {
                voteOn(call, message.rev(), () -> acceptor.prepare(message));
            } else if (request instanceof Request.Accept message) {
                voteOn(call, message.rev(), () -> acceptor.accept(message));
            } else if (request instanceof Request.Chosen message) {
                if (message.version().rev() == history.rev() + 1) {
                    learn(message.version());
                    proposer.historyAdvanced(nowUs, effects);
                }
                effects.add(new Effect.Reply(call, versionsSince(history.rev())));
            } else if (request instanceof Request.Fetch message) {
                newestKnownRev = Math.max(newestKnownRev, message.afterRev());
                effects.add(new Effect.Reply(call, versionsSince(message.afterRev())));
            }
        });
    }

    private boolean isVoter() {
        return history.voters().contains(self);
    }

    private void voteOn(long call, long rev, Supplier<Response> decide) {
        if (rev <= history.rev()) {
            effects.add(new Effect.Reply(call, versionsSince(rev - 1)));
        } else if (rev > history.rev() + 1 || !isVoter()) {
            effects.add(new Effect.Reply(call, new Response.Behind(rev, history.rev())));
        } else {
            Vote before = acceptor.vote();
            Effect reply = new Effect.Reply(call, decide.get());
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

    /** Another keeper has answered what was sent to it. */
    public List<Effect> handleResponse(long now, int from, Response answer) {
        return handle(now, () -> {
            lastResponseAtUsByKeeper.put(from, now);
            long before = history.rev();
            if (answer instanceof Response.Versions known) {
                known.versions().forEach(this::learn);
                newestKnownRev = Math.max(newestKnownRev, known.newestRev());
                if (history.rev() > before && known.newestRev() > history.rev()) {
                    effects.add(new Effect.Send(from, new Request.Fetch(history.rev())));
                }
            } else if (answer instanceof Response.Snapshot whole) {
                newestKnownRev = Math.max(newestKnownRev, whole.rev());
                if (history.installSnapshot(whole.rev(), whole.values())) {
                    onHistoryAdvanced(new LogRecord.Snapshot(whole.rev(), whole.values()));
                }
            } else if (answer instanceof Response.Behind behind) {
                sendMissingVersions(from, behind);
            }
            if (history.rev() > before) {
                proposer.historyAdvanced(now, effects);
            }
            proposer.handleResponse(now, from, answer, effects);
        });
    }

    private void sendMissingVersions(int to, Response.Behind behind) {
        for (Version version :
                history.versionsAfter(behind.newestRev(), ProtocolParameters.MAX_RESPONSE_VERSION_COUNT)) {
            effects.add(new Effect.Send(to, new Request.Chosen(version)));
        }
    }

    /** A version is known to be chosen. Need not be synced before it is told: a majority has it on disk. */
    private void learn(Version version) {
        if (history.append(version)) {
            onHistoryAdvanced(new LogRecord.Chosen(version));
        }
    }

    /** A version was chosen by its own proposal. */
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

    /** An operator's change; {@link Effect.Conclude} follows once, at once or later. */
    public List<Effect> proposeChange(long now, long call, Change change) {
        return handle(now, () -> {
            if (caughtUp) {
                proposer.propose(now, call, change, effects);
            } else {
                effects.add(new Effect.CompleteChange(call, new Outcome.Unavailable(NOT_CAUGHT_UP)));
            }
        });
    }

    /** A node wants to be told what comes after a version; lines follow, or the watch is refused. */
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
            openWatches.put(watchId, new Watch(now, terms, afterRev));
            nextSendAtUsByWatch.put(watchId, sendPending(watchId));
        });
    }

    /** A watch has ended, from either side. */
    public void watchEnded(long watchId) {
        openWatches.remove(watchId);
        nextSendAtUsByWatch.remove(watchId);
    }

    /** A node's report. */
    public void handleReport(long now, Report report) {
        advanceClock(now);
        if (now < discardReportsUntilUs) {
            discardedReports++;
        } else {
            inventory.addReport(now, report);
        }
    }

    /** Reports that were let pass, since it stood still before. */
    public long discardedReports() {
        return discardedReports;
    }

    private long sendPending(long watchId) {
        return openWatches
                .get(watchId)
                .sendPending(nowUs, watchId, terms, history, snapshotCache, lacksQuorum(), effects);
    }

    /** Voters that were heard within a time, itself among them if it votes. */
    private long countReachableVoters(long windowUs) {
        return history.voters().stream()
                .filter(voter -> voter.equals(self)
                        || lastResponseAtUsByKeeper.getOrDefault(voter.keeper(), Long.MIN_VALUE / 2)
                                >= nowUs - windowUs)
                .count();
    }

    /** What follows from any event: whether it has caught up, and whether something waits to be finished. */
    private void updateCaughtUpAndRecovery() {
        caughtUp |= countReachableVoters(Long.MAX_VALUE / 2) > history.voters().size() / 2
                && newestKnownRev <= history.rev();
        boolean isOpen = acceptor.vote().accepted() != null && isVoter();
        if (!isOpen) {
            recoverAtUs = Long.MAX_VALUE;
        } else if (recoverAtUs == Long.MAX_VALUE) {
            recoverAtUs = nowUs + random.nextLong(terms.recoveryDelayUs(), 2 * terms.recoveryDelayUs());
        }
    }
}
