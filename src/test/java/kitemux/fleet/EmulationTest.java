package kitemux.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import kitemux.fleet.Fleet.Among;
import kitemux.fleet.Fleet.Fault;
import kitemux.fleet.Fleet.Trouble;
import org.junit.jupiter.api.Test;

class EmulationTest {

    private static Fault fault(Trouble trouble, Among among, int count, long forS, double size) {
        return new Fault(trouble, among, 0, count, 8_000_000, forS * 1_000_000, size);
    }

    @Test
    void theSameSeedGivesTheSameResultOnOneProcessorAndOnMany() {
        Fleet fleet = Fleets.yearbook(3, 3, 2, 0.7, 15).withFaults(List.of(fault(Trouble.DIE, Among.RACK, 0, 3, 0)));
        List<String> one = LongStream.range(0, 16)
                .mapToObj(seed -> Emulation.play(fleet, seed).toString())
                .toList();
        List<String> many = LongStream.range(0, 16)
                .parallel()
                .mapToObj(seed -> Emulation.play(fleet, seed).toString())
                .toList();
        assertEquals(
                List.of(), one.stream().filter(result -> !many.contains(result)).toList());
        assertTrue(!one.get(0).equals(one.get(1)), "another seed is another day");
    }

    @Test
    void twoVariantsMeetTheSameClientsWithTheSameWork() {
        Fleet fleet = Fleets.yearbook(3, 3, 2, 0.7, 15);
        Result few = Emulation.play(fleet, 5);
        Result more = Emulation.play(Fleets.yearbook(6, 6, 3, 0.7, 15).with(fleet.load()), 5);
        assertEquals(
                few.classes().stream().map(Result.OfClass::offered).toList(),
                more.classes().stream().map(Result.OfClass::offered).toList());
    }

    @Test
    void eachWishEndsOnceWhateverGoesWrong() {
        for (Trouble trouble : Trouble.values()) {
            double size = trouble == Trouble.FAIL ? 0.8 : trouble == Trouble.SLOW ? 3 : 1;
            Fleet fleet = Fleets.zoned(Fleets.yearbook(3, 3, 2, 0.8, 20), 2)
                    .withFaults(List.of(fault(trouble, trouble == Trouble.CUT ? Among.ZONE : Among.ANY, 2, 4, size)));
            for (long seed = 1; seed <= 5; seed++) {
                Result result = Emulation.play(fleet, seed);
                for (Result.OfClass of : result.classes()) {
                    assertEquals(
                            of.offered(),
                            of.inTime() + of.late() + of.refused() + of.failed(),
                            trouble + ", seed " + seed + ": " + of);
                }
                assertEquals(List.of(), result.told(), trouble + ", seed " + seed);
            }
        }
    }

    /** With every node at every server none knew what a server held: pages came late with nothing wrong. */
    @Test
    void fourteenNodesServeSixtyServersAboutAsWellAsTwoServeTen() {
        Result few = Emulation.play(Fleets.yearbook(5, 5, 2, 0.6, 20), 1);
        Result many = Emulation.play(Fleets.yearbook(30, 30, 14, 0.6, 20), 1);
        assertTrue(
                many.inTime() > few.inTime() - 0.02 && many.worstClass() > few.worstClass() - 0.05,
                "in time, and of the worst class: " + many.inTime() + ", " + many.worstClass() + "; two for ten: "
                        + few.inTime() + ", " + few.worstClass());
    }

    /**
     * Sixty nodes, of which some have four times the mean of traffic, each with eight of sixty servers. With
     * all eight alike
     * 2.2% were refused and 86% of the pages were in time: none knew what a server held, and busy nodes met
     * their limits.
     */
    @Test
    void aPartOfWhichTheFirstHalfComesFirstServesUnevenTraffic() {
        Fleet even = Fleets.yearbook(30, 30, 60, 0.6, 20);
        Fleet.Clients c = even.clients();
        Fleet fleet = even.with(new Fleet.Clients(
                c.oneWayUs(),
                c.retries(),
                c.tryFrom(),
                c.tryTo(),
                c.backoffUs(),
                c.honour(),
                c.mostRetryAfterUs(),
                0.6));
        double refused = 0;
        double worst = 0;
        for (long seed = 1; seed <= 2; seed++) {
            Result result = Emulation.play(fleet, seed);
            assertEquals(List.of(), result.told());
            refused +=
                    result.classes().stream().mapToLong(Result.OfClass::refused).sum() / (2.0 * result.wishes());
            worst += result.worstClass() / 2;
        }
        assertTrue(refused < 0.013 && worst > 0.88, "refused " + refused + ", worst class " + worst);
    }

    /** Most nodes killed at once, a rack silent and back cold, six servers in ten dead and back cold. */
    @Test
    void aLargeFleetKeepsTheRulesAndComesBackFromItsWorstHours() {
        for (Fault worst : List.of(
                fault(Trouble.NODES_RESTART, Among.ANY, 12, 4, 12),
                fault(Trouble.VANISH, Among.RACK, 0, 4, 0),
                fault(Trouble.DIE, Among.ANY, 36, 4, 0))) {
            Fleet fleet = Fleets.yearbook(30, 30, 14, 0.45, 40).withFaults(List.of(worst));
            Result result = Emulation.play(fleet, 1);
            int back = result.backAfterS(8, 0.95);
            assertTrue(back >= 0 && back <= 10, worst + ": 95% in time again after " + back + " s");
            assertEquals(List.of(), result.told(), worst.toString());
        }
    }

    /** Half of what the others have under way is with the zone that is cut off, and nobody says so. */
    @Test
    void aZoneThatIsCutOffOrLostBreaksNoRuleAndIsOverSoonAfter() {
        Fleet calm = Fleets.zoned(Fleets.yearbook(10, 10, 4, 0.4, 40), 2);
        Result whole = Emulation.play(calm, 2);
        for (Trouble trouble : List.of(Trouble.CUT, Trouble.VANISH)) {
            Result result = Emulation.play(
                    calm.withFaults(List.of(
                            new Fault(trouble, Among.ZONE, 1, 0, 8_000_000, 5_000_000, 0),
                            new Fault(Trouble.NODES_RESTART, Among.ZONE, 1, 0, 8_000_000, 5_000_000, 2))),
                    2);
            assertEquals(List.of(), result.told(), trouble.toString());
            assertTrue(result.inTime() < whole.inTime() - 0.01, trouble + " does not show: " + result.inTime());
            int back = result.backAfterS(8, 0.93);
            assertTrue(back >= 0 && back <= 25, trouble + ": back after " + back + " s");
        }
    }

    @Test
    void whatIsSentAcrossACutDoesNotArriveAndWhatWaitsForItsEndDoes() {
        Cuts cuts = new Cuts(3);
        List<String> heard = new ArrayList<>();
        cuts.cut(1);
        cuts.cut(1);
        cuts.whenWhole(0, 1, () -> heard.add("first"));
        cuts.whenWhole(0, 2, () -> heard.add("others"));
        cuts.whenWhole(1, 1, () -> heard.add("within"));
        cuts.whenWhole(2, 1, () -> heard.add("second"));
        assertTrue(cuts.isCut(1, 2) && cuts.isCut(0, 1) && !cuts.isCut(0, 2) && !cuts.isCut(1, 1));
        cuts.mend(1);
        assertEquals(List.of("others", "within"), heard, "two cuts, one of which lasts");
        cuts.mend(1);
        assertEquals(List.of("others", "within", "first", "second"), heard);
    }

    @Test
    void whatIsBeyondTheFleetIsRefusedAndWhatIsNotIsServed() {
        Result calm = Emulation.play(Fleets.yearbook(5, 5, 2, 0.4, 20), 1);
        Result over = Emulation.play(Fleets.yearbook(5, 5, 2, 1.6, 20), 1);
        assertTrue(calm.inTime() > 0.97, "calm: " + calm.inTime());
        assertTrue(over.inTime() < 0.95, "over: " + over.inTime());
        assertTrue(over.triesPerWish() > calm.triesPerWish(), "clients ask again");
        double busy =
                over.kinds().stream().mapToDouble(Result.OfKind::busy).min().orElse(0);
        assertTrue(busy > 0.9, "servers are used: " + busy);
    }

    @Test
    void aLostRackShowsAndIsOverOnceItIsBackAndWarm() {
        Fleet fleet = Fleets.yearbook(5, 5, 2, 0.75, 60);
        Result whole = Emulation.play(fleet, 3);
        Result lost = Emulation.play(fleet.withFaults(List.of(fault(Trouble.DIE, Among.RACK, 0, 10, 0))), 3);
        assertTrue(lost.worstWindow() < whole.worstWindow() - 0.1, lost.worstWindow() + " " + whole.worstWindow());
        int back = lost.backAfterS(8, 0.95);
        assertTrue(back >= 8 && back <= 45, "back after " + back + " s");
        assertEquals(0, whole.backAfterS(8, 0.9));
    }

    @Test
    void clientsThatFindTheirNodeDeadAskAgainAndOrdersAreNotDoubled() {
        Fleet fleet =
                Fleets.yearbook(4, 4, 2, 0.5, 20).withFaults(List.of(fault(Trouble.NODES_RESTART, Among.ANY, 0, 1, 1)));
        Result result = Emulation.play(fleet, 9);
        assertTrue(result.triesPerWish() > 1.001, "tries: " + result.triesPerWish());
        assertTrue(result.worstWindow() < 0.99);
        assertEquals(List.of(), result.told());
    }

    @Test
    void whatCannotBePlayedIsNamedAllAtOnce() {
        Fleet fleet = Fleets.yearbook(0, 0, 1, 0.5, 10).with(new Fleet.Nodes(0, -1, 0, 0, 0));
        List<String> found = fleet.faultsFound();
        assertTrue(found.size() >= 3, found.toString());
        Fleet zones = Fleets.zoned(Fleets.yearbook(2, 2, 2, 0.5, 10), 3)
                .withFaults(List.of(
                        new Fault(Trouble.CUT, Among.ANY, 0, 0, 0, 1, 0),
                        new Fault(Trouble.DIE, Among.ZONE, 3, 0, 0, 1, 0)));
        assertEquals(
                List.of(
                        "zones: count is not from 1 to the number of racks and of nodes",
                        "fault CUT: must be among zones, of which there must be two",
                        "fault DIE: there is no zone 3"),
                zones.faultsFound());
        assertThrows(IllegalArgumentException.class, () -> Emulation.play(fleet, 1));
    }
}
