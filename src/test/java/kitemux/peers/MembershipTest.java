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

/** View of the members on each other while nodes fail, stall or lose contact. */
class MembershipTest {
    private static SimulatedFleet convergedFleet(int nodeCount, long seed) {
        SimulatedFleet fleet = new SimulatedFleet(nodeCount, seed, SimulatedFleet.FaultInjection.NONE);
        fleet.run(5_000_000);
        assertTrue(fleet.allObserveAllAlive());
        return fleet;
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3, 7, 14})
    void deadNodeIsDeclaredGoneByAllOthers(int nodeCount) {
        SimulatedFleet fleet = convergedFleet(nodeCount, nodeCount);
        fleet.nodes.get(1).kill();
        assertTrue(
                fleet.runUntil(
                                MembershipProperties.DETECTION_LIMIT_US,
                                () -> fleet.allObserve(fleet.allExcept(1), 1, MemberState.GONE))
                        >= 0,
                fleet.changeLog.toString());
        assertEquals(nodeCount - 1, fleet.nodes.get(0).membership.aliveCount());
    }

    @Test
    void restartedNodeReplacesItsFormerGeneration() {
        SimulatedFleet fleet = convergedFleet(5, 1);
        long generationBefore = fleet.nodes.get(0).membership.recordOf(2).generation();
        fleet.nodes.get(2).kill();
        fleet.run(300_000);
        fleet.nodes.get(2).start();
        assertTrue(fleet.runUntil(
                        MembershipProperties.CONVERGENCE_LIMIT_US,
                        () -> fleet.allObserveAllAlive()
                                && fleet.allExcept(2).stream()
                                        .allMatch(i -> fleet.nodes
                                                        .get(i)
                                                        .membership
                                                        .recordOf(2)
                                                        .generation()
                                                > generationBefore))
                >= 0);
    }

    @Test
    void resumedNodeRefutesItsFailureAndSuspectsNobody() {
        SimulatedFleet fleet = convergedFleet(5, 2);
        fleet.nodes.get(3).stall();
        assertTrue(fleet.runUntil(
                        MembershipProperties.DETECTION_LIMIT_US,
                        () -> fleet.allObserve(fleet.allExcept(3), 3, MemberState.GONE))
                >= 0);
        fleet.run(40_000_000);
        int changesBefore = fleet.changeLog.size();
        fleet.nodes.get(3).resume();
        assertTrue(fleet.runUntil(MembershipProperties.CONVERGENCE_LIMIT_US, fleet::allObserveAllAlive) >= 0);
        List<String> changesAfter = fleet.changeLog.subList(changesBefore, fleet.changeLog.size());
        assertTrue(
                changesAfter.stream().noneMatch(line -> line.contains("SUSPECT") || line.contains("state=GONE")),
                changesAfter.toString());
    }

    @Test
    void replacedProcessStopsOnceItLearnsOfItsSuccessor() {
        SimulatedFleet fleet = convergedFleet(4, 3);
        Membership oldMembership = fleet.nodes.get(2).membership;
        fleet.nodes.get(2).start();
        fleet.run(3_000_000);
        long generation = fleet.nodes.get(0).membership.recordOf(2).generation();
        assertTrue(generation > oldMembership.recordOf(2).generation());
        // The old process receives a record of its successor.
        oldMembership.receive(
                fleet.scheduler.nowUs(),
                new Message(
                        Message.Kind.ACK,
                        0,
                        fleet.nodes.get(0).membership.recordOf(0).generation(),
                        1,
                        0,
                        List.of(fleet.nodes.get(0).membership.recordOf(2)),
                        List.of()));
        assertTrue(oldMembership.isReplaced());
        assertEquals(Long.MAX_VALUE, oldMembership.nextTickAtUs());
    }

    @Test
    void oneWayLinkFailureIsBridgedByIndirectProbes() {
        SimulatedFleet fleet = convergedFleet(6, 4);
        fleet.blockedLinks[1][0] = true;
        fleet.run(60_000_000);
        assertTrue(fleet.allObserveAllAlive(), fleet.changeLog.toString());
        assertTrue(fleet.changeLog.stream().noneMatch(line -> line.contains("state=GONE")));
    }

    @Test
    void partitionedHalvesDeclareEachOtherGoneAndRejoin() {
        SimulatedFleet fleet = convergedFleet(6, 5);
        List<Integer> partition = List.of(0, 1, 2);
        fleet.setPartitioned(partition, true);
        assertTrue(fleet.runUntil(
                        3 * MembershipProperties.DETECTION_LIMIT_US,
                        () -> fleet.allExcept(0, 1, 2).stream()
                                        .allMatch(i -> fleet.allObserve(partition, i, MemberState.GONE))
                                && partition.stream()
                                        .allMatch(i -> fleet.allObserve(fleet.allExcept(0, 1, 2), i, MemberState.GONE)))
                >= 0);
        assertTrue(fleet.nodes.stream().allMatch(seat -> seat.membership.isMinority()));
        fleet.setPartitioned(partition, false);
        assertTrue(fleet.runUntil(MembershipProperties.CONVERGENCE_LIMIT_US, fleet::allObserveAllAlive) >= 0);
        assertTrue(fleet.nodes.stream().noneMatch(seat -> seat.membership.isMinority()));
    }

    @Test
    void leavingNodeIsNotSuspectedAndReturnsWithNewGeneration() {
        SimulatedFleet fleet = convergedFleet(5, 6);
        fleet.nodes.get(4).membership.leave(fleet.scheduler.nowUs());
        fleet.nodes.get(4).kill();
        assertTrue(fleet.runUntil(3_000_000, () -> fleet.allObserve(fleet.allExcept(4), 4, MemberState.LEFT)) >= 0);
        assertTrue(fleet.changeLog.stream().noneMatch(line -> line.contains("SUSPECT")));
        fleet.run(10_000_000);
        fleet.nodes.get(4).start();
        assertTrue(fleet.runUntil(MembershipProperties.CONVERGENCE_LIMIT_US, fleet::allObserveAllAlive) >= 0);
    }

    @Test
    void fleetConvergesAfterASimultaneousRestart() {
        SimulatedFleet fleet = convergedFleet(9, 7);
        fleet.nodes.forEach(SimulatedFleet.Node::kill);
        fleet.run(500_000);
        fleet.nodes.forEach(SimulatedFleet.Node::start);
        assertTrue(fleet.runUntil(MembershipProperties.CONVERGENCE_LIMIT_US, fleet::allObserveAllAlive) >= 0);
        fleet.run(20_000_000);
        assertTrue(fleet.allObserveAllAlive());
    }

    @Test
    void updateReachesEveryNodeOnceAndTheNewestVersionIsKept() {
        SimulatedFleet fleet = convergedFleet(9, 8);
        Membership origin = fleet.nodes.get(0).membership;
        origin.broadcast(3, 1, 60_000, new byte[] {1});
        assertTrue(fleet.runUntil(
                        15_000_000,
                        () -> fleet.nodes.stream().skip(1).allMatch(seat -> !seat.receivedUpdates.isEmpty()))
                >= 0);
        origin.broadcast(3, 2, 60_000, new byte[] {2});
        assertTrue(fleet.runUntil(
                        15_000_000,
                        () -> fleet.nodes.stream().skip(1).allMatch(seat -> seat.receivedUpdates.size() == 2))
                >= 0);
        fleet.run(30_000_000);
        fleet.nodes.stream().skip(1).forEach(seat -> {
            assertEquals(2, seat.receivedUpdates.size());
            assertArrayEquals(new byte[] {2}, seat.receivedUpdates.get(1).payload());
        });
    }

    @Test
    void expiredUpdateIsNotForwarded() {
        SimulatedFleet fleet = convergedFleet(5, 9);
        fleet.setPartitioned(List.of(0), true);
        fleet.nodes.get(0).membership.broadcast(1, 1, 500, new byte[3]);
        fleet.run(1_000_000);
        fleet.setPartitioned(List.of(0), false);
        fleet.run(30_000_000);
        assertTrue(fleet.nodes.stream().allMatch(seat -> seat.receivedUpdates.isEmpty()));
    }

    @Test
    void datagramsStayWithinThePlatformLimit() {
        SimulatedFleet fleet = convergedFleet(40, 10);
        IntStream.range(0, 40).forEach(i -> fleet.nodes.get(i).membership.broadcast(0, 1, 60_000, new byte[100]));
        IntStream.range(20, 40).forEach(i -> fleet.nodes.get(i).kill());
        fleet.run(30_000_000);
        assertTrue(fleet.largestBytes <= Datagram.PLATFORM_MAX_BYTES, "" + fleet.largestBytes);
        assertTrue(fleet.largestBytes > 200, "" + fleet.largestBytes);
    }

    @Test
    void sendRateIsIndependentOfTheFleetSize() {
        double[] rates = new double[2];
        int[] sizes = {5, 100};
        for (int i = 0; i < 2; i++) {
            SimulatedFleet fleet = convergedFleet(sizes[i], 11);
            long datagramsBefore = fleet.datagramCount;
            fleet.run(20_000_000);
            rates[i] = (fleet.datagramCount - datagramsBefore) / 20.0 / sizes[i];
        }
        // Each second a node sends one ping and answers one.
        assertEquals(2, rates[0], 0.2);
        assertEquals(2, rates[1], 0.2);
    }

    @Test
    void messagesWithUnknownNodeNumbersAreIgnored() {
        SimulatedFleet fleet = convergedFleet(3, 12);
        Membership membership = fleet.nodes.get(0).membership;
        MemberRecord unknownMember = new MemberRecord(9, 5, 0, MemberState.GONE, 0);
        membership.receive(fleet.scheduler.nowUs(), new Message(Message.Kind.PING, 9, 1, 1, 0, List.of(), List.of()));
        membership.receive(
                fleet.scheduler.nowUs(), new Message(Message.Kind.PING_REQUEST, 1, 1, 1, 12, List.of(), List.of()));
        membership.receive(
                fleet.scheduler.nowUs(),
                new Message(Message.Kind.PING, 1, Long.MAX_VALUE >>> 16, 1, 0, List.of(unknownMember), List.of()));
        fleet.run(2_000_000);
        assertTrue(fleet.allObserveAllAlive());
        assertThrows(IllegalArgumentException.class, () -> membership.broadcast(256, 1, 10, new byte[0]));
        assertThrows(IllegalArgumentException.class, () -> membership.broadcast(1, 1, 10, new byte[129]));
    }

    @Test
    void allInvalidSettingsAreReported() {
        assertEquals(7, new MembershipConfig(0, 3, 1, 1, -1, 0, 9).violations().size());
        assertEquals(List.of(), MembershipConfig.defaults(3, 0).violations());
    }
}
