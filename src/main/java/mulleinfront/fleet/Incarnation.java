package mulleinfront.fleet;

/**
 * Incarnation numbers, which order the updates about a member. An incarnation holds the start time of the member's
 * process, in milliseconds since 1970, in the upper 48 bits and the number of its refutations in the lower 16. Only the
 * member itself creates new ones, so the larger one is always newer, even after a restart without stored state. A
 * member whose clock has gone back learns of its previous incarnation from others and continues after it.
 */
final class Incarnation {
    private static final int REFUTATION_BITS = 16;
    /** Incarnation of a member that was never heard from. */
    static final long NONE = 0;
    /** Largest valid incarnation. The upper half of the range is reserved so that refutations cannot overflow. */
    static final long MAX = Long.MAX_VALUE >> 1;

    private Incarnation() {}

    /** First incarnation of a process that starts now. */
    static long ofProcessStart(long wallClockMs) {
        return Math.max(1, Math.min(wallClockMs, MAX >> REFUTATION_BITS)) << REFUTATION_BITS;
    }

    /** Next incarnation of the same process. After 65,535 of them the start time moves by one millisecond. */
    static long next(long incarnation) {
        return incarnation + 1;
    }

    /** First incarnation of a process that follows the process of the given incarnation. */
    static long ofNextProcess(long incarnation) {
        return ((incarnation >> REFUTATION_BITS) + 1) << REFUTATION_BITS;
    }

    /** Start time of the process by its own clock, milliseconds since 1970. */
    static long startedMs(long incarnation) {
        return incarnation >> REFUTATION_BITS;
    }

    /** Whether two incarnations belong to the same process. */
    static boolean sameProcess(long first, long second) {
        return first >> REFUTATION_BITS == second >> REFUTATION_BITS;
    }

    /** Whether the value is in the range of valid incarnations. */
    static boolean isValid(long incarnation) {
        return incarnation > NONE && incarnation <= MAX;
    }
}
