package mulleinfront.keep;

import io.microraft.model.message.RaftMessage;
import java.util.function.Consumer;
import mulleinfront.config.Proposal;
import mulleinfront.config.VersionLog;

/** The other keepers, as far as messages to them go; any of them may be lost, late or there twice. */
interface Peers {
    /** Sends, or doesn't; never blocks or throws. */
    void send(String to, RaftMessage message);

    /**
     * Asks another keeper to decide.
     *
     * @param reply called once, within a second or when the answer has come: what it says, or null if nothing
     *        came
     */
    void propose(String to, Proposal proposal, Consumer<VersionLog.ProposalResult> reply);

    /** Whether messages got through lately, as far as is known. */
    boolean reachable(String keeper);
}
