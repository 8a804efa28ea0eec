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
 * The keepers that push configuration to a node. This record refers to no rollout classes, so that none is loaded
 * without this section.
 *
 * @param keepers addresses of the keepers, by index
 */
record RolloutSettings(List<InetSocketAddress> keepers) {
    /** Largest number of keepers, which is the limit of the keepers themselves. */
    private static final int MAX_KEEPER_COUNT = 32;

    /**
     * Reads this section of the operator's file.
     *
     * @param faults receives one line for each fault, with field and reason
     * @return null if there is no section
     */
    static RolloutSettings read(Json json, List<String> faults) {
        if (json.isMissing()) {
            return null;
        }
        new FileSection(json, "rollout", faults).rejectUnknownFields(Set.of("keepers"));
        List<InetSocketAddress> keepers = new ArrayList<>();
        for (Json keeper : json.path("keepers")) {
            try {
                keepers.add(Addresses.parse("rollout.keepers[" + keepers.size() + "]", keeper.asText()));
            } catch (ConfigException e) {
                keepers.add(null);
                faults.add(e.getMessage());
            }
        }
        if (keepers.isEmpty() || keepers.size() > MAX_KEEPER_COUNT) {
            faults.add("rollout.keepers is not a list of 1 to " + MAX_KEEPER_COUNT + " addresses");
        }
        return new RolloutSettings(keepers);
    }
}
