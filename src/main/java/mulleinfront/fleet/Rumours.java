package mulleinfront.fleet;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** Of whom there is news to pass on, the least often passed on first. */
final class Rumours {
    /** Members by how often the latest word of them has been passed on. */
    private final List<BitSet> byTimes = new ArrayList<>();

    private final BitSet pending = new BitSet();
    private int size;
    private int cursor;

    boolean isEmpty() {
        return size == 0;
    }

    int size() {
        return size;
    }

    /** How often the word of a member has been passed on; -1 if there is none to pass on. */
    int times(int member) {
        for (int i = 0; i < byTimes.size(); i++) {
            if (byTimes.get(i).get(member)) {
                return i;
            }
        }
        return -1;
    }

    /** There is a new word of a member. */
    void add(int member) {
        remove(member);
        level(0).set(member);
        pending.set(member);
        size++;
    }

    private void remove(int member) {
        if (pending.get(member)) {
            byTimes.forEach(b -> b.clear(member));
            pending.clear(member);
            size--;
        }
    }

    private BitSet level(int times) {
        while (byTimes.size() <= times) {
            byTimes.add(new BitSet());
        }
        return byTimes.get(times);
    }

    /**
     * Takes members to pass on in one datagram.
     *
     * @param into filled from its beginning
     * @param most how many at most
     * @param limit how often the word of a member is passed on
     * @return how many were taken
     */
    int take(int[] into, int most, int limit) {
        int taken = 0;
        int times = 0;
        int[] before = new int[Math.min(most, size)];
        for (; times < byTimes.size() && taken < before.length; times++) {
            BitSet those = byTimes.get(times);
            // From where the last one ended, or a few would always go first.
            for (int m = those.nextSetBit(cursor); m >= 0 && taken < before.length; m = those.nextSetBit(m + 1)) {
                into[taken] = m;
                before[taken++] = times;
            }
            for (int m = those.nextSetBit(0);
                    m >= 0 && m < cursor && taken < before.length;
                    m = those.nextSetBit(m + 1)) {
                into[taken] = m;
                before[taken++] = times;
            }
        }
        for (int i = 0; i < taken; i++) {
            byTimes.get(before[i]).clear(into[i]);
            if (before[i] + 1 < limit) {
                level(before[i] + 1).set(into[i]);
            } else {
                pending.clear(into[i]);
                size--;
            }
        }
        cursor = taken == 0 ? 0 : into[taken - 1] + 1;
        return taken;
    }
}
