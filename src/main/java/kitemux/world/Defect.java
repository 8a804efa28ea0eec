package kitemux.world;

import io.netty.channel.Channel;
import java.util.function.Function;
import kitemux.Balancer;
import kitemux.engine.Transport;
import kitemux.http.ClientRequest;
import kitemux.net.ServerResponse;

/** Puts unsound parts in the place of sound ones, to see that they are found. All of these leave things
 * alone. */
public interface Defect {
    /** None. */
    Defect NONE = new Defect() {};

    /** The decision module, and what it asks for. */
    default Function<Balancer.Actions, Balancer> module(Function<Balancer.Actions, Balancer> sound) {
        return sound;
    }

    /** The settings as the decision module has them. */
    default Balancer.Settings settings(Balancer.Settings sound) {
        return sound;
    }

    /** What the engine tells the module, before it is checked. */
    default Balancer told(Balancer module) {
        return module;
    }

    /** The connections to servers, as the engine has them. */
    default Transport<ClientRequest, ServerResponse> transport(Transport<ClientRequest, ServerResponse> sound) {
        return sound;
    }

    /** A connection that a node has just taken in or is about to open, before its handlers are there. */
    default void opened(Channel channel, boolean accepted) {}
}
