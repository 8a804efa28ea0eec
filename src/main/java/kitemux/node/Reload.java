package kitemux.node;

import java.util.Map;
import kitemux.config.ConfigException;
import kitemux.engine.Log;

/** SIGHUP: the configuration file is read again and the node is told. A JVM left alone would end on it. */
final class Reload implements Runnable {
    private final Map<String, String> env;
    private final Node node;
    private final Log log;

    private Reload(Map<String, String> env, Node node, Log log) {
        this.env = env;
        this.node = node;
        this.log = log;
    }

    /** Takes over the signal; what is returned does what the signal does. */
    static Runnable onHangUp(Map<String, String> env, Node node, Log log) {
        Reload reload = new Reload(env, node, log);
        Signals.handle("HUP", reload, log);
        return reload;
    }

    /** Each signal has a thread of its own: one at a time, so that the file as read last is what holds. */
    @Override
    public synchronized void run() {
        try {
            node.reload(NodeConfig.readForReload(env));
        } catch (ConfigException e) {
            node.reloadFailed();
            log.info("reload: " + e.getMessage() + "; the configuration stays as it was");
        }
    }
}
