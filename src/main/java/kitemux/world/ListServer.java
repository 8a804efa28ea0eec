package kitemux.world;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Discovery at one place: it learns late what runs, has versions of its own, and tells watchers. Down, it
 * ends their watches; back, it may know less than it once told, and catch up later.
 */
final class ListServer {
    private static final long BEAT_MS = 2_000;

    private final World world;
    final Machine machine;
    /** Each version whole: the newest last. */
    private final List<Version> versions = new ArrayList<>();
    /** Which of them is told as the newest: an older one while it is behind. */
    private int shown;

    private boolean behind;
    private final Set<Watch> watches = new LinkedHashSet<>();
    private boolean up = true;

    /** A server as it is listed. */
    record Entry(String uid, String endpoint, int cell, String state, long bootMs) {
        String json() {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + endpoint
                    + "\",\"az\":\"amman-room\",\"model\":\"std-box\",\"pod_group\":" + cell
                    + ",\"state\":\"" + state
                    + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMs + "}";
        }
    }

    /** The list at one time. */
    private record Version(long rev, Map<String, Entry> entries) {}

    ListServer(World world, Machine machine, long firstRev, List<Entry> entries) {
        this.world = world;
        this.machine = machine;
        Map<String, Entry> first = new LinkedHashMap<>();
        entries.forEach(e -> first.put(e.uid, e));
        versions.add(new Version(firstRev, first));
        machine.acceptor = this::incoming;
    }

    /** Something has changed, and it is known here from now on; GONE takes a server out. */
    void learn(Entry entry) {
        Version last = versions.get(versions.size() - 1);
        Map<String, Entry> next = new LinkedHashMap<>(last.entries);
        if (entry.state.equals("Gone")) {
            next.remove(entry.uid);
        } else {
            next.put(entry.uid, entry);
        }
        versions.add(new Version(last.rev + 1, next));
        if (!behind) {
            show(versions.size() - 1);
        }
    }

    private void show(int version) {
        shown = version;
        for (Watch watch : List.copyOf(watches)) {
            watch.tellChanges();
        }
    }

    /** Its process ends, or it is cut off. */
    void goDown(boolean silently) {
        up = false;
        watches.clear();
        if (silently) {
            machine.vanish();
        } else {
            machine.die();
        }
    }

    /** Back, so many versions behind what it once told. */
    void comeUp(int versionsBehind) {
        if (machine.silent) {
            machine.reappear();
        }
        up = true;
        machine.acceptor = this::incoming;
        behind = versionsBehind > 0;
        shown = Math.max(0, versions.size() - 1 - versionsBehind);
    }

    void catchUp() {
        behind = false;
        if (up) {
            show(versions.size() - 1);
        }
    }

    private void incoming(End end) {
        end.listener = new Watch(end);
    }

    /** A call. */
    private final class Watch implements End.Listener {
        private final End end;
        private final Messages reader = new Messages();
        private NodeHost node;
        private long toldRev;

        Watch(End end) {
            this.end = end;
        }

        @Override
        public void changed(End changed) {
            End.Segment next;
            while (!end.closed && (next = end.read()) != null) {
                reader.take(next, this::asked);
            }
            if (end.finIn || end.resetIn) {
                watches.remove(this);
                end.close();
            }
        }

        private void asked(Messages.Message call) {
            node = world.nodeAt(end.peer.machine);
            String path = call.start().split(" ")[1];
            if (!path.startsWith("/discovery/hosts?watch=1")) {
                world.judge.breach(Rule.UNCHANGED, "discovery was asked for " + path);
                return;
            }
            end.write(Messages.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
            int at = path.indexOf("&after=");
            long after = at < 0 ? -1 : Long.parseLong(path.substring(at + 7));
            Version now = versions.get(shown);
            watches.add(this);
            if (after < versions.get(0).rev || after > now.rev || world.wholeLists) {
                toldRev = now.rev;
                tell(now.rev, true, List.copyOf(now.entries.values()));
            } else {
                toldRev = after;
                tellChanges();
            }
            beat();
        }

        void tellChanges() {
            Version now = versions.get(shown);
            if (now.rev == toldRev) {
                return;
            }
            Map<String, Entry> then = versions.get((int) Math.max(0, toldRev - versions.get(0).rev)).entries;
            List<Entry> changed = new ArrayList<>();
            then.forEach((uid, entry) -> {
                if (!now.entries.containsKey(uid)) {
                    changed.add(new Entry(uid, entry.endpoint, entry.cell, "Gone", entry.bootMs));
                }
            });
            now.entries.forEach((uid, entry) -> {
                if (!entry.equals(then.get(uid))) {
                    changed.add(entry);
                }
            });
            toldRev = now.rev;
            tell(now.rev, false, changed);
        }

        private void tell(long rev, boolean all, List<Entry> entries) {
            StringBuilder line = new StringBuilder();
            line.append("{\"rev\":").append(rev).append(",\"all\":").append(all).append(",\"targets\":[");
            for (int i = 0; i < entries.size(); i++) {
                line.append(i == 0 ? "" : ",").append(entries.get(i).json());
            }
            line.append("]}\n");
            int process = node.process();
            write(line.toString(), () -> node.told(process, ListServer.this, rev, all, entries));
        }

        private void write(String text, Runnable whenHeard) {
            end.write(
                    Messages.bytes(
                            Integer.toHexString(text.length()).toLowerCase(Locale.ROOT) + "\r\n" + text + "\r\n"),
                    whenHeard);
        }

        private void beat() {
            world.time.scheduleAfterMs(BEAT_MS, () -> {
                if (watches.contains(this) && !end.closed && up) {
                    write("\n", () -> {});
                    beat();
                }
            });
        }
    }

    @Override
    public String toString() {
        return machine.name;
    }
}
