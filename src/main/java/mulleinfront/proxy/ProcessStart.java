package mulleinfront.proxy;

/**
 * Estimates when this process was started. Times that the settings count from a start count from then, and not from
 * when the code was ready. The operating system's own record is not used, since it is on the wall clock, which may be
 * stepped.
 */
final class ProcessStart {
    /** Time that the JVM takes on a busy core until the program's first line runs. */
    private static final long JVM_START_US = 500_000;

    private static final long INITIALIZED_NANOS = System.nanoTime();

    private ProcessStart() {}

    /** Initializes this class, which notes the time; to be called before anything else. */
    static void initialize() {}

    static long elapsedUs() {
        return (System.nanoTime() - INITIALIZED_NANOS) / 1000 + JVM_START_US;
    }
}
