package kitemux.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks the observations of clients, servers and traces against the rules of the platform, independently of
 * the code of the node.
 */
final class SoakVerifier {
    /** How much more time than the client has left an attempt may announce to its server. */
    private static final long DEADLINE_SLACK_US = 150_000;
    /** By how much the rule on a keyed request's window is longer over sockets. */
    private static final long WINDOW_SLACK_US = 50_000;
    /** How long after its client has disconnected an attempt may still begin. */
    private static final long DISCONNECT_SLACK_US = 100_000;

    private static final String LOST = "lost";
    /** For how long the platform may hold a node up, in milliseconds. */
    private static final long MAX_HOLD_MS = 150;
    /** Interval of the trace's samples of the waits for a processor, and their own lateness, in microseconds. */
    private static final long SAMPLE_INTERVAL_US = 600_000;

    private static final Pattern PROCESSOR_WAIT =
            Pattern.compile("(\\d+) loop ran for \\d+ ms, waited for a processor for (\\d+)");

    /**
     * SIGKILL of a process without SIGTERM before, which came between these times; the requests that it held are the
     * client's to retry.
     *
     * @param fromUs Unix time in microseconds
     * @param toUs Unix time in microseconds
     */
    record UnannouncedKill(long fromUs, long toUs) {
        boolean isWithin(Request request) {
            return request.sentUs() <= toUs && fromUs <= request.endedUs();
        }
    }

    /**
     * A time in which the machine held a node up for longer than the platform does: its event loop was ready to run and had
     * no processor.
     *
     * @param fromUs Unix time in microseconds
     * @param toUs Unix time in microseconds
     */
    record Hold(long fromUs, long toUs) {
        boolean isWithin(Request request) {
            return isWithin(request.sentUs(), request.endedUs());
        }

        boolean isWithin(long startUs, long endUs) {
            return startUs <= toUs && fromUs <= endUs;
        }
    }

    /**
     * The time from SIGTERM to the end of a process, or of a kill; long answers may be cut off in it.
     *
     * @param fromUs Unix time in microseconds
     * @param toUs Unix time in microseconds
     */
    record ProcessEnd(long fromUs, long toUs) {}

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
     * @param ends ends of processes
     */
    static List<Violation> verify(
            Collection<Request> requests,
            Collection<SoakServer.Arrival> arrivals,
            List<String> traces,
            List<UnannouncedKill> kills,
            List<ProcessEnd> ends) {
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
        // A build that traces no write at all is held by its choices.
        boolean tracesWrites =
                traces.stream().anyMatch(line -> line.contains(" written") || line.contains(" withheld"));
        List<Hold> holds = findHolds(traces);
        List<Violation> violations = new ArrayList<>();
        for (Request request : requests) {
            List<SoakServer.Arrival> attempts = byTxn.getOrDefault(request.txn(), List.of());
            List<String> timeline = traceLines.getOrDefault(request.txn(), List.of());
            String rule = findBrokenRule(
                    request, attempts, timeline, readByNode.contains(request.txn()), tracesWrites, kills, ends);
            if (rule != null && !isExcused(request, rule, holds)) {
                violations.add(new Violation(rule, request, timeline));
            }
        }
        return violations;
    }

    /** Returns the times in which the machine held a node up, as the traces tell them. */
    static List<Hold> findHolds(List<String> traces) {
        List<Hold> holds = new ArrayList<>();
        for (String line : traces) {
            Matcher wait = PROCESSOR_WAIT.matcher(line);
            if (wait.matches() && Long.parseLong(wait.group(2)) > MAX_HOLD_MS) {
                long toUs = Long.parseLong(wait.group(1));
                holds.add(new Hold(toUs - SAMPLE_INTERVAL_US, toUs));
            }
        }
        return holds;
    }

    /**
     * Returns whether an answer is only late, and the machine held a node up meanwhile. A connection that ends without an
     * answer is not excused by that.
     */
    private static boolean isExcused(Request request, String rule, List<Hold> holds) {
        return rule.equals(LOST)
                && request.outcome() == Request.Outcome.SILENT
                && holds.stream().anyMatch(hold -> hold.isWithin(request));
    }

    /** Counts requests whose answer was late while the machine held a node up. */
    static long countHeldUpRequests(Collection<Request> requests, List<String> traces) {
        List<Hold> holds = findHolds(traces);
        return requests.stream()
                .filter(request -> request.outcome() == Request.Outcome.SILENT)
                .filter(request -> holds.stream().anyMatch(hold -> hold.isWithin(request)))
                .count();
    }

    private static String findBrokenRule(
            Request request,
            List<SoakServer.Arrival> attempts,
            List<String> timeline,
            boolean readByNode,
            boolean tracesWrites,
            List<UnannouncedKill> kills,
            List<ProcessEnd> ends) {
        if (request.outcome() == Request.Outcome.TRUNCATED
                && attempts.stream().noneMatch(SoakServer.Arrival::stopsWithinBody)
                && ends.stream()
                        .noneMatch(end -> request.sentUs() <= end.toUs() && end.fromUs() <= request.endedUs())) {
            return "answer cut off";
        }
        boolean unanswered = request.outcome() == Request.Outcome.SILENT
                || request.outcome() == Request.Outcome.BROKEN && readByNode;
        if (unanswered && kills.stream().noneMatch(kill -> kill.isWithin(request))) {
            return LOST;
        }
        if (request.classIndex() == Request.UNSAFE_CLASS_INDEX
                && attempts.stream().filter(SoakServer.Arrival::mayHaveRun).count() > 1) {
            return "run twice";
        }
        List<Long> writtenUs = timesOf(timeline, " written");
        if (request.classIndex() == Request.KEYED_CLASS_INDEX
                && !writtenUs.isEmpty()
                && writtenUs.get(writtenUs.size() - 1) - writtenUs.get(0) > Request.DEDUP_WINDOW_US + WINDOW_SLACK_US
                && attempts.stream().filter(SoakServer.Arrival::mayHaveRun).count() > 1) {
            return "keyed request repeated after its window";
        }
        if (attempts.stream()
                .filter(SoakServer.Arrival::isReadAtOnce)
                .anyMatch(attempt -> attempt.remainingUs()
                        > request.sentUs() + request.remainingUs() - attempt.atUs() + DEADLINE_SLACK_US)) {
            return "announced deadline too long";
        }
        List<Long> begunUs = tracesWrites ? writtenUs : timesOf(timeline, " us left");
        if (request.outcome() == Request.Outcome.LEFT
                && begunUs.stream().anyMatch(atUs -> atUs > request.endedUs() + DISCONNECT_SLACK_US)) {
            return "attempt begun after the client disconnected";
        }
        return null;
    }

    /** Returns the times of the lines on attempts with this text, in their order, in microseconds. */
    private static List<Long> timesOf(List<String> timeline, String text) {
        return timeline.stream()
                .filter(line -> line.contains(" attempt ") && line.contains(text))
                .map(line -> Long.parseLong(line.split(" ")[0]))
                .sorted()
                .toList();
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
