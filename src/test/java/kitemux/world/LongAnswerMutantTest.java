package kitemux.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Deliberate defects in how long answers are passed on, each of which the judge finds by the rule's name. */
@Timeout(300)
class LongAnswerMutantTest {
    private static final int LONG = 64 << 10;

    enum Mutant implements Defect {
        /** A deadline for what is still given, as there was one. */
        CUT_OFF_WITH_ITS_TIME("was cut off though") {
            @Override
            public void opened(Channel channel, boolean accepted) {
                if (!accepted) {
                    channel.pipeline().addFirst(new Amid() {
                        @Override
                        void begun(ChannelHandlerContext context) {
                            context.channel()
                                    .eventLoop()
                                    .schedule(
                                            () -> {
                                                if (isAmid()) {
                                                    context.channel().close();
                                                }
                                            },
                                            300,
                                            TimeUnit.MILLISECONDS);
                        }
                    });
                }
            }
        },
        /** A server that has stopped keeps its client for good. */
        STALLED_ANSWER_STANDS("has no end since") {
            @Override
            public void opened(Channel channel, boolean accepted) {
                if (!accepted) {
                    channel.pipeline().addFirst(new Amid() {
                        @Override
                        public void close(ChannelHandlerContext context, ChannelPromise promise) {
                            if (!isAmid()) {
                                context.close(promise);
                            }
                        }
                    });
                }
            }
        },
        /** What comes is kept from its client once so much has been passed on. */
        WITHHELD("(is withheld|has no end) since") {
            @Override
            public void opened(Channel channel, boolean accepted) {
                if (accepted) {
                    channel.pipeline().addFirst(new ChannelDuplexHandler() {
                        private int passed;

                        @Override
                        public void channelRead(ChannelHandlerContext context, Object message) {
                            passed = 0;
                            context.fireChannelRead(message);
                        }

                        @Override
                        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
                            int before = passed;
                            passed += ((ByteBuf) message).readableBytes();
                            if (before > LONG) {
                                ((ByteBuf) message).release();
                                promise.setSuccess();
                            } else {
                                context.write(message, promise);
                            }
                        }
                    });
                }
            }
        };

        final String told;

        Mutant(String told) {
            this.told = told;
        }
    }

    /** Sees whether a connection is amid a long answer: more than is held has come, and not all. */
    private abstract static class Amid extends ChannelDuplexHandler {
        private int came;
        private long length;

        final boolean isAmid() {
            return came > LONG && came < length;
        }

        void begun(ChannelHandlerContext context) {}

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            came = 0;
            length = 0;
            context.write(message, promise);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            if (came == 0) {
                String head = bytes.toString(StandardCharsets.ISO_8859_1);
                int at = head.indexOf("Content-Length: ");
                length = at < 0 ? 0 : Long.parseLong(head.substring(at + 16, head.indexOf('\r', at)));
            }
            boolean before = isAmid();
            came += bytes.readableBytes();
            context.fireChannelRead(message);
            if (!before && isAmid()) {
                begun(context);
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Mutant.class)
    void aDeliberateDefectIsFoundByName(Mutant mutant) throws Exception {
        FaultRuns.Summary sum = new FaultRuns("long-answers", mutant).playUntil(1, 200, 4, Rule.LONG_ANSWERS, null);
        assertTrue(sum.broken() > 0, mutant + " was not found in " + sum.seeds() + " seeds");
        List<Breach> found = sum.failing().lastEntry().getValue();
        assertTrue(
                found.stream()
                        .anyMatch(b ->
                                b.rule() == Rule.LONG_ANSWERS && b.toString().matches("(?s).*" + mutant.told + ".*")),
                mutant + ": " + found);
        System.out.println(mutant + ": seed " + sum.failing().lastKey() + ", " + found);
    }
}
