package mulleinfront.fleet;

/**
 * Which of two words about a member is newer. An incarnation is the time at which its process started, in
 * milliseconds since 1970, and how often it has refuted since, in one number: 48 bits of the one above 16 of the
 * other. Only the member itself makes new ones, so the larger one is always the later word, also after a restart
 * that remembers nothing. Where its clock has gone back it hears of its former life and goes on from there.
 */
final class Incarnation {
    private static final int TURN_BITS = 16;
    /** No incarnation yet. */
    static final long NONE = 0;
    /** Words beyond this are no member's: half of the range is kept so that refuting can never run over. */
    static final long MOST = Long.MAX_VALUE >> 1;

    private Incarnation() {}

    /** That of a process that starts now. */
    static long starting(long wallClockMs) {
        return Math.max(1, Math.min(wallClockMs, MOST >> TURN_BITS)) << TURN_BITS;
    }

    /** The next one of the same process; after 65,535 of them it counts as started a millisecond later. */
    static long next(long incarnation) {
        return incarnation + 1;
    }

    /** The first one of a life after that of another incarnation. */
    static long lifeAfter(long incarnation) {
        return ((incarnation >> TURN_BITS) + 1) << TURN_BITS;
    }

    /** When its process started, by its own clock, milliseconds since 1970. */
    static long startedMs(long incarnation) {
        return incarnation >> TURN_BITS;
    }

    /** Whether two are of one process. */
    static boolean sameLife(long a, long b) {
        return a >> TURN_BITS == b >> TURN_BITS;
    }

    /** Whether it can have been somebody's. */
    static boolean plausible(long incarnation) {
        return incarnation > NONE && incarnation <= MOST;
    }
}
