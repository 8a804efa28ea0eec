package kitemux.app;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import kitemux.app.Field.Kind;

/** All fields of a description, in the order of the reference. Nothing of them is written anywhere else. */
public final class Fields {
    private static final double ANY = Double.POSITIVE_INFINITY;
    private static final double MS = 1e3;
    private static final double S = 1e6;
    private static final double H = 3_600e6;

    private static final Map<String, Field> ALL = new LinkedHashMap<>();
    /** Blocks, with what each is; those of {@link #LABELLED} have a name and may be there several times. */
    private static final Map<String, String> BLOCKS = new LinkedHashMap<>();

    private static final List<String> LABELLED = List.of("server", "pool", "class", "tenant");

    static {
        block("", "the application itself");
        text("", "name", null, "what it is called; what a sidecar leaves for the next one is found by it");
        add("", "listen", Kind.ADDRESS, null, "where its clients connect");
        add("", "operators", Kind.ADDRESS, "", "where operators call (operations.md); nowhere where it is not given");
        add("", "discovery", Kind.ADDRESS, "", "where the platform's list of servers is, watched by the node itself");
        texts("", "networks", "in which servers must lie; any where it is not given");
        texts("", "never_twice", "classes that must never run twice, whatever else is said of them");
        yes("", "journaled", false, "whether never-twice work must be journaled before it is sent");
        number("", "quota", "0", 0, ANY, "requests a second of all tenants together; 0 for no bound");

        block("server", "a server");
        add("server", "address", Kind.ADDRESS, null, "where it listens");
        whole("server", "rack", "0", 0, 1_000_000, "the group of servers that knows the same keys");
        words(
                "server",
                "state",
                "ready",
                "what it is up to: ready takes its part, draining finishes what it has," + " gone is left out",
                "ready",
                "draining",
                "gone");

        block("pool", "servers that serve the same classes; without one all do");
        texts("pool", "servers", "by their names");

        block("class", "a class of requests");
        words(
                "class",
                "again",
                null,
                "whether it may run again: as often as wanted, within a window where servers drop"
                        + " repeats by a key, or never",
                "safe",
                "keyed",
                "never-twice");
        words("class", "group", "all", "which servers drop repeats of a keyed one", "all", "rack");
        time("class", "window", "0ms", 0, H, "how long a keyed one may be sent again");
        time(
                "class",
                "aim",
                null,
                MS,
                H,
                "answers within it are in time; under 1 ms it is over before a request is read");
        time("class", "deadline", null, MS, H, "after it a request is given up");
        number(
                "class",
                "worth",
                "1",
                Double.MIN_NORMAL,
                ANY,
                "what one is worth against others, where not all can be" + " served");
        number("class", "late_worth", "0", 0, 1, "share of it for an answer after the aim");
        text("class", "pool", "", "that serves it; not needed where there is one");
        whole("class", "attempts", "0", 0, 16, "attempts at most; 0 for limits.attempts");
        yes("class", "second_copies", false, "whether two attempts may be out at once");

        block("tenant", "who asks");
        number("tenant", "share", null, Double.MIN_NORMAL, 1, "its part of the quota");

        block("keys", "what servers know of the keys of keyed work");
        time("keys", "kept", "0ms", 0, 24 * H, "how long they remember one");
        words("keys", "shared", "all", "by which servers it is known", "all", "rack");

        block("members", "where servers come from, besides those described here");
        text("members", "file", "", "a file of servers as JSON, looked at as the description is");
        text("members", "list", "", "the same by HTTP, such as http://10.0.0.9:8500/servers");
        time(
                "members",
                "refresh",
                "5s",
                S / 10,
                H,
                "between two looks at the list; more often is a load on who keeps it");
        time("members", "back_off", "60s", S / 10, H, "longest pause after it has failed several times in a row");
        number(
                "members",
                "most_lost",
                "0.5",
                0,
                1,
                "share of the servers that may be missing from it at once; more is" + " doubted");
        time("members", "sure", "30s", 0, H, "what is doubted counts once it has been told for so long");
        text("members", "state", "", "a folder in which the sidecar leaves what it knows for the next one");

        block("health", "how servers are checked; not at all without it");
        text("health", "path", "/", "asked of each server; an answer of 200 to 299 passes");
        time("health", "every", "2s", S / 10, H, "between two checks of a server; each costs it a request");
        time("health", "timeout", "500ms", MS, 60 * S, "a check that takes longer fails");
        whole("health", "fall", "3", 1, 100, "failures in a row that take a server out");
        whole("health", "rise", "2", 1, 100, "passes in a row that bring it back");
        number("health", "most_out", "0.5", 0, 0.9, "share of the servers that checks may take out together");
        time("health", "hold", "5s", 0, H, "out for so long at least; doubled each time that it is taken out again");
        time("health", "most_hold", "5m", 0, 24 * H, "but no longer than this");

        block("limits", "bounds of the process");
        whole("limits", "attempts", "4", 1, 16, "of one request; more would feed a storm");
        yes(
                "limits",
                "second_copies",
                true,
                "whether a request may have two attempts out at once, where its class may");
        time("limits", "connect", "250ms", MS, 60 * S, "for a connection to come up; none does in under 1 ms");
        time(
                "limits",
                "idle",
                "15s",
                S / 10,
                24 * H,
                "after which servers close idle connections; under 100 ms nearly" + " each request needs a new one");
        time("limits", "retry_after", "1s", 0, H, "longest advice to a client on when to come back");
        whole("limits", "sockets", "1024", 64, 65_535, "descriptors that the process may hold");
        whole("limits", "memory_mib", "128", 64, 1 << 20, "of the process");

        block("rules", "what servers need of those who send to them");
        time("rules", "drain", "500ms", 0, H, "nothing new reaches a server that drains after this");
        number("rules", "cold_from", "1", Double.MIN_NORMAL, 1, "share of its capacity with which a server starts");
        time("rules", "cold", "0ms", 0, 24 * H, "after which it is warm");
        number("rules", "overload", "4", 1, 1_000, "times what it can do while cold that a server bears");
        time("rules", "fall", "2s", MS, H, "for so long");

        block("orders", "the journal of never-twice work (orders.md)");
        text("orders", "folder", "", "where it is kept");
        time("orders", "late", "100ms", MS, 60 * S, "a send waits for its record no longer");

        block("logs", "what the sidecar says");
        words("logs", "form", "text", "a line of text, or of JSON with time, level and who says it", "text", "json");
        whole(
                "logs",
                "queue",
                "4096",
                16,
                1 << 20,
                "lines that wait to be written; further ones are counted and left"
                        + " out, as nobody may wait for them");
    }

    private Fields() {}

    private static void block(String name, String about) {
        BLOCKS.put(name, about);
    }

    private static void put(Field field) {
        ALL.put(field.key(), field);
    }

    private static void add(String block, String name, Kind kind, String otherwise, String why) {
        put(new Field(block, name, kind, otherwise, -ANY, ANY, List.of(), why));
    }

    private static void text(String block, String name, String otherwise, String why) {
        add(block, name, Kind.TEXT, otherwise, why);
    }

    private static void texts(String block, String name, String why) {
        add(block, name, Kind.TEXT_LIST, "", why);
    }

    private static void yes(String block, String name, boolean otherwise, String why) {
        add(block, name, Kind.BOOLEAN, Boolean.toString(otherwise), why);
    }

    private static void time(String block, String name, String otherwise, double least, double most, String why) {
        put(new Field(block, name, Kind.DURATION, otherwise, least, most, List.of(), why));
    }

    private static void number(String block, String name, String otherwise, double least, double most, String why) {
        put(new Field(block, name, Kind.NUMBER, otherwise, least, most, List.of(), why));
    }

    private static void whole(String block, String name, String otherwise, double least, double most, String why) {
        put(new Field(block, name, Kind.INTEGER, otherwise, least, most, List.of(), why));
    }

    private static void words(String block, String name, String otherwise, String why, String... words) {
        put(new Field(block, name, Kind.ENUM, otherwise, -ANY, ANY, List.of(words), why));
    }

    /** All of them, in order. */
    public static List<Field> all() {
        return List.copyOf(ALL.values());
    }

    /** The names of blocks, in order, the top first, with what each is. */
    public static Map<String, String> blocks() {
        return new LinkedHashMap<>(BLOCKS);
    }

    /** Whether blocks of this name carry a label and may be there several times. */
    public static boolean isLabelled(String block) {
        return LABELLED.contains(block);
    }

    /** The fields of a block, in order. */
    public static List<Field> inBlock(String block) {
        return ALL.values().stream()
                .filter(field -> field.block().equals(block))
                .toList();
    }

    /**
     * A field by its key.
     *
     * @throws IllegalArgumentException if there is none
     */
    public static Field get(String key) {
        Field found = ALL.get(key);
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
        for (Field field : ALL.values()) {
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
