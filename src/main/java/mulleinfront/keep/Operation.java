package mulleinfront.keep;

import mulleinfront.config.Proposal;

/** The operation in a Raft log entry or a snapshot chunk. */
sealed interface Operation {
    /** The first entry of a new leader; its commit commits all earlier entries too. Changes no state. */
    record TermStart() implements Operation {}

    /** A proposed version; the state machine accepts or refuses it when the entry is applied. */
    record Change(Proposal proposal) implements Operation {}

    /** One part of a snapshot of the state machine, as encoded by {@link Codec}. */
    record SnapshotPart(byte[] bytes) implements Operation {}
}
