package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import mulleinfront.settings.Range;

/** The active faults on datagrams between client proxies and their effects, on virtual time and on sockets. */
public final class DatagramFaults {
    /** Most datagrams recorded for later repetition. */
    private static final int MAX_RECORDED_DATAGRAMS = 4_096;
    /** Additional delay of a datagram that later ones overtake, microseconds. */
    private static final Range OVERTAKEN_DELAY_US = new Range(1_000, 50_000);

    private final RandomStream chance;
    private final List<DatagramFault> activeFaults = new ArrayList<>();
    private final List<RecordedDatagram> recorded = new ArrayList<>();
    private boolean recording;

    /** An active fault; see {@link PeerFaults#beginFault}. */
    public record DatagramFault(
            BitSet from,
            BitSet to,
            double lossShare,
            double duplicateShare,
            double overtakenShare,
            double corruptedShare,
            Range extraDelayUs) {
        private boolean affects(int sender, int receiver) {
            return (from == null || sender >= 0 && from.get(sender)) && (to == null || to.get(receiver));
        }

        /** Whether the fault is a network partition: no affected datagram is delivered. */
        public boolean isPartition() {
            return lossShare >= 1;
        }
    }

    /** A delivered copy of a datagram, possibly with changed bytes, and its additional delay in microseconds. */
    public record Copy(byte[] bytes, long extraDelayUs) {}

    /** A recorded datagram. */
    public record RecordedDatagram(int from, int to, byte[] bytes) {}

    public DatagramFaults(RandomStream chance) {
        this.chance = chance;
    }

    public void begin(DatagramFault fault) {
        activeFaults.add(fault);
    }

    public void end(DatagramFault fault) {
        activeFaults.remove(fault);
    }

    /** Whether any datagrams get from one member to another: no partition separates them. */
    public boolean passes(int from, int to) {
        return activeFaults.stream().noneMatch(fault -> fault.isPartition() && fault.affects(from, to));
    }

    /** Starts or stops recording datagrams, up to 4,096 of them. */
    public void setRecording(boolean enabled) {
        recording = enabled;
    }

    /** A recorded datagram, chosen at random; null if there is none. */
    public RecordedDatagram recorded() {
        return recorded.isEmpty() ? null : recorded.get(chance.uniformBelow(recorded.size()));
    }

    /** Applies the active faults to a datagram: returns no, one or two copies. */
    public List<Copy> deliver(int from, int to, byte[] bytes, int length) {
        byte[] copy = Arrays.copyOf(bytes, length);
        if (recording && recorded.size() < MAX_RECORDED_DATAGRAMS) {
            recorded.add(new RecordedDatagram(from, to, copy));
        }
        long extraDelayUs = 0;
        boolean duplicate = false;
        for (DatagramFault fault : activeFaults) {
            if (!fault.affects(from, to)) {
                continue;
            }
            if (chance.happens(fault.lossShare())) {
                return List.of();
            }
            extraDelayUs += (long) fault.extraDelayUs().draw(chance::uniformBetween)
                    + (chance.happens(fault.overtakenShare())
                            ? (long) OVERTAKEN_DELAY_US.draw(chance::uniformBetween)
                            : 0);
            duplicate |= chance.happens(fault.duplicateShare());
            copy = chance.happens(fault.corruptedShare()) ? corrupted(copy) : copy;
        }
        Copy first = new Copy(copy, extraDelayUs);
        return duplicate
                ? List.of(first, new Copy(copy, extraDelayUs + (long) OVERTAKEN_DELAY_US.draw(chance::uniformBetween)))
                : List.of(first);
    }

    private byte[] corrupted(byte[] bytes) {
        if (chance.happens(0.3)) {
            return Arrays.copyOf(bytes, chance.uniformBelow(bytes.length));
        }
        byte[] other = bytes.clone();
        for (int i = 1 + chance.uniformBelow(3); i > 0; i--) {
            other[chance.uniformBelow(other.length)] ^= (byte) (1 + chance.uniformBelow(255));
        }
        return other;
    }

    /** A random datagram, as a sender outside the fleet may send. */
    public byte[] randomBytes() {
        byte[] bytes = new byte[chance.uniformBelow(300)];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) chance.uniformBelow(256);
        }
        return bytes;
    }

    /** The number of a member, chosen at random. */
    public int randomMember(int members) {
        return chance.uniformBelow(members);
    }
}
