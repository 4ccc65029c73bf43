package mulleinfront.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import mulleinfront.fleet.Datagram.Kind;

/**
 * Evens out two views that differ. One sends the digests of the parts of its view; the other answers with the digests
 * of the parts of those that differ, or with its records of a leaf; whoever is sent records takes over what is later
 * and sends back what it knows better. Nothing is remembered between messages: one that is lost is made up for by the
 * next comparison, which has less to compare.
 */
final class Exchange {
    private final Fleet fleet;
    private final Members members;
    private final RandomGenerator random;
    private long nextAt;
    private final List<int[]> parts = new ArrayList<>();
    private final List<Integer> leaves = new ArrayList<>();

    Exchange(Fleet fleet, Members members, RandomGenerator random) {
        this.fleet = fleet;
        this.members = members;
        this.random = random;
    }

    /** Another holds a different view: they are compared, unless that was done a moment ago. */
    void differs(long now, int with) {
        if (now < nextAt || !fleet.mayCompare(now)) {
            return;
        }
        nextAt = now + fleet.compareUs();
        int top = members.topLevel();
        if (top == 0) {
            leaves.clear();
            leaves.add(0);
            sendLeaves(now, with);
        } else {
            Datagram.Writer w = fleet.begin(Kind.NODES, with);
            node(w, top, 0);
            fleet.send(with, now, false);
        }
    }

    private void node(Datagram.Writer w, int level, int index) {
        w.small(level).member(index);
        for (int i = 0; i < Members.FAN; i++) {
            w.number((int) members.sum(level - 1, index * Members.FAN + i));
        }
    }

    /** Digests came: what differs is looked into, as far as the allowance goes, from a place drawn. */
    void compare(long now, int with, Datagram.Reader in) {
        parts.clear();
        leaves.clear();
        int first = random.nextInt(Members.FAN);
        for (int n = 0; n < in.nodes; n++) {
            for (int c = 0; c < Members.FAN; c++) {
                int i = (first + c) % Members.FAN;
                int child = in.index[n] * Members.FAN + i;
                int level = in.level[n] - 1;
                if ((int) members.sum(level, child) != in.sums[n][i]) {
                    if (level == 0) {
                        leaves.add(child);
                    } else {
                        parts.add(new int[] {level, child});
                    }
                }
            }
        }
        for (int at = 0; at < parts.size() && fleet.mayCompare(now); ) {
            Datagram.Writer w = fleet.begin(Kind.NODES, with);
            for (; at < parts.size() && w.room() >= Datagram.NODE; at++) {
                node(w, parts.get(at)[0], parts.get(at)[1]);
            }
            fleet.send(with, now, false);
        }
        sendLeaves(now, with);
    }

    /** All that is known of some leaves; whoever gets it sends back what it knows better. */
    private void sendLeaves(long now, int with) {
        for (int at = 0; at < leaves.size() && fleet.mayCompare(now); ) {
            Datagram.Writer w = fleet.begin(Kind.RECORDS, with).small(1);
            for (; at < leaves.size() && w.room() >= size(known(leaves.get(at))); at++) {
                records(w, leaves.get(at), known(leaves.get(at)));
            }
            fleet.send(with, now, false);
        }
    }

    private int known(int leaf) {
        int mask = 0;
        for (int i = 0; i < Members.FAN; i++) {
            mask |= members.incarnation(leaf * Members.FAN + i) != Incarnation.NONE ? 1 << i : 0;
        }
        return mask;
    }

    private static int size(int mask) {
        return Datagram.LEAF + Integer.bitCount(mask) * Datagram.RECORD;
    }

    private void records(Datagram.Writer w, int leaf, int mask) {
        w.member(leaf).member(mask);
        for (int i = 0; i < Members.FAN; i++) {
            if ((mask >> i & 1) != 0) {
                int m = leaf * Members.FAN + i;
                w.small(members.state(m).ordinal()).incarnation(members.incarnation(m));
            }
        }
    }

    /** Records came. */
    void take(long now, int from, Datagram.Reader in) {
        for (int e = 0; e < in.entries; e++) {
            fleet.take(in.member[e], in.entryIncarnation[e], in.state[e], from, Change.Cause.EXCHANGE, now);
        }
        if (!in.want) {
            return;
        }
        parts.clear();
        int e = 0;
        for (int n = 0; n < in.nodes; n++) {
            int better = 0;
            for (int i = 0; i < Members.FAN; i++) {
                int m = in.index[n] * Members.FAN + i;
                boolean told = (in.mask[n] >> i & 1) != 0;
                long itsIncarnation = told ? in.entryIncarnation[e] : Incarnation.NONE;
                MemberState itsState = told ? in.state[e] : MemberState.UNKNOWN;
                e += told ? 1 : 0;
                long ours = members.incarnation(m);
                if (ours > itsIncarnation
                        || ours == itsIncarnation && members.state(m).ordinal() > itsState.ordinal()) {
                    better |= 1 << i;
                }
            }
            if (better != 0) {
                parts.add(new int[] {in.index[n], better});
            }
        }
        for (int at = 0; at < parts.size() && fleet.mayCompare(now); ) {
            Datagram.Writer w = fleet.begin(Kind.RECORDS, from).small(0);
            for (; at < parts.size() && w.room() >= size(parts.get(at)[1]); at++) {
                records(w, parts.get(at)[0], parts.get(at)[1]);
            }
            fleet.send(from, now, false);
        }
    }
}
