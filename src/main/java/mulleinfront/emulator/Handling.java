package mulleinfront.emulator;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A request at an application whose own work on it is done: the calls that it makes of other services, and
 * its answer when those have ended. While it waits for them it holds no core and no slot.
 */
final class Handling {
    /** The request from outside that it is a part of. */
    final GraphRequest request;
    /** The call that brought it; null: it came from outside. */
    final Hop above;

    final GraphMachine machine;
    /** When nobody waits for its answer any more. */
    final long endsAt;

    final int depth;
    private final GraphWorld graph;
    private final Done done;
    private List<CallGraph.Edge> chosen;
    private final Set<Hop> open = new LinkedHashSet<>();
    private int next;
    private int pending;
    /** When its answer was given or it was given up; -1: it is open. */
    private long overAt = -1;

    /** The application's answer. */
    interface Done {
        /** Served, or an error. */
        void done(ServerModel.End end);
    }

    Handling(GraphWorld graph, GraphRequest request, Hop above, GraphMachine machine, long endsAt, Done done) {
        this.graph = graph;
        this.request = request;
        this.above = above;
        this.machine = machine;
        this.endsAt = endsAt;
        this.depth = above == null ? 0 : above.depth();
        this.done = done;
    }

    long overAt() {
        return overAt;
    }

    void begin() {
        machine.handlings.add(this);
        request.reached(depth);
        chosen = graph.calls(machine.node, above == null ? request.id : above.effect);
        pending = chosen.size();
        if (machine.node.inTurn() || pending == 0) {
            nextInTurn();
            return;
        }
        for (CallGraph.Edge e : chosen) {
            if (overAt < 0) {
                call(e);
            }
        }
    }

    private void nextInTurn() {
        if (next == chosen.size()) {
            finish(ServerModel.End.SERVED);
        } else {
            call(chosen.get(next++));
        }
    }

    private void call(CallGraph.Edge e) {
        Hop hop = graph.hop(this, e);
        open.add(hop);
        graph.call(hop, machine);
    }

    /** One of its calls has ended. */
    void ended(Hop hop, Clients.How how) {
        open.remove(hop);
        if (overAt >= 0) {
            return;
        }
        if (how != Clients.How.SERVED && !hop.edge.optional()) {
            finish(ServerModel.End.ERROR);
        } else if (machine.node.inTurn()) {
            nextInTurn();
        } else if (--pending == 0) {
            finish(ServerModel.End.SERVED);
        }
    }

    private void finish(ServerModel.End end) {
        over(true);
        done.done(end);
    }

    /** Nobody waits for it any more, or its process is gone: its own calls are given up too. */
    void cancel() {
        if (overAt < 0) {
            over(graph.application.cancelsBelow());
        }
    }

    private void over(boolean giveUp) {
        overAt = graph.queue.now();
        machine.handlings.remove(this);
        if (giveUp) {
            List.copyOf(open).forEach(Hop::giveUp);
            open.clear();
        }
    }
}
