package kitemux.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Checks what is owed beside the answers to requests: nothing new to a server that discovery has said drains, no yes to the
 * front while clients are drained by hand, a ready successor in time, and an end for clients that stop within a request.
 */
final class DisruptionVerifier {
    /** Grace after discovery has told that a server drains: 500 ms, and 50 ms more over sockets. */
    static final long DRAIN_GRACE_US = 550_000;
    /** Time from a successor's yes on from which news of discovery binds it. */
    static final long NEWS_BINDS_AFTER_US = 2_000_000;
    /** Time after the call from which the front may not be told yes: 4 s, and 50 ms more over sockets. */
    static final long FRONT_TOLD_AFTER_US = 4_050_000;
    /** Time after a drain's end from which the front has to be told yes. */
    static final long FRONT_BACK_AFTER_US = 2_050_000;
    /** Time from its start in which a successor's yes is due. */
    static final long READY_TIMEOUT_US = 6_000_000;
    /** Time from its last byte in which a client that stops has to have its error or close. */
    static final long STOP_TIMEOUT_US = 3_000_000;

    /**
     * A time in which a server drains. Times are Unix time in microseconds.
     *
     * @param server index of the server
     * @param fromUs when the process that served had been told
     * @param toUs when discovery was about to tell that it is back
     * @param changeFromUs when the change of processes within that time began
     * @param readyUs when the successor said yes
     */
    record ServerDrain(int server, long fromUs, long toUs, long changeFromUs, long readyUs) {
        private boolean forbids(long atUs) {
            boolean isInChange = changeFromUs <= atUs && atUs <= readyUs + NEWS_BINDS_AFTER_US + DRAIN_GRACE_US;
            return fromUs + DRAIN_GRACE_US < atUs && atUs < toUs && !isInChange;
        }
    }

    /**
     * A drain of clients by hand. Times are Unix time in microseconds.
     *
     * @param fromUs when the call was answered
     * @param toUs when the call that ended it was made
     * @param endedUs when that call was answered
     * @param checkedUntilUs until when no other change followed
     */
    record ClientDrain(long fromUs, long toUs, long endedUs, long checkedUntilUs) {}

    /**
     * A process that started to replace another one.
     *
     * @param startUs Unix time in microseconds
     * @param readyUs when it said yes, Unix time in microseconds
     */
    record Start(long startUs, long readyUs) {}

    private DisruptionVerifier() {}

    /** Returns a line for each server that was sent requests while it drained. */
    static List<String> verifyServerDrains(Collection<ServerDrain> drains, Collection<SoakServer.Arrival> arrivals) {
        List<String> violations = new ArrayList<>();
        for (ServerDrain drain : drains) {
            List<SoakServer.Arrival> late = arrivals.stream()
                    .filter(arrival -> arrival.server() == drain.server && arrival.isReadAtOnce())
                    .filter(arrival -> drain.forbids(arrival.atUs()))
                    .toList();
            if (!late.isEmpty()) {
                violations.add(
                        "sent to a draining server: " + late.size() + " attempts, " + drain + ", first " + late.get(0));
            }
        }
        return violations;
    }

    /** Returns a line for each drain of clients in which the front was told yes, or after which it was not. */
    static List<String> verifyClientDrains(Collection<ClientDrain> drains, Collection<FrontProbe.Answer> answers) {
        List<String> violations = new ArrayList<>();
        for (ClientDrain drain : drains) {
            long yesCount = answers.stream()
                    .filter(answer -> answer.isYes()
                            && answer.askedUs() > drain.fromUs + FRONT_TOLD_AFTER_US
                            && answer.askedUs() < drain.toUs)
                    .count();
            if (yesCount > 0) {
                violations.add("front told yes while clients are drained: " + yesCount + " times, " + drain);
            }
            long noCount = answers.stream()
                    .filter(answer -> !answer.isYes()
                            && answer.askedUs() > drain.endedUs + FRONT_BACK_AFTER_US
                            && answer.askedUs() < drain.checkedUntilUs)
                    .count();
            if (noCount > 0) {
                violations.add("front told no after the drain's end: " + noCount + " times, " + drain);
            }
        }
        return violations;
    }

    /** Returns a line for each successor that was ready too late. */
    static List<String> verifyStarts(Collection<Start> starts) {
        return starts.stream()
                .filter(start -> start.readyUs - start.startUs > READY_TIMEOUT_US)
                .map(start -> "ready too late: " + start)
                .toList();
    }

    /**
     * Returns a line for each client that stopped and had neither an error nor a close in time, unless the machine held the
     * node up for longer than the platform does meanwhile.
     */
    static List<String> verifyStops(Collection<StoppingClient.Stop> stops, List<SoakVerifier.Hold> holds) {
        return stops.stream()
                .filter(stop -> holds.stream().noneMatch(hold -> hold.isWithin(stop.lastByteUs(), stop.endedUs())))
                .filter(stop -> stop.endedUs() - stop.lastByteUs() > STOP_TIMEOUT_US)
                .map(stop -> "no error or close within 3 s: " + stop)
                .toList();
    }
}
