package kitemux.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import kitemux.Balancer.Result;
import kitemux.engine.RequestInfo;
import kitemux.engine.Observer;
import kitemux.engine.Clock;

/**
 * Gathers what a node sees of each request, on its loop, and hands it on once nothing more is heard of it. It
 * never waits: what cannot be handed on is counted and left out.
 */
public final class RequestRecorder implements Observer {
    private final Clock time;
    private final Sink sink;
    private final Map<Long, Open> open = new HashMap<>();

    /** Takes what is handed on. */
    public interface Sink {
        /** Takes it, or counts it as left out; never waits. */
        void offer(CapturedRequest seen);
    }

    private static final class Open {
        final long cameUs;
        final int classIndex;
        final int tenant;
        final boolean repeat;
        final long leftUs;
        final List<Sent> sent = new ArrayList<>(1);
        RequestOutcome answer = RequestOutcome.LEFT;
        long answeredUs;

        Open(long cameUs, RequestInfo asked) {
            this.cameUs = cameUs;
            classIndex = asked.classIndex();
            tenant = asked.tenant();
            repeat = asked.isRetry();
            leftUs = asked.remainingUs();
        }
    }

    private static final class Sent {
        final String server;
        final long atUs;
        long endedUs;
        Result result;

        Sent(String server, long atUs) {
            this.server = server;
            this.atUs = atUs;
        }
    }

    /** Holds nothing yet. */
    public RequestRecorder(Clock time, Sink sink) {
        this.time = time;
        this.sink = sink;
    }

    @Override
    public void onRequestAccepted(long id, RequestInfo request) {
        open.put(id, new Open(time.nowUs() - request.ageUs(), request));
    }

    @Override
    public void onAttemptStarted(long id, int attempt, String serverId, long untilUs) {
        Open of = open.get(id);
        if (of != null) {
            of.sent.add(new Sent(serverId, time.nowUs()));
        }
    }

    @Override
    public void onAttemptEnded(long id, int attempt, Result result) {
        Open of = open.get(id);
        if (of != null && attempt < of.sent.size()) {
            of.sent.get(attempt).endedUs = time.nowUs();
            of.sent.get(attempt).result = result;
        }
    }

    @Override
    public void onRequestAnswered(long id, RequestOutcome answer) {
        Open of = open.get(id);
        if (of != null) {
            of.answer = answer;
            of.answeredUs = time.nowUs();
        }
    }

    @Override
    public void onRequestReleased(long id) {
        Open of = open.remove(id);
        if (of == null) {
            return;
        }
        List<CapturedRequest.Attempt> attempts = new ArrayList<>(of.sent.size());
        for (Sent one : of.sent) {
            attempts.add(new CapturedRequest.Attempt(
                    one.server, Math.max(0, one.atUs - of.cameUs), Math.max(0, one.endedUs - one.atUs), one.result));
        }
        sink.offer(new CapturedRequest(
                of.cameUs,
                of.classIndex,
                of.tenant,
                of.repeat,
                of.leftUs,
                attempts,
                of.answer,
                Math.max(0, of.answeredUs - of.cameUs)));
    }

    /** Requests of which more is to be heard. */
    int openCount() {
        return open.size();
    }
}
