package mulleinfront.fleet;

import java.util.BitSet;

/**
 * Tells whether the members agree on the view, and which part of the fleet is reachable.
 *
 * <p>The base is the fleet as of its last convergence. Whenever the view converges, the present members are added to
 * it. Members are removed only when they leave, or expire because they were not seen for longer than a network
 * partition may last. Failed members stay, or each side of a partition would soon consider itself the whole fleet.
 */
final class Convergence {
    /** Members that must have reported an equal view before the view converges; all others if there are fewer. */
    private static final int MIN_AGREEING_MEMBERS = 3;
    /** Checks for expired members per expiry time. */
    private static final int CHECKS_PER_EXPIRY = 8;

    private final FleetSettings settings;
    private final Members members;
    private final long startedAt;
    private final BitSet base = new BitSet();
    /** Members of the base that are present. */
    private int presentInBase;
    /** Members whose last message carried a view equal to the local one. */
    private final BitSet agreeing = new BitSet();

    private long stableSince;
    private long nextExpiryCheckAt;
    private boolean converged;
    private Reachability reachability = Reachability.UNSETTLED;

    Convergence(FleetSettings settings, Members members, long now) {
        this.settings = settings;
        this.members = members;
        this.startedAt = now;
        this.stableSince = now;
        this.nextExpiryCheckAt = now + settings.memberExpiryUs() / CHECKS_PER_EXPIRY;
    }

    /** Called when the digest of the local view has changed. */
    void onViewChanged(long now, int member, MemberState previousState, MemberState newState) {
        agreeing.clear();
        stableSince = now;
        if (base.get(member)) {
            presentInBase += (newState.isPresent() ? 1 : 0) - (previousState.isPresent() ? 1 : 0);
            if (newState == MemberState.LEFT) {
                base.clear(member);
            }
        }
    }

    /** Called for each message, with whether the sender's view equals the local one. */
    void onMessage(long now, int from, boolean sameView) {
        agreeing.set(from, sameView);
        if (!sameView) {
            stableSince = now;
        }
    }

    /** Called after a stall of this instance: what others reported before it is out of date. */
    void onStall(long now) {
        agreeing.clear();
        stableSince = now;
    }

    boolean converged() {
        return converged;
    }

    Reachability reachability() {
        return reachability;
    }

    int agreeingMembers() {
        return agreeing.cardinality();
    }

    /** Time at which the view may converge without a further message. */
    long nextAt(long now) {
        long convergeAt = stableSince + settings.convergedAfterUs();
        return converged || convergeAt <= now ? Long.MAX_VALUE : convergeAt;
    }

    /**
     * Updates the convergence and the reachability.
     *
     * @param noSuspicions whether no member is suspected
     * @return whether one of the two has changed
     */
    boolean update(long now, boolean noSuspicions) {
        int others = members.presentCount() - 1;
        boolean nowConverged = noSuspicions
                && now - stableSince >= settings.convergedAfterUs()
                && agreeing.cardinality() >= Math.min(MIN_AGREEING_MEMBERS, others)
                && (others > 0 || settings.peers() == 1);
        boolean convergenceChanged = nowConverged != converged;
        converged = nowConverged;
        if (convergenceChanged && converged) {
            addPresentMembers();
        }
        if (now >= nextExpiryCheckAt) {
            nextExpiryCheckAt = now + settings.memberExpiryUs() / CHECKS_PER_EXPIRY;
            removeExpiredMembers(now);
        }
        Reachability previousReachability = reachability;
        reachability = computeReachability();
        return convergenceChanged || previousReachability != reachability;
    }

    private void addPresentMembers() {
        for (int member = 0; member < members.size(); member++) {
            if (members.state(member).isPresent() && !base.get(member)) {
                base.set(member);
                presentInBase++;
            }
        }
    }

    private void removeExpiredMembers(long now) {
        if (hasMajority()) {
            for (int member = base.nextSetBit(0); member >= 0; member = base.nextSetBit(member + 1)) {
                if (members.state(member) == MemberState.FAILED
                        && now - members.stateSince(member) >= settings.memberExpiryUs()) {
                    base.clear(member);
                }
            }
        }
    }

    private Reachability computeReachability() {
        int baseSize = base.cardinality();
        if (baseSize == 0) {
            return Reachability.UNSETTLED;
        }
        return presentInBase == baseSize
                ? Reachability.ALL
                : presentInBase <= 1
                        ? Reachability.ALONE
                        : 2 * presentInBase > baseSize ? Reachability.MAJORITY : Reachability.MINORITY;
    }

    private boolean hasMajority() {
        return reachability == Reachability.ALL || reachability == Reachability.MAJORITY;
    }

    /**
     * Number of members that may be using the endpoints: the present ones, and those not seen that may be on the other
     * side of a network partition. Members expire only on a side that has a majority.
     */
    int liveMembers(long now) {
        int count = 0;
        for (int member = 0; member < members.size(); member++) {
            switch (members.state(member)) {
                case ALIVE, SUSPECTED -> count++;
                case FAILED ->
                    count += hasMajority() && now - members.stateSince(member) >= settings.memberExpiryUs() ? 0 : 1;
                case UNKNOWN ->
                    count += member >= settings.peers() || hasMajority() && now - startedAt >= settings.memberExpiryUs()
                            ? 0
                            : 1;
                case LEFT -> {}
            }
        }
        return count;
    }
}
