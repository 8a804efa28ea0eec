package kitemux.node;

import io.netty.channel.EventLoop;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import kitemux.Balancer;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.ServiceQBalancer;
import kitemux.engine.Observer;
import kitemux.engine.RequestInfo;
import kitemux.engine.SendGate;
import kitemux.engine.Transport;
import kitemux.fleet.PerNodeBudgetBalancer;
import kitemux.http.ClientRequest;
import kitemux.http.ConnectionObserver;
import kitemux.net.EventLoopClock;
import kitemux.net.NioNetwork;
import kitemux.net.PollingLoop;

/** A node process with a deliberate defect that the drill's checks must detect. */
public final class UnsoundNode {
    /** The defects, by their names on the command line. */
    public enum Defect {
        /** Some requests are sent 0.2 s after their clients have disconnected, and not before. */
        SENDS_ON_LATE,
        /** Some requests get no response. */
        NEVER_ANSWERS,
        /** Cold servers may receive from this node alone all requests that they may receive in total. */
        BUDGETS_BY_NODE
    }

    private static final long SEND_DELAY_MS = 200;
    private static final int DEFECT_INTERVAL = 10;

    private UnsoundNode() {}

    /**
     * Runs until the process is killed.
     *
     * @param args the defect, and the mean work of a request in microseconds
     */
    public static void main(String[] args) throws Exception {
        NodeConfig config = NodeConfig.read(System.getenv());
        PollingLoop loop = Node.newLoop();
        Node.Dependencies sound = Node.Dependencies.system(
                loop, new StderrLog(), actions -> new ServiceQBalancer(config.settings(), config.seed(), actions));
        Node.Dependencies dependencies =
                switch (Defect.valueOf(args[0])) {
                    case SENDS_ON_LATE -> new LateSender(loop, true).installIn(sound);
                    case NEVER_ANSWERS -> new LateSender(loop, false).installIn(sound);
                    case BUDGETS_BY_NODE ->
                        new Node.Dependencies(
                                NioNetwork.SYSTEM,
                                EventLoopClock.of(loop),
                                sound.log(),
                                Observer.NONE,
                                ConnectionObserver.NONE,
                                SendGate.alwaysOpen(),
                                actions -> PerNodeBudgetBalancer.create(
                                        config.settings(), config.seed(), actions, Double.parseDouble(args[1])),
                                sound.transportDecorator());
                };
        new Node(config, loop, dependencies).start().sync();
        System.err.println("listening on " + config.listen());
    }

    /** Withholds some requests from the balancer and sends them after their clients have disconnected, or never. */
    private static final class LateSender implements Observer {
        private final EventLoop loop;
        private final boolean sends;
        private final Map<Long, RequestInfo> openRequests = new HashMap<>();
        private final Set<Long> withheldIds = new HashSet<>();
        private String server;
        private Transport<ClientRequest, kitemux.net.ServerResponse> transport;

        LateSender(EventLoop loop, boolean sends) {
            this.loop = loop;
            this.sends = sends;
        }

        Node.Dependencies installIn(Node.Dependencies sound) {
            return new Node.Dependencies(
                    sound.network(),
                    sound.time(),
                    sound.log(),
                    this,
                    sound.connectionObserver(),
                    sound.sendGate(),
                    actions -> wrap(sound.balancerFactory().apply(actions)),
                    to -> {
                        transport = to;
                        return to;
                    });
        }

        private Balancer wrap(Balancer module) {
            return (Balancer) Proxy.newProxyInstance(
                    Balancer.class.getClassLoader(), new Class<?>[] {Balancer.class}, (proxy, method, args) -> {
                        switch (method.getName()) {
                            case "onRequest" -> {
                                long id = ((Balancer.Request) args[1]).id();
                                if (id % DEFECT_INTERVAL == 0) {
                                    withheldIds.add(id);
                                    return null;
                                }
                            }
                            case "onClientGone" -> {
                                if (withheldIds.remove((Long) args[1]) && sends) {
                                    sendLate((ClientRequest) openRequests.get((Long) args[1]));
                                    return null;
                                }
                            }
                            case "onServers" -> noteReadyServer((Iterable<?>) args[2]);
                            default -> {
                                // Other events are passed on unchanged.
                            }
                        }
                        try {
                            return method.invoke(module, args);
                        } catch (InvocationTargetException e) {
                            throw e.getCause();
                        }
                    });
        }

        private void noteReadyServer(Iterable<?> entries) {
            for (Object entry : entries) {
                if (entry instanceof ServerEntry one && one.state() == ServerState.READY) {
                    server = one.id();
                }
            }
        }

        private void sendLate(ClientRequest request) {
            loop.schedule(
                    () -> transport.start(server, new Transport.Exchange<>() {
                        @Override
                        public ClientRequest request() {
                            return request;
                        }

                        @Override
                        public long expiresAtUs() {
                            return Long.MAX_VALUE;
                        }

                        @Override
                        public void onEnded(Balancer.Result result, kitemux.net.ServerResponse answer) {}
                    }),
                    SEND_DELAY_MS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void onRequestAccepted(long id, RequestInfo request) {
            openRequests.put(id, request);
        }

        @Override
        public void onRequestReleased(long id) {
            openRequests.remove(id);
        }
    }
}
