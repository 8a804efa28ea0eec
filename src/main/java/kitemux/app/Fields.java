package kitemux.app;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import kitemux.app.Field.Kind;

/** All fields of a description, in the order of the reference. Nothing of them is written anywhere else. */
public final class Fields {
    private static final double UNBOUNDED = Double.POSITIVE_INFINITY;
    private static final double MILLISECOND_US = 1e3;
    private static final double SECOND_US = 1e6;
    private static final double HOUR_US = 3_600e6;

    private static final Map<String, Field> FIELDS_BY_KEY = new LinkedHashMap<>();
    /** Blocks, with what each is; those of {@link #LABELLED_BLOCKS} have a name and may be there several times. */
    private static final Map<String, String> BLOCK_DESCRIPTIONS = new LinkedHashMap<>();

    private static final List<String> LABELLED_BLOCKS = List.of("server", "pool", "class", "tenant");

    static {
        addBlock("", "the application itself");
        addText("", "name", null, "what it is called; what a sidecar leaves for the next one is found by it");
        addField("", "listen", Kind.ADDRESS, null, "where its clients connect");
        addField(
                "",
                "operators",
                Kind.ADDRESS,
                "",
                "where operators call (operations.md); nowhere where it is not given");
        addField(
                "",
                "discovery",
                Kind.ADDRESS,
                "",
                "where the platform's list of servers is, watched by the node itself");
        addTextList("", "networks", "in which servers must lie; any where it is not given");
        addTextList("", "never_twice", "classes that must never run twice, whatever else is said of them");
        addBoolean("", "journaled", false, "whether never-twice work must be journaled before it is sent");
        addNumber("", "quota", "0", 0, UNBOUNDED, "requests a second of all tenants together; 0 for no bound");

        addBlock("server", "a server");
        addField("server", "address", Kind.ADDRESS, null, "where it listens");
        addInteger("server", "rack", "0", 0, 1_000_000, "the group of servers that knows the same keys");
        addEnum(
                "server",
                "state",
                "ready",
                "what it is up to: ready takes its part, draining finishes what it has," + " gone is left out",
                "ready",
                "draining",
                "gone");

        addBlock("pool", "servers that serve the same classes; without one all do");
        addTextList("pool", "servers", "by their names");

        addBlock("class", "a class of requests");
        addEnum(
                "class",
                "again",
                null,
                "whether it may run again: as often as wanted, within a window where servers drop"
                        + " repeats by a key, or never",
                "safe",
                "keyed",
                "never-twice");
        addEnum("class", "group", "all", "which servers drop repeats of a keyed one", "all", "rack");
        addDuration("class", "window", "0ms", 0, HOUR_US, "how long a keyed one may be sent again");
        addDuration(
                "class",
                "aim",
                null,
                MILLISECOND_US,
                HOUR_US,
                "answers within it are in time; under 1 ms it is over before a request is read");
        addDuration("class", "deadline", null, MILLISECOND_US, HOUR_US, "after it a request is given up");
        addNumber(
                "class",
                "worth",
                "1",
                Double.MIN_NORMAL,
                UNBOUNDED,
                "what one is worth against others, where not all can be" + " served");
        addNumber("class", "late_worth", "0", 0, 1, "share of it for an answer after the aim");
        addText("class", "pool", "", "that serves it; not needed where there is one");
        addInteger("class", "attempts", "0", 0, 16, "attempts at most; 0 for limits.attempts");
        addBoolean("class", "second_copies", false, "whether two attempts may be out at once");

        addBlock("tenant", "who asks");
        addNumber("tenant", "share", null, Double.MIN_NORMAL, 1, "its part of the quota");

        addBlock("keys", "what servers know of the keys of keyed work");
        addDuration("keys", "kept", "0ms", 0, 24 * HOUR_US, "how long they remember one");
        addEnum("keys", "shared", "all", "by which servers it is known", "all", "rack");

        addBlock("members", "where servers come from, besides those described here");
        addText("members", "file", "", "a file of servers as JSON, looked at as the description is");
        addText("members", "list", "", "the same by HTTP, such as http://10.0.0.9:8500/servers");
        addDuration(
                "members",
                "refresh",
                "5s",
                SECOND_US / 10,
                HOUR_US,
                "between two looks at the list; more often is a load on who keeps it");
        addDuration(
                "members",
                "back_off",
                "60s",
                SECOND_US / 10,
                HOUR_US,
                "longest pause after it has failed several times in a row");
        addNumber(
                "members",
                "most_lost",
                "0.5",
                0,
                1,
                "share of the servers that may be missing from it at once; more is" + " doubted");
        addDuration("members", "sure", "30s", 0, HOUR_US, "what is doubted counts once it has been told for so long");
        addText("members", "state", "", "a folder in which the sidecar leaves what it knows for the next one");

        addBlock("health", "how servers are checked; not at all without it");
        addText("health", "path", "/", "asked of each server; an answer of 200 to 299 passes");
        addDuration(
                "health",
                "every",
                "2s",
                SECOND_US / 10,
                HOUR_US,
                "between two checks of a server; each costs it a request");
        addDuration("health", "timeout", "500ms", MILLISECOND_US, 60 * SECOND_US, "a check that takes longer fails");
        addInteger("health", "fall", "3", 1, 100, "failures in a row that take a server out");
        addInteger("health", "rise", "2", 1, 100, "passes in a row that bring it back");
        addNumber("health", "most_out", "0.5", 0, 0.9, "share of the servers that checks may take out together");
        addDuration(
                "health",
                "hold",
                "5s",
                0,
                HOUR_US,
                "out for so long at least; doubled each time that it is taken out again");
        addDuration("health", "most_hold", "5m", 0, 24 * HOUR_US, "but no longer than this");

        addBlock("limits", "bounds of the process");
        addInteger("limits", "attempts", "4", 1, 16, "of one request; more would feed a storm");
        addBoolean(
                "limits",
                "second_copies",
                true,
                "whether a request may have two attempts out at once, where its class may");
        addDuration(
                "limits",
                "connect",
                "250ms",
                MILLISECOND_US,
                60 * SECOND_US,
                "for a connection to come up; none does in under 1 ms");
        addDuration(
                "limits",
                "idle",
                "15s",
                SECOND_US / 10,
                24 * HOUR_US,
                "after which servers close idle connections; under 100 ms nearly" + " each request needs a new one");
        addDuration("limits", "retry_after", "1s", 0, HOUR_US, "longest advice to a client on when to come back");
        addInteger("limits", "sockets", "1024", 64, 65_535, "descriptors that the process may hold");
        addInteger("limits", "memory_mib", "128", 64, 1 << 20, "of the process");

        addBlock("rules", "what servers need of those who send to them");
        addDuration("rules", "drain", "500ms", 0, HOUR_US, "nothing new reaches a server that drains after this");
        addNumber("rules", "cold_from", "1", Double.MIN_NORMAL, 1, "share of its capacity with which a server starts");
        addDuration("rules", "cold", "0ms", 0, 24 * HOUR_US, "after which it is warm");
        addNumber("rules", "overload", "4", 1, 1_000, "times what it can do while cold that a server bears");
        addDuration("rules", "fall", "2s", MILLISECOND_US, HOUR_US, "for so long");

        addBlock("orders", "the journal of never-twice work (orders.md)");
        addText("orders", "folder", "", "where it is kept");
        addDuration("orders", "late", "100ms", MILLISECOND_US, 60 * SECOND_US, "a send waits for its record no longer");

        addBlock("logs", "what the sidecar says");
        addEnum("logs", "form", "text", "a line of text, or of JSON with time, level and who says it", "text", "json");
        addInteger(
                "logs",
                "queue",
                "4096",
                16,
                1 << 20,
                "lines that wait to be written; further ones are counted and left"
                        + " out, as nobody may wait for them");
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

    /** All of them, in order. */
    public static List<Field> all() {
        return List.copyOf(FIELDS_BY_KEY.values());
    }

    /** The names of blocks, in order, the top first, with what each is. */
    public static Map<String, String> blocks() {
        return new LinkedHashMap<>(BLOCK_DESCRIPTIONS);
    }

    /** Whether blocks of this name carry a label and may be there several times. */
    public static boolean isLabelled(String block) {
        return LABELLED_BLOCKS.contains(block);
    }

    /** The fields of a block, in order. */
    public static List<Field> inBlock(String block) {
        return FIELDS_BY_KEY.values().stream()
                .filter(field -> field.block().equals(block))
                .toList();
    }

    /**
     * A field by its key.
     *
     * @throws IllegalArgumentException if there is none
     */
    public static Field get(String key) {
        Field found = FIELDS_BY_KEY.get(key);
        if (found == null) {
            throw new IllegalArgumentException("there is no field " + key);
        }
        return found;
    }

    /**
     * Keys that somebody may have meant who wrote this one: all of a block, all that end with it, or the
     * nearest.
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
