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
 * The operator's own settings file, which enables optional features. Without the file all of them are off.
 *
 * @param orders settings of the order journal, or null if it is off
 * @param load settings of the load capture, or null if it is off
 * @param rollout the keepers that push configuration, or null if it is off
 * @param trace settings of the request trace, or null if it is off
 */
record OperatorSettings(OrderSettings orders, LoadSettings load, RolloutSettings rollout, TraceSettings trace) {
    /** Environment variable with the path of the file. */
    static final String ENVIRONMENT_VARIABLE = "KITEMUX_SETTINGS";

    /**
     * Reads the file that the environment names, if there is one.
     *
     * @param settings the platform's settings
     * @param faults receives one line for each fault, with field and reason
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
