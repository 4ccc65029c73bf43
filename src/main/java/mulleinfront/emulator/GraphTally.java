package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import mulleinfront.UnservedReason;
import mulleinfront.core.UnservedCounts;

/** Counts what the report on a graph of services needs, as it happens. */
final class GraphTally {
    /** What a call's time goes into. */
    enum Span {
        /** From the application's call to its answer. */
        ALL,
        /** All of that but the way to and from the last server, and the time there. */
        ADDED,
        /** Between application and client proxy. */
        LOCAL,
        /** Until the first attempt begins. */
        ADMISSION,
        /** From there until the last one does, with the application's own repeats. */
        RETRIES,
        /** Until the last one is written: waiting for a connection. */
        CONNECTION,
        /** On the way to the server and back. */
        NETWORK,
        /** At the server, with the calls that it makes. */
        SERVER
    }

    /** Calls alike: of one depth, or of one service. */
    static final class Group {
        final long[] ended = new long[Clients.How.values().length];
        final Histogram[] spans = new Histogram[Span.values().length];
        double asked;
        double inTime;
        long calls;
        long attempts;
        long acrossZones;
        long acrossRegions;
        long connected;
        /** Answers from another region. */
        long servedAcross;

        Group() {
            Arrays.setAll(spans, i -> new Histogram());
        }

        Histogram of(Span span) {
            return spans[span.ordinal()];
        }

        long ended(Clients.How how) {
            return ended[how.ordinal()];
        }

        /**
         * Worth of calls answered before the request's aim, as a part of the worth of all that were wanted.
         */
        double service() {
            return asked == 0 ? 1 : inTime / asked;
        }
    }

    /** One second of virtual time. */
    static final class Second {
        double asked;
        double earned;
        long requests;
        long calls;
        long refused;
        long notServed;
        final long[] causes = new long[UnservedReason.Cause.values().length];
        final long[] young = new long[UnservedReason.Cause.values().length];
        /** Part of all cores that was busy. */
        double busy;

        double service() {
            return asked == 0 ? 1 : earned / asked;
        }
    }

    /** Requests from outside by how deep they went. */
    static final class Deepest {
        long requests;
        long withOneBeyond;
    }

    /** The first seconds, which are counted apart, microseconds. */
    static final long EARLY_US = 5_000_000;

    private final GraphSpec spec;
    final Group all = new Group();
    /** Calls made when all have been up for a while. */
    final Group later = new Group();

    final Group[] depths;
    final Group[] services;
    final Deepest[] deepest;
    final List<Second> seconds = new ArrayList<>();
    final Histogram requestTimes = new Histogram();
    final double[] classAsked;
    final double[] classEarned;
    long requests;
    long requestsServed;
    long requestsLeft;
    double asked;
    double earned;
    /**
     * Connections of one client proxy to all hosts at the fullest second: of the fullest one, and on the
     * mean.
     */
    int mostConnections;

    double meanConnections;

    GraphTally(GraphSpec spec) {
        this.spec = spec;
        this.depths = new Group[spec.depth() + 1];
        this.services = new Group[spec.services()];
        this.deepest = new Deepest[spec.depth() + 1];
        this.classAsked = new double[spec.world().classes().size()];
        this.classEarned = new double[classAsked.length];
        Arrays.setAll(depths, i -> new Group());
        Arrays.setAll(services, i -> new Group());
        Arrays.setAll(deepest, i -> new Deepest());
    }

    Second second(long at) {
        int place = (int) (at / 1_000_000);
        while (seconds.size() <= place) {
            seconds.add(new Second());
        }
        return seconds.get(place);
    }

    void asked(GraphRequest r) {
        requests++;
        asked += r.worth;
        classAsked[r.classIndex] += r.worth;
        Second s = second(r.bornAt);
        s.asked += r.worth;
        s.requests++;
    }

    /** A request from outside is over: served, or not; nothing is lost with a client that left. */
    void over(GraphRequest r, boolean served, boolean left, long now) {
        Second s = second(r.bornAt);
        if (left) {
            requestsLeft++;
            asked -= r.worth;
            classAsked[r.classIndex] -= r.worth;
            s.asked -= r.worth;
            return;
        }
        Deepest d = deepest[r.deepest];
        d.requests++;
        d.withOneBeyond += r.beyond > 0 ? 1 : 0;
        if (!served) {
            s.notServed++;
            return;
        }
        requestsServed++;
        requestTimes.add(now - r.bornAt);
        double worth = r.worth
                * (now <= r.aimAt
                        ? 1
                        : spec.world().classes().get(r.classIndex).type().lateWorth());
        earned += worth;
        classEarned[r.classIndex] += worth;
        s.earned += worth;
    }

    void called(Hop hop, long now) {
        all.calls++;
        later.calls += now >= EARLY_US ? 1 : 0;
        depths[hop.depth()].calls++;
        services[hop.edge.to()].calls++;
        second(now).calls++;
    }

    void sent(int depth, long bornAt, int fromZone, int toZone, boolean connected) {
        sent(all, fromZone, toZone, connected);
        if (bornAt >= EARLY_US) {
            sent(later, fromZone, toZone, connected);
        }
        sent(depths[depth], fromZone, toZone, connected);
    }

    private void sent(Group g, int fromZone, int toZone, boolean connected) {
        g.attempts++;
        g.acrossZones += fromZone == toZone ? 0 : 1;
        g.acrossRegions += spec.regionOf()[fromZone] == spec.regionOf()[toZone] ? 0 : 1;
        g.connected += connected ? 1 : 0;
    }

    /** A call has ended for the application that made it. */
    void ended(Hop hop, Clients.How how, long now) {
        ended(all, hop, how, now);
        if (hop.bornAt() >= EARLY_US) {
            ended(later, hop, how, now);
        }
        ended(depths[hop.depth()], hop, how, now);
        ended(services[hop.edge.to()], hop, how, now);
        if (how == Clients.How.REFUSED) {
            second(now).refused++;
        }
        if (how == Clients.How.SERVED && hop.span(Span.ADDED, now) > spec.budgetUs()) {
            hop.above.request.beyond++;
        }
    }

    private void ended(Group g, Hop hop, Clients.How how, long now) {
        g.ended[how.ordinal()]++;
        if (how == Clients.How.LEFT) {
            return;
        }
        double worth = spec.world().classes().get(hop.classIndex).type().worth();
        g.asked += worth;
        if (how == Clients.How.SERVED) {
            g.servedAcross += hop.acrossRegions() ? 1 : 0;
            g.inTime += now <= hop.above.request.aimAt ? worth : 0;
            for (Span span : Span.values()) {
                g.of(span).add(hop.span(span, now));
            }
        }
    }

    void unserved(long now, UnservedReason why) {
        Second s = second(now);
        s.causes[why.cause().ordinal()]++;
        s.young[why.cause().ordinal()] += why.instanceAgeUs() < UnservedCounts.RECENT_START_US ? 1 : 0;
    }

    double service() {
        return asked <= 0 ? 1 : earned / asked;
    }
}
