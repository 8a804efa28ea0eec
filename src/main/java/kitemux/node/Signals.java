package kitemux.node;

import java.lang.reflect.Proxy;
import kitemux.engine.Log;

/**
 * Handles POSIX signals. sun.misc.Signal, the only interface to them, is used by reflection because the compiler's
 * warning about it cannot be suppressed for one class.
 */
public final class Signals {
    private Signals() {}

    /**
     * Runs an action on its own thread whenever a signal arrives, in place of the JVM's default.
     *
     * @param name name of the signal without SIG, such as HUP
     */
    public static void handle(String name, Runnable action, Log log) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object handlerProxy = Proxy.newProxyInstance(
                    Signals.class.getClassLoader(), new Class<?>[] {handlerClass}, (proxy, method, args) -> {
                        action.run();
                        return null;
                    });
            signalClass
                    .getMethod("handle", signalClass, handlerClass)
                    .invoke(null, signalClass.getConstructor(String.class).newInstance(name), handlerProxy);
        } catch (ReflectiveOperationException e) {
            log.error("SIG" + name + " cannot be handled", e);
        }
    }
}
