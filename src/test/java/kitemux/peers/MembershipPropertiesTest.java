package kitemux.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Objects;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks the membership properties over many seeds, and that each injected defect is detected. */
class MembershipPropertiesTest {
    private static final int SEED_COUNT = Integer.getInteger("peers.seeds", 300);

    private static List<String> findViolations(int seedCount, SimulatedFleet.FaultInjection fault) {
        return LongStream.rangeClosed(1, seedCount)
                .parallel()
                .mapToObj(seed -> MembershipProperties.findViolation(seed, fault))
                .filter(Objects::nonNull)
                .limit(5)
                .toList();
    }

    @Test
    void noSeedViolatesAProperty() {
        assertEquals(List.of(), findViolations(SEED_COUNT, SimulatedFleet.FaultInjection.NONE));
    }

    @Test
    void runsOfTheSameSeedAreIdentical() {
        for (int i = 0; i < 2; i++) {
            SimulatedFleet first = new SimulatedFleet(7, 5, SimulatedFleet.FaultInjection.NONE);
            SimulatedFleet second = new SimulatedFleet(7, 5, SimulatedFleet.FaultInjection.NONE);
            first.lossRatio = 0.3;
            second.lossRatio = 0.3;
            first.run(60_000_000);
            second.run(60_000_000);
            assertEquals(first.changeLog, second.changeLog);
            assertTrue(!first.changeLog.isEmpty());
        }
    }

    /** A defect that is injected into all nodes of a fleet. */
    enum Defect implements SimulatedFleet.FaultInjection {
        IGNORED_INCARNATIONS {
            @Override
            public Message beforeReceive(SimulatedFleet.Node node, Message message) {
                return withMembers(
                        message,
                        message.members().stream()
                                .map(member -> new MemberRecord(
                                        member.node(), member.generation(), 0, member.state(), member.reporter()))
                                .toList());
            }
        },
        NO_INDIRECT_PROBES {
            @Override
            public Message beforeSend(SimulatedFleet.Node node, int to, Message message) {
                return message.kind() == Message.Kind.PING_REQUEST ? null : message;
            }
        },
        EXCESSIVE_SUSPICION_TIMEOUT {
            @Override
            public MembershipConfig configure(MembershipConfig config) {
                return new MembershipConfig(
                        config.nodeCount(),
                        config.self(),
                        config.probePeriodUs(),
                        config.probeTimeoutUs(),
                        config.indirectProbes(),
                        100,
                        config.maxDatagramBytes());
            }
        },
        NO_TIME_TO_REFUTE {
            @Override
            public MembershipConfig configure(MembershipConfig config) {
                return new MembershipConfig(
                        config.nodeCount(),
                        config.self(),
                        config.probePeriodUs(),
                        config.probeTimeoutUs(),
                        config.indirectProbes(),
                        1,
                        config.maxDatagramBytes());
            }

            @Override
            public Message beforeReceive(SimulatedFleet.Node node, Message message) {
                // A suspected node does not learn of the suspicion.
                return withMembers(
                        message,
                        message.members().stream()
                                .filter(member -> member.node() != node.number)
                                .toList());
            }
        },
        IGNORED_GENERATIONS {
            @Override
            public Message beforeReceive(SimulatedFleet.Node node, Message message) {
                return withMembers(
                        message,
                        message.members().stream()
                                .map(member -> new MemberRecord(
                                        member.node(), 1, member.incarnation(), member.state(), member.reporter()))
                                .toList());
            }
        },
        NO_PROBES_OF_GONE_NODES {
            @Override
            public Message beforeSend(SimulatedFleet.Node node, int to, Message message) {
                return message.kind() == Message.Kind.PING
                                && node.membership.recordOf(to).state() == MemberState.GONE
                        ? null
                        : message;
            }
        },
        NO_REFUTATION {
            @Override
            public Message beforeSend(SimulatedFleet.Node node, int to, Message message) {
                return withMembers(
                        message,
                        message.members().stream()
                                .map(member -> member.node() == node.number
                                        ? new MemberRecord(
                                                member.node(),
                                                member.generation(),
                                                0,
                                                member.state(),
                                                member.reporter())
                                        : member)
                                .toList());
            }
        },
        UNRELIABLE_PINGS_WITHOUT_INDIRECT_PROBES {
            @Override
            public Message beforeSend(SimulatedFleet.Node node, int to, Message message) {
                return message.kind() == Message.Kind.PING && message.sequence() % 4 == 0 ? null : message;
            }

            @Override
            public MembershipConfig configure(MembershipConfig config) {
                return new MembershipConfig(
                        config.nodeCount(),
                        config.self(),
                        config.probePeriodUs(),
                        config.probeTimeoutUs(),
                        0,
                        1,
                        config.maxDatagramBytes());
            }
        };

        static Message withMembers(Message message, List<MemberRecord> members) {
            return new Message(
                    message.kind(),
                    message.sender(),
                    message.generation(),
                    message.sequence(),
                    message.target(),
                    members,
                    message.updates());
        }
    }

    @ParameterizedTest
    @EnumSource(Defect.class)
    void eachDefectIsDetected(Defect defect) {
        assertTrue(!findViolations(SEED_COUNT, defect).isEmpty(), defect + " is not detected");
    }
}
