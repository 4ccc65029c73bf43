package mulleinfront.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The serving side of a control machine: what each reader has, what it is sent, and at which pace. A reader
 * that is behind gets one difference to the newest version. It costs a fixed number of bytes and a part of
 * one line that is shared by all who stand where it stands; one that does not read is given up and holds up
 * nobody.
 *
 * <p>Owned by one event loop, whose time is passed in, in microseconds.
 */
public final class ConfigPublisher {
    /** How often readers are looked at while there are any; part of the bound. */
    static final long TICK_US = 50_000;
    /** Pieces of a long line are not shorter: each has its own heads on the way. */
    private static final int LEAST_PIECE = 1_000;
    /** What carries a piece: chunk, TCP and IP. */
    private static final int OVERHEAD = 60;

    private static final int MOST_CHECKSUMS = 256;

    /** What it acts by. None of it may block. */
    public interface Wire {
        /** How a difference is written, with its end. */
        byte[] line(Difference difference);

        /**
         * How it is written that this machine is there, what it has and whether it is in touch with a
         * majority.
         */
        byte[] heartbeat(long newest, boolean inTouch);

        /** Sends a part of a line; parts of one line come in their order. */
        void send(long reader, byte[] line, int from, int to);

        /** Ends a watch. */
        void close(long reader, String reason);

        /** Asks for {@link #onTimer} at an instant, in place of the one asked for before. */
        void wakeAt(long us);
    }

    /**
     * Who is at what, by the word of this machine.
     *
     * @param name the reader's
     * @param at the version that it last said it has in force
     * @param same whether what it has is this machine's version of that number; true also if that is held no
     *        longer
     * @param sent the version that it will have once it has read all that it was sent
     * @param watching whether its watch is open here
     * @param heardUs when it was last heard
     */
    public record SubscriberStatus(String name, long at, boolean same, long sent, boolean watching, long heardUs) {}

    /** One reader, and after its end what it last said. */
    private static final class Reader {
        final long id;
        final String name;
        long at;
        boolean same = true;
        /** The version that it has once it has read all. */
        long sent;
        /** The line that it is being sent, if any, and how far. */
        byte[] line;

        int offset;
        long leadsTo;
        long begunUs;
        boolean writable = true;
        double allowance;
        long countedUs;
        long toldUs;
        long heardUs;

        Reader(long id, String name, long now) {
            this.id = id;
            this.name = name;
            countedUs = now;
            heardUs = now;
        }
    }

    private final PublisherSettings settings;
    private final VersionLog ledger;
    private final Wire wire;
    private final Map<Long, Reader> readers = new LinkedHashMap<>();
    /** By name, the oldest first; those whose watch has ended among them. */
    private final Map<String, Reader> known = new LinkedHashMap<>();
    /** Lines to the newest version, by the version that they stand on. */
    private final Map<Long, byte[]> lines = new HashMap<>();

    private long linesTo = -1;
    /** Of versions that readers said they have: each says so again every other second. */
    private final Map<Long, Long> checksums = new HashMap<>();

    private byte[] heartbeat;
    private long heartbeatOf = -1;
    private boolean heartbeatInTouch;
    /** Asked for once a tick, and not for each reader. */
    private boolean inTouch;

    private boolean ticking;

    /** Creates a distributor without readers that serves the versions of the given ledger over the given wire. */
    public ConfigPublisher(PublisherSettings settings, VersionLog ledger, Wire wire) {
        this.settings = settings;
        this.ledger = ledger;
        this.wire = wire;
        this.inTouch = ledger.hasQuorumContact();
    }

    /**
     * A reader's watch begins.
     *
     * @param id this watch's own, never used again
     * @param name the reader's; a watch of the same name that is still open is closed: it was lost
     * @param has the version that it has; 0: it wants the whole
     * @param checksum of that version
     * @return false if there are too many; it is then not known here
     */
    public boolean open(long now, long id, String name, long has, long checksum) {
        Reader before = known.get(name);
        if (before != null && readers.containsKey(before.id)) {
            drop(before, "it watches anew");
        }
        if (readers.size() >= settings.maxSubscribers()) {
            return false;
        }
        Reader reader = new Reader(id, name, now);
        if (readers.isEmpty()) {
            inTouch = ledger.hasQuorumContact();
        }
        reader.allowance = settings.burst();
        reader.at = has;
        reader.same = isOurs(has, checksum);
        // What is held under this number elsewhere is no ground for a difference.
        reader.sent = reader.same ? has : 0;
        reader.toldUs = Long.MIN_VALUE / 2;
        readers.put(id, reader);
        known.remove(name);
        known.put(name, reader);
        forget();
        pump(now, reader);
        tick(now);
        return true;
    }

    private boolean isOurs(long number, long checksum) {
        Version ours = number == 0 ? null : ledger.at(number);
        if (ours == null) {
            return true;
        }
        if (checksums.size() > MOST_CHECKSUMS) {
            checksums.clear();
        }
        return checksums.computeIfAbsent(number, n -> Checksum.of(ours)) == checksum;
    }

    /** Those who went longest ago are forgotten, so that names can't fill the memory. */
    private void forget() {
        if (known.size() > 2 * settings.maxSubscribers()) {
            known.values().removeIf(r -> known.size() > settings.maxSubscribers() && !readers.containsKey(r.id));
        }
    }

    /** A reader says what it has in force, or the same again as a sign of life. */
    public void reported(long now, long id, long number, long checksum) {
        Reader reader = readers.get(id);
        if (reader != null) {
            reader.heardUs = now;
            reader.at = number;
            reader.same = isOurs(number, checksum);
        }
    }

    /** Whether a reader's connection takes more. */
    public void writable(long id, boolean writable) {
        Reader reader = readers.get(id);
        if (reader != null) {
            reader.writable = writable;
        }
    }

    /** A watch has ended by itself. */
    public void closed(long id) {
        readers.remove(id);
    }

    /** The ledger told of a version. */
    public void decided(long now) {
        for (Reader reader : List.copyOf(readers.values())) {
            pump(now, reader);
        }
    }

    /** What was asked for by {@link Wire#wakeAt}. */
    public void onTimer(long now) {
        ticking = false;
        inTouch = ledger.hasQuorumContact();
        for (Reader reader : List.copyOf(readers.values())) {
            if (now - reader.heardUs > settings.subscriberTimeoutUs()) {
                drop(reader, "silent");
            } else if (reader.line != null && now - reader.begunUs > settings.sendTimeoutUs()) {
                drop(reader, "it does not read");
            } else {
                pump(now, reader);
            }
        }
        tick(now);
    }

    private void tick(long now) {
        if (!ticking && !readers.isEmpty()) {
            ticking = true;
            wire.wakeAt(now + TICK_US);
        }
    }

    private void drop(Reader reader, String reason) {
        if (readers.remove(reader.id) != null) {
            wire.close(reader.id, reason);
        }
    }

    /** Sends what there is to send, as far as pace and connection let it. */
    private void pump(long now, Reader reader) {
        if (!readers.containsKey(reader.id)) {
            return;
        }
        reader.allowance =
                Math.min(settings.burst(), reader.allowance + (now - reader.countedUs) * 1e-6 * settings.bytesPerS());
        reader.countedUs = now;
        while (reader.writable && (reader.line != null || begin(now, reader))) {
            int left = reader.line.length - reader.offset;
            int piece = (int) Math.min(left, reader.allowance - OVERHEAD);
            if (piece < Math.min(left, LEAST_PIECE)) {
                break;
            }
            int from = reader.offset;
            byte[] line = reader.line;
            reader.offset += piece;
            if (piece == left) {
                reader.line = null;
                reader.sent = reader.leadsTo;
            }
            send(now, reader, line, from, from + piece);
        }
        // White space within a line would do too, but a line that moves is a sign of life itself.
        if (reader.line == null && reader.writable && now - reader.toldUs >= settings.heartbeatUs()) {
            byte[] beat = heartbeat();
            send(now, reader, beat, 0, beat.length);
        }
    }

    private void send(long now, Reader reader, byte[] line, int from, int to) {
        reader.allowance -= to - from + OVERHEAD;
        reader.toldUs = now;
        wire.send(reader.id, line, from, to);
    }

    private byte[] heartbeat() {
        long newest = ledger.newest().number();
        if (heartbeat == null || heartbeatOf != newest || heartbeatInTouch != inTouch) {
            heartbeatOf = newest;
            heartbeatInTouch = inTouch;
            heartbeat = wire.heartbeat(newest, heartbeatInTouch);
        }
        return heartbeat;
    }

    /** Takes up the difference to the newest version, if this reader lacks it. */
    private boolean begin(long now, Reader reader) {
        Version newest = ledger.newest();
        // One that has a later version had it of another machine: this one is behind, and has nothing for it.
        if (newest.number() <= Math.max(reader.sent, reader.same ? 0 : reader.at)) {
            return false;
        }
        if (linesTo != newest.number()) {
            lines.clear();
            linesTo = newest.number();
        }
        reader.line = lines.computeIfAbsent(reader.sent, from -> wire.line(shortest(from, newest)));
        reader.offset = 0;
        reader.leadsTo = newest.number();
        reader.begunUs = now;
        return true;
    }

    private Difference shortest(long from, Version newest) {
        Difference whole = Difference.whole(newest);
        Version held = from == 0 ? null : ledger.at(from);
        if (held == null) {
            return whole;
        }
        Difference step = Difference.between(held, newest);
        return step.weight() < whole.weight() ? step : whole;
    }

    /** Who is at what, also those that have gone. */
    public List<SubscriberStatus> subscribers() {
        List<SubscriberStatus> all = new ArrayList<>();
        for (Reader r : known.values()) {
            all.add(new SubscriberStatus(r.name, r.at, r.same, r.sent, readers.containsKey(r.id), r.heardUs));
        }
        return all;
    }

    /** Watches that are open. */
    public int readers() {
        return readers.size();
    }
}
