package kitemux.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Objects;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The promises over many seeds; and defects, each of which must be found. */
class PromisesTest {
    private static final int SEEDS = Integer.getInteger("peers.seeds", 300);

    private static List<String> broken(int seeds, Meeting.Change change) {
        return LongStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(seed -> Promises.broken(seed, change))
                .filter(Objects::nonNull)
                .limit(5)
                .toList();
    }

    @Test
    void noSeedBreaksAPromise() {
        assertEquals(List.of(), broken(SEEDS, Meeting.Change.NONE));
    }

    @Test
    void aSeedPlaysTheSameTwice() {
        for (int i = 0; i < 2; i++) {
            Meeting one = new Meeting(7, 5, Meeting.Change.NONE);
            Meeting other = new Meeting(7, 5, Meeting.Change.NONE);
            one.loss = 0.3;
            other.loss = 0.3;
            one.run(60_000_000);
            other.run(60_000_000);
            assertEquals(one.spoken, other.spoken);
            assertTrue(!one.spoken.isEmpty());
        }
    }

    /** What is wrong with all nodes of a fleet. */
    enum Defect implements Meeting.Change {
        INCARNATIONS_ARE_IGNORED {
            @Override
            public Message received(Meeting.Seat by, Message message) {
                return with(
                        message,
                        message.members().stream()
                                .map(b -> new MemberRecord(b.node(), b.generation(), 0, b.state(), b.reporter()))
                                .toList());
            }
        },
        NOBODY_IS_ASKED_FOR_HELP {
            @Override
            public Message sent(Meeting.Seat by, int to, Message message) {
                return message.kind() == Message.Kind.PING_REQUEST ? null : message;
            }
        },
        SUSPECTS_ARE_NEVER_GIVEN_UP {
            @Override
            public MembershipConfig terms(MembershipConfig t) {
                return new MembershipConfig(
                        t.nodeCount(),
                        t.self(),
                        t.probePeriodUs(),
                        t.probeTimeoutUs(),
                        t.indirectProbes(),
                        100,
                        t.maxDatagramBytes());
            }
        },
        SUSPECTS_HAVE_NO_TIME {
            @Override
            public MembershipConfig terms(MembershipConfig t) {
                return new MembershipConfig(
                        t.nodeCount(),
                        t.self(),
                        t.probePeriodUs(),
                        t.probeTimeoutUs(),
                        t.indirectProbes(),
                        1,
                        t.maxDatagramBytes());
            }

            @Override
            public Message received(Meeting.Seat by, Message message) {
                // Whoever is suspected does not hear of it.
                return with(
                        message,
                        message.members().stream()
                                .filter(b -> b.node() != by.number)
                                .toList());
            }
        },
        OLD_LIVES_ARE_BELIEVED {
            @Override
            public Message received(Meeting.Seat by, Message message) {
                return with(
                        message,
                        message.members().stream()
                                .map(b -> new MemberRecord(b.node(), 1, b.incarnation(), b.state(), b.reporter()))
                                .toList());
            }
        },
        THE_GONE_ARE_NOT_SOUGHT {
            @Override
            public Message sent(Meeting.Seat by, int to, Message message) {
                return message.kind() == Message.Kind.PING
                                && by.members.recordOf(to).state() == MemberState.GONE
                        ? null
                        : message;
            }
        },
        NOTHING_IS_TAKEN_BACK {
            @Override
            public Message sent(Meeting.Seat by, int to, Message message) {
                return with(
                        message,
                        message.members().stream()
                                .map(b -> b.node() == by.number
                                        ? new MemberRecord(b.node(), b.generation(), 0, b.state(), b.reporter())
                                        : b)
                                .toList());
            }
        },
        ANSWERS_ARE_NOT_PASSED_ON {
            @Override
            public Message sent(Meeting.Seat by, int to, Message message) {
                return message.kind() == Message.Kind.PING && message.sequence() % 4 == 0 ? null : message;
            }

            @Override
            public MembershipConfig terms(MembershipConfig t) {
                return new MembershipConfig(
                        t.nodeCount(), t.self(), t.probePeriodUs(), t.probeTimeoutUs(), 0, 1, t.maxDatagramBytes());
            }
        };

        static Message with(Message m, List<MemberRecord> beliefs) {
            return new Message(m.kind(), m.sender(), m.generation(), m.sequence(), m.target(), beliefs, m.updates());
        }
    }

    @ParameterizedTest
    @EnumSource(Defect.class)
    void eachDefectIsFound(Defect defect) {
        assertTrue(!broken(SEEDS, defect).isEmpty(), defect + " is not found");
    }
}
