package mulleinfront.fleet;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Arrays;

/**
 * The local view of one instance: the recorded state of all members by number, some twenty bytes each, with digests.
 *
 * <p>The recorded state of a member is a pair of incarnation and state, and the larger pair wins: first by incarnation,
 * then in the order of {@link MemberState}. So the order and the number of arriving updates do not matter, and two
 * instances that have received the same updates have the same view.
 *
 * <p>A digest is the exclusive or of a hash of each member's process start time and state. Digests form a tree like a
 * Merkle tree: a leaf covers 16 member numbers and a node covers 16 nodes of the level below. Suspicions and the
 * number of refutations are not part of the digest: they are short-lived, and views that differ only in them agree on
 * which members are present.
 */
final class Members {
    /** Member numbers in a leaf, and children of a node. */
    static final int FANOUT = 16;
    /** Levels above the leaves: 16 to the power of 4 covers all 16-bit member numbers of the wire format. */
    static final int TOP_LEVEL = 3;
    /** Number of member numbers in the 16-bit wire format. */
    static final int MAX_MEMBERS = 1 << 16;

    private static final Hasher64 HASH = Hashing.xxh3_64();

    private int size;
    private byte[] state;
    private long[] incarnation;
    private long[] stateSince;
    private char[] sourceMember;
    private final long[][] digests = new long[TOP_LEVEL + 1][];
    private final int[] stateCounts = new int[MemberState.values().length];

    /** @param size number of listed members; updates about members with higher numbers may arrive */
    Members(int size) {
        this.size = 0;
        this.state = new byte[0];
        this.incarnation = new long[0];
        this.stateSince = new long[0];
        this.sourceMember = new char[0];
        Arrays.setAll(digests, level -> new long[0]);
        ensureSize(size);
    }

    /** Number of entries, by member number from 0; grows with updates about higher numbers. */
    int size() {
        return size;
    }

    /** Grows the table to at least this number of entries. */
    void ensureSize(int newSize) {
        if (newSize <= size) {
            return;
        }
        stateCounts[MemberState.UNKNOWN.ordinal()] += newSize - size;
        state = Arrays.copyOf(state, newSize);
        incarnation = Arrays.copyOf(incarnation, newSize);
        stateSince = Arrays.copyOf(stateSince, newSize);
        sourceMember = Arrays.copyOf(sourceMember, newSize);
        for (int level = 0, covers = FANOUT; level <= TOP_LEVEL; level++, covers *= FANOUT) {
            digests[level] = Arrays.copyOf(digests[level], (newSize + covers - 1) / covers);
        }
        size = newSize;
    }

    MemberState state(int member) {
        return member < size ? MemberState.fromCode(state[member]) : MemberState.UNKNOWN;
    }

    long incarnation(int member) {
        return member < size ? incarnation[member] : Incarnation.NONE;
    }

    /** Time of the last change of the recorded state, microseconds. */
    long stateSince(int member) {
        return stateSince[member];
    }

    /** The member from which the recorded state came. */
    int sourceMember(int member) {
        return sourceMember[member];
    }

    int count(MemberState memberState) {
        return stateCounts[memberState.ordinal()];
    }

    /** Number of members that are alive or suspected. */
    int presentCount() {
        return count(MemberState.ALIVE) + count(MemberState.SUSPECTED);
    }

    /** Whether an update is newer than the recorded state. */
    boolean isNewer(int member, long newIncarnation, MemberState newState) {
        long recorded = incarnation(member);
        return newIncarnation > recorded
                || newIncarnation == recorded
                        && newState.ordinal() > state(member).ordinal();
    }

    /** Records a state; the caller has checked that it is newer. */
    void record(int member, long newIncarnation, MemberState newState, int source, long now) {
        ensureSize(member + 1);
        long digestChange = memberHash(member);
        stateCounts[state[member]]--;
        state[member] = (byte) newState.ordinal();
        stateCounts[state[member]]++;
        incarnation[member] = newIncarnation;
        stateSince[member] = now;
        sourceMember[member] = (char) source;
        digestChange ^= memberHash(member);
        if (digestChange != 0) {
            for (int level = 0, index = member / FANOUT; level <= TOP_LEVEL; level++, index /= FANOUT) {
                digests[level][index] ^= digestChange;
            }
        }
    }

    private long memberHash(int member) {
        MemberState memberState = MemberState.fromCode(state[member]);
        if (memberState == MemberState.UNKNOWN) {
            return 0;
        }
        int stateCode = memberState == MemberState.SUSPECTED ? MemberState.ALIVE.ordinal() : memberState.ordinal();
        return HASH.hashLongLongLongToLong(member, Incarnation.startedMs(incarnation[member]), stateCode);
    }

    /** Digest of the whole view; equal views have equal digests. */
    long digest() {
        return size == 0 ? 0 : digests[TOP_LEVEL][0];
    }

    /** Digest of a node; 0 where no member is known. */
    long nodeDigest(int level, int index) {
        return index < digests[level].length ? digests[level][index] : 0;
    }

    /** Lowest level at which a single node covers all entries. */
    int rootLevel() {
        int level = 0;
        while (level < TOP_LEVEL && digests[level].length > 1) {
            level++;
        }
        return level;
    }

    /** Number of nodes on a level of the full tree. */
    static int nodeCount(int level) {
        return MAX_MEMBERS / FANOUT >> 4 * level;
    }
}
