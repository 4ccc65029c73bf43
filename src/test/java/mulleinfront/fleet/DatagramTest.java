package mulleinfront.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import mulleinfront.fleet.Datagram.Kind;
import mulleinfront.fleet.Datagram.Reader;
import mulleinfront.fleet.Datagram.Writer;
import org.junit.jupiter.api.Test;

/** What lies in a datagram, and what does not make one. */
class DatagramTest {
    private static final int FLEET = Datagram.fleet("test");
    private static final long LIFE = Incarnation.starting(1_796_083_200_000L);

    private static byte[] bytes(Writer w) {
        return Arrays.copyOf(w.bytes, w.finish());
    }

    private static Writer writer() {
        return new Writer(Datagram.VERSION, FLEET, 3);
    }

    private static Reader reader() {
        return new Reader(Datagram.VERSION, FLEET);
    }

    /** One of each kind, as full as it may be. */
    private static List<byte[]> ofEachKind() {
        List<byte[]> all = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            Writer w = writer().begin(kind, 5, LIFE, false, 0x12345678);
            switch (kind) {
                case PING, ACK -> w.number(77).name("n3");
                case ASK -> w.number(77).member(9);
                case ACK_FOR -> w.number(77).member(9).incarnation(LIFE + 4);
                case NACK -> w.number(77).member(9);
                case NODES -> {
                    for (int n = 0; w.room() >= Datagram.NODE; n++) {
                        w.small(1 + n % 3).member(0);
                        for (int i = 0; i < Members.FAN; i++) {
                            w.number(n * 100 + i);
                        }
                    }
                }
                case RECORDS ->
                    w.small(1)
                            .member(2)
                            .member(0b101)
                            .small(1)
                            .incarnation(LIFE)
                            .small(3)
                            .incarnation(LIFE);
                case GOSSIP -> {}
            }
            boolean news = kind == Kind.PING || kind == Kind.ACK || kind == Kind.ASK || kind == Kind.GOSSIP;
            for (int i = 0; news && w.room() >= Datagram.RUMOUR; i++) {
                w.rumour(20 + i, MemberState.of(1 + i % 4), 3, LIFE + i);
            }
            all.add(bytes(w));
        }
        return all;
    }

    @Test
    void whatIsWrittenIsReadAndFits() {
        for (byte[] bytes : ofEachKind()) {
            Reader r = reader();
            assertNull(r.read(bytes, bytes.length));
            assertTrue(bytes.length <= 256, r.kind + " has " + bytes.length);
            assertEquals(3, r.from);
            assertEquals(5, r.to);
            assertEquals(LIFE, r.incarnation);
            assertEquals(0x12345678, r.view);
            switch (r.kind) {
                case PING, ACK -> {
                    assertEquals("n3", r.name);
                    assertEquals(16, r.entries);
                    assertEquals(77, r.nonce);
                }
                case ASK -> assertEquals(9, r.target);
                case ACK_FOR -> assertEquals(LIFE + 4, r.targetIncarnation);
                case GOSSIP -> {
                    assertEquals(17, r.entries);
                    assertEquals(21, r.member[1]);
                    assertEquals(MemberState.SUSPECTED, r.state[1]);
                }
                case NODES -> {
                    assertEquals(3, r.nodes);
                    assertEquals(215, r.sums[2][15]);
                }
                case RECORDS -> {
                    assertTrue(r.want);
                    assertEquals(2, r.entries);
                    assertEquals(34, r.member[1]);
                    assertEquals(MemberState.FAILED, r.state[1]);
                }
                case NACK -> assertEquals(0, r.entries);
            }
        }
    }

    @Test
    void whatIsNotOursIsNamed() {
        byte[] good = ofEachKind().get(0);
        assertEquals(DropReason.TOO_LONG, reader().read(new byte[300], 300));
        assertEquals(DropReason.DAMAGED, reader().read(new byte[10], 10));
        assertEquals(DropReason.DAMAGED, reader().read(good, good.length - 1));
        assertEquals(DropReason.OTHER_FLEET, new Reader(Datagram.VERSION, FLEET + 1).read(good, good.length));
        assertEquals(DropReason.OTHER_VERSION, new Reader(Datagram.VERSION + 1, FLEET).read(good, good.length));
        Writer later = writer().begin(Kind.PING, 5, Incarnation.MOST + 1, false, 0)
                .number(1)
                .name(null);
        byte[] forged = bytes(later);
        assertEquals(DropReason.MALFORMED, reader().read(forged, forged.length), "no member can have started then");
    }

    /** A member that three others are known to, and what it has come to believe by then. */
    private static Fleet member(long[] now, int[] sent) {
        Fleet fleet = new Fleet(
                FleetSettings.defaults("test", "n5", 5, 40, 1_000_000, 600_000_000),
                new SplittableRandom(1),
                now[0],
                1_796_083_200_000L,
                new Fleet.Actions() {
                    @Override
                    public void send(int member, byte[] bytes, int length) {
                        sent[0]++;
                    }

                    @Override
                    public void wakeAt(long atUs) {}
                });
        fleet.start(now[0]);
        return fleet;
    }

    @Test
    void aHundredThousandChangedDatagramsChangeNothing() {
        SplittableRandom random = new SplittableRandom(7);
        List<byte[]> good = ofEachKind();
        long[] now = {0};
        Fleet fleet = member(now, new int[1]);
        Map<DropReason, Integer> why = new EnumMap<>(DropReason.class);
        long changes = fleet.changes();
        for (int i = 0; i < 100_000; i++) {
            byte[] bytes = mutated(good.get(random.nextInt(good.size())), random);
            now[0] += 1_000;
            fleet.onDatagram(now[0], random.nextInt(40), bytes, bytes.length);
        }
        fleet.drops().forEach((d, n) -> why.merge(d, (int) (long) n, Integer::sum));
        assertEquals(changes, fleet.changes());
        assertEquals(100_000, why.values().stream().mapToInt(Integer::intValue).sum(), "each is counted: " + why);
    }

    private static byte[] mutated(byte[] good, SplittableRandom random) {
        byte[] bytes = random.nextInt(4) == 0 ? Arrays.copyOf(good, random.nextInt(310)) : good.clone();
        for (int i = random.nextInt(4); i >= 0 && bytes.length > 0; i--) {
            bytes[random.nextInt(bytes.length)] ^= (byte) (1 + random.nextInt(255));
        }
        if (Arrays.equals(bytes, good)) {
            return new byte[0];
        }
        return bytes;
    }

    @Test
    void aHundredThousandWithTheRightCheckAndAnyContentDoNoMoreThanAValidOneCould() {
        SplittableRandom random = new SplittableRandom(8);
        List<byte[]> good = ofEachKind();
        long[] now = {0};
        int[] sent = {0};
        Fleet fleet = member(now, sent);
        MemberState[] state = new MemberState[Members.MOST];
        long[] incarnation = new long[Members.MOST];
        fleet.listen(c -> {
            assertTrue(
                    c.incarnation() > incarnation[c.member()]
                            || c.incarnation() == incarnation[c.member()] && c.to().compareTo(state[c.member()]) > 0,
                    "went back: " + c);
            state[c.member()] = c.to();
            incarnation[c.member()] = c.incarnation();
        });
        for (int i = 0; i < 100_000; i++) {
            byte[] bytes = mutated(good.get(random.nextInt(good.size())), random);
            if (bytes.length > Datagram.HEAD + Datagram.CHECK && bytes.length <= Datagram.MOST) {
                int body = bytes.length - Datagram.CHECK;
                ByteBuffer.wrap(bytes)
                        .put(0, (byte) Datagram.VERSION)
                        .putInt(2, FLEET)
                        .putShort(6, (short) 3)
                        .putShort(8, (short) 5)
                        .putLong(body, Hashing.xxh3_64().hashBytesToLong(bytes, 0, body));
            }
            now[0] += 10_000;
            fleet.onDatagram(now[0], 3, bytes, bytes.length);
            fleet.onTimer(now[0]);
        }
        assertTrue(fleet.received() > 10_000, fleet.received() + " read");
        assertTrue(sent[0] < 64 * 1_000 + 200, sent[0] + " sent in 1,000 s: the allowance holds");
    }
}
