package kitemux.rollout;

import java.util.List;

/** The keeper's side of a node's watch: what was sent on it, and what may be sent next. */
final class Watch {
    /**
     * Parts of the snapshot that is being sent, of which {@code nextPartIndex} is next; null while versions
     * are sent individually.
     */
    private List<WatchEvent.SnapshotPart> snapshotParts;

    private int nextPartIndex;
    /** The newest version that was sent; a snapshot counts from its first part on. */
    private long sentRev;

    private final TokenBucket tokenBucket;
    private long lastSentAtUs;

    Watch(long nowUs, ProtocolParameters parameters, long afterRev) {
        sentRev = afterRev;
        tokenBucket = new TokenBucket(
                nowUs, parameters.rateBytesPerSecond(), parameters.burstBytes(), parameters.initialBurstBytes());
        // The first heartbeat is due at once, so that the node learns whether this keeper reaches a
        // majority.
        lastSentAtUs = nowUs - parameters.heartbeatIntervalUs();
    }

    /** Returns the next event other than a heartbeat, or null if everything was sent. */
    private WatchEvent nextEvent(History history, SnapshotCache snapshotCache) {
        if (snapshotParts != null && nextPartIndex < snapshotParts.size()) {
            return snapshotParts.get(nextPartIndex);
        }
        snapshotParts = null;
        if (sentRev >= history.rev()) {
            return null;
        }
        if (!history.covers(sentRev)) {
            snapshotParts = snapshotCache.partsOf(history);
            nextPartIndex = 0;
            return snapshotParts.get(0);
        }
        Version version = history.version(sentRev + 1);
        return new WatchEvent.Update(
                version.rev(), version.change().set(), version.change().drop());
    }

    private static int framedLength(WatchEvent event) {
        return RolloutText.write(event).length + ProtocolParameters.EVENT_FRAMING_BYTES;
    }

    /** Sends all events that may be sent now. Returns when the next one may be due, in microseconds. */
    long sendPending(
            long nowUs,
            long watchId,
            ProtocolParameters parameters,
            History history,
            SnapshotCache snapshotCache,
            boolean lacksQuorum,
            List<Effect> effects) {
        while (true) {
            WatchEvent event = nextEvent(history, snapshotCache);
            int bytes = event == null ? 0 : framedLength(event);
            long readyAtUs = event == null ? Long.MAX_VALUE : tokenBucket.readyAtUs(nowUs, bytes);
            if (readyAtUs <= nowUs) {
                if (event instanceof WatchEvent.SnapshotPart part) {
                    nextPartIndex++;
                    sentRev = part.rev();
                } else {
                    sentRev++;
                }
            } else if (nowUs >= lastSentAtUs + parameters.heartbeatIntervalUs()) {
                event = lacksQuorum ? new WatchEvent.NoQuorum(history.rev()) : new WatchEvent.Heartbeat();
                bytes = framedLength(event);
            } else {
                return Math.min(readyAtUs, lastSentAtUs + parameters.heartbeatIntervalUs());
            }
            tokenBucket.consume(nowUs, bytes);
            lastSentAtUs = nowUs;
            effects.add(new Effect.SendEvent(watchId, event));
        }
    }

    /** The newest snapshot split into parts, shared by all watches that need it. */
    static final class SnapshotCache {
        private final int partBytes;
        private long rev = -1;
        private List<WatchEvent.SnapshotPart> parts;

        SnapshotCache(int partBytes) {
            this.partBytes = partBytes;
        }

        List<WatchEvent.SnapshotPart> partsOf(History history) {
            if (rev != history.rev()) {
                rev = history.rev();
                parts = RolloutText.splitSnapshot(rev, history.values(), partBytes);
            }
            return parts;
        }
    }
}
