package kitemux.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import kitemux.Balancer;
import kitemux.Balancer.ListKind;
import kitemux.Balancer.Outcome;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.Request;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.Result;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.Balancer.Settings;
import kitemux.ServiceQBalancer;
import org.junit.jupiter.api.Test;

/** What the engine does at its gate and at deadlines. */
class EngineTest {
    private static final long AGO_US = 31;

    private static final long LEFT_US = 100_000;

    /** What the module is to hear of the request that is asked. */
    private long agoUs = AGO_US;

    /** Asked for by a test: what it cannot say stands still. */
    private record Ask(long remainingUs, long ageUs, boolean isStreamed) implements RequestInfo {
        Ask(long leftUs, long agoUs) {
            this(leftUs, agoUs, true);
        }

        Ask(long leftUs) {
            this(leftUs, AGO_US);
        }

        @Override
        public String txn() {
            return "t";
        }

        @Override
        public int classIndex() {
            return 0;
        }

        @Override
        public int tenant() {
            return -1;
        }

        @Override
        public long workUs() {
            return 0;
        }

        @Override
        public boolean isRetry() {
            return false;
        }

        @Override
        public String key() {
            return null;
        }

        @Override
        public String idempotencyKey() {
            return null;
        }

        @Override
        public List<byte[]> body() {
            return List.of();
        }
    }

    /** Timers that run when a test says so, as late as it likes. */
    private static final class HandTime implements Clock {
        private record Due(long atUs, Runnable task) {}

        private final List<Due> due = new ArrayList<>();
        private long nowUs = 1_000_000;
        private long unreadUs;

        @Override
        public long nowUs() {
            return nowUs;
        }

        @Override
        public long readLagUs() {
            return unreadUs;
        }

        @Override
        public Timer schedule(long us, Runnable task) {
            Due timer = new Due(nowUs + us, task);
            due.add(timer);
            return () -> due.remove(timer);
        }

        /** One turn's timers: those that are due now, and none that they set. */
        void runDue() {
            List<Due> now = due.stream()
                    .filter(t -> t.atUs <= nowUs)
                    .sorted(Comparator.comparingLong(Due::atUs))
                    .toList();
            due.removeAll(now);
            now.forEach(t -> t.task.run());
        }
    }

    private final HandTime time = new HandTime();
    private final List<Outcome> told = new ArrayList<>();
    private final List<String> answers = new ArrayList<>();
    private Transport.Exchange<Ask, String> exchange;
    private final List<Transport.Exchange<Ask, String>> exchanges = new ArrayList<>();
    private final List<String> heard = new ArrayList<>();
    /** Whether the server's connection is still coming up, and what was taken back meanwhile. */
    private boolean dialing;

    private final List<Transport.Exchange<Ask, String>> withdrawn = new ArrayList<>();
    /** Attempts that the module begins at once. */
    private int sends = 1;
    /** What waits at the gate; a test that puts nothing here has one that is open. */
    private List<Consumer<Boolean>> atGate;

    private final SendGate<Ask> gate = new SendGate<>() {
        @Override
        public void admit(
                long id,
                Ask request,
                int attempt,
                String serverId,
                Supplier<String> endpoint,
                long untilUs,
                Consumer<Boolean> then) {
            if (atGate == null) {
                then.accept(true);
            } else {
                atGate.add(then);
            }
        }

        @Override
        public long retryAfterUs() {
            return 7;
        }
    };

    private final Transport<Ask, String> transport = new Transport<>() {
        @Override
        public void start(String serverId, Exchange<Ask, String> started) {
            exchange = started;
            exchanges.add(started);
        }

        @Override
        public boolean abandon(String serverId, Exchange<Ask, String> given) {
            return given == exchange;
        }

        @Override
        public boolean withdraw(String serverId, Exchange<Ask, String> unsent) {
            return dialing && withdrawn.add(unsent);
        }

        @Override
        public Ask probeRequest() {
            throw new AssertionError("nobody asked for a probe");
        }

        @Override
        public String endpoint(String serverId) {
            return "127.0.0.1:1";
        }

        @Override
        public void closeIdle(String serverId) {
            throw new AssertionError("nobody asked for that");
        }
    };

    private final ResponseSink<String> client = new ResponseSink<>() {
        @Override
        public void onResponseStarted(String answer) {
            answers.add("begun " + answer);
        }

        @Override
        public void onServed(String answer) {
            answers.add(answer);
        }

        @Override
        public void onRefused(long retryAfterUs) {
            answers.add("refused " + retryAfterUs);
        }

        @Override
        public void onFailed() {
            answers.add("failed");
        }

        @Override
        public void onInternalError() {
            answers.add("broken");
        }
    };

    /** A module that sends all to one server and fails what does not come back served. */
    private Balancer module(Balancer.Actions actions) {
        return (Balancer) Proxy.newProxyInstance(
                Balancer.class.getClassLoader(), new Class<?>[] {Balancer.class}, (proxy, method, args) -> {
                    if (method.getName().equals("onRequest")) {
                        assertEquals(agoUs, ((Request) args[1]).ageUs(), "as the protocol has it");
                        for (int i = 0; i < sends; i++) {
                            actions.send(((Request) args[1]).id(), "s", 0);
                        }
                    } else if (method.getName().equals("onFirstByte")) {
                        heard.add("first byte " + args[2]);
                    } else if (method.getName().equals("onOutcome")) {
                        Outcome outcome = (Outcome) args[1];
                        told.add(outcome);
                        if (!outcome.requestEnded() && outcome.result() != Result.CANCELLED) {
                            actions.fail(outcome.requestId());
                        }
                    }
                    return null;
                });
    }

    private Engine<Ask, String> engine(Function<Balancer.Actions, Balancer> module) {
        return new Engine<>(
                3,
                time,
                transport,
                () -> {},
                Observer.NONE,
                gate,
                new Log() {
                    @Override
                    public void info(String text) {
                        throw new AssertionError(text);
                    }

                    @Override
                    public void error(String what, Throwable cause) {
                        throw new AssertionError(what, cause);
                    }
                },
                module);
    }

    private void ask(long leftUs) {
        ask(new Ask(leftUs));
    }

    private void ask(Ask asked) {
        agoUs = asked.ageUs();
        Engine<Ask, String> engine = engine(this::module);
        engine.dispatch(engine.accept(client, asked));
    }

    // ---------------------------------------------------------------- a node that is late itself

    @Test
    void anAnswerThatMayHaveLainUnreadCountsFromTheMiddleOfThatTime() {
        ask(LEFT_US);
        time.nowUs += 50_000;
        time.unreadUs = 40_000;
        exchange.onEnded(Result.OK, "yes");
        assertEquals(30_000, told.get(0).latencyUs());
    }

    @Test
    void noAnswerCountsAsReadBeforeItWasAskedFor() {
        ask(LEFT_US);
        time.nowUs += 10_000;
        time.unreadUs = 40_000;
        exchange.onEnded(Result.OK, "yes");
        assertEquals(5_000, told.get(0).latencyUs());
    }

    @Test
    void aLoopThatKeepsUpTakesNothingOffAndNeitherDoesWhatWasNeverRead() {
        ask(LEFT_US);
        time.nowUs += 50_000;
        exchange.onEnded(Result.OK, "yes");
        assertEquals(50_000, told.get(0).latencyUs());
        ask(LEFT_US);
        time.nowUs += 50_000;
        time.unreadUs = 40_000;
        exchange.onEnded(Result.RESET, null);
        assertEquals(50_000, told.get(1).latencyUs());
    }

    @Test
    void aServerThatWasLeftTooLittleTimeByThisNodeIsNeitherFullNorSilent() {
        ask(new Ask(5_000, 80_000));
        time.nowUs += 1_000;
        exchange.onEnded(Result.FULL, null);
        assertEquals(Result.MOOT, told.get(0).result());
        ask(new Ask(5_000, 80_000));
        time.nowUs += 5_000;
        time.runDue();
        assertEquals(Result.CANCELLED, told.get(1).result());
    }

    @Test
    void aServerThatHadMoreOfTheTimeThanThisNodeIsFullAndAnErrorIsAlwaysOne() {
        ask(new Ask(LEFT_US, 80_000));
        time.nowUs += 1_000;
        exchange.onEnded(Result.FULL, null);
        assertEquals(Result.FULL, told.get(0).result());
        ask(new Ask(5_000, 80_000));
        exchange.onEnded(Result.ERROR, null);
        assertEquals(Result.ERROR, told.get(1).result());
    }

    // ---------------------------------------------------------------- gate and deadlines

    @Test
    void aLoopThatKeepsUpGivesUpAtOnce() {
        ask(LEFT_US);
        time.nowUs += LEFT_US;
        time.runDue();
        assertEquals(List.of("failed"), answers);
        assertEquals(Result.TIMEOUT, told.get(0).result());
    }

    @Test
    void anAnswerThatHasBegunIsServedAtItsEndAndHasNoDeadline() {
        ask(LEFT_US);
        assertTrue(exchange.onResponseStarted("rows"));
        assertEquals(List.of("first byte 0"), heard);
        time.nowUs += 10 * LEFT_US;
        time.runDue();
        assertEquals(List.of("begun rows"), answers);
        exchange.onEnded(Result.OK, null);
        assertEquals(Arrays.asList("begun rows", null), answers);
        assertTrue(told.get(0).requestEnded());
    }

    /** The module is told its end as it begins; who carries it tells where it stops. */
    @Test
    void aLongAnswerIsServedAtItsEndAndHasNoDeadline() {
        ask(new Ask(LEFT_US, AGO_US, false));
        assertEquals(1_000_000 + LEFT_US, exchange.deadlineUs());
        assertTrue(exchange.onResponseStarted("long"));
        assertEquals(Result.OK, told.get(0).result());
        assertTrue(told.get(0).requestEnded());
        time.nowUs += 10 * LEFT_US;
        time.runDue();
        assertEquals(List.of("begun long"), answers);
        exchange.onEnded(Result.OK, null);
        assertEquals(Arrays.asList("begun long", null), answers);
        assertEquals(1, told.size());
    }

    @Test
    void anAnswerThatBreaksOffHasOneEndAndBeginsNoSecondTime() {
        ask(LEFT_US);
        Transport.Exchange<Ask, String> first = exchange;
        assertTrue(first.onResponseStarted("rows"));
        first.onEnded(Result.RESET, null);
        assertEquals(List.of("begun rows", "failed"), answers);
        assertEquals(Result.RESET, told.get(0).result());
        assertFalse(first.onResponseStarted("more"));
        first.onEnded(Result.OK, "late");
        assertEquals(List.of("begun rows", "failed"), answers);
        assertEquals(1, told.size());
    }

    @Test
    void ofTwoAttemptsTheOneThatBeganFirstAnswers() {
        sends = 2;
        ask(LEFT_US);
        assertEquals(2, exchanges.size());
        assertTrue(exchanges.get(1).onResponseStarted("rows"));
        assertFalse(exchanges.get(0).onResponseStarted("other rows"), "told to break it off");
        assertEquals(Result.CANCELLED, told.get(0).result());
        exchanges.get(1).onEnded(Result.OK, null);
        assertEquals(Arrays.asList("begun rows", null), answers);
    }

    @Test
    void aWholeAnswerBesideOneThatHasBegunIsNotServed() {
        sends = 2;
        ask(LEFT_US);
        assertTrue(exchanges.get(0).onResponseStarted("rows"));
        exchanges.get(1).onEnded(Result.OK, "whole");
        assertEquals(Result.CANCELLED, told.get(0).result(), "it may have run");
        assertEquals(List.of("begun rows"), answers);
        exchanges.get(0).onEnded(Result.OK, null);
        assertEquals(Arrays.asList("begun rows", null), answers);
    }

    @Test
    void anAnswerThatBeginsAfterItsClientHasLeftIsNotWanted() {
        Engine<Ask, String> engine = engine(this::module);
        Engine.PendingRequest<Ask, String> held = engine.accept(client, new Ask(LEFT_US));
        engine.dispatch(held);
        engine.clientDisconnected(held);
        assertFalse(exchange.onResponseStarted("rows"));
        assertEquals(List.of(), answers);
        assertEquals(0, engine.pendingCount());
    }

    @Test
    void theDecisionModuleTriesNothingAgainOnceAnAnswerHasBegun() {
        Settings settings = new Settings();
        settings.zones.add("z");
        settings.classes.add(new RequestClass("select", 200_000, 0, 1_000_000, 1, 0, RetrySafety.SAFE, null, 0, true));
        Engine<Ask, String> engine = engine(actions -> new ServiceQBalancer(settings, 1, actions));
        engine.updateServers(
                ListKind.FULL,
                List.of(
                        new ServerEntry("a", 0, 0, ServerState.READY, 1, 0),
                        new ServerEntry("b", 0, 0, ServerState.READY, 1, 0)),
                () -> {});
        engine.dispatch(engine.accept(client, new Ask(LEFT_US)));
        assertTrue(exchange.onResponseStarted("rows"));
        exchange.onEnded(Result.RESET, null);
        assertEquals(1, exchanges.size(), "a safe one is tried again only while nothing has come of it");
        assertEquals(List.of("begun rows", "refused 0"), answers);
        engine.dispatch(engine.accept(client, new Ask(LEFT_US)));
        exchange.onEnded(Result.RESET, null);
        assertEquals(3, exchanges.size(), "without a begin it passes on");
    }

    @Test
    void nothingIsSentBeforeTheGateOpens() {
        atGate = new ArrayList<>();
        ask(LEFT_US);
        assertEquals(null, exchange);
        atGate.get(0).accept(true);
        exchange.onEnded(Result.OK, "yes");
        assertEquals(List.of("yes"), answers);
    }

    private Engine.PendingRequest<Ask, String> askAndLeave() {
        agoUs = AGO_US;
        Engine<Ask, String> engine = engine(this::module);
        Engine.PendingRequest<Ask, String> held = engine.accept(client, new Ask(LEFT_US));
        engine.dispatch(held);
        engine.clientDisconnected(held);
        assertEquals(0, engine.pendingCount());
        return held;
    }

    /** The module calls nothing off here, as where the settings forbid it. */
    @Test
    void whatStandsAtTheGateIsTakenBackOnceItsClientHasLeft() {
        atGate = new ArrayList<>();
        askAndLeave();
        assertEquals(List.of(Result.MOOT), told.stream().map(Outcome::result).toList());
        atGate.get(0).accept(true);
        assertEquals(0, exchanges.size());
    }

    @Test
    void whatWaitsForAConnectionIsTakenBackOnceItsClientHasLeft() {
        dialing = true;
        askAndLeave();
        assertEquals(exchanges, withdrawn);
        assertEquals(List.of(Result.MOOT), told.stream().map(Outcome::result).toList());
    }

    @Test
    void theOtherAttemptIsTakenBackWhereItWasNotSentWhenOneIsServed() {
        sends = 2;
        ask(LEFT_US);
        dialing = true;
        exchanges.get(0).onEnded(Result.OK, "yes");
        assertEquals(
                List.of(Result.OK, Result.MOOT),
                told.stream().map(Outcome::result).toList());
        assertEquals(List.of("yes"), answers);
    }

    @Test
    void whatTheGateTurnsAwayIsRefusedAtOnceAndWasNeverSent() {
        atGate = new ArrayList<>();
        ask(LEFT_US);
        atGate.get(0).accept(false);
        assertEquals(List.of("refused 7"), answers);
        assertEquals(Result.MOOT, told.get(0).result());
        assertTrue(told.get(0).requestEnded());
        assertEquals(null, exchange);
    }

    @Test
    void aDeadlineHoldsAtTheGateAndAnOpeningThatComesLaterSendsNothing() {
        atGate = new ArrayList<>();
        ask(LEFT_US);
        time.nowUs += LEFT_US;
        time.runDue();
        assertEquals(List.of("failed"), answers);
        assertEquals(Result.MOOT, told.get(0).result(), "it has not run, and its server is not to blame");
        atGate.get(0).accept(true);
        assertEquals(null, exchange);
    }
}
