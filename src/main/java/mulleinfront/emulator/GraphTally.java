package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import mulleinfront.UnservedReason;
import mulleinfront.core.UnservedCounts;

/** Collects the statistics for the report on a graph of services. */
final class GraphTally {
    /** Part of a call's time. */
    enum Span {
        /** From the application's call to its answer. */
        ALL,
        /** The whole time except the network time to and from the last server, and the time at that server. */
        ADDED,
        /** Transfer between application and client proxy. */
        LOCAL,
        /** From the client proxy's acceptance until the first attempt begins. */
        ADMISSION,
        /** From the first attempt until the last one begins, including the application's own repeats. */
        RETRIES,
        /** From the start of the last attempt until it is written: the wait for a connection. */
        CONNECTION,
        /** Network time to the server and back. */
        NETWORK,
        /** Time at the server, including the calls that it makes. */
        SERVER
    }

    /** Statistics of a group of calls, such as those of one depth or of one service. */
    static final class CallStatistics {
        final long[] ended = new long[Clients.TryResult.values().length];
        final Histogram[] spans = new Histogram[Span.values().length];
        double asked;
        double inTime;
        long calls;
        long attempts;
        long acrossZones;
        long acrossRegions;
        long newConnections;
        /** Number of answers from another region. */
        long servedAcross;

        CallStatistics() {
            Arrays.setAll(spans, i -> new Histogram());
        }

        Histogram histogram(Span span) {
            return spans[span.ordinal()];
        }

        long ended(Clients.TryResult how) {
            return ended[how.ordinal()];
        }

        /**
         * Value of the calls that were answered within the request's target latency, as a fraction of the value of all
         * calls that were not cancelled.
         */
        double service() {
            return asked == 0 ? 1 : inTime / asked;
        }
    }

    /** Statistics of one second of virtual time. */
    static final class SecondStatistics {
        double asked;
        double earned;
        long requests;
        long calls;
        long refused;
        long notServed;
        final long[] causes = new long[UnservedReason.Cause.values().length];
        final long[] recentlyStarted = new long[UnservedReason.Cause.values().length];
        /** Fraction of all cores that was busy. */
        double busy;

        double service() {
            return asked == 0 ? 1 : earned / asked;
        }
    }

    /** Statistics of the requests from outside with the same deepest call. */
    static final class DepthStatistics {
        long requests;
        long withCallOverBudget;
    }

    /** Length of the start phase, which is counted separately, microseconds. */
    static final long START_PHASE_US = 5_000_000;

    private final GraphSpec spec;
    final CallStatistics all = new CallStatistics();
    /** Calls made after the start phase. */
    final CallStatistics afterStartPhase = new CallStatistics();

    final CallStatistics[] depths;
    final CallStatistics[] services;
    final DepthStatistics[] deepest;
    final List<SecondStatistics> seconds = new ArrayList<>();
    final Histogram requestTimes = new Histogram();
    final double[] classAsked;
    final double[] classEarned;
    long requests;
    long requestsServed;
    long requestsLeft;
    double asked;
    double earned;
    /**
     * Connections of one client proxy to all servers: the most of any client proxy, and the highest mean over all, of
     * all seconds.
     */
    int mostConnections;

    double meanConnections;

    GraphTally(GraphSpec spec) {
        this.spec = spec;
        this.depths = new CallStatistics[spec.depth() + 1];
        this.services = new CallStatistics[spec.services()];
        this.deepest = new DepthStatistics[spec.depth() + 1];
        this.classAsked = new double[spec.world().classes().size()];
        this.classEarned = new double[classAsked.length];
        Arrays.setAll(depths, i -> new CallStatistics());
        Arrays.setAll(services, i -> new CallStatistics());
        Arrays.setAll(deepest, i -> new DepthStatistics());
    }

    SecondStatistics second(long at) {
        int index = (int) (at / 1_000_000);
        while (seconds.size() <= index) {
            seconds.add(new SecondStatistics());
        }
        return seconds.get(index);
    }

    void requestStarted(GraphRequest request) {
        requests++;
        asked += request.worth;
        classAsked[request.classIndex] += request.worth;
        SecondStatistics statistics = second(request.createdAt);
        statistics.asked += request.worth;
        statistics.requests++;
    }

    /** A request from outside has ended, served or not; requests of clients that left do not count as loss. */
    void requestEnded(GraphRequest request, boolean served, boolean left, long now) {
        SecondStatistics statistics = second(request.createdAt);
        if (left) {
            requestsLeft++;
            asked -= request.worth;
            classAsked[request.classIndex] -= request.worth;
            statistics.asked -= request.worth;
            return;
        }
        DepthStatistics d = deepest[request.deepest];
        d.requests++;
        d.withCallOverBudget += request.callsOverBudget > 0 ? 1 : 0;
        if (!served) {
            statistics.notServed++;
            return;
        }
        requestsServed++;
        requestTimes.add(now - request.createdAt);
        double worth = request.worth
                * (now <= request.targetAt
                        ? 1
                        : spec.world().classes().get(request.classIndex).type().lateWorth());
        earned += worth;
        classEarned[request.classIndex] += worth;
        statistics.earned += worth;
    }

    void callStarted(Hop hop, long now) {
        all.calls++;
        afterStartPhase.calls += now >= START_PHASE_US ? 1 : 0;
        depths[hop.depth()].calls++;
        services[hop.edge.to()].calls++;
        second(now).calls++;
    }

    void attemptSent(int depth, long bornAt, int fromZone, int toZone, boolean connected) {
        countSent(all, fromZone, toZone, connected);
        if (bornAt >= START_PHASE_US) {
            countSent(afterStartPhase, fromZone, toZone, connected);
        }
        countSent(depths[depth], fromZone, toZone, connected);
    }

    private void countSent(CallStatistics group, int fromZone, int toZone, boolean connected) {
        group.attempts++;
        group.acrossZones += fromZone == toZone ? 0 : 1;
        group.acrossRegions += spec.regionOf()[fromZone] == spec.regionOf()[toZone] ? 0 : 1;
        group.newConnections += connected ? 1 : 0;
    }

    /** A call has ended for the application that made it. */
    void callEnded(Hop hop, Clients.TryResult how, long now) {
        countEnded(all, hop, how, now);
        if (hop.createdAt() >= START_PHASE_US) {
            countEnded(afterStartPhase, hop, how, now);
        }
        countEnded(depths[hop.depth()], hop, how, now);
        countEnded(services[hop.edge.to()], hop, how, now);
        if (how == Clients.TryResult.REFUSED) {
            second(now).refused++;
        }
        if (how == Clients.TryResult.SERVED && hop.span(Span.ADDED, now) > spec.addedTimeBudgetUs()) {
            hop.caller.request.callsOverBudget++;
        }
    }

    private void countEnded(CallStatistics group, Hop hop, Clients.TryResult how, long now) {
        group.ended[how.ordinal()]++;
        if (how == Clients.TryResult.LEFT) {
            return;
        }
        double worth = spec.world().classes().get(hop.classIndex).type().worth();
        group.asked += worth;
        if (how == Clients.TryResult.SERVED) {
            group.servedAcross += hop.acrossRegions() ? 1 : 0;
            group.inTime += now <= hop.caller.request.targetAt ? worth : 0;
            for (Span span : Span.values()) {
                group.histogram(span).add(hop.span(span, now));
            }
        }
    }

    void unserved(long now, UnservedReason why) {
        SecondStatistics statistics = second(now);
        statistics.causes[why.cause().ordinal()]++;
        statistics.recentlyStarted[why.cause().ordinal()] +=
                why.instanceAgeUs() < UnservedCounts.RECENT_START_US ? 1 : 0;
    }

    double service() {
        return asked <= 0 ? 1 : earned / asked;
    }
}
