package mulleinfront.proxy;

import java.util.concurrent.TimeUnit;

/**
 * Whether a client may have closed its connection before the attempt of its streamed request started. A close arrives
 * behind all that the client sent, so it can't be seen while reading is paused. Such an attempt may start, since it
 * counts only when its last byte has come, but the end of its body is held back until a close before its start is ruled
 * out: until all that the client has sent is read, and no close is among it.
 */
final class UnseenClose {
    /** Time without data after which a client has sent all that it could: longer than a round trip. */
    static final long QUIET_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private boolean possible;
    private long lastReadNanos;

    /** An attempt starts. */
    void attemptStarts(boolean mayHaveClosed) {
        possible = mayHaveClosed;
    }

    /** Whether a close before the start of the attempt is possible. */
    boolean isPossible() {
        return possible;
    }

    void bytesRead(long nowNanos) {
        lastReadNanos = nowNanos;
    }

    /** The client has been seen to be connected, with nothing left to read, after the attempt had started. */
    void ruleOut() {
        possible = false;
    }

    /**
     * Whether no close can be behind what has been read.
     *
     * @param dataUnread whether data has arrived that is not read yet
     */
    boolean isQuiet(long nowNanos, boolean dataUnread) {
        return !dataUnread && nowNanos - lastReadNanos >= QUIET_NANOS;
    }
}
