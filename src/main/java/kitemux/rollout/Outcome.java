package kitemux.rollout;

import java.util.List;

/** What an operator is told of a change. */
public sealed interface Outcome {
    /** It is chosen, as this version; 200. */
    record Committed(long rev) implements Outcome {}

    /** It cannot be: all that is wrong; 400. Nothing was done. */
    record Invalid(List<ValidationError> errors) implements Outcome {}

    /** A path of it was changed by a version after its base; 409. Nothing was done. */
    record Conflict(String path, long rev) implements Outcome {}

    /** No majority in time, or too many wait; 503. Nothing was done. */
    record Unavailable(String reason) implements Outcome {}

    /** It may yet be chosen; 504. Asked again by the same id, it is known. */
    record Unknown() implements Outcome {}
}
