package mulleinfront.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import mulleinfront.fleet.Datagram.Kind;

/**
 * Anti-entropy: reconciles two views that differ by comparing their digest trees. One member sends the digests of a
 * node's children; the other replies with the child digests of each node that differs, or with its records of each
 * leaf that differs. The recipient of records applies those that are newer than its own and sends back its own newer
 * records. No state is kept between messages: after a loss, the next comparison continues with fewer differences.
 */
final class AntiEntropy {
    private final Fleet fleet;
    private final Members members;
    private final RandomGenerator random;
    private long nextComparisonAt;
    /** Replies to send: a level and a node index each, or a leaf and a bit mask of its members. */
    private final List<int[]> pendingReplies = new ArrayList<>();

    private final List<Integer> differingLeaves = new ArrayList<>();

    AntiEntropy(Fleet fleet, Members members, RandomGenerator random) {
        this.fleet = fleet;
        this.members = members;
        this.random = random;
    }

    /** Starts a comparison with a member whose view differs, at most once per comparison interval. */
    void onDifferentView(long now, int peer) {
        if (now < nextComparisonAt || !fleet.allowsComparison(now)) {
            return;
        }
        nextComparisonAt = now + fleet.comparisonIntervalUs();
        int rootLevel = members.rootLevel();
        if (rootLevel == 0) {
            differingLeaves.clear();
            differingLeaves.add(0);
            sendLeafRecords(now, peer);
        } else {
            Datagram.Writer writer = fleet.beginDatagram(Kind.NODES, peer);
            writeNode(writer, rootLevel, 0);
            fleet.sendDatagram(peer, now, false);
        }
    }

    private void writeNode(Datagram.Writer writer, int level, int index) {
        writer.putByte(level).putShort(index);
        for (int i = 0; i < Members.FANOUT; i++) {
            writer.putInt((int) members.nodeDigest(level - 1, index * Members.FANOUT + i));
        }
    }

    /**
     * Handles digests: replies for the children that differ, as far as the token bucket allows. It starts at a random
     * child of each node, so that the limit does not always favour the same ones.
     */
    void onNodes(long now, int peer, Datagram.Reader reader) {
        pendingReplies.clear();
        differingLeaves.clear();
        int firstChild = random.nextInt(Members.FANOUT);
        for (int node = 0; node < reader.nodes; node++) {
            for (int offset = 0; offset < Members.FANOUT; offset++) {
                int childSlot = (firstChild + offset) % Members.FANOUT;
                int child = reader.nodeIndex[node] * Members.FANOUT + childSlot;
                int level = reader.nodeLevel[node] - 1;
                if ((int) members.nodeDigest(level, child) != reader.childDigests[node][childSlot]) {
                    if (level == 0) {
                        differingLeaves.add(child);
                    } else {
                        pendingReplies.add(new int[] {level, child});
                    }
                }
            }
        }
        for (int position = 0; position < pendingReplies.size() && fleet.allowsComparison(now); ) {
            Datagram.Writer writer = fleet.beginDatagram(Kind.NODES, peer);
            for (; position < pendingReplies.size() && writer.remainingBytes() >= Datagram.NODE_BYTES; position++) {
                writeNode(
                        writer, pendingReplies.get(position)[0], pendingReplies.get(position)[1]);
            }
            fleet.sendDatagram(peer, now, false);
        }
        sendLeafRecords(now, peer);
    }

    /** Sends all records of the collected leaves; the recipient sends back the records that it has newer. */
    private void sendLeafRecords(long now, int peer) {
        for (int position = 0; position < differingLeaves.size() && fleet.allowsComparison(now); ) {
            Datagram.Writer writer = fleet.beginDatagram(Kind.RECORDS, peer).putByte(1);
            for (;
                    position < differingLeaves.size()
                            && writer.remainingBytes() >= encodedBytes(knownMask(differingLeaves.get(position)));
                    position++) {
                writeRecords(writer, differingLeaves.get(position), knownMask(differingLeaves.get(position)));
            }
            fleet.sendDatagram(peer, now, false);
        }
    }

    private int knownMask(int leaf) {
        int mask = 0;
        for (int i = 0; i < Members.FANOUT; i++) {
            mask |= members.incarnation(leaf * Members.FANOUT + i) != Incarnation.NONE ? 1 << i : 0;
        }
        return mask;
    }

    private static int encodedBytes(int mask) {
        return Datagram.LEAF_HEADER_BYTES + Integer.bitCount(mask) * Datagram.RECORD_BYTES;
    }

    private void writeRecords(Datagram.Writer writer, int leaf, int mask) {
        writer.putShort(leaf).putShort(mask);
        for (int i = 0; i < Members.FANOUT; i++) {
            if ((mask >> i & 1) != 0) {
                int member = leaf * Members.FANOUT + i;
                writer.putByte(members.state(member).ordinal()).putLong(members.incarnation(member));
            }
        }
    }

    /** Applies received records, and sends back newer ones if the sender wants a reply. */
    void onRecords(long now, int peer, Datagram.Reader reader) {
        for (int entry = 0; entry < reader.entryCount; entry++) {
            fleet.applyUpdate(
                    reader.entryMember[entry],
                    reader.entryIncarnation[entry],
                    reader.entryState[entry],
                    peer,
                    Change.Cause.EXCHANGE,
                    now);
        }
        if (!reader.replyWanted) {
            return;
        }
        pendingReplies.clear();
        int entry = 0;
        for (int node = 0; node < reader.nodes; node++) {
            int newerMask = 0;
            for (int i = 0; i < Members.FANOUT; i++) {
                int member = reader.nodeIndex[node] * Members.FANOUT + i;
                boolean included = (reader.leafMask[node] >> i & 1) != 0;
                long receivedIncarnation = included ? reader.entryIncarnation[entry] : Incarnation.NONE;
                MemberState receivedState = included ? reader.entryState[entry] : MemberState.UNKNOWN;
                entry += included ? 1 : 0;
                long ownIncarnation = members.incarnation(member);
                if (ownIncarnation > receivedIncarnation
                        || ownIncarnation == receivedIncarnation
                                && members.state(member).ordinal() > receivedState.ordinal()) {
                    newerMask |= 1 << i;
                }
            }
            if (newerMask != 0) {
                pendingReplies.add(new int[] {reader.nodeIndex[node], newerMask});
            }
        }
        for (int position = 0; position < pendingReplies.size() && fleet.allowsComparison(now); ) {
            Datagram.Writer writer = fleet.beginDatagram(Kind.RECORDS, peer).putByte(0);
            for (;
                    position < pendingReplies.size()
                            && writer.remainingBytes()
                                    >= encodedBytes(pendingReplies.get(position)[1]);
                    position++) {
                writeRecords(
                        writer, pendingReplies.get(position)[0], pendingReplies.get(position)[1]);
            }
            fleet.sendDatagram(peer, now, false);
        }
    }
}
