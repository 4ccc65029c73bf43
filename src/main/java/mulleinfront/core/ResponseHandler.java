package mulleinfront.core;

/**
 * Receives the final answer of one request. Exactly one of {@link #served}, {@link #responseStarted}, {@link #refused}
 * and {@link #failed} is called, unless the client has disconnected before ({@link Core#abandoned}).
 *
 * @param <Q> type of a request message on the wire
 * @param <A> type of a response message on the wire
 */
public interface ResponseHandler<Q, A> {
    /** Called before any answer when the request is open; not called if the request is refused on arrival. */
    void opened(Core.RequestHandle<Q, A> handle);

    /**
     * Returns whether the client still waits; called right before the first byte of an attempt is written, because the
     * client's disconnect may have arrived without having been read. False counts as {@link Core#abandoned}, which must
     * not be called in addition.
     */
    default boolean stillWaiting() {
        return true;
    }

    /** The request was served with this response of an endpoint. */
    void served(A answer);

    /**
     * An endpoint's response has started and its rest will be streamed. This is the final answer; the rest does not
     * pass through the core, which cancels the attempt if it has not ended by {@link Core#streamedResponseDueAt}. It is
     * called only for wires that call {@link Wire.AttemptListener#responseStarted}.
     *
     * @param answer the part of the response received so far
     */
    default void responseStarted(A answer) {
        throw new UnsupportedOperationException("this wire does not support streamed responses");
    }

    /**
     * The request was refused, and another try is safe: no attempt has run, the request may run any number of times, or
     * every endpoint drops its repeats.
     *
     * @param retryAfterUs time after which the client should try again, microseconds; 0 for no advice
     */
    void refused(long retryAfterUs);

    /**
     * The request failed, and it may or may not have taken effect.
     *
     * @param timeUp whether the deadline timer fired; false if the balancer decided to fail the request
     */
    void failed(boolean timeUp);
}
