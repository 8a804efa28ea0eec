package kitemux.world;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import kitemux.Balancer;
import kitemux.Balancer.ListKind;
import kitemux.Balancer.Outcome;
import kitemux.Balancer.Request;
import kitemux.Balancer.Result;
import kitemux.Balancer.ServerEntry;

/** Stands between a node and its module, and sees that each attempt that is asked for ends once, and
 * only once. */
final class Checked implements Balancer, Balancer.Actions {
    private final Judge judge;
    private final Tape tape;
    private final Actions out;
    private final Balancer module;
    /** How many attempts each request has had, and how many of them have not ended. */
    private final Map<Long, int[]> attempts = new HashMap<>();

    private final Map<Long, Integer> open = new HashMap<>();
    private int inFlight;

    Checked(Judge judge, Tape tape, Actions out, Function<Actions, Balancer> module) {
        this.judge = judge;
        this.tape = tape;
        this.out = out;
        this.module = module.apply(this);
    }

    /** Attempts that the module has asked for and heard no end of. */
    int inFlight() {
        return inFlight;
    }

    @Override
    public void send(long requestId, String serverId, long untilUs) {
        int[] ended = attempts.getOrDefault(requestId, new int[0]);
        int number = ended.length;
        attempts.put(requestId, java.util.Arrays.copyOf(ended, number + 1));
        open.merge(requestId, 1, Integer::sum);
        inFlight++;
        tape.note(Tape.What.SEND, requestId, number);
        if (tape.isOn()) {
            tape.line(Tape.What.SEND, "request " + requestId + " attempt " + number + " to " + serverId);
        }
        out.send(requestId, serverId, untilUs);
    }

    @Override
    public void onOutcome(long nowUs, Outcome outcome) {
        long id = outcome.requestId();
        int[] ended = attempts.getOrDefault(id, new int[0]);
        int number = outcome.attempt();
        tape.note(Tape.What.OUTCOME, id, number * 16 + outcome.result().ordinal());
        if (tape.isOn()) {
            tape.line(
                    Tape.What.OUTCOME,
                    "request " + id + " attempt " + number + " " + outcome.result()
                            + (outcome.requestEnded() ? ", over" : ""));
        }
        if (number >= ended.length) {
            judge.breach(
                    Rule.ENDS, "the end of attempt " + number + " of request " + id + ", which is not out, was told");
        } else if (ended[number]++ > 0) {
            judge.breach(Rule.ENDS, "the end of attempt " + number + " of request " + id + " was told twice");
        } else {
            inFlight--;
            if (open.merge(id, -1, Integer::sum) == 0) {
                open.remove(id);
            }
        }
        if (outcome.requestEnded() && !open.containsKey(id)) {
            attempts.remove(id);
        }
        module.onOutcome(nowUs, outcome);
    }

    // ---------------------------------------------------------------- passed on

    @Override
    public void onServers(long nowUs, ListKind kind, List<ServerEntry> entries) {
        module.onServers(nowUs, kind, entries);
    }

    @Override
    public void onListFailed(long nowUs) {
        module.onListFailed(nowUs);
    }

    @Override
    public void onRequest(long nowUs, Request request) {
        module.onRequest(nowUs, request);
    }

    @Override
    public void onFirstByte(long nowUs, long requestId, int attempt) {
        module.onFirstByte(nowUs, requestId, attempt);
    }

    @Override
    public void onClientGone(long nowUs, long requestId) {
        if (!open.containsKey(requestId)) {
            attempts.remove(requestId);
        }
        module.onClientGone(nowUs, requestId);
    }

    @Override
    public boolean mayWrite(long nowUs, long requestId, int attempt) {
        return module.mayWrite(nowUs, requestId, attempt);
    }

    @Override
    public void onProbe(long nowUs, String serverId, Result result, long latencyUs, double[] report) {
        module.onProbe(nowUs, serverId, result, latencyUs, report);
    }

    @Override
    public void onWake(long nowUs) {
        module.onWake(nowUs);
    }

    @Override
    public void cancel(long requestId, int attempt) {
        out.cancel(requestId, attempt);
    }

    @Override
    public void refuse(long requestId, long retryAfterUs) {
        forgetIfNoneIsOut(requestId);
        out.refuse(requestId, retryAfterUs);
    }

    @Override
    public void fail(long requestId) {
        forgetIfNoneIsOut(requestId);
        out.fail(requestId);
    }

    private void forgetIfNoneIsOut(long requestId) {
        if (!open.containsKey(requestId)) {
            attempts.remove(requestId);
        }
    }

    @Override
    public void wakeAt(long atUs) {
        out.wakeAt(atUs);
    }

    @Override
    public void probe(String serverId) {
        out.probe(serverId);
    }

    @Override
    public void closeIdle(String serverId) {
        out.closeIdle(serverId);
    }

    @Override
    public void subscribe() {
        out.subscribe();
    }

    @Override
    public void log(String line) {
        out.log(line);
    }
}
