package mulleinfront.proxy;

/**
 * When this process was started, as far as it can tell: what the settings count from a start counts from then, and not
 * from when its code was ready. The system's own record of it is on the wall clock, which may be stepped.
 */
final class ProcessStart {
    /** What the platform needs until the first line of the program runs, on a busy core. */
    private static final long PLATFORM_US = 500_000;

    private static final long NOTED_NANOS = System.nanoTime();

    private ProcessStart() {}

    /** To be called first of all. */
    static void note() {}

    static long agoUs() {
        return (System.nanoTime() - NOTED_NANOS) / 1000 + PLATFORM_US;
    }
}
