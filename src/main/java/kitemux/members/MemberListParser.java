package kitemux.members;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import kitemux.config.Json;

/**
 * Reads lists of servers as a file or an HTTP source has them:
 * {@code {"servers": [{"name": "web-1", "address": "10.1.0.5:9001", "rack": 0, "state": "ready"}]}}. A list
 * is taken
 * whole or not at all: half a list would look like servers that have gone.
 */
public final class MemberListParser {
    private static final int MOST_SERVERS = 20_000;
    private static final int MOST_RACK = 1_000_000;
    /** Told of one list; the rest is counted. */
    private static final int MOST_FAULTS = 20;

    private MemberListParser() {}

    /**
     * @param allowed whether an address may be used: IPv4 and port, and within the networks that there are
     * @param faults one line is added for each, with the field and the reason; the list counts only if there
     * are none
     */
    public static List<Member> parse(byte[] text, Predicate<String> allowed, List<String> faults) {
        Json all;
        try {
            all = Json.read(text);
        } catch (IOException e) {
            faults.add("is not JSON: " + e.getMessage());
            return List.of();
        }
        Json servers = all.path("servers");
        if (!servers.isList()) {
            faults.add("servers: is missing or not a list");
            return List.of();
        }
        if (servers.values().size() > MOST_SERVERS) {
            faults.add("servers: has " + servers.values().size() + "; at most " + MOST_SERVERS + " are taken");
            return List.of();
        }
        List<Member> read = new ArrayList<>();
        List<String> found = new ArrayList<>();
        Set<String> names = new HashSet<>();
        Set<String> addresses = new HashSet<>();
        for (Json one : servers) {
            String at = "servers[" + read.size() + "].";
            Member member = new Member(
                    one.path("name").asText(),
                    one.path("address").asText(),
                    (int) Math.max(-1, Math.min(MOST_RACK, one.path("rack").asLong(0))),
                    one.path("state").asText().equals("draining"));
            read.add(member);
            if (member.name().isEmpty()) {
                found.add(at + "name: is missing");
            } else if (!names.add(member.name())) {
                found.add(at + "name: \"" + member.name() + "\" is there twice");
            }
            if (!allowed.test(member.address())) {
                found.add(at + "address: \"" + member.address() + "\" is no IPv4 address and port, or not allowed");
            } else if (!addresses.add(member.address())) {
                found.add(at + "address: \"" + member.address() + "\" is there twice");
            }
            if (member.rack() < 0) {
                found.add(at + "rack: is under 0");
            }
            if (!List.of("", "ready", "draining").contains(one.path("state").asText())) {
                found.add(at + "state: is neither ready nor draining: \""
                        + one.path("state").asText() + "\"");
            }
        }
        faults.addAll(found.size() <= MOST_FAULTS ? found : found.subList(0, MOST_FAULTS));
        if (found.size() > MOST_FAULTS) {
            faults.add("and " + (found.size() - MOST_FAULTS) + " more");
        }
        return found.isEmpty() ? read : List.of();
    }
}
