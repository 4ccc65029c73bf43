package mulleinfront.core;

/**
 * Whoever waits for the final answer of one request. It is told exactly one of {@link #served},
 * {@link #responseStarted}, {@link #refused} and {@link #failed}, unless it has said {@link Core#abandoned} before.
 *
 * @param <Q> a request as the wire carries it
 * @param <A> an answer as the wire brings it
 */
public interface ResponseHandler<Q, A> {
    /** The request is open: told before any answer, and not at all if it is refused before it opens. */
    void opened(Core.RequestHandle<Q, A> exchange);

    /**
     * Asked right before an attempt's first byte leaves, whether the caller still waits: its leaving may have come and
     * not been read yet. One that says no has gone by that, and does not say {@link Core#abandoned} besides.
     */
    default boolean stillWaiting() {
        return true;
    }

    /** A host's own answer. */
    void served(A answer);

    /**
     * A host's own answer has begun and the rest comes on it: this is the final answer, and what becomes of the rest
     * is between the two wires. Only wires that say so themselves are told ({@link Wire.AttemptListener#responseStarted}).
     */
    default void responseStarted(A answer) {
        throw new UnsupportedOperationException("no streams on this wire");
    }

    /**
     * Another try is harmless: no attempt has run, or the request may run any number of times.
     *
     * @param retryAfterUs when to come back, microseconds; 0: no advice
     */
    void refused(long retryAfterUs);

    /**
     * Nothing is promised of the effect.
     *
     * @param timeUp whether the time was up, rather than all attempts spent
     */
    void failed(boolean timeUp);
}
