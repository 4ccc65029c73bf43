package mulleinfront.core;

import java.util.function.BooleanSupplier;
import mulleinfront.Balancer.ListExpiryReason;
import mulleinfront.Balancer.Outcome;

/**
 * How a core reaches hosts and discovery. One core may stand on any wire: sockets, or an emulated network.
 *
 * @param <Q> a request as the wire carries it
 * @param <A> an answer as the wire brings it
 */
public interface Wire<Q, A> {
    /** Part of the settings' idle time after which a wire closes first: a host closes at the whole of it. */
    double IDLE_CLOSE_FRACTION = 0.75;
    /** How long a connection rests after an answer: what follows that unasked must not meet a new request. */
    long CONNECTION_COOL_DOWN_US = 3_000;
    /** Fresh connections to one attempt, as long as they are reset before a request is written whole. */
    int MAX_NEW_CONNECTIONS = 3;
    /** Discovery's heartbeat comes this often while nothing changes. */
    long HEARTBEAT_US = 2_000_000;
    /**
     * Discovery's heartbeat comes every 2 s: one that is 0.6 s late is silence. What a silent watch misses
     * counts as told 6 s after it fell silent even if it never came, so by then the next call must have been
     * answered, with those of all others whose watches fell silent in the same moment.
     */
    long WATCH_TIMEOUT_US = 2_600_000;
    /**
     * The same of a call that nothing has come of yet: it may wait for its turn, and discovery gives up after
     * 2 or 3 s.
     */
    long CALL_TIMEOUT_US = 3_500_000;
    /** How long a list may take from the first byte of its answer, whatever heartbeats come before it. */
    long LIST_TIMEOUT_US = 3_200_000;
    /** Discovery lets no call wait for longer, milliseconds: one that has brought nothing by then was taken by nobody. */
    long MAX_DISCOVERY_WAIT_MS = 3_000;
    /** The most that the first call after a move may go unanswered. */
    long MOVED_CALL_TIMEOUT_US = 3_200_000;

    /** How long nothing may come of the first call where discovery, which is asked, has moved to. */
    static long movedCallTimeoutUs(long askWithinUs) {
        return Math.min(MOVED_CALL_TIMEOUT_US, askWithinUs * 9 / 10);
    }

    /** No time of its own yet. */
    long NO_TIMEOUT = Long.MAX_VALUE;

    /** Told once how an attempt or a probe ended. */
    interface AttemptListener<A> {
        /**
         * @param outcome what can be vouched for: {@link Outcome#neverRan} only if that is known
         * @param answer the host's answer if the outcome is {@link Outcome#OK}, else null; null too if it has
         *        begun
         */
        void ended(Outcome outcome, A answer);

        /**
         * The host said with its answer how many requests it holds; told before {@link #ended}.
         *
         * @param held that many, all clients' together
         */
        default void loadReported(double held) {}

        /**
         * The host's answer has begun, and is passed on from here as it comes; the attempt goes on until
         * {@link #ended} without a time of its own.
         *
         * @param answer what there is of it
         * @return whether anybody takes it; if not, the attempt is to be given up
         */
        default boolean responseStarted(A answer) {
            return false;
        }
    }

    /** An attempt that was made ready; it sends nothing before {@link #start}. */
    interface Attempt {
        /** Begins; the end may be told before this returns. */
        void start();

        /** Stops waiting, which ends the attempt at once; no effect if it has ended. */
        void cancel();

        /** The request has come in whole: from now on the attempt has this long, microseconds. */
        default void endWithin(long timeoutUs) {}
    }

    /**
     * Makes an attempt ready.
     *
     * @param requestId the request it is for
     * @param number the attempt's number, from 0
     * @param hostId a host of the list last told
     * @param request what to send
     * @param timeoutUs time from now until the attempt ends by itself, microseconds, above 0; {@link #OPEN}
     *        while the request is still being read, until {@link Attempt#endWithin}
     * @param wanted asked right before the first byte leaves: if false nothing is sent, and the attempt has
     *        ended as {@link Outcome#IGNORED}
     * @param end told once
     * @return the attempt, or null if the wire knows no such host
     */
    Attempt attempt(
            String requestId,
            int number,
            String hostId,
            Q request,
            long timeoutUs,
            BooleanSupplier wanted,
            AttemptListener<A> end);

    /** Asks a host how it is; the end is told once, as {@link Outcome#IGNORED} if there is no such host. */
    void probe(String hostId, AttemptListener<A> end);

    /**
     * Asks discovery for the list and for every change from here on.
     *
     * @param patienceUs how long nothing may come of the call, microseconds: then it has failed
     */
    void subscribe(long patienceUs);

    /** The list that is held was not renewed in time: for the log alone. */
    default void onListExpired(ListExpiryReason bound) {}
}
