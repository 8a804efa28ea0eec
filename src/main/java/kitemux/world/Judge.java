package kitemux.world;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.Settings;
import kitemux.sim.ColdStartLoad;
import kitemux.sim.Scheduler;

/**
 * Holds what servers, clients and discovery saw against the rules. It shares no code with the node: it knows
 * requests, connections and lists, and no engine, module or codec.
 */
final class Judge {
    /** By the protocol each time limit on sockets is so much longer. */
    private static final long LONGER_US = 50_000;
    /** After the client's deadline an answer still counts for so long. */
    private static final long GRACE_TO_ANSWER_US = 8_000;
    /**
     * So much more where a node is so short of its processor that time passes within its turns: the
     * operators'
     * fleet test counts an answer as lost from half a second after its time. */
    private static final long MORE_GRACE_WHERE_SLOW_US = 500_000 - GRACE_TO_ANSWER_US;
    /** In which a node has to see that a client has left: no attempt, first or further, begins after it,
     * also where the node stood still meanwhile. */
    private static final long LEFT_US = 100_000;
    /** In which a node has to pass on what a server gives of a long answer, by the operators' page. */
    private static final long WITHHELD_US = 2_000_000;
    /** After a request's time its final answer is not lost for so long, by the same. */
    private static final long LAST_ANSWER_US = 500_000;

    private static final int MOST_BREACHES = 20;

    private final Scheduler time;
    private final Tape tape;
    private final Settings settings;
    /** By how much more a node of this world may be late. */
    final long moreGraceNanos;

    private final List<Breach> breaches = new ArrayList<>();
    private final Map<String, Ask> asks = new HashMap<>();
    /** Attempts that are with servers and whose answer is not at the node's machine yet. */
    private final List<Ask.Run> out = new ArrayList<>();

    int served;
    int refused;
    int failed;

    Judge(Scheduler time, Tape tape, Settings settings, Plan plan) {
        this.time = time;
        boolean slow = plan.faults().stream().anyMatch(fault -> fault.kind() == Fault.Kind.NODE_SLOW);
        moreGraceNanos = slow ? MORE_GRACE_WHERE_SLOW_US * 1_000 : 0;
        this.tape = tape;
        this.settings = settings;
    }

    List<Breach> breaches() {
        return breaches;
    }

    void breach(Rule rule, String what) {
        tape.note(Tape.What.BREACH, rule.ordinal(), breaches.size());
        Breach breach = new Breach(rule, time.executedEventCount(), time.nowNanos() / 1e6, what);
        if (tape.isOn()) {
            tape.line(Tape.What.BREACH, breach.toString());
        }
        if (breaches.size() < MOST_BREACHES) {
            breaches.add(breach);
        }
    }

    // ---------------------------------------------------------------- clients

    void asked(Ask ask) {
        asks.put(ask.txn, ask);
    }

    /** When the answer to a request that was sent now is due at the latest, in nanoseconds. */
    static long dueAt(Ask ask) {
        return ask.sentAt + (ask.remainingUs + LONGER_US + GRACE_TO_ANSWER_US) * 1_000;
    }

    /** A whole answer has come; the writing of its last byte is known from the network. */
    void answered(Ask ask, Messages.Message answer) {
        int status = answer.status();
        ask.status = status;
        ask.answerSentAt = answer.lastSentAt();
        ask.answeredAt = time.nowNanos();
        tape.note(Tape.What.ANSWER, ask.number, status);
        if (tape.isOn()) {
            tape.line(Tape.What.ANSWER, ask + " " + status);
        }
        if (status == 200) {
            served++;
            if (ask.made.stream().noneMatch(made -> Arrays.equals(made, answer.body()))) {
                breach(Rule.ANSWERED, ask + " was served with what no server made for it");
            }
        } else if (status == 429 || status == 503) {
            refused++;
            String after = answer.header("retry-after");
            if (after != null && Double.parseDouble(after) * 1e6 > settings.maxRetryAfterUs) {
                breach(Rule.UNCHANGED, ask + " is to come back after " + after + " s");
            }
            for (Ask.Run run : ask.runs) {
                checkRefusal(ask, run);
            }
        } else {
            failed++;
            if (status < 500) {
                breach(Rule.UNCHANGED, ask + " is well formed and was turned down with " + status);
            }
        }
    }

    /** An answer that a node had begun to pass on has ended before it was whole. */
    void brokenOff(Ask ask) {
        failed++;
        Ask.Run given = ask.given();
        if (given != null) {
            breach(Rule.LONG_ANSWERS, ask + " was cut off though " + given.box + " was still giving");
        }
        tape.note(Tape.What.ANSWER, ask.number, 0);
        if (tape.isOn()) {
            tape.line(Tape.What.ANSWER, ask + " broken off");
        }
    }

    /**
     * Until when a long answer that comes may stand as it does, in nanoseconds, but for the time that its
     * node stands still: what is given may be withheld for so long, and what has stopped has its end by so
     * long after that, or after its client's time.
     *
     * @param heardAt when its client last had any of it
     */
    long longAnswerDueAt(Ask ask, long heardAt) {
        if (ask.given() != null) {
            return heardAt + (WITHHELD_US + LONGER_US) * 1_000;
        }
        long stoppedAt = ask.runs.stream().mapToLong(run -> run.stoppedAt).max().orElse(-1);
        return Math.max(
                        ask.sentAt + (ask.remainingUs + LAST_ANSWER_US) * 1_000,
                        (stoppedAt < 0 ? heardAt : stoppedAt) + WITHHELD_US * 1_000)
                + LONGER_US * 1_000;
    }

    /** A long answer has stood for longer than it may. */
    void stands(Ask ask, long heardAt) {
        breach(
                Rule.LONG_ANSWERS,
                ask + (ask.given() != null ? " is withheld since " : " has no end since ")
                        + (time.nowNanos() - heardAt) / 1_000_000 + " ms");
    }

    private void checkRefusal(Ask ask, Ask.Run run) {
        RequestClass cls = ask.cls;
        boolean harmless = cls.retrySafety() == RetrySafety.SAFE
                || cls.retrySafety() == RetrySafety.KEYED && cls.dedupScope() == DedupScope.ALL;
        if (!harmless && run.mayHaveRun(ask.answerSentAt)) {
            breach(Rule.EFFECTS, ask + " was refused though it may have run at " + run.box);
        }
    }

    /** No whole answer, though one was due or its connection has ended. */
    void lost(Ask ask, String how) {
        breach(Rule.ANSWERED, ask + " " + how);
    }

    // ---------------------------------------------------------------- servers

    /** The try that a request at a server belongs to; null if no client sent it in this form. */
    Ask askOf(Messages.Message request) {
        Ask ask = asks.get(String.valueOf(request.header("x-txn")));
        if (ask == null) {
            breach(Rule.UNCHANGED, "a server was asked for " + request.start() + " that no client sent");
            return null;
        }
        if (!request.start().equals(ask.what + " HTTP/1.1")
                || !Arrays.equals(request.body(), ask.body)
                || !Objects.equals(ask.idempotencyKey, request.header("idempotency-key"))) {
            breach(Rule.UNCHANGED, ask + " came to a server changed: " + request.start());
        }
        return ask;
    }

    /** A request came to a server whole. */
    void arrived(Ask ask, Ask.Run run, NodeHost from) {
        RequestClass cls = ask.cls;
        if (ask.isAnswered() && run.sentAt > ask.answeredAt) {
            breach(Rule.ANSWERED, ask + " was sent to " + run.box + " after its final answer");
        }
        if (ask.leftAt >= 0 && run.sentAt - ask.leftAt > (LEFT_US + LONGER_US) * 1_000) {
            breach(
                    Rule.GONE,
                    ask + " was sent to " + run.box + " " + (run.sentAt - ask.leftAt) / 1_000_000
                            + " ms after its client had left");
        }
        if (ask.status == 429 || ask.status == 503) {
            checkRefusal(ask, run);
        }
        if (ask.runs.size() >= settings.maxAttempts) {
            breach(Rule.EFFECTS, ask + " was sent more than " + settings.maxAttempts + " times");
        }
        for (Ask.Run earlier : ask.runs) {
            if (!earlier.mayHaveRun(run.sentAt)) {
                continue;
            }
            if (cls.retrySafety() == RetrySafety.UNSAFE) {
                breach(Rule.EFFECTS, ask + " was sent to " + run.box + " though it may have run at " + earlier.box);
            } else if (cls.retrySafety() == RetrySafety.KEYED
                    && cls.dedupScope() == DedupScope.CELL
                    && earlier.box.cell != run.box.cell) {
                breach(Rule.EFFECTS, ask + " was repeated at " + run.box + ", outside the group of " + earlier.box);
            } else if (cls.retrySafety() == RetrySafety.KEYED
                    && run.sentAt - earlier.sentAt > (cls.dedupWindowUs() + LONGER_US) * 1_000) {
                breach(
                        Rule.EFFECTS,
                        ask + " was repeated " + (run.sentAt - earlier.sentAt) / 1_000_000 + " ms after it was sent to "
                                + earlier.box);
            }
            if (!settings.hedgingAllowed
                    && !earlier.answerHeard
                    && !earlier.end.peer.closed
                    && !earlier.end.peer.resetIn
                    && !earlier.end.closed) {
                breach(Rule.EFFECTS, ask + " was at " + earlier.box + " and " + run.box + " at once");
            }
        }
        Long told = from.toldGone(run.box.uid);
        if (told != null && run.sentAt > told + (settings.drainGraceUs + LONGER_US) * 1_000) {
            breach(
                    Rule.DRAINS,
                    ask + " was sent to " + run.box + " " + (run.sentAt - told) / 1_000_000 + " ms after " + from
                            + " was told that it drains or has gone");
        }
        ask.runs.add(run);
        out.add(run);
    }

    /**
     * Work came to a server that is not warm yet.
     *
     * @param allowedUs what the settings allow it in their time, as warm as it is now
     * @return whether it falls over
     */
    boolean fallsOver(Box box, ColdStartLoad sent, double workUs, boolean fromTold, double allowedUs) {
        ColdStartLoad.Verdict verdict = sent.recordArrival(time.nowUs(), workUs, fromTold, allowedUs);
        if (verdict == ColdStartLoad.Verdict.OVERLOADED_BY_NODES) {
            breach(
                    Rule.COLD,
                    box + " was sent " + Math.round(sent.recentRequests()) + " requests in "
                            + settings.overloadWindowUs / 1_000 + " ms, in which it may get "
                            + Math.round(allowedUs / Clients.meanWorkUs()));
        }
        return verdict != ColdStartLoad.Verdict.WITHIN_LIMIT;
    }

    // ---------------------------------------------------------------- what is out

    /** Attempts of a node that are with servers, unanswered, on connections that its process has open. */
    int outOf(Machine node) {
        out.removeIf(run ->
                run.answerHeard || run.end.closed || run.end.resetIn || run.end.peer.closed || run.end.peer.resetIn);
        int count = 0;
        for (Ask.Run run : out) {
            count += run.end.peer.machine == node ? 1 : 0;
        }
        return count;
    }
}
