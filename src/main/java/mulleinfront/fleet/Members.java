package mulleinfront.fleet;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Arrays;

/**
 * What one instance believes of all members, by their numbers, in some twenty bytes each, and digests of it.
 *
 * <p>A belief is a pair of incarnation and state, and the larger pair wins: first by incarnation, then in the
 * order of {@link MemberState}. So it does not matter in which order or how often words arrive, and two instances
 * that have heard the same words believe the same.
 *
 * <p>Digests are sums (exclusive or) of a hash of each member's life and state, whole and by parts of the numbers:
 * a leaf covers 16 numbers and a node 16 of the level below, as in a Merkle tree. A suspicion is not part of it,
 * nor how often a member refuted one: they come and go, and views that differ in them agree on who is there.
 */
final class Members {
    /** Numbers in a leaf, and children of a node. */
    static final int FAN = 16;
    /** Levels above the leaves: 16 to the fourth are all numbers that the wire can say. */
    static final int TOP = 3;
    /** The largest number, and one. */
    static final int MOST = 1 << 16;

    private static final Hasher64 HASH = Hashing.xxh3_64();

    private int size;
    private byte[] state;
    private long[] incarnation;
    private long[] since;
    private char[] word;
    private final long[][] sums = new long[TOP + 1][];
    private final int[] counts = new int[MemberState.values().length];

    /** @param size members that are listed; others may be heard of */
    Members(int size) {
        this.size = 0;
        this.state = new byte[0];
        this.incarnation = new long[0];
        this.since = new long[0];
        this.word = new char[0];
        Arrays.setAll(sums, level -> new long[0]);
        room(size);
    }

    /** Numbers from 0 up that there is room for; grows with what is heard of. */
    int size() {
        return size;
    }

    /** Makes room for numbers below this one. */
    void room(int wanted) {
        if (wanted <= size) {
            return;
        }
        counts[MemberState.UNKNOWN.ordinal()] += wanted - size;
        state = Arrays.copyOf(state, wanted);
        incarnation = Arrays.copyOf(incarnation, wanted);
        since = Arrays.copyOf(since, wanted);
        word = Arrays.copyOf(word, wanted);
        for (int level = 0, covers = FAN; level <= TOP; level++, covers *= FAN) {
            sums[level] = Arrays.copyOf(sums[level], (wanted + covers - 1) / covers);
        }
        size = wanted;
    }

    MemberState state(int member) {
        return member < size ? MemberState.of(state[member]) : MemberState.UNKNOWN;
    }

    long incarnation(int member) {
        return member < size ? incarnation[member] : Incarnation.NONE;
    }

    /** When the belief was last changed, microseconds. */
    long since(int member) {
        return since[member];
    }

    /** By whose word. */
    int word(int member) {
        return word[member];
    }

    int count(MemberState of) {
        return counts[of.ordinal()];
    }

    /** Those that count as there. */
    int present() {
        return count(MemberState.ALIVE) + count(MemberState.SUSPECTED);
    }

    /** Whether such a word is later than what is believed. */
    boolean newer(int member, long itsIncarnation, MemberState itsState) {
        long held = incarnation(member);
        return itsIncarnation > held
                || itsIncarnation == held && itsState.ordinal() > state(member).ordinal();
    }

    /** Takes a belief over; the caller has looked whether it is newer. */
    void set(int member, long itsIncarnation, MemberState itsState, int byWord, long now) {
        room(member + 1);
        long change = hash(member);
        counts[state[member]]--;
        state[member] = (byte) itsState.ordinal();
        counts[state[member]]++;
        incarnation[member] = itsIncarnation;
        since[member] = now;
        word[member] = (char) byWord;
        change ^= hash(member);
        if (change != 0) {
            for (int level = 0, at = member / FAN; level <= TOP; level++, at /= FAN) {
                sums[level][at] ^= change;
            }
        }
    }

    private long hash(int member) {
        MemberState s = MemberState.of(state[member]);
        if (s == MemberState.UNKNOWN) {
            return 0;
        }
        int code = s == MemberState.SUSPECTED ? MemberState.ALIVE.ordinal() : s.ordinal();
        return HASH.hashLongLongLongToLong(member, Incarnation.startedMs(incarnation[member]), code);
    }

    /** Digest of the whole view; equal views have equal ones. */
    long digest() {
        return size == 0 ? 0 : sums[TOP][0];
    }

    /** That of a node, or 0 where nobody is known. */
    long sum(int level, int index) {
        return index < sums[level].length ? sums[level][index] : 0;
    }

    /** The lowest level at which one node covers all. */
    int topLevel() {
        int level = 0;
        while (level < TOP && sums[level].length > 1) {
            level++;
        }
        return level;
    }

    /** Nodes of a level. */
    static int width(int level) {
        return MOST / FAN >> 4 * level;
    }
}
