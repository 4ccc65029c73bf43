package mulleinfront.keep;

import io.microraft.model.message.RaftMessage;
import java.util.function.Consumer;
import mulleinfront.config.Proposal;
import mulleinfront.config.VersionLog;

/** Sends messages to the other replicas. A message may be lost, delayed or duplicated. */
interface Peers {
    /** Sends a message if possible, else drops it; never blocks or throws. */
    void send(String peer, RaftMessage message);

    /**
     * Forwards a proposal to another replica.
     *
     * @param reply called once, within about a second: with the other replica's result, or with null if none
     *        arrived
     */
    void propose(String peer, Proposal proposal, Consumer<VersionLog.ProposalResult> reply);

    /** Whether messages can currently be sent to that replica, as far as is known. */
    boolean reachable(String peer);
}
