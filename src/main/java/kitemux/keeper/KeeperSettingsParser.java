package kitemux.keeper;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import kitemux.config.ConfigException;
import kitemux.hcl.HclReader;
import kitemux.hcl.Section;
import kitemux.hcl.SourceLocations;
import kitemux.net.Addresses;
import kitemux.rollout.ProtocolParameters;
import kitemux.rollout.Voter;

/** Reads a keeper's settings in HCL; {@code docs/operate/rollout.md} has all fields. */
public final class KeeperSettingsParser {
    /** Numbers of keepers have three digits at most; eight machines are planned for. */
    static final int MOST_KEEPERS = 32;

    private KeeperSettingsParser() {}

    /**
     * @param file what faults call the file
     * @param text its text
     * @param faults gets all that is wrong, one line each with place, field and reason
     * @return the settings; null if there are faults
     */
    public static KeeperSettings parse(String file, String text, List<String> faults) {
        Map<String, Object> parsed;
        try {
            parsed = HclReader.parse(text, SourceLocations.of(text));
        } catch (IOException e) {
            faults.add(file + ": this is not HCL: " + e.getMessage());
            return null;
        }
        List<String> own = new ArrayList<>();
        Section all = new Section("", parsed, own);
        int number = all.integer("keeper", Double.NaN);
        List<InetSocketAddress> keepers = keepers(all, own);
        String listen = all.text("listen", "");
        Path folder = folder(all.text("folder"), own);
        List<Voter> voters = voters(all, keepers.size(), own);
        int nodes = all.integer("nodes", Double.NaN);
        all.reportUnknownFields();
        if (number < 0 || all.has("keeper") && number >= keepers.size()) {
            own.add("keeper: is not from 0 to " + (keepers.size() - 1) + ", the last of keepers");
        }
        if (nodes < 1 || nodes > ProtocolParameters.MAX_NODE_COUNT) {
            own.add("nodes: is not from 1 to " + ProtocolParameters.MAX_NODE_COUNT);
        }
        InetSocketAddress at = listen.isEmpty() ? null : address("listen", listen, own);
        faults.addAll(SourceLocations.faultsWithLocations(file, text, own));
        return !faults.isEmpty()
                ? null
                : new KeeperSettings(number, keepers, at == null ? keepers.get(number) : at, folder, voters, nodes);
    }

    private static List<InetSocketAddress> keepers(Section all, List<String> faults) {
        List<InetSocketAddress> keepers = new ArrayList<>();
        Set<String> once = new HashSet<>();
        for (String text : all.texts("keepers", List.of())) {
            String at = "keepers[" + keepers.size() + "]";
            keepers.add(address("keepers", text, faults));
            if (!once.add(text)) {
                faults.add("keepers: " + at + " is there twice: " + text);
            }
        }
        if (keepers.isEmpty() || keepers.size() > MOST_KEEPERS) {
            faults.add("keepers: names " + keepers.size() + "; 1 to " + MOST_KEEPERS + " are needed");
        }
        return keepers;
    }

    private static InetSocketAddress address(String field, String text, List<String> faults) {
        try {
            return Addresses.parse(field + ":", text);
        } catch (ConfigException e) {
            faults.add(e.getMessage());
            return null;
        }
    }

    private static Path folder(String text, List<String> faults) {
        try {
            return Path.of(text);
        } catch (InvalidPathException e) {
            faults.add("folder: is no path: " + e.getMessage());
            return null;
        }
    }

    private static List<Voter> voters(Section all, int keepers, List<String> faults) {
        List<Voter> voters = new ArrayList<>();
        Set<Integer> once = new HashSet<>();
        List<String> texts = all.texts("voters", List.of());
        for (String text : texts) {
            Voter voter = Voter.parse(text);
            if (voter == null) {
                faults.add("voters: \"" + text + "\" is no voter as \"0:9f2c\", the number of a keeper and "
                        + "the identity of its folder");
            } else if (voter.keeper() >= keepers) {
                faults.add("voters: \"" + text + "\" is none of the " + keepers + " keepers");
            } else if (!once.add(voter.keeper())) {
                faults.add("voters: keeper " + voter.keeper() + " is there twice");
            } else {
                voters.add(voter);
            }
        }
        if (texts.size() % 2 == 0 || texts.size() > ProtocolParameters.MAX_VOTER_COUNT) {
            faults.add("voters: names " + texts.size() + "; 1, 3 or 5 are needed");
        }
        return voters;
    }
}
