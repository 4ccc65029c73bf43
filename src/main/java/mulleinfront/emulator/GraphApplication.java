package mulleinfront.emulator;

/**
 * What applications do with the calls that they make for a request; one that is broken shows the auditor's
 * worth.
 */
interface GraphApplication {
    GraphApplication PLAIN = new GraphApplication() {};

    /**
     * When nobody waits for a call any more: what is left of the request's own time, less the way of the
     * answer.
     *
     * @param endsAt when nobody waits for the request
     * @param deadlineUs the whole patience of the call's class
     */
    default long endOf(long endsAt, long now, long deadlineUs, long reserveUs) {
        return endsAt - reserveUs;
    }

    /** Whether its calls are given up when the request is. */
    default boolean cancelsBelow() {
        return true;
    }

    /** The class of a call, by what it is and the class that would do for it at most. */
    default int classOf(int reading, int ofRequest, boolean reads) {
        return reads ? reading : ofRequest;
    }

    /** What a call's effect goes by: the same when the request is repeated. */
    default String effect(char kind, String ofRequest, int edge) {
        return kind + ofRequest.substring(1) + "." + edge;
    }
}
