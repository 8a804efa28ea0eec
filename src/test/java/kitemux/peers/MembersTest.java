package kitemux.peers;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What members believe of each other while some break, stall or lose contact. */
class MembersTest {
    private static Meeting well(int nodes, long seed) {
        Meeting meeting = new Meeting(nodes, seed, Meeting.Change.NONE);
        meeting.run(5_000_000);
        assertTrue(meeting.allAgreeThatAllAreThere());
        return meeting;
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3, 7, 14})
    void aNodeThatDiesIsSuspectedAndGivenUpByAll(int nodes) {
        Meeting meeting = well(nodes, nodes);
        meeting.seats.get(1).die();
        assertTrue(
                meeting.until(Promises.GIVEN_UP_US, () -> meeting.allSee(meeting.but(1), 1, MemberState.GONE)) >= 0,
                meeting.spoken.toString());
        assertEquals(nodes - 1, meeting.seats.get(0).members.aliveCount());
    }

    @Test
    void aNodeThatStartsAnewReplacesItsFormerLife() {
        Meeting meeting = well(5, 1);
        long before = meeting.seats.get(0).members.recordOf(2).generation();
        meeting.seats.get(2).die();
        meeting.run(300_000);
        meeting.seats.get(2).start();
        assertTrue(meeting.until(
                        Promises.HEALED_US,
                        () -> meeting.allAgreeThatAllAreThere()
                                && meeting.but(2).stream()
                                        .allMatch(i -> meeting.seats
                                                        .get(i)
                                                        .members
                                                        .recordOf(2)
                                                        .generation()
                                                > before))
                >= 0);
    }

    @Test
    void aProcessThatWokeAfterItWasGivenUpTakesThatBackAndAccusesNobody() {
        Meeting meeting = well(5, 2);
        meeting.seats.get(3).stop();
        assertTrue(meeting.until(Promises.GIVEN_UP_US, () -> meeting.allSee(meeting.but(3), 3, MemberState.GONE)) >= 0);
        meeting.run(40_000_000);
        int said = meeting.spoken.size();
        meeting.seats.get(3).goOn();
        assertTrue(meeting.until(Promises.HEALED_US, meeting::allAgreeThatAllAreThere) >= 0);
        List<String> after = meeting.spoken.subList(said, meeting.spoken.size());
        assertTrue(
                after.stream().noneMatch(line -> line.contains("SUSPECT") || line.contains("state=GONE")),
                after.toString());
    }

    @Test
    void anOldCopyFallsSilentOnceItHearsOfTheNewOne() {
        Meeting meeting = well(4, 3);
        Membership old = meeting.seats.get(2).members;
        meeting.seats.get(2).start();
        meeting.run(3_000_000);
        long life = meeting.seats.get(0).members.recordOf(2).generation();
        assertTrue(life > old.recordOf(2).generation());
        // The old process speaks up, and is told.
        old.receive(
                meeting.time.nowUs(),
                new Message(
                        Message.Kind.ACK,
                        0,
                        meeting.seats.get(0).members.recordOf(0).generation(),
                        1,
                        0,
                        List.of(meeting.seats.get(0).members.recordOf(2)),
                        List.of()));
        assertTrue(old.isReplaced());
        assertEquals(Long.MAX_VALUE, old.nextTickAtUs());
    }

    @Test
    void aCutOfOneDirectionIsGotRoundByOthers() {
        Meeting meeting = well(6, 4);
        meeting.cut[1][0] = true;
        meeting.run(60_000_000);
        assertTrue(meeting.allAgreeThatAllAreThere(), meeting.spoken.toString());
        assertTrue(meeting.spoken.stream().noneMatch(line -> line.contains("state=GONE")));
    }

    @Test
    void twoHalvesEachGiveTheOtherUpAndFindItAgain() {
        Meeting meeting = well(6, 5);
        List<Integer> some = List.of(0, 1, 2);
        meeting.part(some, true);
        assertTrue(meeting.until(
                        3 * Promises.GIVEN_UP_US,
                        () -> meeting.but(0, 1, 2).stream().allMatch(i -> meeting.allSee(some, i, MemberState.GONE))
                                && some.stream()
                                        .allMatch(i -> meeting.allSee(meeting.but(0, 1, 2), i, MemberState.GONE)))
                >= 0);
        assertTrue(meeting.seats.stream().allMatch(seat -> seat.members.isMinority()));
        meeting.part(some, false);
        assertTrue(meeting.until(Promises.HEALED_US, meeting::allAgreeThatAllAreThere) >= 0);
        assertTrue(meeting.seats.stream().noneMatch(seat -> seat.members.isMinority()));
    }

    @Test
    void whoLeavesIsNotSuspectedAndComesBackInANewLife() {
        Meeting meeting = well(5, 6);
        meeting.seats.get(4).members.leave(meeting.time.nowUs());
        meeting.seats.get(4).die();
        assertTrue(meeting.until(3_000_000, () -> meeting.allSee(meeting.but(4), 4, MemberState.LEFT)) >= 0);
        assertTrue(meeting.spoken.stream().noneMatch(line -> line.contains("SUSPECT")));
        meeting.run(10_000_000);
        meeting.seats.get(4).start();
        assertTrue(meeting.until(Promises.HEALED_US, meeting::allAgreeThatAllAreThere) >= 0);
    }

    @Test
    void aWholeFleetThatRestartsWithinASecondFindsItself() {
        Meeting meeting = well(9, 7);
        meeting.seats.forEach(Meeting.Seat::die);
        meeting.run(500_000);
        meeting.seats.forEach(Meeting.Seat::start);
        assertTrue(meeting.until(Promises.HEALED_US, meeting::allAgreeThatAllAreThere) >= 0);
        meeting.run(20_000_000);
        assertTrue(meeting.allAgreeThatAllAreThere());
    }

    @Test
    void aWordReachesAllOnceAndTheNewestHolds() {
        Meeting meeting = well(9, 8);
        Membership teller = meeting.seats.get(0).members;
        teller.broadcast(3, 1, 60_000, new byte[] {1});
        assertTrue(meeting.until(
                        15_000_000, () -> meeting.seats.stream().skip(1).allMatch(seat -> !seat.heard.isEmpty()))
                >= 0);
        teller.broadcast(3, 2, 60_000, new byte[] {2});
        assertTrue(meeting.until(
                        15_000_000, () -> meeting.seats.stream().skip(1).allMatch(seat -> seat.heard.size() == 2))
                >= 0);
        meeting.run(30_000_000);
        meeting.seats.stream().skip(1).forEach(seat -> {
            assertEquals(2, seat.heard.size());
            assertArrayEquals(new byte[] {2}, seat.heard.get(1).payload());
        });
    }

    @Test
    void aWordWhoseTimeIsOverIsNotPassedOn() {
        Meeting meeting = well(5, 9);
        meeting.part(List.of(0), true);
        meeting.seats.get(0).members.broadcast(1, 1, 500, new byte[3]);
        meeting.run(1_000_000);
        meeting.part(List.of(0), false);
        meeting.run(30_000_000);
        assertTrue(meeting.seats.stream().allMatch(seat -> seat.heard.isEmpty()));
    }

    @Test
    void noDatagramIsLongerThanThePlatformAllows() {
        Meeting meeting = well(40, 10);
        IntStream.range(0, 40).forEach(i -> meeting.seats.get(i).members.broadcast(0, 1, 60_000, new byte[100]));
        IntStream.range(20, 40).forEach(i -> meeting.seats.get(i).die());
        meeting.run(30_000_000);
        assertTrue(meeting.largest <= Datagram.PLATFORM_MAX_BYTES, "" + meeting.largest);
        assertTrue(meeting.largest > 200, "" + meeting.largest);
    }

    @Test
    void aNodeSendsNoMoreAsItsFleetGrows() {
        double[] rates = new double[2];
        int[] sizes = {5, 100};
        for (int i = 0; i < 2; i++) {
            Meeting meeting = well(sizes[i], 11);
            long before = meeting.datagrams;
            meeting.run(20_000_000);
            rates[i] = (meeting.datagrams - before) / 20.0 / sizes[i];
        }
        // A ping of its own a second, and an answer to another's.
        assertEquals(2, rates[0], 0.2);
        assertEquals(2, rates[1], 0.2);
    }

    @Test
    void whatNobodyCouldSayIsPassedOver() {
        Meeting meeting = well(3, 12);
        Membership members = meeting.seats.get(0).members;
        MemberRecord nobody = new MemberRecord(9, 5, 0, MemberState.GONE, 0);
        members.receive(meeting.time.nowUs(), new Message(Message.Kind.PING, 9, 1, 1, 0, List.of(), List.of()));
        members.receive(
                meeting.time.nowUs(), new Message(Message.Kind.PING_REQUEST, 1, 1, 1, 12, List.of(), List.of()));
        members.receive(
                meeting.time.nowUs(),
                new Message(Message.Kind.PING, 1, Long.MAX_VALUE >>> 16, 1, 0, List.of(nobody), List.of()));
        meeting.run(2_000_000);
        assertTrue(meeting.allAgreeThatAllAreThere());
        assertThrows(IllegalArgumentException.class, () -> members.broadcast(256, 1, 10, new byte[0]));
        assertThrows(IllegalArgumentException.class, () -> members.broadcast(1, 1, 10, new byte[129]));
    }

    @Test
    void termsThatCannotBeAreAllTold() {
        assertEquals(7, new MembershipConfig(0, 3, 1, 1, -1, 0, 9).violations().size());
        assertEquals(List.of(), MembershipConfig.defaults(3, 0).violations());
    }
}
