package mulleinfront.fleet;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** Queue of members with a gossip update to send; the update sent the fewest times goes first. */
final class GossipQueue {
    /** Members, indexed by the number of times their latest update was sent. */
    private final List<BitSet> bySendCount = new ArrayList<>();

    private final BitSet queued = new BitSet();
    private int size;
    private int cursor;

    boolean isEmpty() {
        return size == 0;
    }

    int size() {
        return size;
    }

    /** Number of times the update of a member was sent; -1 if no update is queued. */
    int sendCount(int member) {
        for (int count = 0; count < bySendCount.size(); count++) {
            if (bySendCount.get(count).get(member)) {
                return count;
            }
        }
        return -1;
    }

    /** Queues a new update of a member, in place of an earlier one. */
    void add(int member) {
        remove(member);
        membersSent(0).set(member);
        queued.set(member);
        size++;
    }

    private void remove(int member) {
        if (queued.get(member)) {
            bySendCount.forEach(members -> members.clear(member));
            queued.clear(member);
            size--;
        }
    }

    private BitSet membersSent(int sendCount) {
        while (bySendCount.size() <= sendCount) {
            bySendCount.add(new BitSet());
        }
        return bySendCount.get(sendCount);
    }

    /**
     * Selects the members whose updates go into one datagram, and counts them as sent.
     *
     * @param selection filled with member numbers from index 0
     * @param maxUpdates largest number of updates
     * @param sendLimit number of times that each update is sent
     * @return number of updates selected
     */
    int select(int[] selection, int maxUpdates, int sendLimit) {
        int selected = 0;
        int sendCount = 0;
        int[] sendCounts = new int[Math.min(maxUpdates, size)];
        for (; sendCount < bySendCount.size() && selected < sendCounts.length; sendCount++) {
            BitSet candidates = bySendCount.get(sendCount);
            // Continues after the last selected member; otherwise the low numbers would always go first.
            for (int member = candidates.nextSetBit(cursor);
                    member >= 0 && selected < sendCounts.length;
                    member = candidates.nextSetBit(member + 1)) {
                selection[selected] = member;
                sendCounts[selected++] = sendCount;
            }
            for (int member = candidates.nextSetBit(0);
                    member >= 0 && member < cursor && selected < sendCounts.length;
                    member = candidates.nextSetBit(member + 1)) {
                selection[selected] = member;
                sendCounts[selected++] = sendCount;
            }
        }
        for (int i = 0; i < selected; i++) {
            bySendCount.get(sendCounts[i]).clear(selection[i]);
            if (sendCounts[i] + 1 < sendLimit) {
                membersSent(sendCounts[i] + 1).set(selection[i]);
            } else {
                queued.clear(selection[i]);
                size--;
            }
        }
        cursor = selected == 0 ? 0 : selection[selected - 1] + 1;
        return selected;
    }
}
