package mulleinfront.fleet;

import java.util.Locale;

/** What is believed of a member. At one incarnation a later one of these overrides an earlier one. */
public enum MemberState {
    /** Listed as a peer and never heard of. */
    UNKNOWN,
    /** Answers, or was said to. */
    ALIVE,
    /** Did not answer somebody; it may still say that it lives. */
    SUSPECTED,
    /** Did not say so in time. */
    FAILED,
    /** Said itself that it goes. */
    LEFT;

    private static final MemberState[] ALL = values();

    /** That of a code on the wire; null if there is none. */
    static MemberState of(int code) {
        return code >= 0 && code < ALL.length ? ALL[code] : null;
    }

    /** Whether it counts as there: a suspicion alone takes nobody out. */
    public boolean present() {
        return this == ALIVE || this == SUSPECTED;
    }

    /** One word for people and logs. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
