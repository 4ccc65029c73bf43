package mulleinfront.keep;

import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;

/**
 * The durable state of a replica, which must be on disk before any message depends on it: the store of the
 * Raft library, and the index up to which this replica has reported entries as committed.
 */
interface ReplicaLog extends RaftStore {
    /**
     * The stored Raft state at startup, or null if this replica has never sent a message.
     *
     * @throws IllegalArgumentException with a message of one line, if the state is incomplete or damaged
     */
    RestoredRaftState restoredState();

    /** Index of the newest entry whose commit this replica has reported to its listeners; 0 if none. */
    long commitIndex();

    /**
     * Announces a snapshot of this replica's own state machine, before its chunks are written; becomes durable
     * together with them.
     *
     * @param index the index of the last entry that the snapshot contains
     */
    void beginSnapshot(long index) throws IOException;

    /** Makes the index of the newest committed entry durable, together with all earlier writes. */
    void persistAndFlushCommitIndex(long index) throws IOException;
}
