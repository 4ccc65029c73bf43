package mulleinfront.proxy;

/**
 * The balancer's clock: microseconds since the epoch, comparable with an endpoint's {@code started_ms}. The wall clock
 * is read once; from then on time advances by {@link System#nanoTime}, which never runs back or jumps.
 */
final class Clock {
    private final long startUs = System.currentTimeMillis() * 1000;
    private final long startNanos = System.nanoTime();

    long now() {
        return startUs + (System.nanoTime() - startNanos) / 1000;
    }
}
