package kitemux.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Membership decisions, snapshots, the refresh schedule and the parser of server lists. */
class MembershipTest {
    private static final long SECOND_US = 1_000_000;
    private static final long START_US = 1_790_000_000L * SECOND_US;
    private static final MemberSettings.HealthCheck HEALTH_CHECK =
            new MemberSettings.HealthCheck(3, 2, 0.5, 5 * SECOND_US, 60 * SECOND_US);

    private Membership membership = new Membership(new MemberSettings(0.5, 30 * SECOND_US, null));

    private static Member member(int number) {
        return new Member("web-" + number, "10.0.0." + number + ":80", number % 2, false);
    }

    private static Member draining(int number) {
        return new Member("web-" + number, "10.0.0." + number + ":80", number % 2, true);
    }

    private static List<Member> membersInRange(int first, int last) {
        return IntStream.rangeClosed(first, last)
                .mapToObj(MembershipTest::member)
                .toList();
    }

    /** Names of the servers that receive new requests. */
    private List<String> readyNames() {
        return membership.servers().stream()
                .filter(server -> !server.draining())
                .map(server -> server.member().name())
                .toList();
    }

    private void recordChecks(long atUs, boolean passed, int... numbers) {
        for (int number : numbers) {
            membership.recordCheck(atUs, "web-" + number, passed);
        }
    }

    // ---------------------------------------------------------------- lists

    @Test
    void largeLossTakesEffectOnlyAfterConfirmationPeriod() {
        membership.updateFromSource(START_US, membersInRange(1, 9));
        Membership.Decision afterLoss = membership.updateFromSource(START_US + SECOND_US, membersInRange(1, 2));
        assertNull(afterLoss.servers(), "all servers stay");
        assertEquals(
                List.of("the list of servers lacks 7 of 9 that it named, which is doubted: they "
                        + "stay for 30 s unless"
                        + " it names them again"),
                afterLoss.messages());
        // Repeating the list neither logs the loss again nor confirms it earlier.
        assertEquals(
                new Membership.Decision(null, List.of()),
                membership.updateFromSource(START_US + 20 * SECOND_US, membersInRange(1, 2)));
        assertEquals(START_US + 31 * SECOND_US, membership.nextTickUs());
        assertNull(membership.tick(START_US + 31 * SECOND_US - 1).servers());
        Membership.Decision confirmed = membership.tick(START_US + 31 * SECOND_US);
        assertEquals(List.of("web-1", "web-2"), readyNames());
        assertTrue(
                confirmed.messages().get(0).startsWith("7 servers that the list has lacked for 30 s are gone"),
                confirmed::toString);
        assertEquals(Long.MAX_VALUE, membership.nextTickUs());
    }

    @Test
    void recoveredSourceLosesNoServer() {
        membership.updateFromSource(START_US, membersInRange(1, 9));
        membership.updateFromSource(START_US + SECOND_US, List.of());
        assertEquals(9, readyNames().size(), "an empty list removes no server at once");
        membership.updateFromSource(START_US + 5 * SECOND_US, membersInRange(1, 9));
        assertEquals(Long.MAX_VALUE, membership.nextTickUs());
        membership.tick(START_US + 100 * SECOND_US);
        assertEquals(9, readyNames().size());
    }

    @Test
    void smallLossesAndDrainedServersAreRemovedAtOnce() {
        membership.updateFromSource(START_US, membersInRange(1, 9));
        membership.updateFromSource(START_US + SECOND_US, membersInRange(1, 5));
        assertEquals(List.of("web-1", "web-2", "web-3", "web-4", "web-5"), readyNames());
        List<Member> drained = new ArrayList<>(List.of(member(1)));
        IntStream.rangeClosed(2, 5).forEach(n -> drained.add(draining(n)));
        membership.updateFromSource(START_US + 2 * SECOND_US, drained);
        assertEquals(List.of("web-1"), readyNames(), "draining takes effect at once");
        membership.updateFromSource(START_US + 3 * SECOND_US, membersInRange(1, 1));
        assertEquals(1, membership.servers().size(), "drained servers were expected to leave");
    }

    /** Losing 4 of 9 servers is below half; losing more a second later exceeds half of the original servers. */
    @Test
    void successiveLossesWithinPeriodAreSummed() {
        membership.updateFromSource(START_US, membersInRange(1, 9));
        membership.updateFromSource(START_US + SECOND_US, membersInRange(1, 5));
        Membership.Decision more = membership.updateFromSource(START_US + 2 * SECOND_US, membersInRange(1, 3));
        assertNull(more.servers());
        assertEquals(1, more.messages().size());
        // After the confirmation period of the first loss, the same loss is allowed again.
        Membership later = new Membership(new MemberSettings(0.5, 30 * SECOND_US, null));
        later.updateFromSource(START_US, membersInRange(1, 9));
        later.updateFromSource(START_US + SECOND_US, membersInRange(1, 5));
        later.updateFromSource(START_US + 40 * SECOND_US, membersInRange(1, 3));
        assertEquals(3, later.servers().size());
    }

    @Test
    void ownerDescriptionTakesEffectWithoutConfirmation() {
        membership.replaceAll(START_US, membersInRange(1, 9));
        membership.replaceAll(START_US + SECOND_US, membersInRange(9, 9));
        assertEquals(List.of("web-9"), readyNames());
    }

    @Test
    void onlyJoinedOrMovedServersGetRecentStartTime() {
        membership.updateFromSource(START_US, membersInRange(1, 2));
        membership.updateFromSource(
                START_US + SECOND_US, List.of(member(1), new Member("web-2", "10.0.0.99:80", 0, false), member(3)));
        assertEquals(
                List.of(0L, START_US + SECOND_US, START_US + SECOND_US),
                membership.servers().stream()
                        .map(Membership.MemberStatus::startedUs)
                        .toList());
    }

    // ---------------------------------------------------------------- checks

    private void startWithHealthChecks(int servers) {
        membership = new Membership(new MemberSettings(0.5, 30 * SECOND_US, HEALTH_CHECK));
        membership.updateFromSource(START_US, membersInRange(1, servers));
    }

    @Test
    void consecutiveResultsEjectAndRestoreServerWithNewStartTime() {
        startWithHealthChecks(4);
        recordChecks(START_US + SECOND_US, false, 1);
        recordChecks(START_US + 2 * SECOND_US, true, 1);
        recordChecks(START_US + 3 * SECOND_US, false, 1, 1);
        assertEquals(4, readyNames().size(), "two consecutive failures are not three");
        recordChecks(START_US + 5 * SECOND_US, false, 1);
        assertEquals(List.of("web-2", "web-3", "web-4"), readyNames());
        assertEquals(4, membership.servers().size(), "an ejected server may finish its requests");
        recordChecks(START_US + 6 * SECOND_US, true, 1, 1, 1);
        assertEquals(3, readyNames().size(), "the ejection lasts five seconds");
        recordChecks(START_US + 10 * SECOND_US, true, 1);
        assertEquals(4, readyNames().size());
        assertEquals(START_US + 10 * SECOND_US, membership.servers().get(0).startedUs());
    }

    @Test
    void repeatedEjectionsDoubleEjectionTimeUpToMaximum() {
        startWithHealthChecks(4);
        long at = START_US;
        for (long hold : List.of(5L, 10L, 20L, 40L, 60L, 60L)) {
            recordChecks(at, false, 1, 1, 1);
            assertEquals(3, readyNames().size());
            recordChecks(at + hold * SECOND_US - 1, true, 1, 1, 1);
            assertEquals(3, readyNames().size(), hold + " s");
            at += hold * SECOND_US;
            recordChecks(at, true, 1);
            assertEquals(4, readyNames().size(), hold + " s");
        }
        // Healthy for the maximum ejection time: the ejection time starts again from its base.
        at += 60 * SECOND_US;
        recordChecks(at, false, 1, 1, 1);
        recordChecks(at + 5 * SECOND_US, true, 1, 1);
        assertEquals(4, readyNames().size());
    }

    @Test
    void checksEjectNoMoreThanMaximumRatio() {
        startWithHealthChecks(6);
        recordChecks(START_US + SECOND_US, false, 1, 1, 1, 2, 2, 2, 3, 3, 3);
        assertEquals(List.of("web-4", "web-5", "web-6"), readyNames());
        Membership.Decision fourth = null;
        for (int i = 0; i < 3; i++) {
            fourth = membership.recordCheck(START_US + 2 * SECOND_US, "web-4", false);
        }
        assertEquals(3, readyNames().size(), "at most half, the earliest failures first");
        assertTrue(readyNames().contains("web-4"), membership::toString);
        assertTrue(
                fourth.messages()
                        .contains("4 of 6 servers fail their checks: no more than 3 are taken out, as the checks may"
                                + " be wrong"),
                fourth::toString);
        recordChecks(START_US + 8 * SECOND_US, true, 1, 1);
        assertEquals(
                List.of("web-1", "web-5", "web-6"), readyNames(), "the fourth server is ejected in place of the first");
    }

    @Test
    void joinedServerReceivesNoRequestsBeforeFirstPassedCheck() {
        startWithHealthChecks(4);
        membership.updateFromSource(START_US + SECOND_US, membersInRange(1, 5));
        assertEquals(4, readyNames().size());
        recordChecks(START_US + 2 * SECOND_US, false, 5, 5, 5, 5);
        assertEquals(4, readyNames().size());
        recordChecks(START_US + 9 * SECOND_US, true, 5);
        assertEquals(5, readyNames().size());
        assertEquals(START_US + 9 * SECOND_US, membership.servers().get(4).startedUs());
        assertEquals(new Membership.Decision(null, List.of()), membership.recordCheck(START_US, "nobody", false));
    }

    // ---------------------------------------------------------------- snapshots

    @Test
    void restoredProcessKeepsEjectionsAndIgnoresEmptyList() throws MembershipSnapshot.InvalidSnapshotException {
        startWithHealthChecks(4);
        recordChecks(START_US + SECOND_US, false, 1, 1, 1);
        byte[] left = membership.snapshot("desk", START_US + 2 * SECOND_US).encode();
        membership = new Membership(new MemberSettings(0.5, 30 * SECOND_US, HEALTH_CHECK));
        membership.restore(START_US + 4 * SECOND_US, MembershipSnapshot.decode(left, "desk"));
        assertEquals(List.of("web-2", "web-3", "web-4"), readyNames());
        membership.updateFromSource(START_US + 4 * SECOND_US, List.of());
        assertEquals(4, membership.servers().size(), "an empty list right after a restart removes no server");
        recordChecks(START_US + 5 * SECOND_US, true, 1, 1);
        assertEquals(3, readyNames().size(), "the ejection time continues across the restart");
        recordChecks(START_US + 6 * SECOND_US, true, 1);
        assertEquals(4, readyNames().size());
        assertEquals(
                List.of(START_US + 6 * SECOND_US, 0L, 0L, 0L),
                membership.servers().stream()
                        .map(Membership.MemberStatus::startedUs)
                        .toList());
    }

    @Test
    void truncatedDamagedOrForeignSnapshotIsRejectedWithReason() throws MembershipSnapshot.InvalidSnapshotException {
        startWithHealthChecks(3);
        byte[] whole = membership.snapshot("desk", START_US).encode();
        assertEquals(3, MembershipSnapshot.decode(whole, "desk").members().size());
        for (int length = 0; length < whole.length; length++) {
            assertInvalid(Arrays.copyOf(whole, length), "desk");
        }
        for (int at = 0; at < whole.length; at++) {
            byte[] damaged = whole.clone();
            damaged[at] ^= 4;
            assertInvalid(damaged, "desk");
        }
        assertEquals("is of application \"desk\"", assertInvalid(whole, "shop"));
        String other = new String(whole, StandardCharsets.UTF_8).replace("members 1 ", "members 7 ");
        assertEquals("is of version 7, and this build reads 1", assertInvalid(other.getBytes(), "desk"));
    }

    private static String assertInvalid(byte[] text, String app) {
        return assertThrows(
                        MembershipSnapshot.InvalidSnapshotException.class,
                        () -> MembershipSnapshot.decode(text, app),
                        () -> new String(text))
                .getMessage();
    }

    // ---------------------------------------------------------------- random event sequences

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void drainingServersStayExcludedAndHalfOfOthersStayAvailable(long seed) {
        Random random = new Random(seed);
        startWithHealthChecks(8);
        long now = START_US;
        Map<String, Boolean> drainingByName = new HashMap<>();
        membersInRange(1, 8).forEach(server -> drainingByName.put(server.name(), false));
        for (int step = 0; step < 5_000; step++) {
            now += random.nextInt(2_000_000);
            switch (random.nextInt(8)) {
                case 0 -> {
                    List<Member> list = new ArrayList<>();
                    double listedRatio = random.nextDouble();
                    for (int number = 1; number <= 12; number++) {
                        if (random.nextDouble() < listedRatio) {
                            list.add(random.nextInt(4) == 0 ? draining(number) : member(number));
                        }
                    }
                    membership.updateFromSource(now, list);
                    list.forEach(server -> drainingByName.put(server.name(), server.draining()));
                }
                case 1 -> membership.tick(now);
                default -> membership.recordCheck(now, "web-" + (1 + random.nextInt(12)), random.nextInt(3) > 0);
            }
            List<Membership.MemberStatus> servers = membership.servers();
            long eligibleCount = servers.stream()
                    .filter(server -> !drainingByName.get(server.member().name()))
                    .count();
            long availableCount =
                    servers.stream().filter(server -> !server.draining()).count();
            for (Membership.MemberStatus server : servers) {
                assertTrue(
                        server.draining() || !drainingByName.get(server.member().name()),
                        "step " + step + ": " + server);
                assertTrue(server.startedUs() <= now, "step " + step + ": " + server);
            }
            assertTrue(
                    availableCount >= eligibleCount - eligibleCount / 2,
                    "step " + step + ": " + availableCount + " of " + eligibleCount);
        }
    }

    // ---------------------------------------------------------------- refresh schedule

    @Test
    void delaysAreJitteredDoubleWithFailuresAndResetOnSuccess() {
        RefreshSchedule minJitter = new RefreshSchedule(5 * SECOND_US, 60 * SECOND_US, () -> 0);
        RefreshSchedule maxJitter = new RefreshSchedule(5 * SECOND_US, 60 * SECOND_US, () -> 1);
        assertEquals(4_500_000, minJitter.recordSuccess());
        assertEquals(5_500_000, maxJitter.recordSuccess(), 1);
        List<Long> delays =
                IntStream.range(0, 6).mapToObj(i -> maxJitter.recordFailure()).toList();
        assertEquals(
                List.of(5 * SECOND_US, 10 * SECOND_US, 20 * SECOND_US, 40 * SECOND_US, 60 * SECOND_US, 60 * SECOND_US),
                delays);
        assertEquals(2_500_000, minJitter.recordFailure());
        IntStream.range(0, 100).forEach(i -> minJitter.recordFailure());
        assertEquals(30 * SECOND_US, minJitter.recordFailure());
        maxJitter.recordSuccess();
        assertEquals(0, maxJitter.consecutiveFailures());
        assertEquals(5 * SECOND_US, maxJitter.recordFailure());
    }

    // ---------------------------------------------------------------- parsing of lists

    private static List<String> parseErrors(String text) {
        List<String> errors = new ArrayList<>();
        List<Member> parsed = MemberListParser.parse(text.getBytes(), address -> address.startsWith("10."), errors);
        assertTrue(
                errors.isEmpty() != parsed.isEmpty() || text.contains("[]"),
                "a list is accepted completely or not at all");
        return errors;
    }

    @Test
    void listIsAcceptedWholeOrNotAtAllAndErrorsNameTheirFields() {
        assertEquals(
                List.of(),
                parseErrors("{\"servers\":[{\"name\":\"a\",\"address\":\"10.0.0.1:80\",\"rack\":1},"
                        + "{\"name\":\"b\",\"address\":\"10.0.0.2:80\",\"state\":\"draining\"}]}"));
        assertEquals(List.of(), parseErrors("{\"servers\":[]}"));
        assertEquals(List.of("servers: is missing or not a list"), parseErrors("{}"));
        assertTrue(parseErrors("{\"servers\":[{\"na").get(0).startsWith("is not JSON"));
        assertEquals(
                List.of(
                        "servers[0].name: is missing",
                        "servers[0].address: \"11.0.0.1:80\" is not an IPv4 address and port, or is not allowed",
                        "servers[0].rack: is negative",
                        "servers[0].state: is neither ready nor draining: \"Gone\"",
                        "servers[2].name: \"a\" is there twice",
                        "servers[2].address: \"10.0.0.1:80\" is there twice"),
                parseErrors("{\"servers\":[{\"address\":\"11.0.0.1:80\",\"rack\":-4,\"state\":\"Gone\"},"
                        + "{\"name\":\"a\",\"address\":\"10.0.0.1:80\"},{\"name\":\"a\",\"address\":"
                        + "\"10.0.0.1:80\"}]}"));
        StringBuilder many = new StringBuilder("{\"servers\":[");
        IntStream.range(0, 30).forEach(i -> many.append(i == 0 ? "{}" : ",{}"));
        assertEquals(21, parseErrors(many + "]}").size(), "20 errors and a count of the rest");
    }
}
