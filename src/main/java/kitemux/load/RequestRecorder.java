package kitemux.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import kitemux.Balancer.Result;
import kitemux.engine.Clock;
import kitemux.engine.Observer;
import kitemux.engine.RequestInfo;

/**
 * Collects the events of each request on a node's event loop, and hands the request to a sink once no further
 * events can follow. It never blocks: the sink drops and counts requests that it cannot accept.
 */
public final class RequestRecorder implements Observer {
    private final Clock time;
    private final Sink sink;
    private final Map<Long, OpenRequest> openRequests = new HashMap<>();

    /** Receives recorded requests. */
    public interface Sink {
        /** Accepts a request, or drops and counts it. Never blocks. */
        void offer(CapturedRequest request);
    }

    private static final class OpenRequest {
        final long arrivedUs;
        final int classIndex;
        final int tenantIndex;
        final boolean isRetry;
        final long remainingUs;
        final List<SentAttempt> attempts = new ArrayList<>(1);
        RequestOutcome answer = RequestOutcome.LEFT;
        long answeredUs;

        OpenRequest(long arrivedUs, RequestInfo request) {
            this.arrivedUs = arrivedUs;
            classIndex = request.classIndex();
            tenantIndex = request.tenant();
            isRetry = request.isRetry();
            remainingUs = request.remainingUs();
        }
    }

    private static final class SentAttempt {
        final String server;
        final long sentUs;
        long endedUs;
        Result result;

        SentAttempt(String server, long sentUs) {
            this.server = server;
            this.sentUs = sentUs;
        }
    }

    /** Creates a recorder without any requests. */
    public RequestRecorder(Clock time, Sink sink) {
        this.time = time;
        this.sink = sink;
    }

    @Override
    public void onRequestAccepted(long id, RequestInfo request) {
        openRequests.put(id, new OpenRequest(time.nowUs() - request.ageUs(), request));
    }

    @Override
    public void onAttemptStarted(long id, int attempt, String serverId, long deadlineUs) {
        OpenRequest openRequest = openRequests.get(id);
        if (openRequest != null) {
            openRequest.attempts.add(new SentAttempt(serverId, time.nowUs()));
        }
    }

    @Override
    public void onAttemptEnded(long id, int attempt, Result result) {
        OpenRequest openRequest = openRequests.get(id);
        if (openRequest != null && attempt < openRequest.attempts.size()) {
            openRequest.attempts.get(attempt).endedUs = time.nowUs();
            openRequest.attempts.get(attempt).result = result;
        }
    }

    @Override
    public void onRequestAnswered(long id, RequestOutcome answer) {
        OpenRequest openRequest = openRequests.get(id);
        if (openRequest != null) {
            openRequest.answer = answer;
            openRequest.answeredUs = time.nowUs();
        }
    }

    @Override
    public void onRequestReleased(long id) {
        OpenRequest openRequest = openRequests.remove(id);
        if (openRequest == null) {
            return;
        }
        List<CapturedRequest.Attempt> attempts = new ArrayList<>(openRequest.attempts.size());
        for (SentAttempt attempt : openRequest.attempts) {
            attempts.add(new CapturedRequest.Attempt(
                    attempt.server,
                    Math.max(0, attempt.sentUs - openRequest.arrivedUs),
                    Math.max(0, attempt.endedUs - attempt.sentUs),
                    attempt.result));
        }
        sink.offer(new CapturedRequest(
                openRequest.arrivedUs,
                openRequest.classIndex,
                openRequest.tenantIndex,
                openRequest.isRetry,
                openRequest.remainingUs,
                attempts,
                openRequest.answer,
                Math.max(0, openRequest.answeredUs - openRequest.arrivedUs)));
    }

    /** Returns the number of requests for which further events are expected. */
    int openCount() {
        return openRequests.size();
    }
}
