package mulleinfront;

import java.util.SplittableRandom;

/**
 * When an instance calls discovery. What discovery has to tell counts as told 6 s after it had it and could
 * be reached, whatever became of the calls before; and it works through calls in turn, so that a call it
 * gives up has cost it as much as an answer: once more wait than it answers within its patience none is
 * answered in time, and their repeats keep it so.
 *
 * <p>Both are kept by time slots (time-division multiple access): in each {@link #PERIOD_US} every instance
 * has one place of its own, by its number among all, on the clock that all machines read. One whose watch is
 * lost calls in its place, so
 *
 * <ul>
 * <li>a call begins at most one period after discovery could be reached, be it after a refusal, a reset or a
 * call that nobody answered; of a watch that fell silent, at most one period after the last that was heard;
 * <li>calls of all that fail at one moment come evenly, however many they are: discovery that answers one
 * call of each within 3 s has next to no queue to work off.
 * </ul>
 *
 * <p>So the bound is 4 s and the call. A call that fails after a wait says that discovery is down, or bears
 * less than is asked of it: then calls come at random within the period, since in turn each would meet the
 * same full queue.
 *
 * <p>Where an instance is not told its number it draws its place.
 */
final class CallSchedule {
    /**
     * Time in which each instance has one place for a call, microseconds: leaves 2 s of the 6 for the call.
     */
    static final long PERIOD_US = 4_000_000;
    /** Longest wait at the start of one that holds no list: it can serve nobody until then, microseconds. */
    static final long EMPTY_US = 2_000_000;
    /** Calls a second at the start by all instances together, where they are many. */
    private static final double STARTS_PER_S = 20;
    /** The least time that calls of all are spread over when watches are lost. */
    private static final long LEAST_US = 500_000;
    /** A call that failed after so long had to wait. */
    private static final long WAITED_US = 1_000_000;
    /** Calls that had to wait and failed are this part of a period apart at the least. */
    private static final double EVEN = 0.6;

    private final int instances;
    private final boolean few;
    private final SplittableRandom random;
    private final double start;
    private final double place;
    private long calledAt;
    /** What the last answer took, microseconds. */
    private long answerUs = PERIOD_US;

    /**
     * @param few instances up to which a start calls at once
     * @param seed this instance's own, or all would draw alike
     */
    CallSchedule(Balancer.Settings settings, int few, long seed) {
        this.instances = settings.instances();
        this.few = instances <= few;
        this.random = new SplittableRandom(seed);
        this.start = random.nextDouble();
        // In the first half of its place, so that clocks may differ by the other.
        double number = settings.me() < 0 ? instances * random.nextDouble()
                : settings.me() % instances + random.nextDouble() / 2;
        this.place = number / instances;
    }

    /** When to call first, of one that began at a time. */
    long atStart(long began, boolean holdsList) {
        double spread = Math.min(instances / STARTS_PER_S * 1e6, holdsList ? PERIOD_US : EMPTY_US);
        return few ? began : began + (long) (start * spread);
    }

    /** A call is being made. */
    void called(long now) {
        calledAt = now;
    }

    /** The call was answered. */
    void answered(long now) {
        answerUs = now - calledAt;
    }

    /**
     * When to call after a watch ended or fell silent: with all others, over as long as the calls of all take
     * if each takes what the last did.
     *
     * @param quietUs since when nothing had come of it, microseconds
     */
    long afterWatch(long now, long quietUs) {
        long all = Math.min(PERIOD_US - quietUs, instances * Math.min(PERIOD_US, answerUs));
        return instances == 1 ? now : slot(now, Math.max(LEAST_US, all));
    }

    /** When to call after a call failed. */
    long afterCall(long now) {
        return now - calledAt < WAITED_US ? slot(now, PERIOD_US)
                : Math.max(now, calledAt + (long) (PERIOD_US * (EVEN + (1 - EVEN) * random.nextDouble())));
    }

    /** The next time from now on that is this instance's place in a period. */
    private long slot(long now, long periodUs) {
        return now + Math.floorMod((long) (place * periodUs) - now, periodUs);
    }
}
