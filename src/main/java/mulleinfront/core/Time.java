package mulleinfront.core;

/** Time and timers, as the owner of a core has them: an event loop's, or an emulator's. */
public interface Time {
    /** The present time, microseconds; it never runs back. */
    long now();

    /**
     * Runs a task once, on the core's own thread, never before this call has returned.
     *
     * @param delayUs from now, microseconds; 0 or less: as soon as may be
     */
    Timer after(long delayUs, Runnable task);

    /** A task that has not run yet, or has. */
    interface Timer {
        /** The task will not run, unless it has; may be called more than once. */
        void cancel();
    }
}
