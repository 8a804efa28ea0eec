package kitemux.orders;

import kitemux.orders.Entry.Accepted;

/** Whether two requests of different ids may be the same order, tried again by a client under a new id. */
public enum DuplicateMatch {
    /** Nothing says so. */
    NONE(""),
    /** The client gave both the same key for their effect. */
    SAME("the same by its Idempotency-Key"),
    /** Tenant, path and body are the same; a client that meant two alike would have sent just that. */
    PERHAPS("perhaps the same, with the same path and body; the journal cannot tell");

    private final String description;

    DuplicateMatch(String words) {
        this.description = words;
    }

    /** For the desk. */
    public String description() {
        return description;
    }

    /** What one is to another. */
    public static DuplicateMatch of(Accepted one, Accepted other) {
        if (one.number() == other.number()
                || !one.requestClass().equals(other.requestClass())
                || !one.tenant().equals(other.tenant())) {
            return NONE;
        }
        if (!one.idempotencyKey().isEmpty() || !other.idempotencyKey().isEmpty()) {
            return one.idempotencyKey().equals(other.idempotencyKey()) ? SAME : NONE;
        }
        return !one.key().isEmpty()
                        && one.key().equals(other.key())
                        && one.bodyBytes() == other.bodyBytes()
                        && one.digest().equals(other.digest())
                ? PERHAPS
                : NONE;
    }
}
