package kitemux.node;

import java.util.Map;
import kitemux.config.ConfigException;
import kitemux.engine.Log;

/** Reloads the configuration file on SIGHUP and passes it to the node. By default a JVM would end on this signal. */
final class ConfigReloader implements Runnable {
    private final Map<String, String> env;
    private final Node node;
    private final Log log;

    private ConfigReloader(Map<String, String> env, Node node, Log log) {
        this.env = env;
        this.node = node;
        this.log = log;
    }

    /**
     * Installs the signal handler.
     *
     * @return an action that does what the signal does
     */
    static Runnable installSighupHandler(Map<String, String> env, Node node, Log log) {
        ConfigReloader reloader = new ConfigReloader(env, node, log);
        Signals.handle("HUP", reloader, log);
        return reloader;
    }

    /**
     * Reloads the configuration. Each signal has its own thread; they run one at a time so that the file as read last
     * is in force.
     */
    @Override
    public synchronized void run() {
        try {
            node.reload(NodeConfig.readForReload(env));
        } catch (ConfigException e) {
            node.reloadFailed();
            log.info("reload: " + e.getMessage() + "; the current configuration stays in force");
        }
    }
}
