package mulleinfront.core;

/** Clock and timers of the thread that owns a core: an event loop's, or the emulator's virtual time. */
public interface Time {
    /** Returns the current time, microseconds; it never runs backwards. */
    long now();

    /**
     * Schedules a task to run once on the core's thread, never before this method has returned.
     *
     * @param delayUs delay from now, microseconds; 0 or less for as soon as possible
     * @param task the task
     * @return the timer, which can be cancelled
     */
    Timer after(long delayUs, Runnable task);

    /** A scheduled task. */
    interface Timer {
        /** Cancels the task if it has not run yet; may be called more than once. */
        void cancel();
    }
}
