package mulleinfront.core;

import java.util.function.BooleanSupplier;
import mulleinfront.Balancer.ListExpiryReason;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.Settings;

/**
 * Connects a {@link Core} to endpoints and discovery, over sockets or an emulated network.
 *
 * @param <Q> type of a request message on the wire
 * @param <A> type of a response message on the wire
 */
public interface Wire<Q, A> {
    /**
     * Fraction of the configured idle time after which the proxy closes an idle connection. An endpoint closes it after
     * the whole idle time, so the proxy closes first.
     */
    double IDLE_CLOSE_FRACTION = 0.75;
    /**
     * Time after a response during which a connection is not reused, so that unsolicited bytes after that response are
     * not taken for the response to a new request.
     */
    long CONNECTION_COOL_DOWN_US = 3_000;
    /** New connections that one attempt may open when each is reset before the request is completely written. */
    int MAX_NEW_CONNECTIONS = 3;
    /** Interval of discovery's heartbeats on a watch while nothing changes. */
    long HEARTBEAT_US = 2_000_000;
    /**
     * Idle timeout of a watch: discovery's heartbeat comes every 2 s and may be 0.6 s late. Changes that an idle watch
     * misses reach their propagation deadline 6 s after its last byte. By then the next discovery call must have been
     * answered, together with the calls of all other proxies whose watches became idle at the same moment.
     */
    long WATCH_TIMEOUT_US = 2_600_000;
    /**
     * Timeout of a discovery call until the first byte of its response. Calls may queue at discovery, which itself
     * gives up after 2 or 3 s.
     */
    long CALL_TIMEOUT_US = 3_500_000;
    /** Timeout of a list from the first byte of its response; heartbeats before the list do not extend it. */
    long LIST_TIMEOUT_US = 3_200_000;
    /** Upper limit of {@link #movedCallTimeoutUs}. */
    long MOVED_CALL_TIMEOUT_US = 3_200_000;
    /**
     * Timeout of the first call at a new address where lists are pushed: the propagation deadline after a move is 4 s,
     * and an unresponsive address is called again before it.
     */
    long MOVED_AGENT_CALL_TIMEOUT_US = 1_800_000;
    /** Time that a start waits for the agent's list, where lists are pushed, before it applies the cached list. */
    long AGENT_START_TIMEOUT_US = 1_500_000;

    /**
     * Returns the timeout of the first call at discovery's new address until the first byte of its response,
     * microseconds.
     */
    static long movedCallTimeoutUs(Settings settings) {
        return settings.subscribe()
                ? Math.min(MOVED_CALL_TIMEOUT_US, settings.contract().askWithinUs() * 9 / 10)
                : MOVED_AGENT_CALL_TIMEOUT_US;
    }

    /** Timeout of an attempt whose timeout is not known yet. */
    long NO_TIMEOUT = Long.MAX_VALUE;

    /** Called with the events of one attempt or probe. */
    interface AttemptListener<A> {
        /**
         * Called exactly once, when the attempt or probe ends.
         *
         * @param outcome how it ended; {@link Outcome#neverRan} is true only if the request surely did not run
         * @param answer the endpoint's response if the outcome is {@link Outcome#OK}, else null; also null if
         *        {@link #responseStarted} has been called
         */
        void ended(Outcome outcome, A answer);

        /**
         * Called before {@link #ended} if the response contains a load report.
         *
         * @param inFlight requests in flight at the endpoint, of all clients
         */
        default void loadReported(double inFlight) {}

        /**
         * Called when the response has started and its rest will be streamed. The attempt has no timeout of its own
         * from then on; it continues until {@link #ended} or until the core cancels it.
         *
         * @param answer the part received so far
         * @return whether the response is accepted; if not, the wire must cancel the attempt
         */
        default boolean responseStarted(A answer) {
            return false;
        }

        /**
         * Called when the timeout passes although the response has begun or the endpoint is still taking the request.
         *
         * @return whether the attempt goes on; it has no timeout of its own then, and ends by {@link Attempt#cancel} at
         *     the latest
         */
        default boolean outlivesTimeout() {
            return false;
        }
    }

    /** A prepared attempt; it sends nothing before {@link #start}. */
    interface Attempt {
        /** Starts the attempt. {@link AttemptListener#ended} may be called before this method returns. */
        void start();

        /** Ends the attempt at once; no effect if it has already ended. */
        void cancel();

        /** Sets the timeout, counted from now, once the request has been read completely. */
        default void setTimeout(long timeoutUs) {}

        /** Returns whether the head of a successful response has come, and its body is not complete. */
        default boolean isResponding() {
            return false;
        }

        /**
         * Starts to stream such a response as far as it has come, see {@link AttemptListener#responseStarted}; without
         * effect if it is streamed already.
         */
        default void streamResponse() {}

        /** Returns what has come of the response's body; null if the wire does not know. */
        default StreamProgress.Transfer responseTransfer() {
            return null;
        }
    }

    /**
     * Prepares an attempt.
     *
     * @param requestId id of the request
     * @param number number of the attempt, from 0
     * @param endpointId id of an endpoint of the last list
     * @param message the message to send
     * @param timeoutUs time from now until the attempt times out, microseconds, above 0; {@link #NO_TIMEOUT} while
     *        the request is still being read, until {@link Attempt#setTimeout} is called
     * @param maySend called right before the first byte is written: if it returns false, nothing is sent and the
     *        attempt ends as {@link Outcome#IGNORED}
     * @param listener called with the events of the attempt
     * @return the attempt, or null if the endpoint is unknown or the request can't be sent from its beginning
     */
    Attempt prepareAttempt(
            String requestId,
            int number,
            String endpointId,
            Q message,
            long timeoutUs,
            BooleanSupplier maySend,
            AttemptListener<A> listener);

    /** Returns the length of a request as sent to an endpoint, bytes; 0 if it does not matter. */
    default long requestBytes(Q message) {
        return 0;
    }

    /**
     * Sends a health probe to an endpoint.
     *
     * @param endpointId id of the endpoint; the probe ends as {@link Outcome#IGNORED} if it is unknown
     * @param listener called with the events of the probe
     */
    void probe(String endpointId, AttemptListener<A> listener);

    /**
     * Calls discovery for the endpoint list and for every later change.
     *
     * @param timeoutUs time until the first byte of the response after which the call has failed, microseconds
     */
    void subscribe(long timeoutUs);

    /**
     * Called when the expiry of the current list has changed; used for logging only.
     *
     * @param validForUs time until the expiry, microseconds
     */
    default void onListExpiryChanged(long validForUs, ListExpiryReason reason) {}

    /** Called when the current list expires; used for logging only. */
    default void onListExpired(ListExpiryReason reason) {}
}
