package kitemux.node;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import kitemux.config.ConfigException;
import kitemux.engine.Clock;
import kitemux.engine.Log;
import kitemux.keeper.RolloutWatch;
import kitemux.net.Addresses;
import kitemux.net.NioNetwork;
import kitemux.net.SocketBudget;
import kitemux.rollout.ProtocolParameters;
import kitemux.rollout.Subscriber;

/** A node's tie to keepers; the only class of the node that names what carries configuration. */
final class RolloutLink {
    private RolloutLink() {}

    /**
     * Watches keepers from now on.
     *
     * @param config the node's; its settings are changed in place, on the loop
     * @param sockets counts those that are open
     * @param discovery told, on the loop, where discovery is from now on
     */
    static void start(
            List<InetSocketAddress> keepers,
            NodeConfig config,
            EventLoop loop,
            Clock time,
            SocketBudget sockets,
            Consumer<InetSocketAddress> discovery,
            Log log) {
        LiveSettings live = new LiveSettings(config.settings(), at -> {
            try {
                discovery.accept(Addresses.parse("discovery", at));
            } catch (ConfigException e) {
                throw new IllegalStateException(e);
            }
        });
        int node = config.settings().nodeIndex;
        long life = time.nowUs() / 1_000;
        Subscriber subscriber = new Subscriber(
                ProtocolParameters.defaults(),
                live,
                node,
                life,
                keepers.size(),
                0,
                new TreeMap<>(),
                config.seed(),
                time.nowUs());
        new RolloutWatch(
                        loop,
                        NioNetwork.SYSTEM,
                        time,
                        keepers,
                        subscriber,
                        node,
                        life,
                        sockets,
                        (rev, values) -> {
                            live.apply(values);
                            log.info("rollout: version " + rev + " is taken in");
                        },
                        log)
                .start();
    }
}
