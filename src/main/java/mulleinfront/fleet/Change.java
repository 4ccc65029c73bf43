package mulleinfront.fleet;

/**
 * A change of what one instance believes of a member.
 *
 * @param number of this change, from 1, one more with each: whoever acts on changes can tell an older view from
 *        one it has acted on
 * @param atUs when, by the instance's own clock, microseconds
 * @param member whom it is about
 * @param from what was believed before
 * @param to what is believed now
 * @param incarnation the member's, that the new belief is of
 * @param reborn whether that is another process than the one before
 * @param word by whose word: the member's that said so first, or did not get an answer
 * @param cause how this instance came to it
 * @param digest of the view after it
 */
public record Change(
        long number,
        long atUs,
        int member,
        MemberState from,
        MemberState to,
        long incarnation,
        boolean newIncarnation,
        int sourceMember,
        Cause cause,
        long digest) {

    /** How an instance comes to believe something. */
    public enum Cause {
        /** The member said it itself, to this instance. */
        ITS_WORD,
        /** It was passed on with other messages. */
        HEARSAY,
        /** It came out when two compared their views. */
        EXCHANGE,
        /** It did not answer this instance, nor those who asked for it. */
        NO_ANSWER,
        /** It was suspected for long enough. */
        TIME,
        /** This instance says it of itself. */
        OWN;

        /** One word for people and logs. */
        public String word() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
    }
}
