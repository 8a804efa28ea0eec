package kitemux.node;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import kitemux.Balancer.ServerState;
import kitemux.config.ConfigException;
import kitemux.discovery.Discovery;
import kitemux.discovery.ToldServers;
import kitemux.discovery.ToldServersCodec;
import kitemux.engine.Clock;
import kitemux.engine.Log;
import kitemux.net.HostList;
import kitemux.ops.Operations;

/**
 * Shares what discovery has told with the other processes of the node, since all of them count as one: what one has been told
 * binds the other, also one that starts while discovery is down. A process writes what it has been told at once, but spends at
 * most a {@link #WRITE_TIME_DIVISOR}th of its time with it, and takes over what another one has been told by the same address if it is newer.
 *
 * <p>All methods but {@link #receive} are called on the event loop, or before it runs.
 */
final class ServerListSharing {
    /** Shortest interval between two writes, that at which the folder is read. */
    static final long MIN_WRITE_INTERVAL_US = 250_000;
    /** Longest interval between two writes. */
    static final long MAX_WRITE_INTERVAL_US = 1_000_000;
    /** Part of the time that writes may take, as each writes the whole list. */
    private static final long WRITE_TIME_DIVISOR = 100;
    /** Delay of the first write, since a process that starts has no processor time to spare. */
    private static final long FIRST_WRITE_DELAY_US = 1_000_000;

    private final Operations operations;
    private final ToldServersCodec codec;
    private final Discovery discovery;
    private final EventLoop loop;
    private final Clock clock;
    private final Log log;
    private final HostList known;
    private final UnaryOperator<List<HostList.Host>> withoutSuperseded;
    private final Consumer<HostList> onNews;

    /** The servers that are not gone, by id, as discovery has told this process or another one. */
    private final Map<String, HostList.Host> servers = new LinkedHashMap<>();
    /** The address that told them; null if they are those of the configuration. */
    private InetSocketAddress source;
    /** The revision at which that address told them last. */
    private long revision;
    /** What was shared last, by this process or by the one whose list it has taken over; null if nothing was. */
    private ToldServers shared;

    private boolean isWritePending;
    private boolean isWriting;
    private boolean isEnding;
    private long writeStartUs;
    /** When the next list may be written, in microseconds on the loop's clock. */
    private long nextWriteUs;

    /**
     * Creates a sharer that has shared nothing yet.
     *
     * @param known the list in the configuration of this process
     * @param withoutSuperseded removes servers whose address belongs to another one now
     * @param onNews receives the changes that another process has been told; they are no answer of discovery
     */
    ServerListSharing(
            Operations operations,
            List<String> zones,
            Discovery discovery,
            EventLoop loop,
            Clock clock,
            Log log,
            HostList known,
            UnaryOperator<List<HostList.Host>> withoutSuperseded,
            Consumer<HostList> onNews) {
        this.operations = operations;
        codec = new ToldServersCodec(zones);
        this.discovery = discovery;
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.known = known;
        this.withoutSuperseded = withoutSuperseded;
        this.onNews = onNews;
        nextWriteUs = clock.nowUs() + FIRST_WRITE_DELAY_US;
    }

    /** Begins with the newest list that this node has: that of the configuration, or what another process has been told. */
    void loadInitialServers() {
        if (source != null) {
            // Another process has shared a newer list since this one started.
            return;
        }
        byte[] content = operations.initialServerList();
        ToldServers told = content == null ? null : decode(content);
        if (told == null || !told.isNewerThanKnown(known)) {
            replaceServers(known.hosts());
            return;
        }
        log.info("servers as another process of this node was told them: revision " + told.revision() + ", "
                + told.hosts().size() + " servers");
        takeOver(told);
    }

    /** Returns all servers, as a full list. */
    HostList servers() {
        return new HostList(source == null ? known.revision() : revision, true, List.copyOf(servers.values()));
    }

    private void replaceServers(List<HostList.Host> hosts) {
        servers.clear();
        for (HostList.Host host : hosts) {
            servers.put(host.entry().id(), host);
        }
    }

    private void takeOver(ToldServers told) {
        shared = told;
        source = told.discovery();
        revision = told.revision();
        replaceServers(told.hosts());
        discovery.resumeFrom(told);
    }

    /** Discovery has told this process a list. */
    void onTold(HostList list) {
        if (list.isFull()) {
            servers.clear();
        }
        for (HostList.Host host : list.hosts()) {
            if (host.entry().state() == ServerState.GONE) {
                servers.remove(host.entry().id());
            } else {
                servers.put(host.entry().id(), host);
            }
        }
        source = discovery.lastSource();
        revision = list.revision();
        shareSoon();
    }

    private void shareSoon() {
        if (!isWritePending) {
            isWritePending = true;
            scheduleWrite();
        }
    }

    private void scheduleWrite() {
        loop.schedule(this::shareNow, Math.max(0, nextWriteUs - clock.nowUs()), TimeUnit.MICROSECONDS);
    }

    /** The process is about to end: from now on all that it is told is shared at once. */
    void shareAtOnce() {
        isEnding = true;
        shareNow();
    }

    private void shareNow() {
        if (!isWritePending || isWriting) {
            return;
        }
        isWritePending = false;
        List<HostList.Host> hosts = List.copyOf(withoutSuperseded.apply(List.copyOf(servers.values())));
        if (shared != null && source.equals(shared.discovery()) && hosts.equals(shared.hosts())) {
            return;
        }
        ToldServers told = new ToldServers(source, revision, known.revision(), clock.nowUs(), hosts);
        shared = told;
        isWriting = true;
        writeStartUs = clock.nowUs();
        operations.shareServerList(() -> codec.encode(told), () -> loop.execute(this::onWritten));
    }

    private void onWritten() {
        isWriting = false;
        long nowUs = clock.nowUs();
        long restUs = (nowUs - writeStartUs) * WRITE_TIME_DIVISOR;
        long intervalUs = Math.min(MAX_WRITE_INTERVAL_US, Math.max(MIN_WRITE_INTERVAL_US, restUs));
        nextWriteUs = isEnding ? nowUs : nowUs + intervalUs;
        if (isWritePending) {
            scheduleWrite();
        }
    }

    /** Another process has shared a list. Called on any thread. */
    void receive(byte[] content) {
        ToldServers told = decode(content);
        if (told != null) {
            loop.execute(() -> takeOverIfNewer(told));
        }
    }

    private ToldServers decode(byte[] content) {
        try {
            return codec.decode(content);
        } catch (IOException | ConfigException e) {
            log.info("shared state: the shared server list cannot be used: " + e.getMessage());
            return null;
        }
    }

    private void takeOverIfNewer(ToldServers told) {
        if (!told.discovery().equals(discovery.address())) {
            return;
        }
        boolean isComparable = told.discovery().equals(source);
        if (isComparable && told.revision() < revision) {
            // It was written at the same time as a newer one, and has taken its place.
            shared = told;
            shareSoon();
        } else if (isComparable ? told.revision() > revision : told.isNewerThanKnown(known)) {
            HostList news = told.changesFrom(servers.values());
            takeOver(told);
            log.info("servers as another process of this node was told them: "
                    + news.hosts().size() + " changes");
            onNews.accept(news);
        }
    }
}
