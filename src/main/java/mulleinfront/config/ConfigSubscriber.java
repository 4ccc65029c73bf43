package mulleinfront.config;

import java.util.random.RandomGenerator;

/**
 * Subscribes a client proxy to the configuration: watches one control-plane node at a time and reports the active
 * version to it. A version is applied completely or not at all, and never replaced by an older one. While no node
 * can be reached, the last good version stays active.
 *
 * <p>Confined to one event loop. The caller passes in the current time in microseconds.
 */
public final class ConfigSubscriber {
    /** Upper limit of the random delay before the first watch. */
    private static final long MAX_START_DELAY_US = 100_000;

    /** State of the connection to the control plane. */
    public enum State {
        /** Until the next connection attempt. */
        WAITING,
        /** A watch was requested and the node has not responded. */
        CONNECTING,
        /** The node has responded and the watch is open. */
        WATCHING,
        /** The subscription was stopped permanently. */
        ENDED
    }

    /** Effects of the subscriber on its environment. No method may block. */
    public interface Actions {
        /**
         * Opens a watch at a control-plane node.
         *
         * @param machine index of the node, from 0
         * @param baseVersion number of the current version; 0 requests the full configuration
         * @param checksum checksum of the current version
         */
        void openWatch(int machine, long baseVersion, long checksum);

        /** Closes the watch that was opened last. */
        void closeWatch();

        /** Called when a version becomes active. */
        void onActiveVersion(Version version);

        /** Reports the active version to the watched node. */
        void report(long number, long checksum);

        /** Schedules a call of {@link #onTimer} at the given time, replacing any earlier request. */
        void wakeAt(long timeUs);
    }

    private final SubscriberSettings settings;
    private final RandomGenerator random;
    private final Actions actions;
    /** Node indexes in a random order of attempts, so that subscribers that lose a node spread over the others. */
    private final int[] nodeOrder;

    private Version activeVersion;
    private long checksum;
    private State state = State.WAITING;
    private int orderIndex;
    /** Consecutive failed attempts and lost watches. */
    private int consecutiveFailures;

    private boolean needsFullVersion;
    private long lastHeardUs;
    private long watchRequestedUs;
    private long nextAttemptUs;
    private long nextReportUs;
    /**
     * Since when the watched node has been behind by its heartbeats, which is without quorum contact or with an
     * older version than the active one; negative if it is not behind.
     */
    private long behindSinceUs = -1;
    /** Consecutive nodes that were left because they were behind. */
    private int consecutiveNodesBehind;

    private long timerUs = Long.MAX_VALUE;

    /** @param cachedVersion the last good version, or {@link Version#NONE}; it is active immediately */
    public ConfigSubscriber(
            SubscriberSettings settings, Version cachedVersion, RandomGenerator random, Actions actions) {
        this.settings = settings;
        this.random = random;
        this.actions = actions;
        this.activeVersion = cachedVersion;
        this.checksum = Checksum.of(cachedVersion);
        this.nodeOrder = new int[settings.machines()];
        for (int i = 0; i < nodeOrder.length; i++) {
            int j = random.nextInt(i + 1);
            nodeOrder[i] = nodeOrder[j];
            nodeOrder[j] = i;
        }
    }

    /** Schedules the first watch after a short random delay. */
    public void start(long nowUs) {
        nextAttemptUs = nowUs + random.nextLong(MAX_START_DELAY_US);
        updateTimer(nowUs);
    }

    /** Stops permanently; the active version stays. */
    public void stop() {
        if (state == State.CONNECTING || state == State.WATCHING) {
            actions.closeWatch();
        }
        state = State.ENDED;
    }

    /** The active version. */
    public Version activeVersion() {
        return activeVersion;
    }

    public State state() {
        return state;
    }

    /** Index of the node that is being watched or will be watched next. */
    public int machine() {
        return nodeOrder[orderIndex];
    }

    /** Whether the active version may be outdated: no watch is open, or the watched node is behind. */
    public boolean mayBeBehind() {
        return state != State.WATCHING || behindSinceUs >= 0;
    }

    /** Called when bytes arrive on the watch, also for a part of a line. */
    public void onData(long nowUs) {
        if (state == State.CONNECTING) {
            state = State.WATCHING;
            behindSinceUs = -1;
            nextReportUs = nowUs;
        }
        lastHeardUs = nowUs;
        updateTimer(nowUs);
    }

    /** Called for a heartbeat of the watched node with the number of its newest version. */
    public void onHeartbeat(long nowUs, long newestVersion, boolean quorumContact) {
        if (state != State.WATCHING) {
            return;
        }
        if (quorumContact && newestVersion >= activeVersion.number()) {
            behindSinceUs = -1;
            consecutiveFailures = 0;
            consecutiveNodesBehind = 0;
        } else if (behindSinceUs < 0) {
            behindSinceUs = nowUs;
        }
        updateTimer(nowUs);
    }

    /** Called for a complete delta. It is applied entirely or not at all. */
    public void onDelta(long nowUs, Difference delta) {
        if (state != State.WATCHING || delta.to() <= activeVersion.number()) {
            return;
        }
        try {
            Version updated = delta.applyTo(activeVersion);
            checksum = delta.checksum();
            activeVersion = updated;
            needsFullVersion = false;
            consecutiveFailures = 0;
        } catch (VersionMismatchException mismatch) {
            // Either the node or the current version is at fault: requests the full configuration from another node.
            needsFullVersion = true;
            actions.closeWatch();
            onAttemptFailed(nowUs);
            return;
        }
        actions.onActiveVersion(activeVersion);
        if (state == State.WATCHING) {
            report(nowUs);
        }
        updateTimer(nowUs);
    }

    /** Called when the watch ended, was refused or could not be opened. */
    public void onWatchLost(long nowUs) {
        if (state == State.CONNECTING || state == State.WATCHING) {
            onAttemptFailed(nowUs);
        }
    }

    /** Called at the time requested with {@link Actions#wakeAt}. */
    public void onTimer(long nowUs) {
        long timerDelayUs = nowUs - timerUs;
        timerUs = Long.MAX_VALUE;
        if (timerDelayUs > settings.watchTimeoutUs() / 2) {
            // This process stalled: received data is not read yet, so the timeouts of the node start again.
            lastHeardUs = nowUs;
            watchRequestedUs = nowUs;
            behindSinceUs = behindSinceUs < 0 ? -1 : nowUs;
        }
        switch (state) {
            case WAITING -> {
                if (nowUs >= nextAttemptUs) {
                    state = State.CONNECTING;
                    watchRequestedUs = nowUs;
                    actions.openWatch(
                            nodeOrder[orderIndex],
                            needsFullVersion ? 0 : activeVersion.number(),
                            needsFullVersion ? 0 : checksum);
                }
            }
            case CONNECTING -> {
                if (nowUs >= watchRequestedUs + settings.connectTimeoutUs()) {
                    actions.closeWatch();
                    onAttemptFailed(nowUs);
                }
            }
            case WATCHING -> checkWatch(nowUs);
            case ENDED -> {}
        }
        updateTimer(nowUs);
    }

    private void checkWatch(long nowUs) {
        if (nowUs >= lastHeardUs + settings.watchTimeoutUs()) {
            actions.closeWatch();
            onAttemptFailed(nowUs);
        } else if (behindSinceUs >= 0 && nowUs >= behindSinceUs + behindTimeoutUs()) {
            consecutiveNodesBehind++;
            actions.closeWatch();
            orderIndex = (orderIndex + 1) % nodeOrder.length;
            state = State.WAITING;
            nextAttemptUs = nowUs + random.nextLong(settings.reconnectSpreadUs());
        } else if (nowUs >= nextReportUs) {
            report(nowUs);
        }
    }

    /**
     * How long a node may be behind before it is left. The time is longer once as many nodes as there are have been
     * left in a row for being behind, since moving on gains nothing then.
     */
    private long behindTimeoutUs() {
        return consecutiveNodesBehind < nodeOrder.length ? settings.behindTimeoutUs() : 5 * settings.behindTimeoutUs();
    }

    private void report(long nowUs) {
        nextReportUs = nowUs + settings.reportIntervalUs();
        actions.report(activeVersion.number(), checksum);
    }

    private void onAttemptFailed(long nowUs) {
        boolean wasWatching = state == State.WATCHING;
        state = State.WAITING;
        orderIndex = (orderIndex + 1) % nodeOrder.length;
        consecutiveFailures++;
        long maxDelayUs;
        if (wasWatching && consecutiveFailures == 1) {
            // Many subscribers lose the same node at once and must not all reconnect at the same moment.
            maxDelayUs = settings.reconnectSpreadUs();
        } else if (consecutiveFailures < nodeOrder.length) {
            maxDelayUs = settings.reconnectSpreadUs() / 4;
        } else {
            maxDelayUs = Math.min(
                    settings.maxRetryDelayUs(),
                    settings.retryDelayUs() << Math.min(10, consecutiveFailures - nodeOrder.length));
        }
        nextAttemptUs = nowUs + random.nextLong(maxDelayUs);
        updateTimer(nowUs);
    }

    private void updateTimer(long nowUs) {
        long dueUs = switch (state) {
            case WAITING -> nextAttemptUs;
            case CONNECTING -> watchRequestedUs + settings.connectTimeoutUs();
            case WATCHING ->
                Math.min(
                        Math.min(lastHeardUs + settings.watchTimeoutUs(), nextReportUs),
                        behindSinceUs < 0 ? Long.MAX_VALUE : behindSinceUs + behindTimeoutUs());
            case ENDED -> Long.MAX_VALUE;
        };
        // Received data moves the timeout later: a timer that is already set fires early and is set again then.
        if (dueUs < timerUs) {
            timerUs = Math.max(dueUs, nowUs);
            actions.wakeAt(timerUs);
        }
    }
}
