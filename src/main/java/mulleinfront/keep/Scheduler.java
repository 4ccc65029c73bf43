package mulleinfront.keep;

/** The event loop of a replica: runs all its tasks one at a time. */
interface Scheduler {
    /** Queues a task behind those already queued; never runs it within this call. */
    void execute(Runnable task);

    /** Runs a task after a delay of at least {@code nanos} nanoseconds. */
    void schedule(Runnable task, long nanos);

    /** Monotonic time in nanoseconds from an arbitrary origin. */
    long nanoTime();
}
