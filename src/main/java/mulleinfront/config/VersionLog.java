package mulleinfront.config;

import java.util.function.Consumer;

/**
 * The log of committed configuration versions. All control-plane nodes agree on one log; the copy at a node may be
 * behind. Called, and calling back, on the event loop of its owner.
 */
public interface VersionLog {
    /** The newest version that is committed and durable at this node. Its number never decreases. */
    Version newest();

    /**
     * Looks up a retained version, for deltas and the history.
     *
     * @return that version, or null if this node no longer retains it or does not have it yet
     */
    Version find(long number);

    /** Proposes a version. The result is passed on once, later. */
    void propose(Proposal proposal, Consumer<ProposalResult> onResult);

    /**
     * Registers a listener. It is called once for each newly committed version, in order, after the version is durable
     * at this node.
     */
    void addListener(Consumer<Version> onCommitted);

    /**
     * Whether this node has recently heard from a majority, so that its newest version was up to date then.
     * Subscribers of a node without quorum contact move to another node.
     */
    default boolean hasQuorumContact() {
        return true;
    }

    /**
     * Result of a proposal.
     *
     * @param outcome whether the proposal was committed
     * @param version number of the committed version, otherwise of the newest version at this node
     * @param reason one line for people; empty if the proposal was committed
     */
    record ProposalResult(ProposalOutcome outcome, long version, String reason) {}

    /** Outcome of a proposal. */
    enum ProposalOutcome {
        /** Committed: in the log of a majority. */
        DECIDED,
        /** Not committed, and it will not be under this id. */
        REFUSED,
        /** Undetermined: propose it again under the same id. */
        UNKNOWN
    }
}
