package mulleinfront.core;

/**
 * Checks the correctness invariants of request handling at run time. Code that sends, retries, refuses, closes or
 * connects calls {@link #allows} first; an action that would violate an invariant is not taken and counted as
 * prevented. A violation that is detected afterwards is counted and reported to a {@link Listener}; it is always a bug.
 * Checking allocates nothing.
 */
public final class RuleGuard {
    /** The invariants, each named after its violation. */
    public enum Check {
        /** An attempt at, or a connection to, an endpoint that drains, was removed or is not listed. */
        START_AT_LEFT_ENDPOINT,
        /** An attempt by an expired list. */
        SEND_BY_OVERDUE_LIST,
        /** An attempt for a request that has had its final answer. */
        SEND_AFTER_ANSWER,
        /** An attempt for a request whose client has closed its connection. */
        SEND_AFTER_CLIENT_LEFT,
        /** An attempt after the request's time budget. */
        SEND_AFTER_DEADLINE,
        /** An attempt while another of the same request is in progress, or beyond the allowed number of attempts. */
        SEND_BESIDE_ANOTHER,
        /** A retry of a request that must not run twice, after an attempt that may have run. */
        REPEAT_UNSAFE,
        /** A retry of a deduplicated request, after an attempt that may have run, outside its deduplication group. */
        REPEAT_OUTSIDE_GROUP,
        /** A retry of a deduplicated request, after an attempt that may have run, after its deduplication window. */
        REPEAT_AFTER_WINDOW,
        /** A refusal, which promises that a retry is safe, after an attempt that may have run. */
        REFUSE_AFTER_EFFECT,
        /** A final answer after the client's deadline and a grace period. */
        ANSWER_OVERDUE,
        /** A client connection closed although a request that was read on it has had no response. */
        CLOSE_UNANSWERED
    }

    /** Called with each violation. */
    public interface Listener {
        /**
         * Called after the violation has been counted.
         *
         * @param requestId id of the request, or null if none is concerned
         */
        void violated(Check check, String requestId);
    }

    private final EnumCounts<Check> prevented = new EnumCounts<>(Check.class);
    private final EnumCounts<Check> violations = new EnumCounts<>(Check.class);
    private Listener listener = (check, requestId) -> {};

    /** Sets the listener that is called with violations from now on. */
    public void setListener(Listener newListener) {
        listener = newListener;
    }

    /**
     * Returns whether an action may be taken; if not, counts it as prevented.
     *
     * @param check the invariant that the action might violate
     * @param satisfied whether the invariant would be satisfied
     * @return whether the invariant would be satisfied
     */
    public boolean allows(Check check, boolean satisfied) {
        if (!satisfied) {
            prevented.add(check);
        }
        return satisfied;
    }

    /**
     * Counts and reports a violation unless the invariant was satisfied.
     *
     * @param check the invariant
     * @param satisfied whether it was satisfied
     * @param requestId id of the request, or null if none is concerned
     */
    public void verify(Check check, boolean satisfied, String requestId) {
        if (!satisfied) {
            violations.add(check);
            listener.violated(check, requestId);
        }
    }

    public long prevented(Check check) {
        return prevented.count(check);
    }

    public long violations(Check check) {
        return violations.count(check);
    }

    /** Returns the number of violations of all invariants. */
    public long violations() {
        return violations.total();
    }

    void appendTo(StringBuilder out) {
        prevented.appendTo(out, "prevented");
        violations.appendTo(out, "violations");
    }
}
