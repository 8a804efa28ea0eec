package kitemux.drill;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import kitemux.drill.Fault.Way;
import kitemux.fleet.Fleet;

/**
 * Who there is in a drill, by names: {@code clients}, {@code list}, {@code node-0} ..., servers by their
 * ids.
 */
final class Parties {
    static final String CLIENTS = "clients";
    static final String LIST = "list";
    private static final String NODE = "node-";

    private final List<String> nodes = new ArrayList<>();
    private final List<String> boxes = new ArrayList<>();
    private final List<List<String>> racks = new ArrayList<>();
    private final Fleet fleet;

    Parties(Fleet fleet) {
        this.fleet = fleet;
        for (int n = 0; n < fleet.nodes().count(); n++) {
            nodes.add(node(n));
        }
        for (int r = 0; r < fleet.racks(); r++) {
            racks.add(new ArrayList<>());
        }
        for (Fleet.ServerKind kind : fleet.kinds()) {
            for (int i = 0; i < kind.count(); i++) {
                racks.get(boxes.size() % fleet.racks()).add(kind.name() + "-" + i);
                boxes.add(kind.name() + "-" + i);
            }
        }
    }

    static String node(int number) {
        return NODE + number;
    }

    /** A node's number; -1 for other parties. */
    static int number(String party) {
        return party.startsWith(NODE) ? Integer.parseInt(party.substring(NODE.length())) : -1;
    }

    /** The servers' rack, by its number; -1 for other parties. */
    int rack(String box) {
        return boxes.contains(box) ? boxes.indexOf(box) % fleet.racks() : -1;
    }

    /** What a description calls parties; null where there are none of the name. */
    List<String> called(String name) {
        if (name.equals(CLIENTS) || name.equals(LIST)) {
            return List.of(name);
        }
        if (name.equals("nodes")) {
            return List.copyOf(nodes);
        }
        if (name.equals("boxes")) {
            return List.copyOf(boxes);
        }
        if (nodes.contains(name) || boxes.contains(name)) {
            return List.of(name);
        }
        if (name.matches("rack-\\d{1,4}") && Integer.parseInt(name.substring(5)) < racks.size()) {
            return List.copyOf(racks.get(Integer.parseInt(name.substring(5))));
        }
        for (Fleet.ServerKind kind : fleet.kinds()) {
            if (kind.name().equals(name)) {
                return boxes.stream()
                        .filter(box -> box.startsWith(name + "-")
                                && box.substring(name.length() + 1).matches("\\d+"))
                        .toList();
            }
        }
        return null;
    }

    /** All that a description may call parties, as faults tell it. */
    String known() {
        TreeSet<String> kinds = new TreeSet<>();
        fleet.kinds().forEach(kind -> kinds.add(kind.name()));
        return "clients, list, nodes, node-0 to " + nodes.get(nodes.size() - 1) + ", boxes, rack-0 to rack-"
                + (racks.size() - 1) + ", " + String.join(", ", kinds) + ", " + boxes.get(0) + " to "
                + boxes.get(boxes.size() - 1);
    }

    /** The way between two parties, as it is dialled; null where there is none. */
    Way way(String one, String other) {
        boolean node = number(one) >= 0;
        if (node && (boxes.contains(other) || other.equals(LIST))) {
            return new Way(one, other);
        }
        if (number(other) >= 0 && one.equals(CLIENTS)) {
            return new Way(one, other);
        }
        if (number(other) >= 0 && !node || node && other.equals(CLIENTS)) {
            return way(other, one);
        }
        return null;
    }

    /** All ways to and from a node. */
    List<Way> of(int node) {
        List<Way> all = new ArrayList<>();
        all.add(new Way(CLIENTS, node(node)));
        all.add(new Way(node(node), LIST));
        boxes.forEach(box -> all.add(new Way(node(node), box)));
        return all;
    }
}
