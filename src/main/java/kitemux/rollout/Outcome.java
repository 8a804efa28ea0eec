package kitemux.rollout;

import java.util.List;

/** The result of a change, as an operator's call is answered. */
public sealed interface Outcome {
    /** The change was chosen as version {@code rev}; status 200. */
    record Committed(long rev) implements Outcome {}

    /** The change is invalid, for all the listed reasons; status 400. Nothing was changed. */
    record Invalid(List<ValidationError> errors) implements Outcome {}

    /**
     * A version after the base of the change has changed one of its paths; status 409. Nothing was changed.
     */
    record Conflict(String path, long rev) implements Outcome {}

    /**
     * No majority of the voters agreed in time, or too many changes are queued; status 503. Nothing was
     * changed.
     */
    record Unavailable(String reason) implements Outcome {}

    /**
     * It is not known whether the change is or will be chosen; status 504. Repeating the call with the same
     * id gives the result.
     */
    record Unknown() implements Outcome {}
}
