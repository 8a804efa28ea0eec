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
    private final Voter me;
    private final int keepers;
    private final History history;
    private final Acceptor acceptor;
    private final Proposer proposer;
    private final Inventory inventory = new Inventory();
    private final Watch.Wholes wholes;
    private final Map<Long, Watch> openWatches = new LinkedHashMap<>();
    private final Map<Long, Long> watchAtUs = new HashMap<>();
    private final SplittableRandom draws;
    /** When each keeper last answered, in this life. */
    private final Map<Integer, Long> heardUs = new HashMap<>();
    /** The newest version that another keeper has told of. */
    private long newestHeard;

    private boolean caughtUp;
    private long pulseAtUs;
    private long finishAtUs = Long.MAX_VALUE;
    private long rejectedWatches;
    private long deafUntilUs;
    private long discardedReports;
    private List<Effect> out = new ArrayList<>();
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
            Voter me,
            int keepers,
            List<Voter> founding,
            Rules rules,
            List<LogRecord> kept,
            long seed,
            long nowUs) {
        this.terms = terms;
        this.me = me;
        this.keepers = keepers;
        this.nowUs = nowUs;
        draws = new SplittableRandom(seed);
        history = new History(founding);
        Vote vote = Vote.empty(1);
        for (LogRecord each : kept) {
            if (each instanceof LogRecord.Chosen chosen) {
                history.append(chosen.version());
            } else if (each instanceof LogRecord.Snapshot whole) {
                history.installSnapshot(whole.rev(), whole.values());
            } else if (each instanceof LogRecord.Voted voted) {
                vote = voted.vote();
            }
        }
        acceptor = new Acceptor(vote);
        acceptor.advanceTo(history.rev());
        proposer = new Proposer(terms, me.keeper(), history, rules, draws.nextLong(), this::chosen);
        wholes = new Watch.Wholes(terms.snapshotPartBytes());
        pulseAtUs = nowUs;
        settle();
    }

    /** Its part in decisions, whole but for times and draws. */
    @Override
    public String toString() {
        Vote vote = acceptor.vote();
        return history.versionsAfter(0, ProtocolParameters.MAX_HISTORY_VERSION_COUNT).stream()
                        .map(v -> v.change().id())
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
        return heard(terms.voterTimeoutUs()) <= history.voters().size() / 2;
    }

    /** What a folder that is written anew has to hold, in order. */
    public List<LogRecord> toRecords() {
        List<LogRecord> all = history.toRecords();
        all.add(new LogRecord.Voted(acceptor.vote()));
        return all;
    }

    /** When {@link #tick} is to be called, in microseconds. */
    public long nextAtUs() {
        long next = Math.min(Math.min(pulseAtUs, finishAtUs), proposer.nextAtUs());
        for (long at : watchAtUs.values()) {
            next = Math.min(next, at);
        }
        return next;
    }

    /**
     * Whoever stood still finds reports that lay unread; how long nobody knows. They are let pass for a
     * while: nodes report again.
     */
    private void arrives(long now) {
        if (now - nowUs > 2 * terms.fetchIntervalUs()) {
            deafUntilUs = now + terms.fetchIntervalUs();
        }
        nowUs = now;
    }

    private List<Effect> events(long now, Runnable event) {
        arrives(now);
        out = new ArrayList<>();
        event.run();
        settle();
        List<Effect> done = out;
        out = new ArrayList<>();
        return done;
    }

    /** Time has passed. */
    public List<Effect> tick(long now) {
        return events(now, () -> {
            proposer.tick(now, out);
            if (now >= pulseAtUs) {
                pulseAtUs = now + terms.fetchIntervalUs();
                toOthers(new Request.Fetch(history.rev()));
            }
            if (now >= finishAtUs) {
                finishAtUs = Long.MAX_VALUE;
                proposer.recoverAccepted(now, out);
            }
            watchAtUs.replaceAll((id, at) -> now >= at ? send(id) : at);
        });
    }

    /** Another keeper asks; the effects hold its answer, once, under this number of the call. */
    public List<Effect> handleRequest(long now, long call, Request request) {
        return events(now, () -> {
            if (request instanceof Request.Prepare asked) {
                vote(call, asked.rev(), () -> acceptor.prepare(asked));
            } else if (request instanceof Request.Accept asked) {
                vote(call, asked.rev(), () -> acceptor.accept(asked));
            } else if (request instanceof Request.Chosen asked) {
                if (asked.version().rev() == history.rev() + 1) {
                    learn(asked.version());
                    proposer.historyAdvanced(nowUs, out);
                }
                out.add(new Effect.Reply(call, since(history.rev())));
            } else if (request instanceof Request.Fetch asked) {
                newestHeard = Math.max(newestHeard, asked.afterRev());
                out.add(new Effect.Reply(call, since(asked.afterRev())));
            }
        });
    }

    private boolean votes() {
        return history.voters().contains(me);
    }

    private void vote(long call, long rev, Supplier<Response> open) {
        if (rev <= history.rev()) {
            out.add(new Effect.Reply(call, since(rev - 1)));
        } else if (rev > history.rev() + 1 || !votes()) {
            out.add(new Effect.Reply(call, new Response.Behind(rev, history.rev())));
        } else {
            Vote before = acceptor.vote();
            Effect reply = new Effect.Reply(call, open.get());
            if (acceptor.vote().equals(before)) {
                out.add(reply);
            } else {
                out.add(new Effect.Persist(new LogRecord.Voted(acceptor.vote()), List.of(reply)));
            }
        }
    }

    private Response since(long after) {
        return history.covers(after) || after >= history.rev()
                ? new Response.Versions(
                        after,
                        history.rev(),
                        history.versionsAfter(after, ProtocolParameters.MAX_RESPONSE_VERSION_COUNT))
                : new Response.Snapshot(history.rev(), history.values());
    }

    /** Another keeper has answered what was sent to it. */
    public List<Effect> handleResponse(long now, int from, Response answer) {
        return events(now, () -> {
            heardUs.put(from, now);
            long before = history.rev();
            if (answer instanceof Response.Versions known) {
                known.versions().forEach(this::learn);
                newestHeard = Math.max(newestHeard, known.newestRev());
                if (history.rev() > before && known.newestRev() > history.rev()) {
                    out.add(new Effect.Send(from, new Request.Fetch(history.rev())));
                }
            } else if (answer instanceof Response.Snapshot whole) {
                newestHeard = Math.max(newestHeard, whole.rev());
                if (history.installSnapshot(whole.rev(), whole.values())) {
                    learned(new LogRecord.Snapshot(whole.rev(), whole.values()));
                }
            } else if (answer instanceof Response.Behind behind) {
                tellWhatItLacks(from, behind);
            }
            if (history.rev() > before) {
                proposer.historyAdvanced(now, out);
            }
            proposer.handleResponse(now, from, answer, out);
        });
    }

    private void tellWhatItLacks(int to, Response.Behind behind) {
        for (Version version :
                history.versionsAfter(behind.newestRev(), ProtocolParameters.MAX_RESPONSE_VERSION_COUNT)) {
            out.add(new Effect.Send(to, new Request.Chosen(version)));
        }
    }

    /** A version is known to be chosen. Need not be synced before it is told: a majority has it on disk. */
    private void learn(Version version) {
        if (history.append(version)) {
            learned(new LogRecord.Chosen(version));
        }
    }

    /** A version was chosen by its own proposal. */
    private void chosen(Version version) {
        learn(version);
        toOthers(new Request.Chosen(version));
    }

    private void toOthers(Request request) {
        for (int to = 0; to < keepers; to++) {
            if (to != me.keeper()) {
                out.add(new Effect.Send(to, request));
            }
        }
    }

    private void learned(LogRecord kept) {
        acceptor.advanceTo(history.rev());
        out.add(new Effect.Persist(kept, List.of()));
        watchAtUs.replaceAll((id, at) -> send(id));
    }

    /** An operator's change; {@link Effect.Conclude} follows once, at once or later. */
    public List<Effect> proposeChange(long now, long call, Change change) {
        return events(now, () -> {
            if (caughtUp) {
                proposer.propose(now, call, change, out);
            } else {
                out.add(new Effect.CompleteChange(call, new Outcome.Unavailable(NOT_CAUGHT_UP)));
            }
        });
    }

    /** A node wants to be told what comes after a version; lines follow, or the watch is refused. */
    public List<Effect> openWatch(long now, long watch, long after) {
        return events(now, () -> {
            String reason = !caughtUp
                    ? NOT_CAUGHT_UP
                    : after > history.rev()
                            ? "version " + after + " is not known here yet"
                            : openWatches.size() >= ProtocolParameters.MAX_WATCH_COUNT
                                    ? ProtocolParameters.MAX_WATCH_COUNT + " watches are open"
                                    : null;
            if (reason != null) {
                rejectedWatches++;
                out.add(new Effect.RejectWatch(watch, reason));
                return;
            }
            openWatches.put(watch, new Watch(now, terms, after));
            watchAtUs.put(watch, send(watch));
        });
    }

    /** A watch has ended, from either side. */
    public void watchEnded(long watch) {
        openWatches.remove(watch);
        watchAtUs.remove(watch);
    }

    /** A node's report. */
    public void handleReport(long now, Report report) {
        arrives(now);
        if (now < deafUntilUs) {
            discardedReports++;
        } else {
            inventory.addReport(now, report);
        }
    }

    /** Reports that were let pass, since it stood still before. */
    public long discardedReports() {
        return discardedReports;
    }

    private long send(long watch) {
        return openWatches.get(watch).send(nowUs, watch, terms, history, wholes, lacksQuorum(), out);
    }

    /** Voters that were heard within a time, itself among them if it votes. */
    private long heard(long withinUs) {
        return history.voters().stream()
                .filter(voter -> voter.equals(me)
                        || heardUs.getOrDefault(voter.keeper(), Long.MIN_VALUE / 2) >= nowUs - withinUs)
                .count();
    }

    /** What follows from any event: whether it has caught up, and whether something waits to be finished. */
    private void settle() {
        caughtUp |= heard(Long.MAX_VALUE / 2) > history.voters().size() / 2 && newestHeard <= history.rev();
        boolean isOpen = acceptor.vote().accepted() != null && votes();
        if (!isOpen) {
            finishAtUs = Long.MAX_VALUE;
        } else if (finishAtUs == Long.MAX_VALUE) {
            finishAtUs = nowUs + draws.nextLong(terms.recoveryDelayUs(), 2 * terms.recoveryDelayUs());
        }
    }
}
