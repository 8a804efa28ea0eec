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
                        message.beliefs().stream()
                                .map(b -> new Belief(b.node(), b.life(), 0, b.standing(), b.by()))
                                .toList());
            }
        },
        NOBODY_IS_ASKED_FOR_HELP {
            @Override
            public Message sent(Meeting.Seat by, int to, Message message) {
                return message.kind() == Message.Kind.ASK ? null : message;
            }
        },
        SUSPECTS_ARE_NEVER_GIVEN_UP {
            @Override
            public Terms terms(Terms t) {
                return new Terms(t.nodes(), t.me(), t.periodUs(), t.answerUs(), t.helpers(), 100, t.mostBytes());
            }
        },
        SUSPECTS_HAVE_NO_TIME {
            @Override
            public Terms terms(Terms t) {
                return new Terms(t.nodes(), t.me(), t.periodUs(), t.answerUs(), t.helpers(), 1, t.mostBytes());
            }

            @Override
            public Message received(Meeting.Seat by, Message message) {
                // Whoever is suspected does not hear of it.
                return with(
                        message,
                        message.beliefs().stream()
                                .filter(b -> b.node() != by.number)
                                .toList());
            }
        },
        OLD_LIVES_ARE_BELIEVED {
            @Override
            public Message received(Meeting.Seat by, Message message) {
                return with(
                        message,
                        message.beliefs().stream()
                                .map(b -> new Belief(b.node(), 1, b.incarnation(), b.standing(), b.by()))
                                .toList());
            }
        },
        THE_GONE_ARE_NOT_SOUGHT {
            @Override
            public Message sent(Meeting.Seat by, int to, Message message) {
                return message.kind() == Message.Kind.PING && by.members.of(to).standing() == Standing.GONE
                        ? null
                        : message;
            }
        },
        NOTHING_IS_TAKEN_BACK {
            @Override
            public Message sent(Meeting.Seat by, int to, Message message) {
                return with(
                        message,
                        message.beliefs().stream()
                                .map(b -> b.node() == by.number
                                        ? new Belief(b.node(), b.life(), 0, b.standing(), b.by())
                                        : b)
                                .toList());
            }
        },
        ANSWERS_ARE_NOT_PASSED_ON {
            @Override
            public Message sent(Meeting.Seat by, int to, Message message) {
                return message.kind() == Message.Kind.PING && message.number() % 4 == 0 ? null : message;
            }

            @Override
            public Terms terms(Terms t) {
                return new Terms(t.nodes(), t.me(), t.periodUs(), t.answerUs(), 0, 1, t.mostBytes());
            }
        };

        static Message with(Message m, List<Belief> beliefs) {
            return new Message(m.kind(), m.from(), m.life(), m.number(), m.about(), beliefs, m.words());
        }
    }

    @ParameterizedTest
    @EnumSource(Defect.class)
    void eachDefectIsFound(Defect defect) {
        assertTrue(!broken(SEEDS, defect).isEmpty(), defect + " is not found");
    }
}
