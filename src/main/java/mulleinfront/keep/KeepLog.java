package mulleinfront.keep;

import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;

/**
 * What a keeper has to have durable before it says anything: the library's store, and how far it is decided.
 */
interface KeepLog extends RaftStore {
    /** What was found at the start; null if this keeper never said anything. */
    RestoredRaftState restored();

    /** Index of the newest entry that this keeper has told its owner to be decided; 0 if none. */
    long committed();

    /** Makes that index durable, and with it all that was written before. */
    void persistAndFlushCommitted(long index) throws IOException;
}
