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

/** Open watches of nodes: endless responses with one line for each event. All methods must be called on the loop. */
final class WatchRegistry {
    private final LongConsumer endListener;
    private final Map<Long, Watch> openWatches = new LinkedHashMap<>();
    private long closedUnreadCount;
    private long closedSilentCount;

    /** An open watch and the time of its node's last report. */
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

    /** @param endListener receives the id of each watch that was closed by either side */
    WatchRegistry(LongConsumer endListener) {
        this.endListener = endListener;
    }

    /** Starts the response to a watch call of a node. */
    void add(long watchId, int node, KeeperServer.Call call, long nowUs) {
        Channel channel = call.startStream();
        openWatches.put(watchId, new Watch(channel, node, nowUs));
        channel.closeFuture().addListener(done -> {
            openWatches.remove(watchId);
            endListener.accept(watchId);
        });
    }

    /**
     * Sends an event; closes a watch whose node does not read, as the node resumes from its version when it
     * reconnects.
     */
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

    /** Records that a node has reported and so is alive. */
    void recordReport(int node, long nowUs) {
        for (Watch watch : openWatches.values()) {
            watch.lastReportUs = watch.node == node ? nowUs : watch.lastReportUs;
        }
    }

    /**
     * Closes watches whose nodes have not reported since a time. A machine that has vanished closes no connection,
     * and heartbeats alone would reach the bound on unwritten bytes only after hours.
     */
    void closeSilent(long sinceUs) {
        for (Watch watch : List.copyOf(openWatches.values())) {
            if (watch.lastReportUs < sinceUs) {
                closedSilentCount++;
                watch.channel.close();
            }
        }
    }

    /** Number of watches that were closed because their nodes did not report. */
    long closedSilentCount() {
        return closedSilentCount;
    }

    /** Number of watches that were closed because too many events were unread. */
    long closedUnreadCount() {
        return closedUnreadCount;
    }
}
