package mulleinfront.keep;

/**
 * A keeper as operators see it.
 *
 * @param name its own
 * @param role what it is now
 * @param term the election it goes by
 * @param leader the leader's name as far as is known, else null
 * @param newest number of the newest version it knows to be decided
 * @param fault why it has stopped taking part, one line; null if it takes part
 */
public record ReplicaStatus(String name, Role role, int term, String leader, long newest, String fault) {
    /** What a keeper can be. */
    public enum Role {
        /** Proposals are decided through it. */
        LEADER,
        /** It follows a leader that it heard lately. */
        FOLLOWER,
        /** It knows no leader: nothing can be decided through it now. */
        SEEKING,
        /** It can't take part until it is started again, see the fault. */
        STOPPED
    }
}
