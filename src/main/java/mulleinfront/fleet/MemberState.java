package mulleinfront.fleet;

import java.util.Locale;

/** State of a member in the local view. At the same incarnation, a later constant overrides an earlier one. */
public enum MemberState {
    /** Listed as a peer and never heard from. */
    UNKNOWN,
    /** Answers, or is reported to answer. */
    ALIVE,
    /** Did not answer a probe; it may still refute the suspicion. */
    SUSPECTED,
    /** Did not refute the suspicion in time. */
    FAILED,
    /** Announced itself that it leaves. */
    LEFT;

    private static final MemberState[] ALL = values();

    /** Returns the state of a code on the wire; null if the code is invalid. */
    static MemberState fromCode(int code) {
        return code >= 0 && code < ALL.length ? ALL[code] : null;
    }

    /** Whether the member counts as present: a suspicion alone does not remove it. */
    public boolean isPresent() {
        return this == ALIVE || this == SUSPECTED;
    }

    /** The name written to logs and operator output. */
    public String outputName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
