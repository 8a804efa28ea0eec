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

class MembershipTest {
    private static final long S = 1_000_000;
    private static final long NOW = 1_790_000_000L * S;
    private static final MemberSettings.HealthCheck CHECKED = new MemberSettings.HealthCheck(3, 2, 0.5, 5 * S, 60 * S);

    private Membership members = new Membership(new MemberSettings(0.5, 30 * S, null));

    private static Member member(int number) {
        return new Member("web-" + number, "10.0.0." + number + ":80", number % 2, false);
    }

    private static Member draining(int number) {
        return new Member("web-" + number, "10.0.0." + number + ":80", number % 2, true);
    }

    private static List<Member> from(int first, int last) {
        return IntStream.rangeClosed(first, last)
                .mapToObj(MembershipTest::member)
                .toList();
    }

    /** Names of those that get something new, of all that are served. */
    private List<String> ready() {
        return members.servers().stream()
                .filter(one -> !one.draining())
                .map(one -> one.member().name())
                .toList();
    }

    private void checks(long atUs, boolean passed, int... numbers) {
        for (int number : numbers) {
            members.recordCheck(atUs, "web-" + number, passed);
        }
    }

    // ---------------------------------------------------------------- lists

    @Test
    void aListThatLosesMostAtOnceIsDoubtedUntilItHasSaidSoForLong() {
        members.updateFromSource(NOW, from(1, 9));
        Membership.Decision lost = members.updateFromSource(NOW + S, from(1, 2));
        assertNull(lost.servers(), "all stay");
        assertEquals(
                List.of("the list of servers lacks 7 of 9 that it named, which is doubted: they "
                        + "stay for 30 s unless"
                        + " it names them again"),
                lost.messages());
        // Said again, it is neither told again nor sooner believed.
        assertEquals(new Membership.Decision(null, List.of()), members.updateFromSource(NOW + 20 * S, from(1, 2)));
        assertEquals(NOW + 31 * S, members.nextTickUs());
        assertNull(members.tick(NOW + 31 * S - 1).servers());
        Membership.Decision sure = members.tick(NOW + 31 * S);
        assertEquals(List.of("web-1", "web-2"), ready());
        assertTrue(
                sure.messages().get(0).startsWith("7 servers that the list has lacked for 30 s are gone"),
                sure::toString);
        assertEquals(Long.MAX_VALUE, members.nextTickUs());
    }

    @Test
    void aSourceThatComesToItselfHasLostNobody() {
        members.updateFromSource(NOW, from(1, 9));
        members.updateFromSource(NOW + S, List.of());
        assertEquals(9, ready().size(), "an empty list empties nothing");
        members.updateFromSource(NOW + 5 * S, from(1, 9));
        assertEquals(Long.MAX_VALUE, members.nextTickUs());
        members.tick(NOW + 100 * S);
        assertEquals(9, ready().size());
    }

    @Test
    void aFewThatGoAreGoneAtOnceAndSoAreThoseThatDrained() {
        members.updateFromSource(NOW, from(1, 9));
        members.updateFromSource(NOW + S, from(1, 5));
        assertEquals(List.of("web-1", "web-2", "web-3", "web-4", "web-5"), ready());
        List<Member> drained = new ArrayList<>(List.of(member(1)));
        IntStream.rangeClosed(2, 5).forEach(n -> drained.add(draining(n)));
        members.updateFromSource(NOW + 2 * S, drained);
        assertEquals(List.of("web-1"), ready(), "that they drain is said of each, and holds at once");
        members.updateFromSource(NOW + 3 * S, from(1, 1));
        assertEquals(1, members.servers().size(), "those that drained were to go");
    }

    /** Four in nine are no half; four more of what is left a second later are, of what there was. */
    @Test
    void whatIsLostBitByBitIsAddedUp() {
        members.updateFromSource(NOW, from(1, 9));
        members.updateFromSource(NOW + S, from(1, 5));
        Membership.Decision more = members.updateFromSource(NOW + 2 * S, from(1, 3));
        assertNull(more.servers());
        assertEquals(1, more.messages().size());
        // Once the first are lost for long enough, as much may go again.
        Membership later = new Membership(new MemberSettings(0.5, 30 * S, null));
        later.updateFromSource(NOW, from(1, 9));
        later.updateFromSource(NOW + S, from(1, 5));
        later.updateFromSource(NOW + 40 * S, from(1, 3));
        assertEquals(3, later.servers().size());
    }

    @Test
    void whatTheOwnerDescribesIsNotDoubted() {
        members.replaceAll(NOW, from(1, 9));
        members.replaceAll(NOW + S, from(9, 9));
        assertEquals(List.of("web-9"), ready());
    }

    @Test
    void whoJoinsOrMovesHasJustBegunAndWhoWasThereHasNot() {
        members.updateFromSource(NOW, from(1, 2));
        members.updateFromSource(NOW + S, List.of(member(1), new Member("web-2", "10.0.0.99:80", 0, false), member(3)));
        assertEquals(
                List.of(0L, NOW + S, NOW + S),
                members.servers().stream()
                        .map(Membership.MemberStatus::startedUs)
                        .toList());
    }

    // ---------------------------------------------------------------- checks

    private void checked(int servers) {
        members = new Membership(new MemberSettings(0.5, 30 * S, CHECKED));
        members.updateFromSource(NOW, from(1, servers));
    }

    @Test
    void failuresInARowTakeOneOutAndPassesInARowBringItBackAsIfItHadJustBegun() {
        checked(4);
        checks(NOW + S, false, 1);
        checks(NOW + 2 * S, true, 1);
        checks(NOW + 3 * S, false, 1, 1);
        assertEquals(4, ready().size(), "two in a row are not three");
        checks(NOW + 5 * S, false, 1);
        assertEquals(List.of("web-2", "web-3", "web-4"), ready());
        assertEquals(4, members.servers().size(), "it may finish what it has");
        checks(NOW + 6 * S, true, 1, 1, 1);
        assertEquals(3, ready().size(), "it stays out for five seconds");
        checks(NOW + 10 * S, true, 1);
        assertEquals(4, ready().size());
        assertEquals(NOW + 10 * S, members.servers().get(0).startedUs());
    }

    @Test
    void oneThatGoesToAndFroStaysOutForTwiceAsLongEachTime() {
        checked(4);
        long at = NOW;
        for (long hold : List.of(5L, 10L, 20L, 40L, 60L, 60L)) {
            checks(at, false, 1, 1, 1);
            assertEquals(3, ready().size());
            checks(at + hold * S - 1, true, 1, 1, 1);
            assertEquals(3, ready().size(), hold + " s");
            at += hold * S;
            checks(at, true, 1);
            assertEquals(4, ready().size(), hold + " s");
        }
        // Well for a minute: it begins anew.
        at += 60 * S;
        checks(at, false, 1, 1, 1);
        checks(at + 5 * S, true, 1, 1);
        assertEquals(4, ready().size());
    }

    @Test
    void checksThatTakeMostOutAreNotBelieved() {
        checked(6);
        checks(NOW + S, false, 1, 1, 1, 2, 2, 2, 3, 3, 3);
        assertEquals(List.of("web-4", "web-5", "web-6"), ready());
        Membership.Decision fourth = null;
        for (int i = 0; i < 3; i++) {
            fourth = members.recordCheck(NOW + 2 * S, "web-4", false);
        }
        assertEquals(3, ready().size(), "no more than half, those first that failed first");
        assertTrue(ready().contains("web-4"), members::toString);
        assertTrue(
                fourth.messages()
                        .contains("4 of 6 servers fail their checks: no more than 3 are taken out, as the checks may"
                                + " be wrong"),
                fourth::toString);
        checks(NOW + 8 * S, true, 1, 1);
        assertEquals(List.of("web-1", "web-5", "web-6"), ready(), "now it is the fourth's turn");
    }

    @Test
    void whoJoinsGetsNothingBeforeACheckHasPassed() {
        checked(4);
        members.updateFromSource(NOW + S, from(1, 5));
        assertEquals(4, ready().size());
        checks(NOW + 2 * S, false, 5, 5, 5, 5);
        assertEquals(4, ready().size());
        checks(NOW + 9 * S, true, 5);
        assertEquals(5, ready().size());
        assertEquals(NOW + 9 * S, members.servers().get(4).startedUs());
        assertEquals(new Membership.Decision(null, List.of()), members.recordCheck(NOW, "nobody", false));
    }

    // ---------------------------------------------------------------- from one process to the next

    @Test
    void theNextProcessBeginsWithWhoWasOutAndDoubtsAnEmptyList() throws MembershipSnapshot.InvalidSnapshotException {
        checked(4);
        checks(NOW + S, false, 1, 1, 1);
        byte[] left = members.snapshot("desk", NOW + 2 * S).encode();
        members = new Membership(new MemberSettings(0.5, 30 * S, CHECKED));
        members.restore(NOW + 4 * S, MembershipSnapshot.decode(left, "desk"));
        assertEquals(List.of("web-2", "web-3", "web-4"), ready());
        members.updateFromSource(NOW + 4 * S, List.of());
        assertEquals(4, members.servers().size(), "discovery has come up empty beside it");
        checks(NOW + 5 * S, true, 1, 1);
        assertEquals(3, ready().size(), "its five seconds run on");
        checks(NOW + 6 * S, true, 1);
        assertEquals(4, ready().size());
        assertEquals(
                List.of(NOW + 6 * S, 0L, 0L, 0L),
                members.servers().stream()
                        .map(Membership.MemberStatus::startedUs)
                        .toList());
    }

    @Test
    void aTextThatIsCutDamagedOrForeignIsNoneAndSaysWhy() throws MembershipSnapshot.InvalidSnapshotException {
        checked(3);
        byte[] whole = members.snapshot("desk", NOW).encode();
        assertEquals(3, MembershipSnapshot.decode(whole, "desk").members().size());
        for (int length = 0; length < whole.length; length++) {
            unusable(Arrays.copyOf(whole, length), "desk");
        }
        for (int at = 0; at < whole.length; at++) {
            byte[] damaged = whole.clone();
            damaged[at] ^= 4;
            unusable(damaged, "desk");
        }
        assertEquals("is of application \"desk\"", unusable(whole, "shop"));
        String other = new String(whole, StandardCharsets.UTF_8).replace("members 1 ", "members 7 ");
        assertEquals("is of version 7, and this build reads 1", unusable(other.getBytes(), "desk"));
    }

    private static String unusable(byte[] text, String app) {
        return assertThrows(
                        MembershipSnapshot.InvalidSnapshotException.class,
                        () -> MembershipSnapshot.decode(text, app),
                        () -> new String(text))
                .getMessage();
    }

    // ---------------------------------------------------------------- whatever comes in whatever order

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void whateverIsToldWhoDrainsGetsNothingAndHalfOfTheOthersGetsSomething(long seed) {
        Random random = new Random(seed);
        checked(8);
        long now = NOW;
        Map<String, Boolean> said = new HashMap<>();
        from(1, 8).forEach(one -> said.put(one.name(), false));
        for (int step = 0; step < 5_000; step++) {
            now += random.nextInt(2_000_000);
            switch (random.nextInt(8)) {
                case 0 -> {
                    List<Member> list = new ArrayList<>();
                    double there = random.nextDouble();
                    for (int number = 1; number <= 12; number++) {
                        if (random.nextDouble() < there) {
                            list.add(random.nextInt(4) == 0 ? draining(number) : member(number));
                        }
                    }
                    members.updateFromSource(now, list);
                    list.forEach(one -> said.put(one.name(), one.draining()));
                }
                case 1 -> members.tick(now);
                default -> members.recordCheck(now, "web-" + (1 + random.nextInt(12)), random.nextInt(3) > 0);
            }
            List<Membership.MemberStatus> serving = members.servers();
            long could = serving.stream()
                    .filter(one -> !said.get(one.member().name()))
                    .count();
            long gets = serving.stream().filter(one -> !one.draining()).count();
            for (Membership.MemberStatus one : serving) {
                assertTrue(one.draining() || !said.get(one.member().name()), "step " + step + ": " + one);
                assertTrue(one.startedUs() <= now, "step " + step + ": " + one);
            }
            assertTrue(gets >= could - could / 2, "step " + step + ": " + gets + " of " + could);
        }
    }

    // ---------------------------------------------------------------- when a source is asked

    @Test
    void pausesDifferByChanceDoubleWithFailuresAndEndWithAnAnswer() {
        RefreshSchedule least = new RefreshSchedule(5 * S, 60 * S, () -> 0);
        RefreshSchedule most = new RefreshSchedule(5 * S, 60 * S, () -> 1);
        assertEquals(4_500_000, least.recordSuccess());
        assertEquals(5_500_000, most.recordSuccess(), 1);
        List<Long> pauses =
                IntStream.range(0, 6).mapToObj(i -> most.recordFailure()).toList();
        assertEquals(List.of(5 * S, 10 * S, 20 * S, 40 * S, 60 * S, 60 * S), pauses);
        assertEquals(2_500_000, least.recordFailure());
        IntStream.range(0, 100).forEach(i -> least.recordFailure());
        assertEquals(30 * S, least.recordFailure());
        most.recordSuccess();
        assertEquals(0, most.consecutiveFailures());
        assertEquals(5 * S, most.recordFailure());
    }

    // ---------------------------------------------------------------- lists as text

    private static List<String> faults(String text) {
        List<String> faults = new ArrayList<>();
        List<Member> read = MemberListParser.parse(text.getBytes(), address -> address.startsWith("10."), faults);
        assertTrue(faults.isEmpty() != read.isEmpty() || text.contains("[]"), "a list is taken whole or not at all");
        return faults;
    }

    @Test
    void aListIsTakenWholeOrNotAtAllAndEachFaultHasItsField() {
        assertEquals(
                List.of(),
                faults("{\"servers\":[{\"name\":\"a\",\"address\":\"10.0.0.1:80\",\"rack\":1},"
                        + "{\"name\":\"b\",\"address\":\"10.0.0.2:80\",\"state\":\"draining\"}]}"));
        assertEquals(List.of(), faults("{\"servers\":[]}"));
        assertEquals(List.of("servers: is missing or not a list"), faults("{}"));
        assertTrue(faults("{\"servers\":[{\"na").get(0).startsWith("is not JSON"));
        assertEquals(
                List.of(
                        "servers[0].name: is missing",
                        "servers[0].address: \"11.0.0.1:80\" is no IPv4 address and port, or not allowed",
                        "servers[0].rack: is under 0",
                        "servers[0].state: is neither ready nor draining: \"Gone\"",
                        "servers[2].name: \"a\" is there twice",
                        "servers[2].address: \"10.0.0.1:80\" is there twice"),
                faults("{\"servers\":[{\"address\":\"11.0.0.1:80\",\"rack\":-4,\"state\":\"Gone\"},"
                        + "{\"name\":\"a\",\"address\":\"10.0.0.1:80\"},{\"name\":\"a\",\"address\":"
                        + "\"10.0.0.1:80\"}]}"));
        StringBuilder many = new StringBuilder("{\"servers\":[");
        IntStream.range(0, 30).forEach(i -> many.append(i == 0 ? "{}" : ",{}"));
        assertEquals(21, faults(many + "]}").size(), "20 and how many more");
    }
}
