package mulleinfront.proxy;

import java.util.concurrent.TimeUnit;

/**
 * Detects stalls of the event loop by a periodic tick that runs late. Data read right after a stall may have arrived at
 * any time during it. Its age is taken to be the whole stall, so that nothing is sent for a client after its deadline.
 * Shorter delays are ignored, since every timeout has that much slack.
 */
final class LoopStall {
    static final long MIN_STALL_US = 150_000;
    /**
     * Time after a stall for which data may still date from the stall: a connection accepted by the event loop's first
     * iteration after the stall is read by a later one.
     */
    private static final long AFTER_STALL_US = 20_000;

    private final long tickIntervalUs;
    private long lastTickNanos;
    private long stalledUs;
    private long stallEndNanos;

    LoopStall(long tickIntervalUs, long nowNanos) {
        this.tickIntervalUs = tickIntervalUs;
        this.lastTickNanos = nowNanos;
        this.stallEndNanos = nowNanos;
    }

    /** The periodic tick. */
    void tick(long nowNanos) {
        detectStall(nowNanos);
        lastTickNanos = nowNanos;
    }

    /** Greatest possible age of data read now, microseconds; 0 if the event loop has not stalled. */
    long ageUs(long nowNanos) {
        detectStall(nowNanos);
        boolean justEnded = TimeUnit.NANOSECONDS.toMicros(nowNanos - stallEndNanos) < AFTER_STALL_US;
        return justEnded ? stalledUs : 0;
    }

    private void detectStall(long nowNanos) {
        long delayUs = TimeUnit.NANOSECONDS.toMicros(nowNanos - lastTickNanos) - tickIntervalUs;
        if (delayUs > MIN_STALL_US) {
            stalledUs = delayUs + tickIntervalUs;
            stallEndNanos = nowNanos;
            lastTickNanos = nowNanos;
        }
    }
}
