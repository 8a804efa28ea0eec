package kitemux.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the observations of clients, servers and traces against the rules of the platform, independently of
 * the code of the node.
 */
final class SoakVerifier {
    /** How much more time than the client has left an attempt may announce to its server. */
    private static final long DEADLINE_SLACK_US = 150_000;
    /** How long after its client has disconnected an attempt may still begin. */
    private static final long DISCONNECT_SLACK_US = 100_000;

    /**
     * SIGKILL of a process without SIGTERM before; the requests that it held are the client's to retry.
     *
     * @param atUs Unix time in microseconds
     */
    record UnannouncedKill(long atUs) {}

    /**
     * A broken rule.
     *
     * @param rule what was violated
     * @param request the request in question
     * @param timeline trace lines of the request
     */
    record Violation(String rule, Request request, List<String> timeline) {}

    private SoakVerifier() {}

    /**
     * Returns all violations, at most one for each request.
     *
     * @param requests all requests with their outcomes
     * @param arrivals all attempts that reached a server
     * @param traces trace lines of all processes
     * @param kills kills without SIGTERM before
     */
    static List<Violation> verify(
            Collection<Request> requests,
            Collection<SoakServer.Arrival> arrivals,
            List<String> traces,
            List<UnannouncedKill> kills) {
        Map<String, List<SoakServer.Arrival>> byTxn = new HashMap<>();
        arrivals.forEach(arrival ->
                byTxn.computeIfAbsent(arrival.txn(), txn -> new ArrayList<>()).add(arrival));
        Set<String> readByNode = new HashSet<>(byTxn.keySet());
        Map<String, List<String>> traceLines = new HashMap<>();
        for (String line : traces) {
            String[] fields = line.split(" ");
            if (fields.length > 2 && fields[1].equals("request")) {
                readByNode.add(fields[2]);
                traceLines.computeIfAbsent(fields[2], txn -> new ArrayList<>()).add(line);
            }
        }
        List<Violation> violations = new ArrayList<>();
        for (Request request : requests) {
            List<SoakServer.Arrival> attempts = byTxn.getOrDefault(request.txn(), List.of());
            List<String> timeline = traceLines.getOrDefault(request.txn(), List.of());
            String rule = findBrokenRule(request, attempts, timeline, readByNode.contains(request.txn()), kills);
            if (rule != null) {
                violations.add(new Violation(rule, request, timeline));
            }
        }
        return violations;
    }

    private static String findBrokenRule(
            Request request,
            List<SoakServer.Arrival> attempts,
            List<String> timeline,
            boolean readByNode,
            List<UnannouncedKill> kills) {
        boolean unanswered = request.outcome() == Request.Outcome.SILENT
                || request.outcome() == Request.Outcome.BROKEN && readByNode;
        if (unanswered
                && kills.stream().noneMatch(kill -> request.sentUs() <= kill.atUs && kill.atUs <= request.endedUs())) {
            return "lost";
        }
        if (request.classIndex() == Request.UNSAFE_CLASS_INDEX && attempts.size() > 1) {
            return "run twice";
        }
        if (attempts.stream()
                .anyMatch(attempt -> attempt.remainingUs()
                        > request.sentUs() + request.remainingUs() - attempt.atUs() + DEADLINE_SLACK_US)) {
            return "announced deadline too long";
        }
        if (request.outcome() == Request.Outcome.LEFT
                && timeline.stream()
                        .filter(line -> line.contains(" attempt ") && line.contains(" us left"))
                        .anyMatch(
                                line -> Long.parseLong(line.split(" ")[0]) > request.endedUs() + DISCONNECT_SLACK_US)) {
            return "attempt begun after the client disconnected";
        }
        return null;
    }

    /**
     * Counts requests whose connection ended before the node had read them. This breaks no rule, but is
     * reported as a cost.
     */
    static long countUnreadRequests(Collection<Request> requests, List<Violation> violations) {
        Set<String> lost = new HashSet<>();
        violations.forEach(violation -> lost.add(violation.request().txn()));
        return requests.stream()
                .filter(request -> request.outcome() == Request.Outcome.BROKEN)
                .filter(request -> !lost.contains(request.txn()))
                .count();
    }
}
