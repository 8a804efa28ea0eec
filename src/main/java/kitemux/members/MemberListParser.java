package kitemux.members;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import kitemux.config.Json;

/**
 * Parses server lists of a file or an HTTP source, such as
 * {@code {"servers": [{"name": "web-1", "address": "10.1.0.5:9001", "rack": 0, "state": "ready"}]}}. A list is
 * accepted completely or not at all, because servers missing from a partial list would look removed.
 */
public final class MemberListParser {
    private static final int MAX_SERVER_COUNT = 20_000;
    private static final int MAX_RACK_NUMBER = 1_000_000;
    /** Errors of one list that are reported; the rest is only counted. */
    private static final int MAX_REPORTED_ERROR_COUNT = 20;

    private MemberListParser() {}

    /**
     * Parses a list of servers.
     *
     * @param isAddressAllowed accepts an address if it is IPv4 and port and lies in an allowed network
     * @param errors receives one line for each error, with the field and the reason
     * @return the servers; empty if there are errors
     */
    public static List<Member> parse(byte[] text, Predicate<String> isAddressAllowed, List<String> errors) {
        Json root;
        try {
            root = Json.read(text);
        } catch (IOException e) {
            errors.add("is not JSON: " + e.getMessage());
            return List.of();
        }
        Json servers = root.path("servers");
        if (!servers.isList()) {
            errors.add("servers: is missing or not a list");
            return List.of();
        }
        if (servers.values().size() > MAX_SERVER_COUNT) {
            errors.add("servers: has " + servers.values().size() + "; at most " + MAX_SERVER_COUNT + " are taken");
            return List.of();
        }
        List<Member> members = new ArrayList<>();
        List<String> allErrors = new ArrayList<>();
        Set<String> names = new HashSet<>();
        Set<String> addresses = new HashSet<>();
        for (Json server : servers) {
            String fieldPrefix = "servers[" + members.size() + "].";
            Member member = new Member(
                    server.path("name").asText(),
                    server.path("address").asText(),
                    (int) Math.max(
                            -1, Math.min(MAX_RACK_NUMBER, server.path("rack").asLong(0))),
                    server.path("state").asText().equals("draining"));
            members.add(member);
            if (member.name().isEmpty()) {
                allErrors.add(fieldPrefix + "name: is missing");
            } else if (!names.add(member.name())) {
                allErrors.add(fieldPrefix + "name: \"" + member.name() + "\" is there twice");
            }
            if (!isAddressAllowed.test(member.address())) {
                allErrors.add(fieldPrefix + "address: \"" + member.address()
                        + "\" is not an IPv4 address and port, or is not allowed");
            } else if (!addresses.add(member.address())) {
                allErrors.add(fieldPrefix + "address: \"" + member.address() + "\" is there twice");
            }
            if (member.rack() < 0) {
                allErrors.add(fieldPrefix + "rack: is negative");
            }
            if (!List.of("", "ready", "draining").contains(server.path("state").asText())) {
                allErrors.add(fieldPrefix + "state: is neither ready nor draining: \""
                        + server.path("state").asText() + "\"");
            }
        }
        errors.addAll(
                allErrors.size() <= MAX_REPORTED_ERROR_COUNT
                        ? allErrors
                        : allErrors.subList(0, MAX_REPORTED_ERROR_COUNT));
        if (allErrors.size() > MAX_REPORTED_ERROR_COUNT) {
            errors.add("and " + (allErrors.size() - MAX_REPORTED_ERROR_COUNT) + " more");
        }
        return allErrors.isEmpty() ? members : List.of();
    }
}
