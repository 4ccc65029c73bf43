package mulleinfront.core;

import java.util.SplittableRandom;

/**
 * What one client proxy may hold open, probe and ask, so that all of them together stay within what hosts and
 * discovery bear however many they are. Nobody tells how many connections a host takes or how many calls discovery
 * works through, so the figures are modest ones; each instance takes its part of them. Up to {@link #FEW} instances
 * there is nothing to share out, and nothing is bounded here.
 *
 * <p>It has no clock: the time comes with each question. Equal seeds and questions give equal answers.
 */
public final class Footprint {
    /** Instances up to which none has to think of the others: a host bears a pool of each. */
    static final int FEW = 16;
    /** Idle connections that a host is to hold for all instances together. */
    static final int IDLE_PER_HOST = 200;
    /** Idle connections that each instance may keep however many there are: less would reconnect for every request. */
    static final int LEAST_IDLE = 2;
    /** Probes a second that a host is to answer for all instances together. */
    static final double PROBES_PER_HOST = 10;
    /**
     * Calls a second to discovery by all instances together, when all call at once. Discovery works through calls in
     * turn, and one that is given up has cost it as much: once more wait than it does within their patience, none is
     * answered in time, and their repeats keep it so. Few a second are therefore the only figure that is safe: who
     * waits a few seconds goes by the list it has.
     */
    static final double CALLS_PER_S = 20;
    /** Part of the time within which discovery must be asked that a call may be put off by. */
    static final double MOST_DELAY_PART = 0.5;
    /** Longest delay of a call by an instance that holds no list, microseconds: it can serve nobody until then. */
    static final long MOST_EMPTY_US = 2_000_000;

    private final boolean few;
    private int instances;
    private final long askWithinUs;
    private final SplittableRandom random;
    private double probes = 1;
    private long probedAt;

    /**
     * @param instances how many send to the same hosts, this one included
     * @param askWithinUs how long one may go without asking discovery, microseconds
     * @param seed this instance's own, or all would wait alike
     */
    public Footprint(int instances, long askWithinUs, long seed) {
        this.few = instances <= FEW;
        this.instances = instances;
        this.askWithinUs = askWithinUs;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Where instances know each other: how many may be using the hosts now, this one included. Those who can't be seen
     * count until they are known to be gone, so that both sides of a cut together stay within what hosts bear. Where
     * there are few by the settings nothing changes.
     */
    public void living(int now) {
        instances = Math.max(1, now);
    }

    /** Idle connections to keep, to all hosts together. */
    public int mostIdle(int hosts) {
        return few ? Integer.MAX_VALUE
                : (int) Math.max(LEAST_IDLE, (long) IDLE_PER_HOST * hosts / instances);
    }

    /**
     * How long to wait before a call to discovery, microseconds. All instances that start, or find discovery back, at
     * one moment spread their calls over as long as those take.
     *
     * @param holdsList whether there is a list to go by meanwhile
     */
    public long callDelayUs(boolean holdsList) {
        if (few) {
            return 0;
        }
        double spread = Math.min(instances / CALLS_PER_S * 1e6, MOST_DELAY_PART * askWithinUs);
        return (long) (random.nextDouble() * (holdsList ? spread : Math.min(spread, MOST_EMPTY_US)));
    }

    /** Whether a probe may be made now; one that is made counts. */
    public boolean mayProbe(long now, int hosts) {
        if (few) {
            return true;
        }
        double perUs = PROBES_PER_HOST * hosts / instances / 1e6;
        // What is saved up is one second's part, or one probe where that is less.
        probes = Math.min(Math.max(1, perUs * 1e6), probes + perUs * Math.max(0, now - probedAt));
        probedAt = now;
        if (probes < 1) {
            return false;
        }
        probes--;
        return true;
    }
}
