package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import mulleinfront.UnservedReason;
import mulleinfront.core.UnservedCounts;

/** Collects the statistics for the report on a graph of services. */
final class GraphStatistics {
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
        double offeredValue;
        double valueInTime;
        long calls;
        long attempts;
        long acrossZones;
        long acrossRegions;
        long newConnections;
        /** Number of answers from another region. */
        long servedAcrossRegions;

        CallStatistics() {
            Arrays.setAll(spans, i -> new Histogram());
        }

        Histogram histogram(Span span) {
            return spans[span.ordinal()];
        }

        long ended(Clients.TryResult result) {
            return ended[result.ordinal()];
        }

        /**
         * Value of the calls that were answered within the request's target latency, as a fraction of the value of all
         * calls that were not cancelled.
         */
        double earnedShare() {
            return offeredValue == 0 ? 1 : valueInTime / offeredValue;
        }
    }

    /** Statistics of one second of virtual time. */
    static final class SecondStatistics {
        double offeredValue;
        double earnedValue;
        long requests;
        long calls;
        long refused;
        long notServed;
        final long[] unservedByCause = new long[UnservedReason.Cause.values().length];
        final long[] unservedAfterStartByCause = new long[UnservedReason.Cause.values().length];
        /** Fraction of all cores that was busy. */
        double busy;

        double earnedShare() {
            return offeredValue == 0 ? 1 : earnedValue / offeredValue;
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

    final CallStatistics[] callsByDepth;
    final CallStatistics[] callsByService;
    final DepthStatistics[] requestsByDepth;
    final List<SecondStatistics> seconds = new ArrayList<>();
    final Histogram requestTimes = new Histogram();
    final double[] offeredValueByClass;
    final double[] earnedValueByClass;
    long requests;
    long requestsServed;
    long requestsLeft;
    double offeredValue;
    double earnedValue;
    /**
     * Connections of a client proxy to all servers, sampled once per second: the highest number of any client proxy,
     * and the highest mean over all client proxies.
     */
    int maxConnections;

    double meanConnections;

    GraphStatistics(GraphSpec spec) {
        this.spec = spec;
        this.callsByDepth = new CallStatistics[spec.depth() + 1];
        this.callsByService = new CallStatistics[spec.services()];
        this.requestsByDepth = new DepthStatistics[spec.depth() + 1];
        this.offeredValueByClass = new double[spec.world().classes().size()];
        this.earnedValueByClass = new double[offeredValueByClass.length];
        Arrays.setAll(callsByDepth, i -> new CallStatistics());
        Arrays.setAll(callsByService, i -> new CallStatistics());
        Arrays.setAll(requestsByDepth, i -> new DepthStatistics());
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
        offeredValue += request.worth;
        offeredValueByClass[request.classIndex] += request.worth;
        SecondStatistics statistics = second(request.createdAt);
        statistics.offeredValue += request.worth;
        statistics.requests++;
    }

    /** A request from outside has ended, served or not; requests of clients that left do not count as loss. */
    void requestEnded(GraphRequest request, boolean served, boolean left, long now) {
        SecondStatistics statistics = second(request.createdAt);
        if (left) {
            requestsLeft++;
            offeredValue -= request.worth;
            offeredValueByClass[request.classIndex] -= request.worth;
            statistics.offeredValue -= request.worth;
            return;
        }
        DepthStatistics depthStatistics = requestsByDepth[request.deepest];
        depthStatistics.requests++;
        depthStatistics.withCallOverBudget += request.callsOverBudget > 0 ? 1 : 0;
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
        earnedValue += worth;
        earnedValueByClass[request.classIndex] += worth;
        statistics.earnedValue += worth;
    }

    void callStarted(GraphCall graphCall, long now) {
        all.calls++;
        afterStartPhase.calls += now >= START_PHASE_US ? 1 : 0;
        callsByDepth[graphCall.depth()].calls++;
        callsByService[graphCall.edge.to()].calls++;
        second(now).calls++;
    }

    void attemptSent(int depth, long createdAt, int fromZone, int toZone, boolean newConnection) {
        countSent(all, fromZone, toZone, newConnection);
        if (createdAt >= START_PHASE_US) {
            countSent(afterStartPhase, fromZone, toZone, newConnection);
        }
        countSent(callsByDepth[depth], fromZone, toZone, newConnection);
    }

    private void countSent(CallStatistics group, int fromZone, int toZone, boolean newConnection) {
        group.attempts++;
        group.acrossZones += fromZone == toZone ? 0 : 1;
        group.acrossRegions += spec.regionOf()[fromZone] == spec.regionOf()[toZone] ? 0 : 1;
        group.newConnections += newConnection ? 1 : 0;
    }

    /** A call has ended for the application that made it. */
    void callEnded(GraphCall graphCall, Clients.TryResult result, long now) {
        countEnded(all, graphCall, result, now);
        if (graphCall.createdAt() >= START_PHASE_US) {
            countEnded(afterStartPhase, graphCall, result, now);
        }
        countEnded(callsByDepth[graphCall.depth()], graphCall, result, now);
        countEnded(callsByService[graphCall.edge.to()], graphCall, result, now);
        if (result == Clients.TryResult.REFUSED) {
            second(now).refused++;
        }
        if (result == Clients.TryResult.SERVED && graphCall.timeSpent(Span.ADDED, now) > spec.addedTimeBudgetUs()) {
            graphCall.caller.request.callsOverBudget++;
        }
    }

    private void countEnded(CallStatistics group, GraphCall graphCall, Clients.TryResult result, long now) {
        group.ended[result.ordinal()]++;
        if (result == Clients.TryResult.LEFT) {
            return;
        }
        double worth = spec.world().classes().get(graphCall.classIndex).type().worth();
        group.offeredValue += worth;
        if (result == Clients.TryResult.SERVED) {
            group.servedAcrossRegions += graphCall.acrossRegions() ? 1 : 0;
            group.valueInTime += now <= graphCall.caller.request.targetAt ? worth : 0;
            for (Span span : Span.values()) {
                group.histogram(span).add(graphCall.timeSpent(span, now));
            }
        }
    }

    void requestUnserved(long now, UnservedReason reason) {
        SecondStatistics statistics = second(now);
        statistics.unservedByCause[reason.cause().ordinal()]++;
        statistics.unservedAfterStartByCause[reason.cause().ordinal()] +=
                reason.instanceAgeUs() < UnservedCounts.RECENT_START_US ? 1 : 0;
    }

    double earnedShare() {
        return offeredValue <= 0 ? 1 : earnedValue / offeredValue;
    }
}
