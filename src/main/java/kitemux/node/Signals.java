package kitemux.node;

import java.lang.reflect.Proxy;
import kitemux.engine.Log;

/** Signals to this process. By name, as the compiler's warning about sun.misc.Signal, which is the only way
 * to have
 * them, cannot be turned off for one class. */
public final class Signals {
    private Signals() {}

    /**
     * Does something whenever a signal comes, on a thread of its own, in place of what the JVM would do.
     *
     * @param name without SIG, such as HUP
     */
    public static void handle(String name, Runnable what, Log log) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object told = Proxy.newProxyInstance(
                    Signals.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, args) -> {
                        what.run();
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), told);
        } catch (ReflectiveOperationException e) {
            log.error("SIG" + name + " cannot be handled", e);
        }
    }
}
