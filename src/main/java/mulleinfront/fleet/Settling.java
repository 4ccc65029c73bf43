package mulleinfront.fleet;

import java.util.BitSet;

/**
 * Whether the members agree, and which part of the fleet is in reach.
 *
 * <p>The base is the fleet as it was last settled. It grows with whoever is there when it settles anew, and shrinks
 * only by those who said that they leave, or were not seen for so long that a cut would be over: not by those who
 * failed, or each side of a cut would soon take itself for the whole.
 */
final class Settling {
    /** Members that must have been heard to hold an equal view, or all others where there are fewer. */
    private static final int LEAST = 3;
    /** How often those not seen for long are looked for, as a part of the time until they count as gone. */
    private static final int FORGET_PART = 8;

    private final FleetSettings s;
    private final Members members;
    private final long bornAt;
    private final BitSet base = new BitSet();
    /** Members of the base that are there. */
    private int inReach;
    /** Those whose last message told of a view equal to ours. */
    private final BitSet agreed = new BitSet();

    private long quietSince;
    private long forgetAt;
    private boolean settled;
    private Reachability reach = Reachability.UNSETTLED;

    Settling(FleetSettings settings, Members members, long now) {
        this.s = settings;
        this.members = members;
        this.bornAt = now;
        this.quietSince = now;
        this.forgetAt = now + settings.goneUs() / FORGET_PART;
    }

    /** The view is another than before. */
    void changed(long now, int member, MemberState before, MemberState after) {
        agreed.clear();
        quietSince = now;
        if (base.get(member)) {
            inReach += (after.present() ? 1 : 0) - (before.present() ? 1 : 0);
            if (after == MemberState.LEFT) {
                base.clear(member);
            }
        }
    }

    /** A message came from a member, with a view equal to ours or not. */
    void heard(long now, int from, boolean same) {
        agreed.set(from, same);
        if (!same) {
            quietSince = now;
        }
    }

    /** This instance stood still: what it holds is old. */
    void extend(long now) {
        agreed.clear();
        quietSince = now;
    }

    boolean settled() {
        return settled;
    }

    Reachability reach() {
        return reach;
    }

    int agreeing() {
        return agreed.cardinality();
    }

    /** When it may settle without anything more being heard. */
    long nextAt(long now) {
        long at = quietSince + s.settledUs();
        return settled || at <= now ? Long.MAX_VALUE : at;
    }

    /**
     * Looks anew.
     *
     * @param quiet whether nobody is suspected
     * @return whether something is not as it was
     */
    boolean look(long now, boolean quiet) {
        int others = members.present() - 1;
        boolean nowSettled = quiet
                && now - quietSince >= s.settledUs()
                && agreed.cardinality() >= Math.min(LEAST, others)
                && (others > 0 || s.peers() == 1);
        boolean news = nowSettled != settled;
        settled = nowSettled;
        if (news && settled) {
            grow();
        }
        if (now >= forgetAt) {
            forgetAt = now + s.goneUs() / FORGET_PART;
            forget(now);
        }
        Reachability before = reach;
        reach = part();
        return news || before != reach;
    }

    private void grow() {
        for (int m = 0; m < members.size(); m++) {
            if (members.state(m).present() && !base.get(m)) {
                base.set(m);
                inReach++;
            }
        }
    }

    private void forget(long now) {
        if (majority()) {
            for (int m = base.nextSetBit(0); m >= 0; m = base.nextSetBit(m + 1)) {
                if (members.state(m) == MemberState.FAILED && now - members.since(m) >= s.goneUs()) {
                    base.clear(m);
                }
            }
        }
    }

    private Reachability part() {
        int all = base.cardinality();
        if (all == 0) {
            return Reachability.UNSETTLED;
        }
        return inReach == all
                ? Reachability.ALL
                : inReach <= 1 ? Reachability.ALONE : 2 * inReach > all ? Reachability.MAJORITY : Reachability.MINORITY;
    }

    private boolean majority() {
        return reach == Reachability.ALL || reach == Reachability.MAJORITY;
    }

    /**
     * How many may be using the hosts: who is there, and who is not seen but may be on the other side of a cut. A side
     * without a majority forgets nobody.
     */
    int living(long now) {
        int n = 0;
        for (int m = 0; m < members.size(); m++) {
            switch (members.state(m)) {
                case ALIVE, SUSPECTED -> n++;
                case FAILED -> n += majority() && now - members.since(m) >= s.goneUs() ? 0 : 1;
                case UNKNOWN -> n += m >= s.peers() || majority() && now - bornAt >= s.goneUs() ? 0 : 1;
                case LEFT -> {}
            }
        }
        return n;
    }
}
