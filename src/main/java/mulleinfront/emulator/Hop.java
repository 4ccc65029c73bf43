package mulleinfront.emulator;

/**
 * One call of one service by another, from the application through its client proxy to a server and back,
 * with the instants that its time is made of. Late news of an attempt that was given up change nothing.
 */
final class Hop {
    final CallGraph.Edge edge;
    /** The request on whose behalf it is made. */
    final Handling above;

    final int classIndex;
    /** What its effect goes by: the same for every repeat of the request above. */
    final String effect;
    /** When nobody waits for it any more. */
    final long endAt;

    private final GraphWorld graph;
    private Clients.Try current;
    private long bornAt = -1;
    private long sentAt;
    private long takenAt;
    private long firstAt = -1;
    private int number = -1;
    private long begunAt;
    private long writtenAt;
    private long arrivedAt;
    private long leftAt;
    private long answeredAt;
    private boolean across;
    private boolean over;

    Hop(GraphWorld graph, CallGraph.Edge edge, Handling above, int classIndex, String effect, long endAt) {
        this.graph = graph;
        this.edge = edge;
        this.above = above;
        this.classIndex = classIndex;
        this.effect = effect;
        this.endAt = endAt;
    }

    /** Calls from outside's request down to this one, itself included. */
    int depth() {
        return above.depth + 1;
    }

    /**
     * Further tries by the application: only whoever asked first repeats, or each level would multiply them.
     */
    int retries() {
        return above.above == null ? graph.spec.world().clients().retries() : 0;
    }

    boolean over() {
        return over;
    }

    /** When the application made it. */
    long bornAt() {
        return bornAt;
    }

    // ---- on its way, as it happens ---------------------------------------------------------------------

    void tried(Clients.Try t, long now) {
        current = t;
        bornAt = bornAt < 0 ? now : bornAt;
        sentAt = now;
        firstAt = -1;
        number = -1;
    }

    void taken(long now) {
        takenAt = now;
    }

    /** An attempt begins: a connection is looked for. */
    void begins(int attempt, long now) {
        firstAt = firstAt < 0 ? now : firstAt;
        number = attempt;
        begunAt = now;
    }

    void written(int attempt, boolean fresh, int fromZone, int toZone, long now) {
        graph.audit.sent(this, now);
        graph.tally.sent(depth(), bornAt, fromZone, toZone, fresh);
        if (attempt == number) {
            writtenAt = now;
            across = graph.spec.regionOf()[fromZone] != graph.spec.regionOf()[toZone];
        }
    }

    void arrived(int attempt, long now) {
        if (attempt == number) {
            arrivedAt = now;
        }
    }

    /** The server's answer leaves. */
    void left(int attempt, long now) {
        if (attempt == number) {
            leftAt = now;
        }
    }

    void answered(long now) {
        answeredAt = now;
    }

    /**
     * A server goes on with it by its own calls.
     *
     * @param endsAt when the client proxy waits for this attempt no more
     */
    Handling serve(Host host, long endsAt, Handling.Done done) {
        long told = graph.spec.told() == GraphSpec.Told.ATTEMPT ? endsAt : endAt;
        return new Handling(graph, above.request, this, graph.machine(host), told, done);
    }

    // ---- its end ---------------------------------------------------------------------------------------

    /** The application has its last word. */
    void ended(Clients.How how, long now) {
        if (over) {
            return;
        }
        over = true;
        graph.tally.ended(this, how, now);
        above.ended(this, how);
    }

    /** The application wants it no more. */
    void giveUp() {
        if (!over) {
            over = true;
            graph.tally.ended(this, Clients.How.LEFT, graph.queue.now());
            if (current != null) {
                graph.part(edge.to()).clients.giveUp(current);
            }
        }
    }

    /** Whether its last attempt went to another region. */
    boolean acrossRegions() {
        return across;
    }

    /** What the time of an answered call went into, by {@link GraphTally.Span}, microseconds. */
    long span(GraphTally.Span span, long now) {
        return switch (span) {
            case ALL -> now - bornAt;
            case ADDED -> now - bornAt - (leftAt - arrivedAt) - network();
            case LOCAL -> takenAt - sentAt + (now - answeredAt);
            case ADMISSION -> firstAt - takenAt;
            case RETRIES -> begunAt - firstAt + (sentAt - bornAt);
            case CONNECTION -> writtenAt - begunAt;
            case NETWORK -> network();
            case SERVER -> leftAt - arrivedAt;
        };
    }

    private long network() {
        return arrivedAt - writtenAt + (answeredAt - leftAt);
    }
}
