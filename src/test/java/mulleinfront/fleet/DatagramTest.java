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

/** Encoding of valid datagrams, and rejection of invalid ones. */
class DatagramTest {
    private static final int FLEET = Datagram.fleetHash("test");
    private static final long INCARNATION = Incarnation.ofProcessStart(1_796_083_200_000L);

    private static byte[] bytes(Writer writer) {
        return Arrays.copyOf(writer.bytes, writer.finish());
    }

    private static Writer writer() {
        return new Writer(Datagram.VERSION, FLEET, 3);
    }

    private static Reader reader() {
        return new Reader(Datagram.VERSION, FLEET);
    }

    /** One datagram of each type, with as many updates or nodes as fit. */
    private static List<byte[]> oneOfEachKind() {
        List<byte[]> datagrams = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            Writer writer = writer().begin(kind, 5, INCARNATION, false, 0x12345678);
            switch (kind) {
                case PING, ACK -> writer.putInt(77).putName("n3");
                case ASK -> writer.putInt(77).putShort(9);
                case ACK_FOR -> writer.putInt(77).putShort(9).putLong(INCARNATION + 4);
                case NACK -> writer.putInt(77).putShort(9);
                case NODES -> {
                    for (int node = 0; writer.remainingBytes() >= Datagram.NODE_BYTES; node++) {
                        writer.putByte(1 + node % 3).putShort(0);
                        for (int i = 0; i < Members.FANOUT; i++) {
                            writer.putInt(node * 100 + i);
                        }
                    }
                }
                case RECORDS ->
                    writer.putByte(1)
                            .putShort(2)
                            .putShort(0b101)
                            .putByte(1)
                            .putLong(INCARNATION)
                            .putByte(3)
                            .putLong(INCARNATION);
                case GOSSIP -> {}
            }
            boolean withUpdates = kind == Kind.PING || kind == Kind.ACK || kind == Kind.ASK || kind == Kind.GOSSIP;
            for (int i = 0; withUpdates && writer.remainingBytes() >= Datagram.UPDATE_BYTES; i++) {
                writer.putUpdate(20 + i, MemberState.fromCode(1 + i % 4), 3, INCARNATION + i);
            }
            datagrams.add(bytes(writer));
        }
        return datagrams;
    }

    @Test
    void encodedDatagramsAreDecodedAndWithinTheLimit() {
        for (byte[] bytes : oneOfEachKind()) {
            Reader reader = reader();
            assertNull(reader.read(bytes, bytes.length));
            assertTrue(bytes.length <= 256, reader.kind + " has " + bytes.length);
            assertEquals(3, reader.sender);
            assertEquals(5, reader.recipient);
            assertEquals(INCARNATION, reader.incarnation);
            assertEquals(0x12345678, reader.viewDigest);
            switch (reader.kind) {
                case PING, ACK -> {
                    assertEquals("n3", reader.name);
                    assertEquals(16, reader.entryCount);
                    assertEquals(77, reader.nonce);
                }
                case ASK -> assertEquals(9, reader.target);
                case ACK_FOR -> assertEquals(INCARNATION + 4, reader.targetIncarnation);
                case GOSSIP -> {
                    assertEquals(17, reader.entryCount);
                    assertEquals(21, reader.entryMember[1]);
                    assertEquals(MemberState.SUSPECTED, reader.entryState[1]);
                }
                case NODES -> {
                    assertEquals(3, reader.nodes);
                    assertEquals(215, reader.childDigests[2][15]);
                }
                case RECORDS -> {
                    assertTrue(reader.replyWanted);
                    assertEquals(2, reader.entryCount);
                    assertEquals(34, reader.entryMember[1]);
                    assertEquals(MemberState.FAILED, reader.entryState[1]);
                }
                case NACK -> assertEquals(0, reader.entryCount);
            }
        }
    }

    @Test
    void invalidDatagramsAreRejectedWithTheReason() {
        byte[] valid = oneOfEachKind().get(0);
        assertEquals(DropReason.TOO_LONG, reader().read(new byte[300], 300));
        assertEquals(DropReason.DAMAGED, reader().read(new byte[10], 10));
        assertEquals(DropReason.DAMAGED, reader().read(valid, valid.length - 1));
        assertEquals(DropReason.OTHER_FLEET, new Reader(Datagram.VERSION, FLEET + 1).read(valid, valid.length));
        assertEquals(DropReason.OTHER_VERSION, new Reader(Datagram.VERSION + 1, FLEET).read(valid, valid.length));
        Writer forgedWriter = writer().begin(Kind.PING, 5, Incarnation.MAX + 1, false, 0)
                .putInt(1)
                .putName(null);
        byte[] forged = bytes(forgedWriter);
        assertEquals(
                DropReason.MALFORMED, reader().read(forged, forged.length), "the incarnation is above the valid range");
    }

    /** A started member of a fleet of 40 that counts the datagrams it sends. */
    private static Fleet startedMember(long[] now, int[] sent) {
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
    void corruptedDatagramsAreCountedAndChangeNothing() {
        SplittableRandom random = new SplittableRandom(7);
        List<byte[]> valid = oneOfEachKind();
        long[] now = {0};
        Fleet fleet = startedMember(now, new int[1]);
        Map<DropReason, Integer> dropCounts = new EnumMap<>(DropReason.class);
        long changes = fleet.lastChange();
        for (int i = 0; i < 100_000; i++) {
            byte[] bytes = mutated(valid.get(random.nextInt(valid.size())), random);
            now[0] += 1_000;
            fleet.onDatagram(now[0], random.nextInt(40), bytes, bytes.length);
        }
        fleet.dropCounts().forEach((reason, count) -> dropCounts.merge(reason, (int) (long) count, Integer::sum));
        assertEquals(changes, fleet.lastChange());
        assertEquals(
                100_000,
                dropCounts.values().stream().mapToInt(Integer::intValue).sum(),
                "each discarded datagram is counted: " + dropCounts);
    }

    private static byte[] mutated(byte[] valid, SplittableRandom random) {
        byte[] bytes = random.nextInt(4) == 0 ? Arrays.copyOf(valid, random.nextInt(310)) : valid.clone();
        for (int i = random.nextInt(4); i >= 0 && bytes.length > 0; i--) {
            bytes[random.nextInt(bytes.length)] ^= (byte) (1 + random.nextInt(255));
        }
        if (Arrays.equals(bytes, valid)) {
            return new byte[0];
        }
        return bytes;
    }

    @Test
    void arbitraryContentWithValidChecksumStaysWithinLimits() {
        SplittableRandom random = new SplittableRandom(8);
        List<byte[]> valid = oneOfEachKind();
        long[] now = {0};
        int[] sent = {0};
        Fleet fleet = startedMember(now, sent);
        MemberState[] state = new MemberState[Members.MAX_MEMBERS];
        long[] incarnation = new long[Members.MAX_MEMBERS];
        fleet.addListener(change -> {
            assertTrue(
                    change.incarnation() > incarnation[change.member()]
                            || change.incarnation() == incarnation[change.member()]
                                    && change.to().compareTo(state[change.member()]) > 0,
                    "recorded state went back: " + change);
            state[change.member()] = change.to();
            incarnation[change.member()] = change.incarnation();
        });
        for (int i = 0; i < 100_000; i++) {
            byte[] bytes = mutated(valid.get(random.nextInt(valid.size())), random);
            if (bytes.length > Datagram.HEADER_BYTES + Datagram.CHECKSUM_BYTES && bytes.length <= Datagram.MAX_BYTES) {
                int checksumOffset = bytes.length - Datagram.CHECKSUM_BYTES;
                ByteBuffer.wrap(bytes)
                        .put(0, (byte) Datagram.VERSION)
                        .putInt(2, FLEET)
                        .putShort(6, (short) 3)
                        .putShort(8, (short) 5)
                        .putLong(checksumOffset, Hashing.xxh3_64().hashBytesToLong(bytes, 0, checksumOffset));
            }
            now[0] += 10_000;
            fleet.onDatagram(now[0], 3, bytes, bytes.length);
            fleet.onTimer(now[0]);
        }
        assertTrue(fleet.receivedDatagrams() > 10_000, fleet.receivedDatagrams() + " read");
        assertTrue(sent[0] < 64 * 1_000 + 200, sent[0] + " sent in 1,000 s, above the rate limit");
    }
}
