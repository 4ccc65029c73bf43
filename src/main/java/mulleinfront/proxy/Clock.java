package mulleinfront.proxy;

/**
 * The module's clock: microseconds since the epoch, so that a host's {@code started_ms} compares with it.
 * The epoch is read once; from there on time is {@link System#nanoTime}, which never runs back or jumps.
 */
final class Clock {
    private final long startUs = System.currentTimeMillis() * 1000;
    private final long startNanos = System.nanoTime();

    long now() {
        return startUs + (System.nanoTime() - startNanos) / 1000;
    }
}
