package kitemux.rollout;

import java.util.List;

/** A node's watch at its keeper: how far it was told, and what may go next. */
final class Watch {
    /** Lines of the whole that goes, with {@code at} to go next; null where versions go one by one. */
    private List<WatchEvent.SnapshotPart> snapshotParts;

    private int nextPartIndex;
    /** Told up to this version; the whole that goes counts as told. */
    private long sentRev;

    private final TokenBucket tokenBucket;
    private long lastSentAtUs;

    Watch(long nowUs, ProtocolParameters terms, long afterRev) {
        sentRev = afterRev;
        tokenBucket = new TokenBucket(nowUs, terms.rateBytesPerSecond(), terms.burstBytes(), terms.initialBurstBytes());
        // Whoever comes hears at once that the keeper is there, and whether it hears a majority.
        lastSentAtUs = nowUs - terms.heartbeatIntervalUs();
    }

    /** The next line that is no beat, or null where it is told all. */
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

    /** Sends what may go now; when something may go again, in microseconds. */
    long sendPending(
            long nowUs,
            long watchId,
            ProtocolParameters terms,
            History history,
            SnapshotCache snapshotCache,
            boolean isAlone,
            List<Effect> out) {
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
            } else if (nowUs >= lastSentAtUs + terms.heartbeatIntervalUs()) {
                event = isAlone ? new WatchEvent.NoQuorum(history.rev()) : new WatchEvent.Heartbeat();
                bytes = framedLength(event);
            } else {
                return Math.min(readyAtUs, lastSentAtUs + terms.heartbeatIntervalUs());
            }
            tokenBucket.consume(nowUs, bytes);
            lastSentAtUs = nowUs;
            out.add(new Effect.SendEvent(watchId, event));
        }
    }

    /** The newest whole in parts, made once for all watches that need it. */
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
