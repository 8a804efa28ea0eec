package kitemux;

import kitemux.Balancer.RequestClass;

/** The terms on which a request may be sent again although an earlier attempt may have run. */
final class RetryTerms {
    /** How long a node may be held up between reading its clock and writing, in microseconds. */
    static final long WRITE_DELAY_ALLOWANCE_US = 150_000;

    private RetryTerms() {}

    /**
     * Returns whether a further attempt may be written now, at any server.
     *
     * @param requestClass class of the request
     * @param firstAttemptAtUs when the earliest attempt that may have run was sent, in microseconds
     * @param nowUs the current time on the same clock
     */
    static boolean allowRepeat(RequestClass requestClass, long firstAttemptAtUs, long nowUs) {
        return switch (requestClass.retrySafety()) {
            case SAFE -> true;
            case KEYED -> nowUs + WRITE_DELAY_ALLOWANCE_US <= firstAttemptAtUs + requestClass.dedupWindowUs();
            case UNSAFE -> false;
        };
    }
}
