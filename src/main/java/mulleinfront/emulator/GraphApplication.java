package mulleinfront.emulator;

/**
 * How applications make calls on behalf of a request. Tests use broken applications to check that the auditor detects
 * them.
 */
interface GraphApplication {
    GraphApplication DEFAULT = new GraphApplication() {};

    /**
     * The deadline of a call: the deadline of its request less the reserve for the transfer of the response.
     *
     * @param endsAt the deadline of the request
     * @param deadlineUs the full timeout of the call's class
     */
    default long callDeadline(long endsAt, long now, long deadlineUs, long reserveUs) {
        return endsAt - reserveUs;
    }

    /** Whether the calls of a request are cancelled with the request. */
    default boolean cancelsCalls() {
        return true;
    }

    /** The class of a call: the class for reads, or that of the request. */
    default int classOf(int readClass, int requestClass, boolean reads) {
        return reads ? readClass : requestClass;
    }

    /** The id of a call's effect; it is the same when the request is repeated. */
    default String effectId(char kind, String requestEffect, int edge) {
        return kind + requestEffect.substring(1) + "." + edge;
    }
}
