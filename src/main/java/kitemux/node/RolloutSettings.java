package kitemux.node;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import kitemux.config.ConfigException;
import kitemux.config.FileSection;
import kitemux.config.Json;
import kitemux.net.Addresses;

/**
 * Which keepers tell a node of its configuration. Nothing of what carries it is named here: without this
 * section none of that is loaded.
 *
 * @param keepers their addresses, by number
 */
record RolloutSettings(List<InetSocketAddress> keepers) {
    /** As many as keepers themselves allow. */
    private static final int MOST = 32;

    /**
     * Reads the section of the operator's file.
     *
     * @param faults one line is added for each that is found, with field and reason
     * @return null where there is no section
     */
    static RolloutSettings read(Json json, List<String> faults) {
        if (json.isMissing()) {
            return null;
        }
        new FileSection(json, "rollout", faults).rejectUnknownFields(Set.of("keepers"));
        List<InetSocketAddress> keepers = new ArrayList<>();
        for (Json one : json.path("keepers")) {
            try {
                keepers.add(Addresses.parse("rollout.keepers[" + keepers.size() + "]", one.asText()));
            } catch (ConfigException e) {
                keepers.add(null);
                faults.add(e.getMessage());
            }
        }
        if (keepers.isEmpty() || keepers.size() > MOST) {
            faults.add("rollout.keepers is not a list of 1 to " + MOST + " addresses");
        }
        return new RolloutSettings(keepers);
    }
}
