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

/** A process of a node with a deliberate defect, which the drill's judge has to find. */
public final class UnsoundNode {
    /** Its defects, by what they are called on the command line. */
    public enum Defect {
        /** Some requests are sent 0.2 s after their clients have left, and not before. */
        SENDS_ON_LATE,
        /** Some requests get no answer. */
        NEVER_ANSWERS,
        /** Cold servers get all that may come to them from this node alone. */
        BUDGETS_BY_NODE
    }

    private static final long LATE_MS = 200;
    private static final int ONE_OF = 10;

    private UnsoundNode() {}

    /**
     * Runs until it is killed.
     *
     * @param args the defect, and the mean work of a request in microseconds
     */
    public static void main(String[] args) throws Exception {
        NodeConfig config = NodeConfig.read(System.getenv());
        PollingLoop loop = Node.newLoop();
        Node.Dependencies sound = Node.Dependencies.system(
                loop, new StderrLog(), actions -> new ServiceQBalancer(config.settings(), config.seed(), actions));
        Node.Dependencies parts =
                switch (Defect.valueOf(args[0])) {
                    case SENDS_ON_LATE -> new LateSender(loop, true).in(sound);
                    case NEVER_ANSWERS -> new LateSender(loop, false).in(sound);
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
        new Node(config, loop, parts).start().sync();
        System.err.println("listening on " + config.listen());
    }

    /** Keeps some requests from the module, and sends them when their clients have left, or never. */
    private static final class LateSender implements Observer {
        private final EventLoop loop;
        private final boolean sends;
        private final Map<Long, RequestInfo> held = new HashMap<>();
        private final Set<Long> kept = new HashSet<>();
        private String server;
        private Transport<ClientRequest, kitemux.net.ServerResponse> transport;

        LateSender(EventLoop loop, boolean sends) {
            this.loop = loop;
            this.sends = sends;
        }

        Node.Dependencies in(Node.Dependencies sound) {
            return new Node.Dependencies(
                    sound.network(),
                    sound.time(),
                    sound.log(),
                    this,
                    sound.connectionObserver(),
                    sound.sendGate(),
                    actions -> around(sound.balancerFactory().apply(actions)),
                    to -> {
                        transport = to;
                        return to;
                    });
        }

        private Balancer around(Balancer module) {
            return (Balancer) Proxy.newProxyInstance(
                    Balancer.class.getClassLoader(), new Class<?>[] {Balancer.class}, (proxy, method, args) -> {
                        switch (method.getName()) {
                            case "onRequest" -> {
                                long id = ((Balancer.Request) args[1]).id();
                                if (id % ONE_OF == 0) {
                                    kept.add(id);
                                    return null;
                                }
                            }
                            case "onClientGone" -> {
                                if (kept.remove((Long) args[1]) && sends) {
                                    later((ClientRequest) held.get((Long) args[1]));
                                    return null;
                                }
                            }
                            case "onServers" -> note((Iterable<?>) args[2]);
                            default -> {
                                // Passed on as it is.
                            }
                        }
                        try {
                            return method.invoke(module, args);
                        } catch (InvocationTargetException e) {
                            throw e.getCause();
                        }
                    });
        }

        private void note(Iterable<?> entries) {
            for (Object entry : entries) {
                if (entry instanceof ServerEntry one && one.state() == ServerState.READY) {
                    server = one.id();
                }
            }
        }

        private void later(ClientRequest request) {
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
                    LATE_MS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void onRequestAccepted(long id, RequestInfo request) {
            held.put(id, request);
        }

        @Override
        public void onRequestReleased(long id) {
            held.remove(id);
        }
    }
}
