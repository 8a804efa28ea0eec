package kitemux.ops;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import kitemux.Balancer.RequestClass;
import kitemux.engine.Observer;
import kitemux.engine.RequestInfo;

/** Counts what became of requests, from the start of the process. Memory: a number for each that is held. */
final class RequestMetrics implements Observer {
    private static final int SUCCESS = 0;
    private static final int OVERLOAD = 1;
    private static final int ERROR = 2;
    private static final List<String> OUTCOMES = List.of("success", "overload", "error");

    private final List<RequestClass> classes;
    private final long[][] replies;
    /** The class of each request that has had no answer yet. */
    private final Map<Long, Integer> open = new HashMap<>();

    private long reloads;
    private long failedReloads;

    RequestMetrics(List<RequestClass> classes) {
        this.classes = classes;
        replies = new long[classes.size()][OUTCOMES.size()];
    }

    @Override
    public void onRequestAccepted(long id, RequestInfo request) {
        open.put(id, request.classIndex());
    }

    @Override
    public void onRequestAnswered(long id, RequestOutcome answer) {
        int of = open.remove(id);
        switch (answer) {
            case SERVED -> replies[of][SUCCESS]++;
            case REFUSED -> replies[of][OVERLOAD]++;
            case FAILED, BROKEN -> replies[of][ERROR]++;
            case LEFT -> {}
        }
    }

    /** A request of this class was refused before anything else was done with it. */
    void turnedAway(int classIndex) {
        replies[classIndex][OVERLOAD]++;
    }

    /** The configuration was read again, and taken or not. */
    void reloaded(boolean taken) {
        if (taken) {
            reloads++;
        } else {
            failedReloads++;
        }
    }

    /**
     * One figure a line, as name=value.
     *
     * @param dispatches attempts written whole to servers
     * @param targets servers on the list
     * @param disabled of these, how many the node avoids
     */
    String text(long dispatches, int targets, int disabled) {
        StringBuilder text = new StringBuilder();
        for (int c = 0; c < replies.length; c++) {
            for (int outcome = 0; outcome < OUTCOMES.size(); outcome++) {
                line(text, "replies." + classes.get(c).name() + "." + OUTCOMES.get(outcome), replies[c][outcome]);
            }
        }
        line(text, "dispatches", dispatches);
        line(text, "concurrent", open.size());
        line(text, "targets", targets);
        line(text, "targets_disabled", disabled);
        line(text, "reload_success", reloads);
        line(text, "reload_failure", failedReloads);
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append("node.").append(name).append('=').append(value).append('\n');
    }
}
