package kitemux.keeper;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;
import kitemux.rollout.RolloutText;
import kitemux.rollout.WatchEvent;

/** Nodes' watches: answers without an end, a line for each thing that is told. For the loop alone. */
final class Watches {
    private final LongConsumer ended;
    private final Map<Long, Watch> open = new LinkedHashMap<>();
    private long unread;
    private long silent;

    /** One that is open, and when its node was heard last. */
    private static final class Watch {
        final Channel channel;
        final int node;
        long heardUs;

        Watch(Channel channel, int node, long heardUs) {
            this.channel = channel;
            this.node = node;
            this.heardUs = heardUs;
        }
    }

    /** @param ended told of each watch that has ended, by either side */
    Watches(LongConsumer ended) {
        this.ended = ended;
    }

    /** A node's watch is answered from now on. */
    void begin(long watch, int node, KeeperServer.Call call, long nowUs) {
        Channel channel = call.stream();
        open.put(watch, new Watch(channel, node, nowUs));
        channel.closeFuture().addListener(done -> {
            open.remove(watch);
            ended.accept(watch);
        });
    }

    /** Writes a line; a watch that is not read ends, as its node asks anew where it stands. */
    void tell(long watch, WatchEvent line) {
        Watch to = open.get(watch);
        if (to == null) {
            return;
        }
        Channel channel = to.channel;
        byte[] text = RolloutText.write(line);
        ByteBuf bytes = channel.alloc().buffer(text.length + 1).writeBytes(text).writeByte('\n');
        channel.writeAndFlush(new DefaultHttpContent(bytes));
        if (!channel.isWritable()) {
            unread++;
            channel.close();
        }
    }

    /** A node has reported: it is there. */
    void reported(int node, long nowUs) {
        for (Watch watch : open.values()) {
            watch.heardUs = watch.node == node ? nowUs : watch.heardUs;
        }
    }

    /**
     * Ends watches whose nodes have not reported since: a machine that is gone closes no connection, and
     * beats would fill what may be unwritten only after hours.
     */
    void endSilent(long sinceUs) {
        for (Watch watch : List.copyOf(open.values())) {
            if (watch.heardUs < sinceUs) {
                silent++;
                watch.channel.close();
            }
        }
    }

    /** Watches that were ended as their nodes did not report. */
    long silent() {
        return silent;
    }

    /** Watches that were ended as too much of what they were told was not read. */
    long unread() {
        return unread;
    }
}
