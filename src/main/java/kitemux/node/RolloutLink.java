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

/**
 * Connects a node to the keepers that push configuration. It is the only class of the node that refers to the rollout
 * classes, so that they are loaded only when a rollout is configured.
 */
final class RolloutLink {
    private RolloutLink() {}

    /**
     * Starts to watch the keepers.
     *
     * @param config the node's configuration; its settings are changed in place, on the event loop
     * @param socketBudget counts open sockets
     * @param onDiscoveryMoved receives the new address of discovery, on the event loop
     */
    static void start(
            List<InetSocketAddress> keepers,
            NodeConfig config,
            EventLoop loop,
            Clock clock,
            SocketBudget socketBudget,
            Consumer<InetSocketAddress> onDiscoveryMoved,
            Log log) {
        LiveSettings liveSettings = new LiveSettings(config.settings(), address -> {
            try {
                onDiscoveryMoved.accept(Addresses.parse("discovery", address));
            } catch (ConfigException e) {
                throw new IllegalStateException(e);
            }
        });
        int nodeIndex = config.settings().nodeIndex;
        long incarnation = clock.nowUs() / 1_000;
        Subscriber subscriber = new Subscriber(
                ProtocolParameters.defaults(),
                liveSettings,
                nodeIndex,
                incarnation,
                keepers.size(),
                0,
                new TreeMap<>(),
                config.seed(),
                clock.nowUs());
        new RolloutWatch(
                        loop,
                        NioNetwork.SYSTEM,
                        clock,
                        keepers,
                        subscriber,
                        nodeIndex,
                        incarnation,
                        socketBudget,
                        (revision, values) -> {
                            liveSettings.apply(values);
                            log.info("rollout: version " + revision + " is taken in");
                        },
                        log)
                .start();
    }
}
