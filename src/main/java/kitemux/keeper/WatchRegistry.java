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
final class WatchRegistry {
    private final LongConsumer endListener;
    private final Map<Long, Watch> openWatches = new LinkedHashMap<>();
    private long closedUnreadCount;
    private long closedSilentCount;

    /** One that is open, and when its node was heard last. */
    private static final class Watch {
        final Channel channel;
        final int node;
        long lastReportUs;

        Watch(Channel channel, int node, long lastReportUs) {
            this.channel = channel;
            this.node = node;
            this.lastReportUs = lastReportUs;
        }
    }

    /** @param ended told of each watch that has ended, by either side */
    WatchRegistry(LongConsumer endListener) {
        this.endListener = endListener;
    }

    /** A node's watch is answered from now on. */
    void add(long watchId, int node, KeeperServer.Call call, long nowUs) {
        Channel channel = call.startStream();
        openWatches.put(watchId, new Watch(channel, node, nowUs));
        channel.closeFuture().addListener(done -> {
            openWatches.remove(watchId);
            endListener.accept(watchId);
        });
    }

    /** Writes a line; a watch that is not read ends, as its node asks anew where it stands. */
    void send(long watchId, WatchEvent event) {
        Watch target = openWatches.get(watchId);
        if (target == null) {
            return;
        }
        Channel channel = target.channel;
        byte[] text = RolloutText.write(event);
        ByteBuf bytes = channel.alloc().buffer(text.length + 1).writeBytes(text).writeByte('\n');
        channel.writeAndFlush(new DefaultHttpContent(bytes));
        if (!channel.isWritable()) {
            closedUnreadCount++;
            channel.close();
        }
    }

    /** A node has reported: it is there. */
    void recordReport(int node, long nowUs) {
        for (Watch watch : openWatches.values()) {
            watch.lastReportUs = watch.node == node ? nowUs : watch.lastReportUs;
        }
    }

    /**
     * Ends watches whose nodes have not reported since: a machine that is gone closes no connection, and
     * beats would fill what may be unwritten only after hours.
     */
    void closeSilent(long sinceUs) {
        for (Watch watch : List.copyOf(openWatches.values())) {
            if (watch.lastReportUs < sinceUs) {
                closedSilentCount++;
                watch.channel.close();
            }
        }
    }

    /** Watches that were ended as their nodes did not report. */
    long closedSilentCount() {
        return closedSilentCount;
    }

    /** Watches that were ended as too much of what they were told was not read. */
    long closedUnreadCount() {
        return closedUnreadCount;
    }
}
