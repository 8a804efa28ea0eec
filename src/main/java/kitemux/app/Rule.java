package kitemux.app;

/** What a description is held against. Codes stay what they are; what they stand for is in {@link #description}. */
public enum Rule {
    /** A field or block that cannot be read. */
    SHAPE("KX001", "a field is missing, unknown, or not of its kind", "see the field's line in the reference"),
    /** Twice the same name or address. */
    TWICE("KX002", "a name or an address is there twice", "give each its own"),
    /** A name that stands for nothing. */
    UNKNOWN("KX003", "something is named that is not described", "describe it, or take its name away"),

    /** Work that must never run twice is described so that it could. */
    NEVER_TWICE("KX101", "work that must never run twice could run twice", "say never-twice wherever it is named"),
    /** A keyed class that may be sent again for longer than servers remember its key. */
    WINDOW("KX102", "a key is used for longer than servers remember it", "make the window no longer than keys.kept"),
    /** A keyed class that may go where its key is not known. */
    GROUP("KX103", "a repeat may reach servers that do not know its key", "make the group what keys.shared says"),
    /** Never-twice work without a journal that was asked for. */
    JOURNAL("KX104", "orders must be journaled and no journal is described", "describe the block orders"),
    /** A second copy of what must not have one. */
    COPIES("KX105", "copies are asked for where one might run beside the other", "take second_copies away"),

    /** Traffic for a server that drains or is gone. */
    DRAINED("KX201", "a server that drains or is gone would get traffic", "take it out of the pool, or make it ready"),
    /** A pool in which no server is ready. */
    EMPTY("KX202", "a pool has no server that is ready", "add one, or let the pool go"),
    /** Several places that tell which servers there are. */
    SOURCES("KX204", "which servers there are is told in several places", "keep one of them"),
    /** A class that nothing serves. */
    UNSERVED("KX203", "a class has no pool", "name a pool in the class, or describe one for all"),

    /** Times that cannot be kept. */
    TIMES("KX301", "times contradict one another", "see what each bounds, and make them agree"),
    /** Not enough time for the attempts that are allowed. */
    ATTEMPTS(
            "KX302",
            "a deadline leaves no time for the attempts that are allowed",
            "fewer attempts, or a later deadline"),

    /** An address that must not be used. */
    ADDRESS("KX401", "an address cannot be read or is not allowed", "give an IP address and a port within networks"),

    /** Shares that do not add up. */
    SHARES("KX501", "shares do not add up", "make them sum to 1 at most"),
    /** Limits that the process cannot hold. */
    LIMITS("KX601", "a limit is out of its range, or more than the memory holds", "see the range in the reference"),
    /** What the description can say and this build cannot do. */
    NOT_YET("KX901", "this build cannot do it", "take it away"),
    /** A secret that anyone who reads the file has. */
    SECRET("KX701", "a secret stands in plain sight", "name a file that holds it");

    private final String code;
    private final String description;
    private final String remedy;

    Rule(String code, String about, String cure) {
        this.code = code;
        this.description = about;
        this.remedy = cure;
    }

    /** Its code, such as KX101. */
    public String code() {
        return code;
    }

    /** What it is about, in a few words. */
    public String description() {
        return description;
    }

    /** How what it finds is mended. */
    public String remedy() {
        return remedy;
    }
}
