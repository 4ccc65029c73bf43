package mulleinfront;

import java.util.ArrayList;
import java.util.List;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.Request;
import mulleinfront.Balancer.RequestClass;

/** What {@link Logic} remembers of endpoints, requests and attempts; it holds figures and decides nothing. */
final class State {
    private State() {}

    /** What is known of one endpoint. Kept after it leaves the list, for attempts still out. */
    static final class Node {
        final String id;
        final long hash;
        int zone;
        int kind;
        int cell;
        double weight = 1;
        boolean late;
        long heardAt = Long.MIN_VALUE / 2;
        long promptAt = Long.MIN_VALUE / 2;
        long busyUntil;
        /** Requests that it reported to hold, for each part of its size, and when. */
        double reported;

        long reportedAt = Long.MIN_VALUE / 2;
        /** Until when it is left alone for having turned requests away, and how many in a row it has. */
        long fullUntil;

        int full;
        double capacity;
        /** What of it is in the sum over all endpoints. */
        double counted;

        double offered;
        /** When its process began, by the list that told of it; and from when it counts as cold. */
        long startedAt;

        long warmFrom;
        boolean cold;
        boolean ready;
        boolean onRing;
        /** Its points on the ring, as many as when it joined: listed weights may change since. */
        int points;

        final List<Attempt> outstanding = new ArrayList<>();
        double limit;
        boolean everCut;
        double failShare;
        long lastAnswer;
        long connectedUntil;
        double credit;
        long creditAt;
        boolean ejected;
        boolean down;
        long ejectedUntil;
        long ejectedFor;
        Attempt trial;
        int seen;

        Node(String id, long hash, double limit) {
            this.id = id;
            this.hash = hash;
            this.limit = limit;
        }
    }

    /** A request not yet finally answered. */
    static final class Req {
        final Request in;
        final RequestClass type;
        final long hash;
        final long aimAt;
        final long endAt;
        final double worth;
        final List<Attempt> attempts = new ArrayList<>(2);
        int outstanding;
        long holdUntil;
        Node probe;
        long probeUntil;
        int probes;
        boolean cautious;
        final long order;

        Req(Request in, RequestClass type, long hash, long at, double worth, long order) {
            this.order = order;
            this.in = in;
            this.type = type;
            this.hash = hash;
            this.worth = worth;
            this.endAt = at + Math.max(0, in.budgetUs());
            long aim = type.targetLatencyUs() + (long) (type.targetStretch() * Math.max(0, in.expectedUs()));
            this.aimAt = Math.min(endAt, at + Math.min(aim, type.deadlineUs()));
        }

        /** The time after which an answer earns nothing. */
        long worthUntil() {
            return type.lateWorth() > 0 ? endAt : aimAt;
        }
    }

    /** One attempt; {@code outcome} is null while it is out. */
    static final class Attempt {
        final Req req;
        final Node node;
        final int number;
        final long at;
        boolean canceled;
        boolean streaming;
        Outcome outcome;

        Attempt(Req req, Node node, int number, long at) {
            this.req = req;
            this.node = node;
            this.number = number;
            this.at = at;
        }

        boolean mayHaveRun() {
            return outcome == null || !outcome.neverRan();
        }
    }
}
