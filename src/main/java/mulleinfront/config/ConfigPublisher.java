package mulleinfront.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Distributes configuration versions from a control-plane node to its subscribers: tracks the version of each
 * subscriber, decides what to send and limits the rate. A subscriber that is behind gets one delta to the newest
 * version, however many versions it lacks. The state kept for a subscriber has a fixed size, and an encoded delta
 * is shared by all subscribers with the same base version. A subscriber that does not read is disconnected and
 * never delays another one.
 *
 * <p>Confined to one event loop. The caller passes in the current time in microseconds.
 */
public final class ConfigPublisher {
    /** Interval at which open watches are checked; part of the bound on the propagation time. */
    static final long TICK_INTERVAL_US = 50_000;
    /** Minimum size of a piece of a line, except for its last one, since each piece is sent with its own headers. */
    private static final int MIN_PIECE_BYTES = 1_000;
    /** Chunk framing, TCP and IP headers of one piece. */
    private static final int HEADER_BYTES = 60;

    private static final int MAX_CACHED_CHECKSUMS = 256;

    /** Encodes and sends messages, closes watches and sets the timer. No method may block. */
    public interface Wire {
        /** Encodes a delta as one line, including the line terminator. */
        byte[] encodeDelta(Difference delta);

        /**
         * Encodes a heartbeat line.
         *
         * @param newest number of the newest version at this node
         * @param quorumContact whether this node has quorum contact
         */
        byte[] encodeHeartbeat(long newest, boolean quorumContact);

        /** Sends the bytes of a line from {@code from} to before {@code to}; pieces of a line are sent in order. */
        void send(long watchId, byte[] line, int from, int to);

        /** Closes a watch. */
        void close(long watchId, String reason);

        /** Schedules a call of {@link #onTimer} at the given time, replacing any earlier request. */
        void wakeAt(long timeUs);
    }

    /**
     * Progress of a subscriber as this node knows it.
     *
     * @param name name of the subscriber
     * @param activeVersion number of the version that the subscriber last reported as active
     * @param checksumMatches whether the reported checksum is that of this node's version with this number; true
     *        also if this node does not retain that version
     * @param sentVersion number of the version that the subscriber has once it has read everything sent to it
     * @param watching whether the subscriber's watch is open at this node
     * @param lastHeardUs when the watch was opened or the subscriber last reported
     */
    public record SubscriberStatus(
            String name,
            long activeVersion,
            boolean checksumMatches,
            long sentVersion,
            boolean watching,
            long lastHeardUs) {}

    /** State of one watch, retained after its end so that the last report of the subscriber can still be shown. */
    private static final class Subscriber {
        final long watchId;
        final String name;
        long activeVersion;
        boolean checksumMatches = true;
        /** Version that the subscriber has once it has read everything sent to it. */
        long sentVersion;
        /** The line that is being sent, or null; the fields below give its progress and target version. */
        byte[] line;

        int lineOffset;
        long lineTarget;
        long lineStartedUs;
        boolean writable = true;
        double byteTokens;
        long refilledUs;
        long lastSentUs;
        long lastHeardUs;

        Subscriber(long watchId, String name, long nowUs) {
            this.watchId = watchId;
            this.name = name;
            refilledUs = nowUs;
            lastHeardUs = nowUs;
        }
    }

    private final PublisherSettings settings;
    private final VersionLog versionLog;
    private final Wire wire;
    private final Map<Long, Subscriber> openWatches = new LinkedHashMap<>();
    /** The latest watch of each subscriber by name, the earliest opened first; includes closed watches. */
    private final Map<String, Subscriber> latestWatches = new LinkedHashMap<>();
    /** Encoded deltas to {@code encodedTarget}, by base version. */
    private final Map<Long, byte[]> encodedDeltas = new HashMap<>();

    private long encodedTarget = -1;
    /**
     * Checksums of versions that subscribers have reported, by version number. They are cached because each
     * subscriber repeats its report every 2 s by default.
     */
    private final Map<Long, Long> checksumsByVersion = new HashMap<>();

    private byte[] heartbeat;
    private long heartbeatVersion = -1;
    private boolean heartbeatQuorumContact;
    /** Result of {@link VersionLog#hasQuorumContact}, read once a tick and not for each subscriber. */
    private boolean quorumContact;

    private boolean timerPending;

    /** Creates a publisher without subscribers that sends the versions of the given log over the given wire. */
    public ConfigPublisher(PublisherSettings settings, VersionLog versionLog, Wire wire) {
        this.settings = settings;
        this.versionLog = versionLog;
        this.wire = wire;
        this.quorumContact = versionLog.hasQuorumContact();
    }

    /**
     * Opens a subscriber's watch.
     *
     * @param watchId identifier of this watch, never reused
     * @param name name of the subscriber; an open watch of the same name is closed, since the subscriber must
     *        have lost it
     * @param baseVersion number of the version that the subscriber has; 0 requests the full configuration
     * @param checksum checksum of that version
     * @return false if the maximum number of subscribers is reached; the watch is then not registered
     */
    public boolean openWatch(long nowUs, long watchId, String name, long baseVersion, long checksum) {
        Subscriber previous = latestWatches.get(name);
        if (previous != null && openWatches.containsKey(previous.watchId)) {
            closeWatch(previous, "it watches anew");
        }
        if (openWatches.size() >= settings.maxSubscribers()) {
            return false;
        }
        Subscriber subscriber = new Subscriber(watchId, name, nowUs);
        if (openWatches.isEmpty()) {
            quorumContact = versionLog.hasQuorumContact();
        }
        subscriber.byteTokens = settings.burstBytes();
        subscriber.activeVersion = baseVersion;
        subscriber.checksumMatches = matchesOwnVersion(baseVersion, checksum);
        // A different version under the same number can't be the base of a delta.
        subscriber.sentVersion = subscriber.checksumMatches ? baseVersion : 0;
        subscriber.lastSentUs = Long.MIN_VALUE / 2;
        openWatches.put(watchId, subscriber);
        latestWatches.remove(name);
        latestWatches.put(name, subscriber);
        evictClosedWatches();
        sendPending(nowUs, subscriber);
        scheduleTick(nowUs);
        return true;
    }

    private boolean matchesOwnVersion(long number, long checksum) {
        Version ownVersion = number == 0 ? null : versionLog.find(number);
        if (ownVersion == null) {
            return true;
        }
        if (checksumsByVersion.size() > MAX_CACHED_CHECKSUMS) {
            checksumsByVersion.clear();
        }
        return checksumsByVersion.computeIfAbsent(number, key -> Checksum.of(ownVersion)) == checksum;
    }

    /** Evicts the earliest opened of the closed watches, so that subscriber names can't exhaust the memory. */
    private void evictClosedWatches() {
        if (latestWatches.size() > 2 * settings.maxSubscribers()) {
            latestWatches
                    .values()
                    .removeIf(subscriber -> latestWatches.size() > settings.maxSubscribers()
                            && !openWatches.containsKey(subscriber.watchId));
        }
    }

    /** Called when a subscriber reports its active version, repeated periodically as a sign of life. */
    public void onReport(long nowUs, long watchId, long number, long checksum) {
        Subscriber subscriber = openWatches.get(watchId);
        if (subscriber != null) {
            subscriber.lastHeardUs = nowUs;
            subscriber.activeVersion = number;
            subscriber.checksumMatches = matchesOwnVersion(number, checksum);
        }
    }

    /** Called when the connection of a watch becomes writable or stops being writable. */
    public void onWritabilityChanged(long watchId, boolean writable) {
        Subscriber subscriber = openWatches.get(watchId);
        if (subscriber != null) {
            subscriber.writable = writable;
        }
    }

    /** Called when a watch was closed by the subscriber or its connection broke. */
    public void onWatchClosed(long watchId) {
        openWatches.remove(watchId);
    }

    /** Called when the version log has a newly committed version. */
    public void onVersionCommitted(long nowUs) {
        for (Subscriber subscriber : List.copyOf(openWatches.values())) {
            sendPending(nowUs, subscriber);
        }
    }

    /** Called at the time requested with {@link Wire#wakeAt}. */
    public void onTimer(long nowUs) {
        timerPending = false;
        quorumContact = versionLog.hasQuorumContact();
        for (Subscriber subscriber : List.copyOf(openWatches.values())) {
            if (nowUs - subscriber.lastHeardUs > settings.subscriberTimeoutUs()) {
                closeWatch(subscriber, "silent");
            } else if (subscriber.line != null && nowUs - subscriber.lineStartedUs > settings.sendTimeoutUs()) {
                closeWatch(subscriber, "it does not read");
            } else {
                sendPending(nowUs, subscriber);
            }
        }
        scheduleTick(nowUs);
    }

    private void scheduleTick(long nowUs) {
        if (!timerPending && !openWatches.isEmpty()) {
            timerPending = true;
            wire.wakeAt(nowUs + TICK_INTERVAL_US);
        }
    }

    private void closeWatch(Subscriber subscriber, String reason) {
        if (openWatches.remove(subscriber.watchId) != null) {
            wire.close(subscriber.watchId, reason);
        }
    }

    /** Sends pending lines as far as the rate limit and the connection allow. */
    private void sendPending(long nowUs, Subscriber subscriber) {
        if (!openWatches.containsKey(subscriber.watchId)) {
            return;
        }
        subscriber.byteTokens = Math.min(
                settings.burstBytes(),
                subscriber.byteTokens + (nowUs - subscriber.refilledUs) * 1e-6 * settings.bytesPerS());
        subscriber.refilledUs = nowUs;
        while (subscriber.writable && (subscriber.line != null || startNewestDelta(nowUs, subscriber))) {
            int remainingBytes = subscriber.line.length - subscriber.lineOffset;
            int pieceBytes = (int) Math.min(remainingBytes, subscriber.byteTokens - HEADER_BYTES);
            if (pieceBytes < Math.min(remainingBytes, MIN_PIECE_BYTES)) {
                break;
            }
            int from = subscriber.lineOffset;
            byte[] line = subscriber.line;
            subscriber.lineOffset += pieceBytes;
            if (pieceBytes == remainingBytes) {
                subscriber.line = null;
                subscriber.sentVersion = subscriber.lineTarget;
            }
            send(nowUs, subscriber, line, from, from + pieceBytes);
        }
        // A line in progress needs no heartbeat in between: its pieces are a sign of life themselves.
        if (subscriber.line == null
                && subscriber.writable
                && nowUs - subscriber.lastSentUs >= settings.heartbeatIntervalUs()) {
            byte[] heartbeatLine = currentHeartbeat();
            send(nowUs, subscriber, heartbeatLine, 0, heartbeatLine.length);
        }
    }

    private void send(long nowUs, Subscriber subscriber, byte[] line, int from, int to) {
        subscriber.byteTokens -= to - from + HEADER_BYTES;
        subscriber.lastSentUs = nowUs;
        wire.send(subscriber.watchId, line, from, to);
    }

    private byte[] currentHeartbeat() {
        long newestVersion = versionLog.newest().number();
        if (heartbeat == null || heartbeatVersion != newestVersion || heartbeatQuorumContact != quorumContact) {
            heartbeatVersion = newestVersion;
            heartbeatQuorumContact = quorumContact;
            heartbeat = wire.encodeHeartbeat(newestVersion, heartbeatQuorumContact);
        }
        return heartbeat;
    }

    /** Starts to send the delta to the newest version if the subscriber lacks that version. */
    private boolean startNewestDelta(long nowUs, Subscriber subscriber) {
        Version newest = versionLog.newest();
        // A subscriber with a newer version got it from another node: this node is behind and has nothing to send.
        if (newest.number()
                <= Math.max(subscriber.sentVersion, subscriber.checksumMatches ? 0 : subscriber.activeVersion)) {
            return false;
        }
        if (encodedTarget != newest.number()) {
            encodedDeltas.clear();
            encodedTarget = newest.number();
        }
        subscriber.line = encodedDeltas.computeIfAbsent(
                subscriber.sentVersion, baseVersion -> wire.encodeDelta(smallestDelta(baseVersion, newest)));
        subscriber.lineOffset = 0;
        subscriber.lineTarget = newest.number();
        subscriber.lineStartedUs = nowUs;
        return true;
    }

    private Difference smallestDelta(long baseVersion, Version newest) {
        Difference fullDelta = Difference.full(newest);
        Version base = baseVersion == 0 ? null : versionLog.find(baseVersion);
        if (base == null) {
            return fullDelta;
        }
        Difference delta = Difference.between(base, newest);
        return delta.characterCount() < fullDelta.characterCount() ? delta : fullDelta;
    }

    /** Status of each known subscriber, including those whose watch is closed. */
    public List<SubscriberStatus> subscribers() {
        List<SubscriberStatus> statuses = new ArrayList<>();
        for (Subscriber subscriber : latestWatches.values()) {
            statuses.add(new SubscriberStatus(
                    subscriber.name,
                    subscriber.activeVersion,
                    subscriber.checksumMatches,
                    subscriber.sentVersion,
                    openWatches.containsKey(subscriber.watchId),
                    subscriber.lastHeardUs));
        }
        return statuses;
    }

    /** Number of open watches. */
    public int openWatchCount() {
        return openWatches.size();
    }
}
