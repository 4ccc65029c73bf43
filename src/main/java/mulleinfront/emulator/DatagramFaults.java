package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import mulleinfront.settings.Range;

/** What happens to datagrams between client proxies now, and what becomes of one, on virtual time and on sockets. */
public final class DatagramFaults {
    /** Datagrams remembered, so that old ones may come again. */
    private static final int REMEMBERED = 4_096;
    /** How much later a datagram is that others overtake, microseconds. */
    private static final Range OVERTAKEN = new Range(1_000, 50_000);

    private final Chance chance;
    private final List<DatagramFault> on = new ArrayList<>();
    private final List<Past> past = new ArrayList<>();
    private boolean remembers;

    /** One that is on; see {@link PeerFaults#beginFault}. */
    public record DatagramFault(
            BitSet from, BitSet to, double lose, double twice, double overtaken, double change, Range late) {
        private boolean about(int sender, int receiver) {
            return (from == null || sender >= 0 && from.get(sender)) && (to == null || to.get(receiver));
        }

        /** Whether nothing gets through. */
        public boolean cut() {
            return lose >= 1;
        }
    }

    /** What arrives of a datagram: perhaps other bytes, perhaps later, microseconds. */
    public record Copy(byte[] bytes, long lateUs) {}

    /** One that came by. */
    public record Past(int from, int to, byte[] bytes) {}

    public DatagramFaults(Chance chance) {
        this.chance = chance;
    }

    public void begin(DatagramFault trouble) {
        on.add(trouble);
    }

    public void end(DatagramFault trouble) {
        on.remove(trouble);
    }

    /** Whether datagrams get from one to another at all. */
    public boolean passes(int from, int to) {
        return on.stream().noneMatch(t -> t.cut() && t.about(from, to));
    }

    /** Keeps what comes by, up to some thousand datagrams. */
    public void remember(boolean keep) {
        remembers = keep;
    }

    /** One of those kept, drawn; null if there is none. */
    public Past past() {
        return past.isEmpty() ? null : past.get(chance.below(past.size()));
    }

    /** What becomes of a datagram: nothing, one or two copies. */
    public List<Copy> deliver(int from, int to, byte[] bytes, int length) {
        byte[] copy = Arrays.copyOf(bytes, length);
        if (remembers && past.size() < REMEMBERED) {
            past.add(new Past(from, to, copy));
        }
        long late = 0;
        boolean twice = false;
        for (DatagramFault t : on) {
            if (!t.about(from, to)) {
                continue;
            }
            if (chance.happens(t.lose())) {
                return List.of();
            }
            late += (long) t.late().draw(chance::between)
                    + (chance.happens(t.overtaken()) ? (long) OVERTAKEN.draw(chance::between) : 0);
            twice |= chance.happens(t.twice());
            copy = chance.happens(t.change()) ? changed(copy) : copy;
        }
        Copy one = new Copy(copy, late);
        return twice ? List.of(one, new Copy(copy, late + (long) OVERTAKEN.draw(chance::between))) : List.of(one);
    }

    private byte[] changed(byte[] bytes) {
        if (chance.happens(0.3)) {
            return Arrays.copyOf(bytes, chance.below(bytes.length));
        }
        byte[] other = bytes.clone();
        for (int i = 1 + chance.below(3); i > 0; i--) {
            other[chance.below(other.length)] ^= (byte) (1 + chance.below(255));
        }
        return other;
    }

    /** What somebody who knows nothing of the fleet may send: any bytes. */
    public byte[] randomBytes() {
        byte[] bytes = new byte[chance.below(300)];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) chance.below(256);
        }
        return bytes;
    }

    /** A member, drawn. */
    public int anybody(int of) {
        return chance.below(of);
    }
}
