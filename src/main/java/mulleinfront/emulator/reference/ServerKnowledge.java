package mulleinfront.emulator.reference;

/** The true state of the simulated servers from the view of one client proxy, at present or with a delay. */
public interface ServerKnowledge {
    /** The server would not answer. */
    double NEVER = Double.POSITIVE_INFINITY;

    /**
     * Expected time until a server answers a request, microseconds: its queued work plus the request's own work, at the
     * server's speed.
     *
     * @param server id of the server
     * @param key the request's key, or null; a recently used key takes less work
     * @param classIndex the request's class
     * @return {@link #NEVER} if the server is stopped, unreachable from the proxy, draining, or unresponsive
     */
    double answerUs(String server, String key, int classIndex);
}
