package mulleinfront.keep;

import io.microraft.RaftEndpoint;

/**
 * The identity of a replica within the Raft group.
 *
 * @param name the replica's name in the settings; must never be reused for another replica
 */
record ReplicaEndpoint(String name) implements RaftEndpoint {
    @Override
    public Object getId() {
        return name;
    }

    @Override
    public String toString() {
        return name;
    }
}
