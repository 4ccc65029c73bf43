package mulleinfront.keep;

import mulleinfront.config.Proposal;

/** What stands in an entry of the replicated log, or in a part of a snapshot. */
sealed interface Operation {
    /** The first entry of each leader: with it all entries before are decided. Changes nothing. */
    record TermStart() implements Operation {}

    /** A proposal that the state machine decides on when it comes to it. */
    record Change(Proposal proposal) implements Operation {}

    /** One part of a snapshot; the register alone reads it. */
    record Part(byte[] bytes) implements Operation {}
}
