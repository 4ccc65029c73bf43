package mulleinfront.keep;

import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;

/**
 * What a keeper has to have durable before it says anything: the library's store, and how far it is decided.
 */
interface KeepLog extends RaftStore {
    /**
     * What it holds, to begin with; null if this keeper never said anything.
     *
     * @throws IllegalArgumentException one line, if that isn't whole
     */
    RestoredRaftState restored();

    /** Index of the newest entry that this keeper has told its owner to be decided; 0 if none. */
    long committed();

    /**
     * Tells that a snapshot is made of this keeper's own entries, before its chunks come; durable with them.
     *
     * @param index the entry at which it is made
     */
    void taking(long index) throws IOException;

    /** Makes the index of the newest decided entry durable, and with it all that was written before. */
    void persistAndFlushCommitted(long index) throws IOException;
}
