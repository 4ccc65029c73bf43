package mulleinfront.core;

import java.util.SplittableRandom;

/**
 * What one client proxy may hold open and probe, so that all of them together stay within what hosts and
 * discovery bear however many they are. Nobody tells how many connections a host takes, so the figures are modest
 * ones; each instance takes its part of them. Up to {@link #FEW} instances there is nothing to share out, and nothing
 * is bounded here. When discovery is called is the module's to say; only where it moves to is asked from here.
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
    /** Time over which all call discovery where it moves for all at one moment, microseconds. */
    static final long MOVE_US = 2_000_000;

    private final boolean few;
    private int instances;
    private final SplittableRandom random;
    private double probes = 1;
    private long probedAt;

    /**
     * @param instances how many send to the same hosts, this one included
     * @param seed this instance's own, or all would wait alike
     */
    public Footprint(int instances, long seed) {
        this.few = instances <= FEW;
        this.instances = instances;
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
        return few ? Integer.MAX_VALUE : (int) Math.max(LEAST_IDLE, (long) IDLE_PER_HOST * hosts / instances);
    }

    /**
     * How long to wait before discovery is called where it has moved to, microseconds: all are told at one moment. When
     * it is called otherwise is the module's to say.
     */
    public long moveDelayUs() {
        return few ? 0 : (long) (random.nextDouble() * MOVE_US);
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
