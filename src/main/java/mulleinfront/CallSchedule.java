package mulleinfront;

import java.util.SplittableRandom;

/**
 * Schedules an instance's discovery calls. Two bounds apply: the instance's own {@link ListDeadline}, whatever becomes
 * of its calls, and the rate of calls that discovery sustains from all instances. Discovery works through calls in
 * turn, so that a call that it gives up costs it as much as a response.
 *
 * <p>Calls use time slots (time-division multiple access): each window has one slot per instance, in the order of their
 * numbers, so that the calls of all instances are spread evenly if they fail at the same moment. The window is
 *
 * <ul>
 * <li>as long as the calls of all instances take at the recent response time, up to {@link #MAX_WINDOW_US}: an earlier
 * call would only wait in discovery's queue;
 * <li>or longer after consecutive failed calls;
 * <li>but at most half of the time until the deadline: another call has to fit in if this one fails;
 * <li>and within the poll interval limit, whatever rate discovery sustains, since the settings state that limit.
 * </ul>
 *
 * <p>Where the deadline requires more calls than discovery sustains, their rate exceeds that up to
 * {@link #MAX_RATE_OVERSHOOT} times, which its queue absorbs for a moment. Beyond that the deadline is missed, since
 * more calls would only wait longer. A call that failed after a wait shows that discovery is unreachable or overloaded:
 * the next ones come at random times and no faster than discovery sustains, since in slots each would meet the same
 * full queue. After a call whose connection was refused, the window is the time that the calls of all instances take,
 * and neither grows nor shrinks: refused calls cost discovery nothing, and all instances call it when it is back.
 *
 * <p>An instance without a number draws its slot at random.
 */
final class CallSchedule {
    /** Longest window: leaves 2 s of the deadline for the call. */
    static final long MAX_WINDOW_US = 4_000_000;
    /** Longest delay of the first call of an instance without a list, which cannot serve requests until then. */
    static final long MAX_START_DELAY_US = 2_000_000;
    /** Rate of first calls of all instances together, where they are many. */
    private static final double FIRST_CALLS_PER_S = 20;
    /** Shortest window: that of the first call after a watch broke, where discovery responds quickly. */
    private static final long MIN_WINDOW_US = 500_000;
    /** Longest window where discovery responds quickly: three calls fit into the deadline. */
    private static final long MAX_BACKOFF_US = 1_500_000;
    /** Fraction of the poll interval limit for which a call may wait: a change may precede the end of the watch. */
    private static final double CALL_DELAY_FRACTION = 0.75;
    /** A call that failed after at least this time had waited in discovery's queue. */
    private static final long QUEUED_CALL_US = 1_000_000;
    /** Least time between the starts of calls that failed after a wait, as a fraction of the longest window. */
    private static final double MIN_SPACING_FRACTION = 0.6;
    /** Assumed response time before the first response. */
    private static final long INITIAL_RESPONSE_US = 250_000;
    /** Largest growth of the response time by one response, which may have waited behind the calls of all others. */
    private static final int MAX_RESPONSE_GROWTH = 2;
    /** Rate overshoot: multiple of the sustainable call rate that is permitted where the deadline requires it. */
    private static final int MAX_RATE_OVERSHOOT = 4;
    /** Longest timeout of a call: discovery itself gives up after 2 or 3 s. */
    static final long MAX_CALL_TIMEOUT_US = 3_200_000;
    /** Most doublings of the window and of the call timeout. */
    private static final int MAX_DOUBLINGS = 4;
    /** Call timeout as a fraction of the poll interval limit, and its minimum. */
    private static final double CALL_TIMEOUT_FRACTION = 0.9;

    private static final long MIN_CALL_TIMEOUT_US = 500_000;
    /** Poll interval limit where the proxy makes the calls, to which none applies: above every other deadline. */
    private static final long NO_POLL_LIMIT_US = 86_400_000_000L;

    private final int instances;
    private final boolean fewInstances;
    private final SplittableRandom random;
    /** Random position of the first call within its longest delay, from 0 to 1. */
    private final double startFraction;
    /** Position of this instance's slot within a window, from 0 to 1. */
    private final double slotFraction;

    private final ListDeadline deadline;
    /** Start of the last call. */
    private long calledAt;
    /** Estimated response time of discovery. */
    private long responseUs = INITIAL_RESPONSE_US;
    /** Consecutive failed calls that reached discovery, and how many of them timed out. */
    private int consecutiveFailures;

    private int timedOutCalls;

    /**
     * @param maxFewInstances most instances with which the first call is made at once
     * @param seed seed that differs between instances, so that their draws differ
     * @param now start of the instance
     */
    CallSchedule(Balancer.Settings settings, int maxFewInstances, long seed, long now) {
        this.instances = settings.instances();
        this.fewInstances = instances <= maxFewInstances;
        this.random = new SplittableRandom(seed);
        this.startFraction = random.nextDouble();
        this.deadline =
                new ListDeadline(settings.subscribe() ? settings.contract().askWithinUs() : NO_POLL_LIMIT_US, now);
        // In the first half of the slot, so that clocks may differ by the other half.
        double slotNumber = settings.instanceNumber() < 0
                ? instances * random.nextDouble()
                : settings.instanceNumber() % instances + random.nextDouble() / 2;
        this.slotFraction = slotNumber / instances;
    }

    /** Time of the first call of an instance that started at the given time. */
    long firstCallAt(long startedAt, boolean hasList) {
        double maxDelayUs = Math.min(instances / FIRST_CALLS_PER_S * 1e6, hasList ? MAX_WINDOW_US : MAX_START_DELAY_US);
        return fewInstances
                ? startedAt
                : startedAt
                        + (long) (startFraction
                                * Math.min(maxDelayUs, CALL_DELAY_FRACTION * (deadline.callBy() - startedAt)));
    }

    /** The process of this instance started earlier, at the given time. */
    void processStarted(long at) {
        deadline.processStarted(at);
    }

    /** A call starts. */
    void called(long now) {
        calledAt = now;
        deadline.called(now);
    }

    /**
     * A call that had failed by its timeout is answered now. The deadlines of the list still count from the start of
     * the latest call.
     */
    void timedOutCallAnswered(long startedAt) {
        calledAt = startedAt;
    }

    /** The call was answered with a list. */
    void answered(long now) {
        responseUs = Math.min(now - calledAt, MAX_RESPONSE_GROWTH * responseUs);
        consecutiveFailures = 0;
        timedOutCalls = 0;
        deadline.renewed();
    }

    /**
     * Time of the next call after a watch broke or timed out.
     *
     * @param quietUs time since the last data from the watch, microseconds
     */
    long afterWatchLost(long now, long quietUs) {
        deadline.watchLost(now - quietUs, now);
        return callAfterWatch(now, quietUs);
    }

    /** Time of the next call after discovery closed the watch in the normal way. */
    long afterWatchEnded(long now) {
        deadline.watchEnded(now);
        return callAfterWatch(now, 0);
    }

    private long callAfterWatch(long now, long quietUs) {
        return instances == 1 ? now : nextSlot(now, Math.max(1, Math.min(MAX_WINDOW_US - quietUs, windowUs(now))));
    }

    /**
     * The address of discovery changed, and a call to the new address starts now.
     *
     * @param movedAt time at which the change was requested
     * @param quietUs time since the last data from the old address, microseconds
     */
    void moved(long movedAt, long now, long quietUs) {
        deadline.moved(movedAt, now - quietUs);
        called(now);
    }

    /**
     * Time of the next call after a failed one.
     *
     * @param unreachable whether the call did not reach discovery
     */
    long afterFailedCall(long now, boolean unreachable) {
        timedOutCalls += now - calledAt >= callTimeoutUs() ? 1 : 0;
        deadline.callFailed();
        return unreachable ? nextSlot(now, withinPollInterval(allCallsUs(), now)) : callAgain(now);
    }

    /** Time of the next call after a response without a complete list. */
    long afterAnsweredCall(long now) {
        deadline.callFailed();
        return callAgain(now);
    }

    private long callAgain(long now) {
        boolean waited = now - calledAt >= QUEUED_CALL_US;
        consecutiveFailures++;
        if (!waited) {
            return nextSlot(now, windowUs(now));
        }
        long spacingUs =
                (long) (MAX_WINDOW_US * (MIN_SPACING_FRACTION + (1 - MIN_SPACING_FRACTION) * random.nextDouble()));
        return Math.max(now, Math.min(calledAt + spacingUs, now + Math.max(windowUs(now), allCallsUs())));
    }

    /**
     * Timeout of the next call, microseconds. It is longer than discovery itself lets a call wait, since a call that is
     * given up loses its place in discovery's queue. Where the poll interval limit is shorter, the first call times out
     * within it, and each further one has twice as long.
     */
    long callTimeoutUs() {
        long firstTimeoutUs = Math.max(MIN_CALL_TIMEOUT_US, (long) (CALL_TIMEOUT_FRACTION * deadline.askWithinUs()));
        return Math.min(MAX_CALL_TIMEOUT_US, firstTimeoutUs << Math.min(timedOutCalls, MAX_DOUBLINGS));
    }

    /** Propagation deadline of changes that the list may lack, at which the list expires. */
    long propagationDeadline() {
        return deadline.propagationDeadline();
    }

    /** The rule that sets the propagation deadline. */
    Balancer.ListExpiryReason expiryReason() {
        return deadline.expiryReason();
    }

    /** Estimated time until the next response, microseconds. */
    long responseInUs(long now, long nextCallAt) {
        return Math.max(0, Math.max(calledAt, nextCallAt) + responseUs - now);
    }

    /** Time that discovery takes for a call of each instance, within the limits of a window. */
    private long allCallsUs() {
        return Math.min(MAX_WINDOW_US, Math.max(MIN_WINDOW_US, instances * Math.min(MAX_WINDOW_US, responseUs)));
    }

    /** Length of the window over which the calls of all instances are spread now. */
    private long windowUs(long now) {
        long backoffUs = Math.min(
                MAX_BACKOFF_US, MIN_WINDOW_US << Math.min(Math.max(0, consecutiveFailures - 1), MAX_DOUBLINGS));
        long remainingUs = deadline.renewBy() - now;
        long allUs = allCallsUs();
        long spreadUs = Math.max(allUs, backoffUs);
        long dueUs = remainingUs > 0 ? remainingUs / 2 : MAX_BACKOFF_US;
        spreadUs = Math.min(spreadUs, Math.max(dueUs, allUs / MAX_RATE_OVERSHOOT));
        return withinPollInterval(spreadUs, now);
    }

    private long withinPollInterval(long windowUs, long now) {
        long callDelayUs = (long) (CALL_DELAY_FRACTION * (deadline.callBy() - now));
        return Math.max(1, callDelayUs > 0 ? Math.min(windowUs, callDelayUs) : Math.min(windowUs, MIN_WINDOW_US));
    }

    /** The next slot of this instance, for windows of the given length. */
    private long nextSlot(long now, long windowUs) {
        return now + Math.floorMod((long) (slotFraction * windowUs) - now, windowUs);
    }
}
