package kitemux.rollout;

import java.util.List;

/** A node's watch at its keeper: how far it was told, and what may go next. */
final class Watch {
    /** Lines of the whole that goes, with {@code at} to go next; null where versions go one by one. */
    private List<WatchEvent.SnapshotPart> whole;

    private int at;
    /** Told up to this version; the whole that goes counts as told. */
    private long told;

    private final TokenBucket pace;
    private long lastUs;

    Watch(long nowUs, ProtocolParameters terms, long after) {
        told = after;
        pace = new TokenBucket(nowUs, terms.rateBytesPerSecond(), terms.burstBytes(), terms.initialBurstBytes());
        // Whoever comes hears at once that the keeper is there, and whether it hears a majority.
        lastUs = nowUs - terms.heartbeatIntervalUs();
    }

    /** The next line that is no beat, or null where it is told all. */
    private WatchEvent next(History history, Wholes wholes) {
        if (whole != null && at < whole.size()) {
            return whole.get(at);
        }
        whole = null;
        if (told >= history.rev()) {
            return null;
        }
        if (!history.covers(told)) {
            whole = wholes.of(history);
            at = 0;
            return whole.get(0);
        }
        Version version = history.version(told + 1);
        return new WatchEvent.Update(
                version.rev(), version.change().set(), version.change().drop());
    }

    private static int bytes(WatchEvent line) {
        return RolloutText.write(line).length + ProtocolParameters.EVENT_FRAMING_BYTES;
    }

    /** Sends what may go now; when something may go again, in microseconds. */
    long send(
            long nowUs,
            long id,
            ProtocolParameters terms,
            History history,
            Wholes wholes,
            boolean isAlone,
            List<Effect> out) {
        while (true) {
            WatchEvent line = next(history, wholes);
            int bytes = line == null ? 0 : bytes(line);
            long ready = line == null ? Long.MAX_VALUE : pace.readyAtUs(nowUs, bytes);
            if (ready <= nowUs) {
                if (line instanceof WatchEvent.SnapshotPart part) {
                    at++;
                    told = part.rev();
                } else {
                    told++;
                }
            } else if (nowUs >= lastUs + terms.heartbeatIntervalUs()) {
                line = isAlone ? new WatchEvent.NoQuorum(history.rev()) : new WatchEvent.Heartbeat();
                bytes = bytes(line);
            } else {
                return Math.min(ready, lastUs + terms.heartbeatIntervalUs());
            }
            pace.consume(nowUs, bytes);
            lastUs = nowUs;
            out.add(new Effect.SendEvent(id, line));
        }
    }

    /** The newest whole in parts, made once for all watches that need it. */
    static final class Wholes {
        private final int partBytes;
        private long rev = -1;
        private List<WatchEvent.SnapshotPart> parts;

        Wholes(int partBytes) {
            this.partBytes = partBytes;
        }

        List<WatchEvent.SnapshotPart> of(History history) {
            if (rev != history.rev()) {
                rev = history.rev();
                parts = RolloutText.splitSnapshot(rev, history.values(), partBytes);
            }
            return parts;
        }
    }
}
