package kitemux.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import kitemux.Balancer.Result;
import kitemux.engine.Transport;
import kitemux.http.ClientRequest;
import kitemux.net.ServerResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A node that sends on for a client 0.2 s after it has left, and has 0.1 s. */
@Timeout(120)
class LateAttemptTest {
    private static final long LATE_MS = 200;

    /** What was under way for a client that leaves is sent once more, late. */
    private static final class SendsOnLate implements Defect {
        /** The loop on which a client's connection ends now; a world is played on one thread. */
        private final ThreadLocal<EventLoop> leaving = new ThreadLocal<>();

        @Override
        public void opened(Channel channel, boolean accepted) {
            if (accepted) {
                channel.pipeline().addFirst(new ChannelDuplexHandler() {
                    @Override
                    public void channelInactive(ChannelHandlerContext context) {
                        leaving.set(context.channel().eventLoop());
                        context.fireChannelInactive();
                        leaving.remove();
                    }
                });
            }
        }

        @Override
        public Transport<ClientRequest, ServerResponse> transport(Transport<ClientRequest, ServerResponse> sound) {
            return new Transport<>() {
                private void again(String serverId, Exchange<ClientRequest, ServerResponse> like) {
                    EventLoop loop = leaving.get();
                    if (loop != null) {
                        loop.schedule(() -> sound.start(serverId, new Unheard(like)), LATE_MS, TimeUnit.MILLISECONDS);
                    }
                }

                @Override
                public void start(String serverId, Exchange<ClientRequest, ServerResponse> exchange) {
                    sound.start(serverId, exchange);
                }

                @Override
                public boolean abandon(String serverId, Exchange<ClientRequest, ServerResponse> exchange) {
                    again(serverId, exchange);
                    return sound.abandon(serverId, exchange);
                }

                @Override
                public boolean withdraw(String serverId, Exchange<ClientRequest, ServerResponse> exchange) {
                    return sound.withdraw(serverId, exchange);
                }

                @Override
                public ClientRequest probeRequest() {
                    return sound.probeRequest();
                }

                @Override
                public String endpoint(String serverId) {
                    return sound.endpoint(serverId);
                }

                @Override
                public void closeIdle(String serverId) {
                    sound.closeIdle(serverId);
                }
            };
        }
    }

    /** Sent like another, with nobody to hear its end. */
    private record Unheard(Transport.Exchange<ClientRequest, ServerResponse> like)
            implements Transport.Exchange<ClientRequest, ServerResponse> {
        @Override
        public ClientRequest request() {
            return like.request();
        }

        @Override
        public long expiresAtUs() {
            return like.expiresAtUs();
        }

        @Override
        public void onEnded(Result result, ServerResponse answer) {}
    }

    @Test
    void anAttemptThatBeginsTwoTenthsAfterItsClientLeftIsFound() throws Exception {
        FaultRuns.Summary sum = new FaultRuns("random", new SendsOnLate()).playUntil(1, 500, 2, Rule.GONE, null);
        assertTrue(sum.broken() > 0, "not found in " + sum.seeds() + " seeds");
        List<Breach> gone = sum.failing().lastEntry().getValue().stream()
                .filter(breach -> breach.rule() == Rule.GONE)
                .toList();
        assertTrue(!gone.isEmpty(), sum.failing().lastEntry().toString());
        Matcher late = Pattern.compile("(\\d+) ms after its client had left")
                .matcher(gone.get(0).what());
        assertTrue(late.find(), gone.toString());
        int ms = Integer.parseInt(late.group(1));
        assertTrue(ms >= LATE_MS && ms < 300, "less than what was held before: " + gone);
        System.out.println("sends on late: seed " + sum.failing().lastKey() + ", " + gone.get(0));
    }
}
