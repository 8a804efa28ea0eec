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

/** Parses the settings of a keeper in HCL; {@code docs/operate/rollout.md} has all fields. */
public final class KeeperSettingsParser {
    /** Largest number of keepers; their numbers have at most three digits, and eight machines are planned for. */
    static final int MAX_KEEPER_COUNT = 32;

    private KeeperSettingsParser() {}

    /**
     * Parses a settings file and reports all errors at once.
     *
     * @param file name of the file in error messages
     * @param text content of the file
     * @param errors receives one line for each error, with position, field and reason
     * @return the settings; null if there are errors
     */
    public static KeeperSettings parse(String file, String text, List<String> errors) {
        Map<String, Object> parsed;
        try {
            parsed = HclReader.parse(text, SourceLocations.of(text));
        } catch (IOException e) {
            errors.add(file + ": this is not HCL: " + e.getMessage());
            return null;
        }
        List<String> unplacedErrors = new ArrayList<>();
        Section section = new Section("", parsed, unplacedErrors);
        int number = section.integer("keeper", Double.NaN);
        List<InetSocketAddress> keepers = keepers(section, unplacedErrors);
        String listen = section.text("listen", "");
        Path folder = folder(section.text("folder"), unplacedErrors);
        List<Voter> voters = voters(section, keepers.size(), unplacedErrors);
        int nodes = section.integer("nodes", Double.NaN);
        section.reportUnknownFields();
        if (number < 0 || section.has("keeper") && number >= keepers.size()) {
            unplacedErrors.add("keeper: is not from 0 to " + (keepers.size() - 1) + ", the last of keepers");
        }
        if (nodes < 1 || nodes > ProtocolParameters.MAX_NODE_COUNT) {
            unplacedErrors.add("nodes: is not from 1 to " + ProtocolParameters.MAX_NODE_COUNT);
        }
        InetSocketAddress address = listen.isEmpty() ? null : address("listen", listen, unplacedErrors);
        errors.addAll(SourceLocations.faultsWithLocations(file, text, unplacedErrors));
        return !errors.isEmpty()
                ? null
                : new KeeperSettings(
                        number, keepers, address == null ? keepers.get(number) : address, folder, voters, nodes);
    }

    private static List<InetSocketAddress> keepers(Section section, List<String> errors) {
        List<InetSocketAddress> keepers = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (String text : section.texts("keepers", List.of())) {
            String position = "keepers[" + keepers.size() + "]";
            keepers.add(address("keepers", text, errors));
            if (!seen.add(text)) {
                errors.add("keepers: " + position + " is there twice: " + text);
            }
        }
        if (keepers.isEmpty() || keepers.size() > MAX_KEEPER_COUNT) {
            errors.add("keepers: names " + keepers.size() + "; 1 to " + MAX_KEEPER_COUNT + " are needed");
        }
        return keepers;
    }

    private static InetSocketAddress address(String field, String text, List<String> errors) {
        try {
            return Addresses.parse(field + ":", text);
        } catch (ConfigException e) {
            errors.add(e.getMessage());
            return null;
        }
    }

    private static Path folder(String text, List<String> errors) {
        try {
            return Path.of(text);
        } catch (InvalidPathException e) {
            errors.add("folder: is not a path: " + e.getMessage());
            return null;
        }
    }

    private static List<Voter> voters(Section section, int keepers, List<String> errors) {
        List<Voter> voters = new ArrayList<>();
        Set<Integer> seen = new HashSet<>();
        List<String> texts = section.texts("voters", List.of());
        for (String text : texts) {
            Voter voter = Voter.parse(text);
            if (voter == null) {
                errors.add("voters: \"" + text + "\" is not a voter of the form \"0:9f2c\", the number of a keeper and "
                        + "the identity of its folder");
            } else if (voter.keeper() >= keepers) {
                errors.add("voters: \"" + text + "\" is not one of the " + keepers + " keepers");
            } else if (!seen.add(voter.keeper())) {
                errors.add("voters: keeper " + voter.keeper() + " is there twice");
            } else {
                voters.add(voter);
            }
        }
        if (texts.size() % 2 == 0 || texts.size() > ProtocolParameters.MAX_VOTER_COUNT) {
            errors.add("voters: names " + texts.size() + "; 1, 3 or 5 are needed");
        }
        return voters;
    }
}
