package kitemux.app;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import kitemux.app.Field.Kind;

/** Defines all fields of a description, in the order of the reference page. This table is the only definition. */
public final class Fields {
    private static final double UNBOUNDED = Double.POSITIVE_INFINITY;
    private static final double MILLISECOND_US = 1e3;
    private static final double SECOND_US = 1e6;
    private static final double HOUR_US = 3_600e6;

    private static final Map<String, Field> FIELDS_BY_KEY = new LinkedHashMap<>();

    /** Descriptions of the blocks; those in {@link #LABELLED_BLOCKS} have a label and may occur several times. */
    private static final Map<String, String> BLOCK_DESCRIPTIONS = new LinkedHashMap<>();

    private static final List<String> LABELLED_BLOCKS = List.of("server", "pool", "class", "tenant");

    static {
        addBlock("", "the application itself");
        addText(
                "",
                "name",
                null,
                "name of the application; a sidecar finds the state that its predecessor stored under this name");
        addField("", "listen", Kind.ADDRESS, null, "address that clients connect to");
        addField(
                "",
                "operators",
                Kind.ADDRESS,
                "",
                "address of the operators' interface (operations.md); without it there is none");
        addField(
                "",
                "discovery",
                Kind.ADDRESS,
                "",
                "address of the platform's list of servers, which the node watches itself");
        addTextList("", "networks", "networks that server addresses must belong to; without it any address is allowed");
        addTextList(
                "",
                "never_twice",
                "classes that must never run twice; describing one of them as retryable is an error");
        addBoolean("", "journaled", false, "whether never-twice requests must be journaled before they are sent");
        addNumber("", "quota", "0", 0, UNBOUNDED, "requests per second of all tenants together; 0 for no limit");

        addBlock("server", "a server");
        addField("server", "address", Kind.ADDRESS, null, "address that it listens on");
        addInteger(
                "server",
                "rack",
                "0",
                0,
                1_000_000,
                "rack of the server; servers in a rack recognise the same idempotency keys");
        addEnum(
                "server",
                "state",
                "ready",
                "ready receives requests, draining only completes those in flight," + " gone is left out",
                "ready",
                "draining",
                "gone");

        addBlock("pool", "servers that serve the same classes; without a pool all servers serve all classes");
        addTextList("pool", "servers", "names of the servers");

        addBlock("class", "a class of requests");
        addEnum(
                "class",
                "again",
                null,
                "whether requests may run more than once: safe always, keyed within a window in which servers"
                        + " drop repeats of a key, never-twice not at all",
                "safe",
                "keyed",
                "never-twice");
        addEnum("class", "group", "all", "which servers drop repeats of a keyed request", "all", "rack");
        addDuration("class", "window", "0ms", 0, HOUR_US, "how long a keyed request may be retried");
        addDuration(
                "class",
                "aim",
                null,
                MILLISECOND_US,
                HOUR_US,
                "answers within this time are in time; less than 1 ms would pass before a request is read");
        addDuration("class", "deadline", null, MILLISECOND_US, HOUR_US, "time after which a request is abandoned");
        addNumber(
                "class",
                "worth",
                "1",
                Double.MIN_NORMAL,
                UNBOUNDED,
                "value of a request relative to other classes, if not all can be" + " served");
        addNumber("class", "late_worth", "0", 0, 1, "share of the worth of an answer that is later than the aim");
        addText("class", "pool", "", "pool that serves the class; not needed if there is only one");
        addInteger("class", "attempts", "0", 0, 16, "maximum number of attempts; 0 for limits.attempts");
        addBoolean("class", "second_copies", false, "whether a request may have two attempts in flight at once");

        addBlock("tenant", "a tenant");
        addNumber("tenant", "share", null, Double.MIN_NORMAL, 1, "share of the quota");

        addBlock("keys", "how servers store the keys of keyed requests");
        addDuration("keys", "kept", "0ms", 0, 24 * HOUR_US, "how long servers remember a key");
        addEnum("keys", "shared", "all", "which servers share a key", "all", "rack");

        addBlock("members", "sources of servers other than this description");
        addText("members", "file", "", "JSON file that lists the servers; watched for changes as the description is");
        addText("members", "list", "", "URL of such a list, such as http://10.0.0.9:8500/servers");
        addDuration(
                "members",
                "refresh",
                "5s",
                SECOND_US / 10,
                HOUR_US,
                "interval between two requests for the list; a shorter one would load its server");
        addDuration(
                "members", "back_off", "60s", SECOND_US / 10, HOUR_US, "maximum interval after consecutive failures");
        addNumber(
                "members",
                "most_lost",
                "0.5",
                0,
                1,
                "share of the servers that may be missing from a list at once; if more are"
                        + " missing, they are kept until members.sure has passed");
        addDuration(
                "members", "sure", "30s", 0, HOUR_US, "how long such servers must be missing before they are removed");
        addText("members", "state", "", "folder in which the sidecar stores the known servers for its successor");

        addBlock("health", "health checks of servers; without this block there are none");
        addText("health", "path", "/", "path that is requested from each server; a status from 200 to 299 passes");
        addDuration(
                "health",
                "every",
                "2s",
                SECOND_US / 10,
                HOUR_US,
                "interval between two checks of a server; each check costs the server a request");
        addDuration("health", "timeout", "500ms", MILLISECOND_US, 60 * SECOND_US, "time after which a check fails");
        addInteger("health", "fall", "3", 1, 100, "number of consecutive failures after which a server is ejected");
        addInteger(
                "health",
                "rise",
                "2",
                1,
                100,
                "number of consecutive passes after which an ejected server is restored");
        addNumber("health", "most_out", "0.5", 0, 0.9, "share of the servers that may be ejected at once");
        addDuration(
                "health",
                "hold",
                "5s",
                0,
                HOUR_US,
                "minimum duration of an ejection; doubled each time the server is ejected again");
        addDuration("health", "most_hold", "5m", 0, 24 * HOUR_US, "upper bound of the minimum duration of an ejection");

        addBlock("limits", "limits of the process");
        addInteger(
                "limits",
                "attempts",
                "4",
                1,
                16,
                "maximum number of attempts for a request; more would amplify overload");
        addBoolean(
                "limits",
                "second_copies",
                true,
                "whether a request may have two attempts in flight at once, if its class allows it");
        addDuration(
                "limits",
                "connect",
                "250ms",
                MILLISECOND_US,
                60 * SECOND_US,
                "timeout for opening a connection; less than 1 ms is never enough");
        addDuration(
                "limits",
                "idle",
                "15s",
                SECOND_US / 10,
                24 * HOUR_US,
                "time after which servers close idle connections; below 100 ms nearly"
                        + " every request would need a new connection");
        addDuration("limits", "retry_after", "1s", 0, HOUR_US, "maximum retry delay that a client is advised");
        addInteger("limits", "sockets", "1024", 64, 65_535, "maximum number of file descriptors of the process");
        addInteger("limits", "memory_mib", "128", 64, 1 << 20, "memory of the process in MiB");

        addBlock("rules", "what servers require of their clients");
        addDuration(
                "rules",
                "drain",
                "500ms",
                0,
                HOUR_US,
                "time after which a draining server must not receive new requests");
        addNumber("rules", "cold_from", "1", Double.MIN_NORMAL, 1, "share of its capacity with which a server starts");
        addDuration("rules", "cold", "0ms", 0, 24 * HOUR_US, "time until a started server has its full capacity");
        addNumber(
                "rules",
                "overload",
                "4",
                1,
                1_000,
                "multiple of its current capacity that a cold server can receive without failing");
        addDuration(
                "rules",
                "fall",
                "2s",
                MILLISECOND_US,
                HOUR_US,
                "period over which the load of a cold server is measured");

        addBlock("orders", "the journal of never-twice requests (orders.md)");
        addText("orders", "folder", "", "folder of the journal");
        addDuration(
                "orders",
                "late",
                "100ms",
                MILLISECOND_US,
                60 * SECOND_US,
                "how long a send waits for its journal entry");

        addBlock("logs", "log output of the sidecar");
        addEnum("logs", "form", "text", "text lines, or JSON objects with time, level and source", "text", "json");
        addInteger(
                "logs",
                "queue",
                "4096",
                16,
                1 << 20,
                "maximum number of lines that wait to be written; further lines are dropped"
                        + " and counted, so that logging never blocks");
    }

    private Fields() {}

    private static void addBlock(String name, String description) {
        BLOCK_DESCRIPTIONS.put(name, description);
    }

    private static void register(Field field) {
        FIELDS_BY_KEY.put(field.key(), field);
    }

    private static void addField(String block, String name, Kind kind, String defaultValue, String description) {
        register(new Field(block, name, kind, defaultValue, -UNBOUNDED, UNBOUNDED, List.of(), description));
    }

    private static void addText(String block, String name, String defaultValue, String description) {
        addField(block, name, Kind.TEXT, defaultValue, description);
    }

    private static void addTextList(String block, String name, String description) {
        addField(block, name, Kind.TEXT_LIST, "", description);
    }

    private static void addBoolean(String block, String name, boolean defaultValue, String description) {
        addField(block, name, Kind.BOOLEAN, Boolean.toString(defaultValue), description);
    }

    private static void addDuration(
            String block, String name, String defaultValue, double min, double max, String description) {
        register(new Field(block, name, Kind.DURATION, defaultValue, min, max, List.of(), description));
    }

    private static void addNumber(
            String block, String name, String defaultValue, double min, double max, String description) {
        register(new Field(block, name, Kind.NUMBER, defaultValue, min, max, List.of(), description));
    }

    private static void addInteger(
            String block, String name, String defaultValue, double min, double max, String description) {
        register(new Field(block, name, Kind.INTEGER, defaultValue, min, max, List.of(), description));
    }

    private static void addEnum(
            String block, String name, String defaultValue, String description, String... allowedValues) {
        register(new Field(
                block, name, Kind.ENUM, defaultValue, -UNBOUNDED, UNBOUNDED, List.of(allowedValues), description));
    }

    /** Returns all fields, in the order of the reference page. */
    public static List<Field> all() {
        return List.copyOf(FIELDS_BY_KEY.values());
    }

    /** Returns the types of blocks with their descriptions, in order; the top level, an empty type, comes first. */
    public static Map<String, String> blocks() {
        return new LinkedHashMap<>(BLOCK_DESCRIPTIONS);
    }

    /** Whether blocks of this type have a label and may occur several times. */
    public static boolean isLabelled(String block) {
        return LABELLED_BLOCKS.contains(block);
    }

    /** Returns the fields of a type of block, in order. */
    public static List<Field> inBlock(String block) {
        return FIELDS_BY_KEY.values().stream()
                .filter(field -> field.block().equals(block))
                .toList();
    }

    /**
     * Returns the field with a key, such as {@code limits.attempts}.
     *
     * @throws IllegalArgumentException if there is no such field
     */
    public static Field get(String key) {
        Field found = FIELDS_BY_KEY.get(key);
        if (found == null) {
            throw new IllegalArgumentException("unknown field: " + key);
        }
        return found;
    }

    /**
     * Returns the fields that a user may mean: the field with this key, or else all fields in a block or with a name
     * that equals it; empty if there are none.
     */
    public static List<Field> findSimilar(String key) {
        List<Field> found = new ArrayList<>();
        for (Field field : FIELDS_BY_KEY.values()) {
            if (field.key().equals(key)) {
                return List.of(field);
            }
            if (field.block().equals(key) || field.name().equals(key)) {
                found.add(field);
            }
        }
        return found;
    }
}
