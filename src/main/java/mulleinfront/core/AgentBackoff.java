package mulleinfront.core;

/**
 * Backoff of calls to a local discovery agent that pushes lists. The propagation deadline of a change that the agent
 * knows runs whether or not a watch is open, and the agent answers at once and at no cost, so a broken watch is
 * reopened without delay. Calls without a response are repeated with exponential backoff, up to
 * {@link #MAX_DELAY_US}.
 */
public final class AgentBackoff {
    private static final long INITIAL_DELAY_US = 25_000;
    private static final long MAX_DELAY_US = 500_000;

    private long nextDelayUs;

    /** Returns the delay after the loss of a watch that had been answered, microseconds. */
    public long delayAfterWatchUs() {
        nextDelayUs = INITIAL_DELAY_US;
        return 0;
    }

    /** Returns the delay after a call without a response, microseconds. */
    public long delayAfterCallUs() {
        long delayUs = Math.max(INITIAL_DELAY_US, nextDelayUs);
        nextDelayUs = Math.min(MAX_DELAY_US, 2 * delayUs);
        return delayUs;
    }
}
