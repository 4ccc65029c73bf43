package mulleinfront.fleet;

/**
 * A change of a member's recorded state in the local view of one instance.
 *
 * @param number sequence number of this change, from 1: a listener can tell an older view from the one it has already
 *        acted on
 * @param atUs time of the change by the instance's own clock, microseconds
 * @param member number of the member
 * @param from state recorded before
 * @param to state recorded now
 * @param incarnation the member's incarnation to which the new state applies
 * @param newProcess whether the incarnation belongs to another process of the member than the previous one
 * @param sourceMember the member that first reported the state, or whose probe was not answered
 * @param cause how this instance learned of the state
 * @param digest digest of the view after the change
 */
public record Change(
        long number,
        long atUs,
        int member,
        MemberState from,
        MemberState to,
        long incarnation,
        boolean newProcess,
        int sourceMember,
        Cause cause,
        long digest) {

    /** How an instance learned of a member's state. */
    public enum Cause {
        /** A message from the member itself. */
        ITS_WORD,
        /** A gossip update or an indirect ack from another member. */
        HEARSAY,
        /** Anti-entropy: a comparison of two views. */
        EXCHANGE,
        /** The member answered neither the probe of this instance nor the indirect probes. */
        NO_ANSWER,
        /** The suspicion timeout expired. */
        TIME,
        /** This instance changed its own state. */
        OWN;

        /** The name written to logs and operator output. */
        public String outputName() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
    }
}
