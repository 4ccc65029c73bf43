package mulleinfront;

import java.util.SplittableRandom;

/**
 * When an instance calls discovery. Two things are kept: the instance's own {@link ListDeadline}, whatever has
 * become of its calls; and what discovery bears from all together, which works through calls in turn, so that a
 * call it gives up has cost it as much as an answer.
 *
 * <p>Calls go by time slots (time-division multiple access): in each window every instance has one place of its own, by
 * its number among all, so that calls of all that fail at one moment come evenly. The window is
 *
 * <ul>
 * <li>as long as the calls of all take, if each takes what an answer of late did, up to {@link #PERIOD_US}: a call made
 * sooner would wait in discovery's queue for as long;
 * <li>or longer after failed calls in a row;
 * <li>but never over half of what the deadline leaves: another call has to fit in if this one fails;
 * <li>and never longer than the settings' time for asking allows, whatever discovery bears: that time is stated.
 * </ul>
 *
 * <p>Where the deadline and what discovery bears cannot both be kept, calls come up to {@link #MOST_CROWDING} times as
 * densely as it bears, which its queue takes for a moment; beyond that the deadline gives way, since denser calls would
 * only wait longer. A call that fails after a wait says that discovery is down, or bears less than is asked of it: then
 * calls come at random and no denser than it bears, since in turn each would meet the same full queue.
 *
 * <p>Where an instance is not told its number it draws its place.
 */
final class CallSchedule {
    /** Longest window, microseconds: leaves 2 s of the deadline for the call. */
    static final long PERIOD_US = 4_000_000;
    /** Longest wait at the start of one that holds no list: it can serve nobody until then, microseconds. */
    static final long EMPTY_US = 2_000_000;
    /** Calls a second at the start by all instances together, where they are many. */
    private static final double STARTS_PER_S = 20;
    /** Window of the first call after a watch was lost, where discovery is quick. */
    private static final long LEAST_US = 500_000;
    /** The longest window where discovery is quick: three calls fit into the deadline. */
    private static final long MOST_BACKOFF_US = 1_500_000;
    /** Part of the time for asking that the wait for a call may take: the change may be older than the watch's end. */
    private static final double ASK_PART = 0.75;
    /** A call that failed after so long had to wait. */
    private static final long WAITED_US = 1_000_000;
    /** Calls that had to wait and failed are this part of a period apart at the least. */
    private static final double EVEN = 0.6;
    /** What an answer takes before there was any, microseconds. */
    private static final long FIRST_ANSWER_US = 250_000;
    /** By how much that may grow with one answer: it may have waited for those of all others. */
    private static final int ANSWER_GROWTH = 2;
    /** How many times as densely as discovery bears calls may come where the deadline asks for it. */
    private static final int MOST_CROWDING = 4;
    /** How long a call may go unanswered, microseconds: discovery gives up after 2 or 3 s itself. */
    static final long PATIENCE_US = 3_200_000;

    private static final int MOST_DOUBLINGS = 4;
    /** Part of the time for asking after which a call is given up, and the least that is left to one, microseconds. */
    private static final double GIVE_UP_PART = 0.9;

    private static final long SHORTEST_PATIENCE_US = 500_000;

    private final int instances;
    private final boolean few;
    private final SplittableRandom random;
    private final double start;
    private final double place;
    private final ListDeadline deadline;
    private long calledAt;
    /** What an answer takes by those of late. */
    private long answerUs = FIRST_ANSWER_US;
    /** Calls in a row that failed, and those among them that this instance gave up. */
    private int failures;

    private int givenUp;

    /**
     * @param few instances up to which a start calls at once
     * @param seed this instance's own, or all would draw alike
     * @param now when the instance starts
     */
    CallSchedule(Balancer.Settings settings, int few, long seed, long now) {
        this.instances = settings.instances();
        this.few = instances <= few;
        this.random = new SplittableRandom(seed);
        this.start = random.nextDouble();
        this.deadline = new ListDeadline(settings.contract().askWithinUs(), now);
        // In the first half of its place, so that clocks may differ by the other.
        double number = settings.instanceNumber() < 0
                ? instances * random.nextDouble()
                : settings.instanceNumber() % instances + random.nextDouble() / 2;
        this.place = number / instances;
    }

    /** When to call first, of one that began at a time. */
    long atStart(long began, boolean holdsList) {
        double spread = Math.min(instances / STARTS_PER_S * 1e6, holdsList ? PERIOD_US : EMPTY_US);
        return few ? began : began + (long) (start * Math.min(spread, ASK_PART * (deadline.callBy() - began)));
    }

    /** The process started earlier than this instance. */
    void processStarted(long at) {
        deadline.processStarted(at);
    }

    /** A call is being made. */
    void called(long now) {
        calledAt = now;
        deadline.called(now);
    }

    /** The call was answered. */
    void answered(long now) {
        answerUs = Math.min(now - calledAt, ANSWER_GROWTH * answerUs);
        failures = 0;
        givenUp = 0;
        deadline.renewed();
    }

    /**
     * When to call after a watch broke or fell silent.
     *
     * @param quietUs since when nothing had come of it, microseconds
     */
    long afterWatch(long now, long quietUs) {
        deadline.lost(now - quietUs, now);
        return next(now, quietUs);
    }

    /** When to call after discovery ended the watch in order. */
    long afterEnd(long now) {
        deadline.ended(now);
        return next(now, 0);
    }

    private long next(long now, long quietUs) {
        return instances == 1 ? now : slot(now, Math.max(1, Math.min(PERIOD_US - quietUs, window(now))));
    }

    /**
     * Discovery is called elsewhere, now.
     *
     * @param movedAt when that was asked for
     */
    void moved(long movedAt, long now) {
        deadline.moved(movedAt);
        called(now);
    }

    /**
     * When to call after a call failed.
     *
     * @param unreachable whether nobody took it
     */
    long afterCall(long now, boolean unreachable) {
        givenUp += now - calledAt >= patienceUs() ? 1 : 0;
        if (unreachable) {
            deadline.unreachable();
        } else if (now - calledAt >= WAITED_US) {
            deadline.waitedInVain();
        } else {
            deadline.refused();
        }
        return again(now);
    }

    /** When to call after a call was answered and brought no whole list. */
    long afterAnsweredCall(long now) {
        deadline.refused();
        return again(now);
    }

    private long again(long now) {
        boolean waited = now - calledAt >= WAITED_US;
        failures++;
        if (!waited) {
            return slot(now, window(now));
        }
        long apart = (long) (PERIOD_US * (EVEN + (1 - EVEN) * random.nextDouble()));
        return Math.max(now, Math.min(calledAt + apart, now + Math.max(window(now), callsOfAllUs())));
    }

    /**
     * How long the next call may go unanswered, microseconds: longer than discovery itself lets one wait, since one
     * that is given up has lost its turn and is made again behind all others. Where the settings' time for asking
     * is shorter, the first is given up within that, and the next ones have twice as long each.
     */
    long patienceUs() {
        long withinAsking = Math.max(SHORTEST_PATIENCE_US, (long) (GIVE_UP_PART * deadline.askWithinUs()));
        return Math.min(PATIENCE_US, withinAsking << Math.min(givenUp, MOST_DOUBLINGS));
    }

    /** When changes may count as told that are not known, whatever became of calls. */
    long toldBy() {
        return deadline.toldBy();
    }

    /** What that time comes from. */
    Balancer.ListExpiryReason bound() {
        return deadline.bound();
    }

    /** How long until an answer may have come, as far as can be told, microseconds. */
    long answerInUs(long now, long nextCallAt) {
        return Math.max(0, Math.max(calledAt, nextCallAt) + answerUs - now);
    }

    private long callsOfAllUs() {
        return Math.min(PERIOD_US, Math.max(LEAST_US, instances * Math.min(PERIOD_US, answerUs)));
    }

    /** Time over which calls of all are spread now. */
    private long window(long now) {
        long backoff = Math.min(MOST_BACKOFF_US, LEAST_US << Math.min(Math.max(0, failures - 1), MOST_DOUBLINGS));
        long left = deadline.renewBy() - now;
        long all = callsOfAllUs();
        long spread = Math.max(all, backoff);
        long due = left > 0 ? left / 2 : MOST_BACKOFF_US;
        spread = Math.min(spread, Math.max(due, all / MOST_CROWDING));
        long toAsk = (long) (ASK_PART * (deadline.callBy() - now));
        return Math.max(1, toAsk > 0 ? Math.min(spread, toAsk) : Math.min(spread, LEAST_US));
    }

    /** The next time from now on that is this instance's place in a window. */
    private long slot(long now, long windowUs) {
        return now + Math.floorMod((long) (place * windowUs) - now, windowUs);
    }
}
