package mulleinfront.emulator;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A request at an application after the application's own work on it: the calls that the application makes to other
 * services, followed by its response. While it waits for those calls the request uses no core and no slot.
 */
final class Handling {
    /** The external request that it is a part of. */
    final GraphRequest request;
    /** The incoming call; null if it is the external request itself. */
    final GraphCall incoming;

    final GraphMachine machine;
    /** When the caller stops waiting. */
    final long endsAt;

    final int depth;
    private final GraphWorld graph;
    private final ResponseListener responseListener;
    private List<CallGraph.Edge> edges;
    private final Set<GraphCall> open = new LinkedHashSet<>();
    private int nextEdge;
    private int openCalls;
    /** When it was answered or cancelled; -1 while it is open. */
    private long overAt = -1;

    /** Receives the application's response. */
    interface ResponseListener {
        /** Called with {@code SERVED} or {@code ERROR}. */
        void done(ServerModel.End end);
    }

    Handling(
            GraphWorld graph,
            GraphRequest request,
            GraphCall incoming,
            GraphMachine machine,
            long endsAt,
            ResponseListener responseListener) {
        this.graph = graph;
        this.request = request;
        this.incoming = incoming;
        this.machine = machine;
        this.endsAt = endsAt;
        this.depth = incoming == null ? 0 : incoming.depth();
        this.responseListener = responseListener;
    }

    long overAt() {
        return overAt;
    }

    void begin() {
        machine.handlings.add(this);
        request.reached(depth);
        edges = graph.calls(machine.node, incoming == null ? request.id : incoming.effect);
        openCalls = edges.size();
        if (machine.node.sequential() || openCalls == 0) {
            callNext();
            return;
        }
        for (CallGraph.Edge edge : edges) {
            if (overAt < 0) {
                call(edge);
            }
        }
    }

    private void callNext() {
        if (nextEdge == edges.size()) {
            finish(ServerModel.End.SERVED);
        } else {
            call(edges.get(nextEdge++));
        }
    }

    private void call(CallGraph.Edge edge) {
        GraphCall graphCall = graph.createCall(this, edge);
        open.add(graphCall);
        graph.sendCall(graphCall, machine);
    }

    /** Processes the end of one of its calls. */
    void callEnded(GraphCall graphCall, Clients.TryResult result) {
        open.remove(graphCall);
        if (overAt >= 0) {
            return;
        }
        if (result != Clients.TryResult.SERVED && !graphCall.edge.optional()) {
            finish(ServerModel.End.ERROR);
        } else if (machine.node.sequential()) {
            callNext();
        } else if (--openCalls == 0) {
            finish(ServerModel.End.SERVED);
        }
    }

    private void finish(ServerModel.End end) {
        close(true);
        responseListener.done(end);
    }

    /**
     * Cancels it because the caller no longer waits or its process has ended. Its own calls are cancelled too, if the
     * application passes cancellation on.
     */
    void cancel() {
        if (overAt < 0) {
            close(graph.application.cancelsCalls());
        }
    }

    private void close(boolean cancelCalls) {
        overAt = graph.queue.now();
        machine.handlings.remove(this);
        if (cancelCalls) {
            List.copyOf(open).forEach(GraphCall::giveUp);
            open.clear();
        }
    }
}
