package kitemux.app;

/**
 * The rules that descriptions are checked against. The code of a rule never changes; {@link #description} tells what
 * the rule is about.
 */
public enum Rule {
    /** A field or block cannot be read. */
    SHAPE("KX001", "a field is missing, unknown, or of the wrong kind", "see the field in the reference"),
    /** A name or an address is used twice. */
    TWICE("KX002", "a name or an address is used twice", "make it unique"),
    /** A name refers to nothing. */
    UNKNOWN("KX003", "a name refers to something that is not described", "describe it, or remove the name"),

    /** A class that must never run twice is described as if it could be retried. */
    NEVER_TWICE(
            "KX101",
            "work that must never run twice could run twice",
            "say never-twice in its class, and set no window or attempts there"),
    /** A keyed class may be retried for longer than servers remember its keys. */
    WINDOW(
            "KX102",
            "a key is used for longer than servers remember it",
            "make the window at most as long as keys.kept"),
    /** A keyed class may be retried on servers that do not know its keys. */
    GROUP("KX103", "a retry may reach servers that do not know its key", "set the group to the value of keys.shared"),
    /** The description requires a journal for never-twice classes but describes none. */
    JOURNAL("KX104", "a journal is required but not described", "add the block orders with a folder"),
    /** A class that must never run twice allows a second copy. */
    COPIES("KX105", "second copies are allowed for a class that must never run twice", "remove second_copies"),

    /** A pool names a server that is draining or gone. */
    DRAINED(
            "KX201",
            "a server that is draining or gone would receive requests",
            "remove it from the pool, or make it ready"),
    /** No server is ready. */
    EMPTY("KX202", "no server is ready", "add a ready server, or remove the pool"),
    /** Several sources list the servers. */
    SOURCES("KX204", "several sources list the servers", "keep one of them"),
    /** A class has no pool. */
    UNSERVED("KX203", "a class has no pool", "name a pool in the class, or describe a single pool"),

    /** Times contradict one another or are out of range. */
    TIMES(
            "KX301",
            "times contradict one another or are out of range",
            "see the meaning and range of each in the reference"),
    /** A deadline is too short for the allowed attempts. */
    ATTEMPTS(
            "KX302",
            "a deadline is too short for the allowed attempts",
            "allow fewer attempts, or set a longer deadline"),

    /** An address is malformed or not allowed. */
    ADDRESS("KX401", "an address is malformed or not allowed", "give an IP address in one of networks, and a port"),

    /** The shares of tenants, or the quota, are inconsistent or out of range. */
    SHARES(
            "KX501",
            "the shares of the quota are inconsistent",
            "set a quota above 0 and shares whose sum is at most 1"),
    /** A limit is out of range or exceeds the memory of the process. */
    LIMITS("KX601", "a limit is out of range, or exceeds the memory", "see the range in the reference"),
    /** The description is valid but this version does not support it. */
    NOT_YET("KX901", "this version does not support it", "remove it"),
    /** A field holds a secret in plain text. */
    SECRET("KX701", "a secret is given in plain text", "name a file that contains it");

    private final String code;
    private final String description;
    private final String remedy;

    Rule(String code, String description, String remedy) {
        this.code = code;
        this.description = description;
        this.remedy = remedy;
    }

    /** The code of the rule, such as KX101. */
    public String code() {
        return code;
    }

    /** What is wrong if the rule is violated, in a few words. */
    public String description() {
        return description;
    }

    /** How to correct a violation. */
    public String remedy() {
        return remedy;
    }
}
