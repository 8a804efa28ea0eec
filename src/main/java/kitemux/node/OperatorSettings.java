package kitemux.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import kitemux.Balancer.Settings;
import kitemux.config.Json;
import kitemux.load.LoadSettings;
import kitemux.orders.OrderSettings;
import kitemux.telemetry.TraceSettings;

/**
 * The operator's own file, which turns on what an installation has room for; without one all of it is off.
 *
 * @param orders how a journal of orders is kept; null for none
 * @param load how load is captured; null for not at all
 * @param rollout which keepers tell it of its configuration; null for none
 * @param trace where connections, requests and attempts are traced; null for not at all
 */
record OperatorSettings(OrderSettings orders, LoadSettings load, RolloutSettings rollout, TraceSettings trace) {
    /** Names the file. */
    static final String ENVIRONMENT_VARIABLE = "KITEMUX_SETTINGS";

    /**
     * Reads the file that the environment names, if it names one.
     *
     * @param settings what the platform says
     * @param faults one line is added for each that is found, with field and reason
     */
    static OperatorSettings read(Map<String, String> env, Settings settings, List<String> faults) {
        String path = env.getOrDefault(ENVIRONMENT_VARIABLE, "");
        if (path.isEmpty()) {
            return new OperatorSettings(null, null, null, null);
        }
        try {
            Json json = Json.read(Files.readAllBytes(Path.of(path)));
            List<String> unknown = new ArrayList<>(json.fields().keySet());
            unknown.removeAll(List.of("orders", "load", "rollout", "trace"));
            unknown.forEach(name -> faults.add(name + " is not known; known are load, orders, rollout, trace"));
            return new OperatorSettings(
                    OrderSettings.read(json.path("orders"), settings.classes, faults),
                    LoadSettings.read(json.path("load"), faults),
                    RolloutSettings.read(json.path("rollout"), faults),
                    TraceSettings.read(json.path("trace"), faults));
        } catch (IOException | InvalidPathException e) {
            faults.add(ENVIRONMENT_VARIABLE + " names a file that cannot be read: " + e.getMessage());
            return new OperatorSettings(null, null, null, null);
        }
    }
}
