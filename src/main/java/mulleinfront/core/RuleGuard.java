package mulleinfront.core;

/**
 * The invariants of the four rules at run time. Whatever sends, repeats, refuses, closes or starts something asks here
 * first; what is against a rule is not done and counted as prevented. What a rule was broken by all the same, seen
 * afterwards, is counted as a violation and told to a {@link Listener}: a defect, whatever its cause. Checking allocates
 * nothing.
 */
public final class RuleGuard {
    /** What is checked. */
    public enum Check {
        /** An attempt or a connection to an endpoint that drains, is gone or is not listed. */
        START_AT_LEFT_ENDPOINT,
        /** An attempt by a list that may be out of date. */
        SEND_BY_OVERDUE_LIST,
        /** An attempt for a request that has had its final answer. */
        SEND_AFTER_ANSWER,
        /** An attempt for a request whose client has closed its connection. */
        SEND_AFTER_CLIENT_LEFT,
        /** An attempt after the request's time. */
        SEND_AFTER_DEADLINE,
        /** An attempt while another of the same request is out, or beyond the most that are allowed. */
        SEND_BESIDE_ANOTHER,
        /** A further attempt of a request that may not run twice, after one that may have run. */
        REPEAT_UNSAFE,
        /** The same of a keyed one at an endpoint outside the group that drops repeats. */
        REPEAT_OUTSIDE_GROUP,
        /** The same after the window for repeats. */
        REPEAT_AFTER_WINDOW,
        /** A refusal, which promises that nothing has run, where something may have. */
        REFUSE_AFTER_EFFECT,
        /** A final answer later than a client is owed one. */
        ANSWER_OVERDUE,
        /** A connection closed on a request that was read and has had no answer. */
        CLOSE_UNANSWERED
    }

    /** Told of each violation. */
    public interface Listener {
        /** @param requestId the request, or null where there is none */
        void violated(Check check, String requestId);
    }

    private final EnumCounts<Check> prevented = new EnumCounts<>(Check.class);
    private final EnumCounts<Check> violations = new EnumCounts<>(Check.class);
    private Listener listener = (check, requestId) -> {};

    /** Whom to tell of violations from now on. */
    public void listen(Listener who) {
        listener = who;
    }

    /**
     * Whether something may be done; if not, that counts as prevented.
     *
     * @param check what it would be against
     * @param holds whether it is in order
     * @return {@code holds}
     */
    public boolean allows(Check check, boolean holds) {
        if (!holds) {
            prevented.add(check);
        }
        return holds;
    }

    /**
     * Notes whether what has been done was in order; if not, that is a violation.
     *
     * @param requestId the request, or null where there is none
     */
    public void verify(Check check, boolean held, String requestId) {
        if (!held) {
            violations.add(check);
            listener.violated(check, requestId);
        }
    }

    public long prevented(Check check) {
        return prevented.of(check);
    }

    public long violations(Check check) {
        return violations.of(check);
    }

    /** Violations of all checks. */
    public long violations() {
        return violations.total();
    }

    void appendTo(StringBuilder out) {
        prevented.appendTo(out, "prevented");
        violations.appendTo(out, "violations");
    }
}
