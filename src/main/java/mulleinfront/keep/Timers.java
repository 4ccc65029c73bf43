package mulleinfront.keep;

/** The one event loop as a keeper sees it: everything runs on it, one after the other. */
interface Timers {
    /** Runs a task after those that wait already, never at once. */
    void execute(Runnable task);

    /** Runs a task no sooner than after some nanoseconds. */
    void schedule(Runnable task, long nanos);

    /** Nanoseconds since some moment; never goes back. */
    long nanoTime();
}
