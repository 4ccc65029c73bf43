package mulleinfront.keep;

/**
 * The status of a replica.
 *
 * @param name the replica's name
 * @param role the replica's current role
 * @param term the current Raft term
 * @param leader the leader's name, or null if no leader is known
 * @param newest number of the newest version that this replica knows to be committed
 * @param fault why the replica has stopped, in one line; null unless it has stopped
 */
public record ReplicaStatus(String name, Role role, int term, String leader, long newest, String fault) {
    /** Roles of a replica. */
    public enum Role {
        /** Replicates proposals to the other replicas. */
        LEADER,
        /** Has a leader, heard within the heartbeat timeout. */
        FOLLOWER,
        /** Knows no leader, so no proposal can be committed through it now. */
        NO_LEADER,
        /** Has stopped and does not take part until it is restarted; the fault says why. */
        STOPPED
    }
}
