package mulleinfront.emulator;

/**
 * One call from a service to another, from the application through its client proxy to a server and back, with the
 * instants that divide its time. Late events of an attempt that was given up have no effect.
 */
final class GraphCall {
    final CallGraph.Edge edge;
    /** The request on whose behalf the call is made. */
    final Handling caller;

    final int classIndex;
    /** The id of the call's effect; it is the same for every repeat of the request further up. */
    final String effect;
    /** The call's deadline. */
    final long deadlineAt;

    private final GraphWorld graph;
    private Clients.Try currentTry;
    private long createdAt = -1;
    private long sentAt;
    private long acceptedAt;
    private long firstAttemptAt = -1;
    private int lastAttempt = -1;
    private long lastAttemptAt;
    private long writtenAt;
    private long arrivedAt;
    private long responseSentAt;
    private long answeredAt;
    private boolean lastAttemptAcrossRegions;
    private boolean over;

    GraphCall(GraphWorld graph, CallGraph.Edge edge, Handling caller, int classIndex, String effect, long deadlineAt) {
        this.graph = graph;
        this.edge = edge;
        this.caller = caller;
        this.classIndex = classIndex;
        this.effect = effect;
        this.deadlineAt = deadlineAt;
    }

    /** Number of calls from the request from outside down to this one, inclusive. */
    int depth() {
        return caller.depth + 1;
    }

    /**
     * Most further tries by the application. Only the application of a front service repeats calls; repeats at each
     * level would multiply.
     */
    int retries() {
        return caller.incoming == null ? graph.spec.world().clients().retries() : 0;
    }

    boolean over() {
        return over;
    }

    /** When the application made the call. */
    long createdAt() {
        return createdAt;
    }

    // ---- progress --------------------------------------------------------------------------------------

    void tryStarted(Clients.Try clientTry, long now) {
        currentTry = clientTry;
        createdAt = createdAt < 0 ? now : createdAt;
        sentAt = now;
        firstAttemptAt = -1;
        lastAttempt = -1;
    }

    void accepted(long now) {
        acceptedAt = now;
    }

    /** An attempt begins: it waits for a connection. */
    void attemptStarted(int attempt, long now) {
        firstAttemptAt = firstAttemptAt < 0 ? now : firstAttemptAt;
        lastAttempt = attempt;
        lastAttemptAt = now;
    }

    void attemptWritten(int attempt, boolean newConnection, int fromZone, int toZone, long now) {
        graph.auditor.attemptSent(this, now);
        graph.statistics.attemptSent(depth(), createdAt, fromZone, toZone, newConnection);
        if (attempt == lastAttempt) {
            writtenAt = now;
            lastAttemptAcrossRegions =
                    graph.spec.regionOf()[fromZone] != graph.spec.regionOf()[toZone];
        }
    }

    void attemptArrived(int attempt, long now) {
        if (attempt == lastAttempt) {
            arrivedAt = now;
        }
    }

    /** The server sends its response. */
    void responseSent(int attempt, long now) {
        if (attempt == lastAttempt) {
            responseSentAt = now;
        }
    }

    void answered(long now) {
        answeredAt = now;
    }

    /**
     * The application at a server handles the call and makes its own calls.
     *
     * @param endsAt when the client proxy's timeout of this attempt ends
     */
    Handling serve(Host host, long endsAt, Handling.ResponseListener done) {
        long deadline = graph.spec.propagatedDeadline() == GraphSpec.PropagatedDeadline.ATTEMPT ? endsAt : deadlineAt;
        return new Handling(graph, caller.request, this, graph.machine(host), deadline, done);
    }

    // ---- end -------------------------------------------------------------------------------------------

    /** The application received the call's final result. */
    void onResult(Clients.TryResult result, long now) {
        if (over) {
            return;
        }
        over = true;
        graph.statistics.callEnded(this, result, now);
        caller.callEnded(this, result);
    }

    /** The application cancels the call. */
    void giveUp() {
        if (!over) {
            over = true;
            graph.statistics.callEnded(this, Clients.TryResult.LEFT, graph.queue.now());
            if (currentTry != null) {
                graph.serviceWorld(edge.to()).clients.cancelCall(currentTry);
            }
        }
    }

    /** Whether the last attempt went to another region. */
    boolean acrossRegions() {
        return lastAttemptAcrossRegions;
    }

    /** The time of an answered call that belongs to a {@link GraphStatistics.Span}, microseconds. */
    long timeSpent(GraphStatistics.Span span, long now) {
        return switch (span) {
            case ALL -> now - createdAt;
            case ADDED -> now - createdAt - (responseSentAt - arrivedAt) - network();
            case LOCAL -> acceptedAt - sentAt + (now - answeredAt);
            case ADMISSION -> firstAttemptAt - acceptedAt;
            case RETRIES -> lastAttemptAt - firstAttemptAt + (sentAt - createdAt);
            case CONNECTION -> writtenAt - lastAttemptAt;
            case NETWORK -> network();
            case SERVER -> responseSentAt - arrivedAt;
        };
    }

    private long network() {
        return arrivedAt - writtenAt + (answeredAt - responseSentAt);
    }
}
