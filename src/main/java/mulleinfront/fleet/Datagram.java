package mulleinfront.fleet;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.ByteBuffer;

/**
 * Encoding of the datagrams between members, at most 256 bytes each. All integers are big-endian.
 *
 * <pre>
 *  0         1         2              6         8         10                   18        22           n-8
 *  +---------+---------+--------------+---------+---------+--------------------+---------+--- ... ----+---------+
 *  | version | kind    | fleet        | from    | to      | incarnation        | view    | body       | checksum|
 *  | 1       | 1       | 4            | 2       | 2       | of the sender, 8   | 4       | 0 to 226   | 8       |
 *  +---------+---------+--------------+---------+---------+--------------------+---------+--- ... ----+---------+
 * </pre>
 *
 * Kind: the high bit is set while the sender is leaving. Fleet: a hash of the fleet's name. From, to: numbers of
 * members. View: the low 32 bits of the digest of the sender's view. Checksum: XXH3-64 of all preceding bytes. The
 * checksum at the end and the version at the start keep their places in every protocol version.
 *
 * <pre>
 *  PING, ACK   nonce 4 | length of name 1 | name | updates
 *  ASK         nonce 4 | target 2 | updates                 request for an indirect ping of the target
 *  ACK_FOR     nonce 4 | target 2 | target's incarnation 8  the target answered the indirect ping
 *  NACK        nonce 4 | target 2                           no ack from the target; the helper itself is reachable
 *  GOSSIP      updates
 *  NODES       { level 1 | index 2 | digests of the 16 children, 4 each } ...
 *  RECORDS     reply wanted 1 | { leaf 2 | bit mask of its members 2 | { state 1 | incarnation 8 } ... } ...
 *  update      member 2 | state 1 | source member 2 | incarnation 8
 * </pre>
 */
final class Datagram {
    /** Largest datagram that the protocol allows between client proxies. */
    static final int MAX_BYTES = 256;

    static final int VERSION = 1;
    static final int HEADER_BYTES = 22;
    static final int CHECKSUM_BYTES = 8;
    static final int UPDATE_BYTES = 13;
    static final int NODE_BYTES = 3 + 4 * Members.FANOUT;
    static final int LEAF_HEADER_BYTES = 4;
    static final int RECORD_BYTES = 9;
    static final int MAX_NAME_CHARACTERS = 32;
    private static final int LEAVING_FLAG = 0x80;
    private static final Hasher64 HASH = Hashing.xxh3_64();

    /** Message types; the ordinal is the code on the wire. */
    enum Kind {
        PING,
        ACK,
        ASK,
        ACK_FOR,
        NACK,
        GOSSIP,
        NODES,
        RECORDS;

        private static final Kind[] ALL = values();
    }

    private Datagram() {}

    /** Hash that stands for the fleet's name on the wire. */
    static int fleetHash(String name) {
        return HASH.hashCharsToInt(name);
    }

    /** Encodes datagrams one at a time into a reused buffer. */
    static final class Writer {
        final byte[] bytes = new byte[MAX_BYTES];
        private final ByteBuffer out = ByteBuffer.wrap(bytes);
        private final int version;
        private final int fleetHash;
        private final int from;

        Writer(int version, int fleetHash, int from) {
            this.version = version;
            this.fleetHash = fleetHash;
            this.from = from;
        }

        Writer begin(Kind kind, int to, long incarnation, boolean leaving, int view) {
            out.clear().limit(MAX_BYTES - CHECKSUM_BYTES);
            out.put((byte) version)
                    .put((byte) (kind.ordinal() | (leaving ? LEAVING_FLAG : 0)))
                    .putInt(fleetHash)
                    .putShort((short) from)
                    .putShort((short) to)
                    .putLong(incarnation)
                    .putInt(view);
            return this;
        }

        /** Bytes left for the body. */
        int remainingBytes() {
            return out.remaining();
        }

        boolean isEmpty() {
            return out.position() == HEADER_BYTES;
        }

        Writer putInt(int value) {
            out.putInt(value);
            return this;
        }

        Writer putShort(int value) {
            out.putShort((short) value);
            return this;
        }

        Writer putLong(long value) {
            out.putLong(value);
            return this;
        }

        Writer putByte(int value) {
            out.put((byte) value);
            return this;
        }

        /** @param name printable ASCII; null to send an empty name */
        Writer putName(String name) {
            int length = name == null ? 0 : name.length();
            out.put((byte) length);
            for (int i = 0; i < length; i++) {
                out.put((byte) name.charAt(i));
            }
            return this;
        }

        Writer putUpdate(int member, MemberState state, int source, long incarnation) {
            return putShort(member).putByte(state.ordinal()).putShort(source).putLong(incarnation);
        }

        /** Appends the checksum and returns the length of the datagram. */
        int finish() {
            int length = out.position();
            out.limit(MAX_BYTES);
            out.putLong(HASH.hashBytesToLong(bytes, 0, length));
            return length + CHECKSUM_BYTES;
        }
    }

    /** Decodes datagrams one at a time; the fields hold the last one that was valid as a whole. */
    static final class Reader {
        /** Upper bound on the entries of one type in a datagram. */
        private static final int MAX_ENTRIES = (MAX_BYTES - HEADER_BYTES - CHECKSUM_BYTES) / RECORD_BYTES;

        Kind kind;
        int sender;
        int recipient;
        long incarnation;
        boolean leaving;
        int viewDigest;
        int nonce;
        String name;
        int target;
        long targetIncarnation;
        boolean replyWanted;
        /** Number of updates, or of records. */
        int entryCount;

        final int[] entryMember = new int[MAX_ENTRIES];
        final MemberState[] entryState = new MemberState[MAX_ENTRIES];
        final int[] entrySource = new int[MAX_ENTRIES];
        final long[] entryIncarnation = new long[MAX_ENTRIES];
        /** Number of nodes, or of leaves with a bit mask of the members that have a record. */
        int nodes;

        final int[] nodeLevel = new int[MAX_ENTRIES];
        final int[] nodeIndex = new int[MAX_ENTRIES];
        final int[] leafMask = new int[MAX_ENTRIES];
        final int[][] childDigests = new int[(MAX_BYTES - HEADER_BYTES - CHECKSUM_BYTES) / NODE_BYTES][Members.FANOUT];

        private final int version;
        private final int fleetHash;
        private ByteBuffer in;
        private boolean malformed;

        Reader(int version, int fleetHash) {
            this.version = version;
            this.fleetHash = fleetHash;
        }

        /** Returns the reason why the datagram is invalid; null if it was read. */
        DropReason read(byte[] bytes, int length) {
            if (length > MAX_BYTES) {
                return DropReason.TOO_LONG;
            }
            if (length < HEADER_BYTES + CHECKSUM_BYTES) {
                return DropReason.DAMAGED;
            }
            in = ByteBuffer.wrap(bytes, 0, length);
            if (in.getLong(length - CHECKSUM_BYTES) != HASH.hashBytesToLong(bytes, 0, length - CHECKSUM_BYTES)) {
                return DropReason.DAMAGED;
            }
            in.limit(length - CHECKSUM_BYTES);
            if (in.get() != version) {
                return DropReason.OTHER_VERSION;
            }
            int kindCode = in.get() & 0xff;
            if (in.getInt() != fleetHash) {
                return DropReason.OTHER_FLEET;
            }
            if ((kindCode & ~LEAVING_FLAG) >= Kind.ALL.length) {
                return DropReason.MALFORMED;
            }
            kind = Kind.ALL[kindCode & ~LEAVING_FLAG];
            leaving = (kindCode & LEAVING_FLAG) != 0;
            sender = in.getShort() & 0xffff;
            recipient = in.getShort() & 0xffff;
            incarnation = in.getLong();
            viewDigest = in.getInt();
            malformed = !Incarnation.isValid(incarnation);
            readBody();
            return malformed || in.hasRemaining() ? DropReason.MALFORMED : null;
        }

        private void readBody() {
            entryCount = 0;
            nodes = 0;
            name = null;
            switch (kind) {
                case PING, ACK -> {
                    nonce = require(4) ? in.getInt() : 0;
                    readName();
                    readUpdates();
                }
                case ASK, NACK, ACK_FOR -> {
                    nonce = require(4) ? in.getInt() : 0;
                    target = require(2) ? in.getShort() & 0xffff : 0;
                    targetIncarnation = kind == Kind.ACK_FOR && require(8) ? in.getLong() : Incarnation.NONE;
                    malformed |= kind == Kind.ACK_FOR && !Incarnation.isValid(targetIncarnation);
                    if (kind == Kind.ASK) {
                        readUpdates();
                    }
                }
                case GOSSIP -> readUpdates();
                case NODES -> readNodes();
                case RECORDS -> readRecords();
            }
        }

        private boolean require(int bytes) {
            malformed |= in.remaining() < bytes;
            return !malformed;
        }

        private void readName() {
            int length = require(1) ? in.get() & 0xff : 0;
            if (length == 0 || length > MAX_NAME_CHARACTERS || !require(length)) {
                malformed |= length > MAX_NAME_CHARACTERS;
                return;
            }
            StringBuilder text = new StringBuilder(length);
            for (int i = 0; i < length; i++) {
                char c = (char) (in.get() & 0xff);
                malformed |= c <= ' ' || c > '~';
                text.append(c);
            }
            name = text.toString();
        }

        private void readUpdates() {
            while (!malformed && in.hasRemaining() && require(UPDATE_BYTES)) {
                entryMember[entryCount] = in.getShort() & 0xffff;
                int code = in.get();
                entrySource[entryCount] = in.getShort() & 0xffff;
                readEntry(code);
            }
        }

        private void readEntry(int code) {
            entryState[entryCount] = MemberState.fromCode(code);
            entryIncarnation[entryCount] = in.getLong();
            malformed |= code <= MemberState.UNKNOWN.ordinal()
                    || entryState[entryCount] == null
                    || !Incarnation.isValid(entryIncarnation[entryCount]);
            entryCount++;
        }

        private void readNodes() {
            while (!malformed && in.hasRemaining() && require(NODE_BYTES)) {
                nodeLevel[nodes] = in.get() & 0xff;
                nodeIndex[nodes] = in.getShort() & 0xffff;
                malformed |= nodeLevel[nodes] < 1
                        || nodeLevel[nodes] > Members.TOP_LEVEL
                        || nodeIndex[nodes] >= Members.nodeCount(nodeLevel[nodes]);
                for (int i = 0; i < Members.FANOUT; i++) {
                    childDigests[nodes][i] = in.getInt();
                }
                nodes++;
            }
        }

        private void readRecords() {
            int replyCode = require(1) ? in.get() : 0;
            replyWanted = replyCode == 1;
            malformed |= replyCode < 0 || replyCode > 1;
            while (!malformed && in.hasRemaining() && require(LEAF_HEADER_BYTES)) {
                nodeIndex[nodes] = in.getShort() & 0xffff;
                leafMask[nodes] = in.getShort() & 0xffff;
                malformed |= nodeIndex[nodes] >= Members.nodeCount(0)
                        || !require(Integer.bitCount(leafMask[nodes]) * RECORD_BYTES);
                for (int i = 0; i < Members.FANOUT && !malformed; i++) {
                    if ((leafMask[nodes] >> i & 1) != 0) {
                        entryMember[entryCount] = nodeIndex[nodes] * Members.FANOUT + i;
                        entrySource[entryCount] = sender;
                        readEntry(in.get());
                    }
                }
                nodes++;
                malformed |= nodes == MAX_ENTRIES && in.hasRemaining();
            }
        }
    }
}
