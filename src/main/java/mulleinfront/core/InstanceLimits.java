package mulleinfront.core;

import java.util.SplittableRandom;

/**
 * Limits on idle connections, probes and discovery calls of one client proxy, so that all instances together stay
 * within the sustainable load of endpoints and discovery. How many connections an endpoint accepts is unknown, so the
 * totals are low; each instance gets an equal share of them. Up to {@link #MAX_UNLIMITED_INSTANCES} instances nothing
 * is limited. The balancer schedules discovery calls; only the delay of the call after a move is determined here.
 *
 * <p>It has no clock: the current time is a parameter. Equal seeds and calls give equal results.
 */
public final class InstanceLimits {
    /** Number of instances up to which nothing is limited: an endpoint can sustain a connection pool of each. */
    static final int MAX_UNLIMITED_INSTANCES = 16;
    /** Idle connections that an endpoint should hold for all instances together. */
    static final int IDLE_PER_ENDPOINT = 200;
    /**
     * Idle connections that each instance may keep, however many instances there are. With fewer, an instance would
     * reconnect for every request.
     */
    static final int MIN_IDLE_PER_INSTANCE = 2;
    /** Probes per second that an endpoint should answer for all instances together. */
    static final double PROBES_PER_ENDPOINT_PER_S = 10;
    /** Time over which all instances spread their discovery calls after a move that all learn of at one moment. */
    static final long MOVE_SPREAD_US = 2_000_000;

    private final boolean unlimited;
    private int instances;
    private final SplittableRandom random;
    private double probeTokens = 1;
    private long refilledAt;

    /**
     * Creates the limits of one instance.
     *
     * @param instances number of instances that send to the same endpoints, this one included
     * @param seed random seed; must differ between instances, or all would wait for the same time after a move
     */
    public InstanceLimits(int instances, long seed) {
        this.unlimited = instances <= MAX_UNLIMITED_INSTANCES;
        this.instances = instances;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Sets how many instances may be using the endpoints now, this one included, if instances know of each other. An
     * unreachable instance counts until it has left or expired, so that both sides of a network partition together
     * stay within the sustainable load. It has no effect if nothing is limited by the settings.
     */
    public void setLiveInstances(int liveInstances) {
        instances = Math.max(1, liveInstances);
    }

    /** Returns the limit of idle connections to all endpoints together. */
    public int maxIdleConnections(int endpoints) {
        return unlimited
                ? Integer.MAX_VALUE
                : (int) Math.max(MIN_IDLE_PER_INSTANCE, (long) IDLE_PER_ENDPOINT * endpoints / instances);
    }

    /**
     * Returns a random delay before the first discovery call at a new address, microseconds, because all instances
     * learn of a move at one moment.
     */
    public long moveDelayUs() {
        return unlimited ? 0 : (long) (random.nextDouble() * MOVE_SPREAD_US);
    }

    /** Returns whether a probe may be sent now; if so, takes a token for it. */
    public boolean mayProbe(long now, int endpoints) {
        if (unlimited) {
            return true;
        }
        double tokensPerUs = PROBES_PER_ENDPOINT_PER_S * endpoints / instances / 1e6;
        // The burst is the share of one second, but at least one probe.
        probeTokens =
                Math.min(Math.max(1, tokensPerUs * 1e6), probeTokens + tokensPerUs * Math.max(0, now - refilledAt));
        refilledAt = now;
        if (probeTokens < 1) {
            return false;
        }
        probeTokens--;
        return true;
    }
}
