package mulleinfront.emulator.reference;

/** What is true of a world's servers, as one client proxy would meet them: now, or some time ago. */
public interface ServerKnowledge {
    /** Nothing sent there would be answered. */
    double NEVER = Double.POSITIVE_INFINITY;

    /**
     * Time until a request sent to a server would be answered, microseconds, in expectation: what is queued
     * there and the request's own work, at the speed that it has.
     *
     * @param server its id
     * @param key what the request is about, or null: less work where that was met lately
     * @param classIndex the request's class
     * @return {@link #NEVER} where the server is away, unreachable from here, draining, or answers nothing
     */
    double answerUs(String server, String key, int classIndex);
}
