package kitemux.orders;

import kitemux.orders.Entry.Accepted;

/** Whether two requests with different ids may be the same order that a client retried under a new id. */
public enum DuplicateMatch {
    /** The requests do not match. */
    NONE(""),
    /** Both requests have the same idempotency key. */
    SAME("the same by its Idempotency-Key"),
    /**
     * Tenant, path and body are the same. A client that meant to place the same order twice would have sent the
     * same requests, so this is no proof.
     */
    PERHAPS("perhaps the same, with the same path and body; the journal cannot tell");

    private final String description;

    DuplicateMatch(String description) {
        this.description = description;
    }

    /** Returns a description of the match for support staff. */
    public String description() {
        return description;
    }

    /** Returns how two accepted requests match. */
    public static DuplicateMatch of(Accepted first, Accepted second) {
        if (first.number() == second.number()
                || !first.requestClass().equals(second.requestClass())
                || !first.tenant().equals(second.tenant())) {
            return NONE;
        }
        if (!first.idempotencyKey().isEmpty() || !second.idempotencyKey().isEmpty()) {
            return first.idempotencyKey().equals(second.idempotencyKey()) ? SAME : NONE;
        }
        return !first.key().isEmpty()
                        && first.key().equals(second.key())
                        && first.bodyBytes() == second.bodyBytes()
                        && first.digest().equals(second.digest())
                ? PERHAPS
                : NONE;
    }
}
