package mulleinfront.core;

/**
 * How long to wait before the agent that pushes lists is asked again. What it has counts as told whether or not a watch
 * is open, and it answers at once and at no cost: a watch that broke is asked for at once. One that does not answer is
 * asked less and less often, up to {@link #MOST_US}.
 */
public final class AgentBackoff {
    private static final long FIRST_US = 25_000;
    private static final long MOST_US = 500_000;

    private long nextUs;

    /** After a watch that had been answered was lost, microseconds. */
    public long delayAfterWatchUs() {
        nextUs = FIRST_US;
        return 0;
    }

    /** After a call that nothing came of, microseconds. */
    public long delayAfterCallUs() {
        long delay = Math.max(FIRST_US, nextUs);
        nextUs = Math.min(MOST_US, 2 * delay);
        return delay;
    }
}
