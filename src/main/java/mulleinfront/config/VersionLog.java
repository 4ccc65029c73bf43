package mulleinfront.config;

import java.util.function.Consumer;

/**
 * Which version is the newest. There is one truth for all control machines; each of them holds a copy, which
 * may be behind. Called and calling back on its owner's one event loop.
 */
public interface VersionLog {
    /** The newest version that this machine knows to be decided and has made durable. Never goes back. */
    Version newest();

    /**
     * Versions that are still held, for differences and history.
     *
     * @return that version, or null if it is held no longer or not yet
     */
    Version at(long number);

    /** Asks for a decision; the answer comes once, later. */
    void propose(Proposal proposal, Consumer<ProposalResult> answer);

    /** Tells of each newly decided version in order, each once, after it is durable here. */
    void listen(Consumer<Version> decided);

    /**
     * Whether this machine has heard of a majority lately, so that what it takes for the newest is no older
     * than that. Readers of one that has not look for another.
     */
    default boolean hasQuorumContact() {
        return true;
    }

    /**
     * What became of a proposal.
     *
     * @param what whether it was decided
     * @param number the version it became if decided, else the newest known
     * @param reason one line for people; empty if decided
     */
    record ProposalResult(ProposalOutcome what, long number, String reason) {}

    /** Outcomes of a proposal. */
    enum ProposalOutcome {
        /** In the log of a majority: it is the fleet's from now on. */
        DECIDED,
        /** It is not and will not be, under this id. */
        REFUSED,
        /** Nobody can say: ask again under the same id. */
        UNKNOWN
    }
}
