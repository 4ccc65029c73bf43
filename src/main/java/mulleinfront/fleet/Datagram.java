package mulleinfront.fleet;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.ByteBuffer;

/**
 * The datagrams between members: how they lie in at most 256 bytes. All numbers are big-endian.
 *
 * <pre>
 *  0         1         2              6         8         10                   18        22           n-8
 *  +---------+---------+--------------+---------+---------+--------------------+---------+--- ... ----+---------+
 *  | version | kind    | fleet        | from    | to      | incarnation        | view    | body       | check   |
 *  | 1       | 1       | 4            | 2       | 2       | of the sender, 8   | 4       | 0 to 226   | 8       |
 *  +---------+---------+--------------+---------+---------+--------------------+---------+--- ... ----+---------+
 * </pre>
 *
 * Kind: the high bit says that the sender is leaving. Fleet: a hash of the fleet's name. From, to: numbers of
 * members. View: the low half of the sender's digest. Check: XXH3-64 of all before it; it stands there, and the
 * version in front, in every version of the wire.
 *
 * <pre>
 *  PING, ACK   nonce 4 | length of name 1 | name | rumours
 *  ASK         nonce 4 | target 2 | rumours            ping that one for me
 *  ACK_FOR     nonce 4 | target 2 | its incarnation 8  it answered
 *  NACK        nonce 4 | target 2                      it did not, but I am here
 *  GOSSIP      rumours
 *  NODES       { level 1 | index 2 | 16 sums of children, 4 each } ...
 *  RECORDS     want 1 | { leaf 2 | members of it, a bit each, 2 | { state 1 | incarnation 8 } ... } ...
 *  rumour      member 2 | state 1 | by whose word 2 | incarnation 8
 * </pre>
 */
final class Datagram {
    /** Protocol: the most that a datagram between client proxies may hold. */
    static final int MOST = 256;

    static final int VERSION = 1;
    static final int HEAD = 22;
    static final int CHECK = 8;
    static final int RUMOUR = 13;
    static final int NODE = 3 + 4 * Members.FAN;
    static final int LEAF = 4;
    static final int RECORD = 9;
    /** The longest name that is told. */
    static final int LONGEST_NAME = 32;

    private static final int LEAVING = 0x80;
    private static final Hasher64 HASH = Hashing.xxh3_64();

    /** What a datagram is for. */
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

    /** A fleet's name on the wire. */
    static int fleet(String name) {
        return HASH.hashCharsToInt(name);
    }

    /** Builds one datagram after the other in one buffer. */
    static final class Writer {
        final byte[] bytes = new byte[MOST];
        private final ByteBuffer out = ByteBuffer.wrap(bytes);
        private final int version;
        private final int fleet;
        private final int from;

        Writer(int version, int fleet, int from) {
            this.version = version;
            this.fleet = fleet;
            this.from = from;
        }

        Writer begin(Kind kind, int to, long incarnation, boolean leaving, int view) {
            out.clear().limit(MOST - CHECK);
            out.put((byte) version)
                    .put((byte) (kind.ordinal() | (leaving ? LEAVING : 0)))
                    .putInt(fleet)
                    .putShort((short) from)
                    .putShort((short) to)
                    .putLong(incarnation)
                    .putInt(view);
            return this;
        }

        /** Bytes that the body may still take. */
        int room() {
            return out.remaining();
        }

        boolean empty() {
            return out.position() == HEAD;
        }

        Writer number(int value) {
            out.putInt(value);
            return this;
        }

        Writer member(int number) {
            out.putShort((short) number);
            return this;
        }

        Writer incarnation(long value) {
            out.putLong(value);
            return this;
        }

        Writer small(int value) {
            out.put((byte) value);
            return this;
        }

        /** @param name of printable ASCII; null: it is not told */
        Writer name(String name) {
            int length = name == null ? 0 : name.length();
            out.put((byte) length);
            for (int i = 0; i < length; i++) {
                out.put((byte) name.charAt(i));
            }
            return this;
        }

        Writer rumour(int member, MemberState state, int word, long incarnation) {
            return member(member).small(state.ordinal()).member(word).incarnation(incarnation);
        }

        /** Adds the check; gives the whole length. */
        int finish() {
            int length = out.position();
            out.limit(MOST);
            out.putLong(HASH.hashBytesToLong(bytes, 0, length));
            return length + CHECK;
        }
    }

    /** Reads one datagram after the other: whole, or not at all. */
    static final class Reader {
        /** The most entries of one kind that fit. */
        private static final int ENTRIES = (MOST - HEAD - CHECK) / RECORD;

        Kind kind;
        int from;
        int to;
        long incarnation;
        boolean leaving;
        int view;
        int nonce;
        String name;
        int target;
        long targetIncarnation;
        boolean want;
        /** Rumours, or records. */
        int entries;

        final int[] member = new int[ENTRIES];
        final MemberState[] state = new MemberState[ENTRIES];
        final int[] word = new int[ENTRIES];
        final long[] entryIncarnation = new long[ENTRIES];
        /** Nodes, or leaves of records with a bit for each member that is told. */
        int nodes;

        final int[] level = new int[ENTRIES];
        final int[] index = new int[ENTRIES];
        final int[] mask = new int[ENTRIES];
        final int[][] sums = new int[(MOST - HEAD - CHECK) / NODE][Members.FAN];

        private final int version;
        private final int fleet;
        private ByteBuffer in;
        private boolean bad;

        Reader(int version, int fleet) {
            this.version = version;
            this.fleet = fleet;
        }

        /** Gives why it can't be read; null if it was. */
        DropReason read(byte[] bytes, int length) {
            if (length > MOST) {
                return DropReason.TOO_LONG;
            }
            if (length < HEAD + CHECK) {
                return DropReason.DAMAGED;
            }
            in = ByteBuffer.wrap(bytes, 0, length);
            if (in.getLong(length - CHECK) != HASH.hashBytesToLong(bytes, 0, length - CHECK)) {
                return DropReason.DAMAGED;
            }
            in.limit(length - CHECK);
            if (in.get() != version) {
                return DropReason.OTHER_VERSION;
            }
            int what = in.get() & 0xff;
            if (in.getInt() != fleet) {
                return DropReason.OTHER_FLEET;
            }
            if ((what & ~LEAVING) >= Kind.ALL.length) {
                return DropReason.MALFORMED;
            }
            kind = Kind.ALL[what & ~LEAVING];
            leaving = (what & LEAVING) != 0;
            from = in.getShort() & 0xffff;
            to = in.getShort() & 0xffff;
            incarnation = in.getLong();
            view = in.getInt();
            bad = !Incarnation.plausible(incarnation);
            body();
            return bad || in.hasRemaining() ? DropReason.MALFORMED : null;
        }

        private void body() {
            entries = 0;
            nodes = 0;
            name = null;
            switch (kind) {
                case PING, ACK -> {
                    nonce = need(4) ? in.getInt() : 0;
                    name();
                    rumours();
                }
                case ASK, NACK, ACK_FOR -> {
                    nonce = need(4) ? in.getInt() : 0;
                    target = need(2) ? in.getShort() & 0xffff : 0;
                    targetIncarnation = kind == Kind.ACK_FOR && need(8) ? in.getLong() : Incarnation.NONE;
                    bad |= kind == Kind.ACK_FOR && !Incarnation.plausible(targetIncarnation);
                    if (kind == Kind.ASK) {
                        rumours();
                    }
                }
                case GOSSIP -> rumours();
                case NODES -> nodes();
                case RECORDS -> records();
            }
        }

        private boolean need(int bytes) {
            bad |= in.remaining() < bytes;
            return !bad;
        }

        private void name() {
            int length = need(1) ? in.get() & 0xff : 0;
            if (length == 0 || length > LONGEST_NAME || !need(length)) {
                bad |= length > LONGEST_NAME;
                return;
            }
            StringBuilder text = new StringBuilder(length);
            for (int i = 0; i < length; i++) {
                char c = (char) (in.get() & 0xff);
                bad |= c <= ' ' || c > '~';
                text.append(c);
            }
            name = text.toString();
        }

        private void rumours() {
            while (!bad && in.hasRemaining() && need(RUMOUR)) {
                member[entries] = in.getShort() & 0xffff;
                int code = in.get();
                word[entries] = in.getShort() & 0xffff;
                entry(code);
            }
        }

        private void entry(int code) {
            state[entries] = MemberState.of(code);
            entryIncarnation[entries] = in.getLong();
            bad |= code <= MemberState.UNKNOWN.ordinal()
                    || state[entries] == null
                    || !Incarnation.plausible(entryIncarnation[entries]);
            entries++;
        }

        private void nodes() {
            while (!bad && in.hasRemaining() && need(NODE)) {
                level[nodes] = in.get() & 0xff;
                index[nodes] = in.getShort() & 0xffff;
                bad |= level[nodes] < 1 || level[nodes] > Members.TOP || index[nodes] >= Members.width(level[nodes]);
                for (int i = 0; i < Members.FAN; i++) {
                    sums[nodes][i] = in.getInt();
                }
                nodes++;
            }
        }

        private void records() {
            int wanted = need(1) ? in.get() : 0;
            want = wanted == 1;
            bad |= wanted < 0 || wanted > 1;
            while (!bad && in.hasRemaining() && need(LEAF)) {
                index[nodes] = in.getShort() & 0xffff;
                mask[nodes] = in.getShort() & 0xffff;
                bad |= index[nodes] >= Members.width(0) || !need(Integer.bitCount(mask[nodes]) * RECORD);
                for (int i = 0; i < Members.FAN && !bad; i++) {
                    if ((mask[nodes] >> i & 1) != 0) {
                        member[entries] = index[nodes] * Members.FAN + i;
                        word[entries] = from;
                        entry(in.get());
                    }
                }
                nodes++;
                bad |= nodes == ENTRIES && in.hasRemaining();
            }
        }
    }
}
