package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.List;
import mulleinfront.settings.Range;

/**
 * A graph of services that call each other, as {@link GraphReader} reads it from a file. Times are in microseconds,
 * shares are fractions of 1.
 *
 * @param world settings of all services; its single group of servers gives the machine spec and the number of machines,
 *        its load the offered load
 * @param regions names of the regions
 * @param regionOf region of each zone
 * @param betweenRegions one-way delay between zones of two regions, drawn for each pair
 * @param services number of services
 * @param depth most levels of calls
 * @param fronts services that receive requests from outside
 * @param frontShare fraction of the machines that run the front services
 * @param minHosts least machines of a service
 * @param fanOut most services that one service calls, in addition to the chain
 * @param skew Zipf exponent of the distribution of callers among services
 * @param chain probability that each service of the longest chain calls the next
 * @param callsPerRequest mean number of all calls that a request from outside causes
 * @param rateCountsCalls whether the load's rate is that of all calls, rather than of requests from outside
 * @param workFactor work of a service's calls, as a multiple of its class's; drawn for each service
 * @param sequentialShare fraction of the services that make their calls sequentially rather than concurrently
 * @param optionalShare fraction of the calls whose failure does not fail the calling service
 * @param readShare fraction of the calls that are safe whatever the request's effect is
 * @param propagatedDeadline which deadline a server receives with a call
 * @param reserveUs time that a service reserves for the transfer of its own response
 * @param hostsPerRack machines per rack
 * @param addedTimeBudgetUs most time that the proxies and the local network may add to a call
 * @param failures failures, in the order of the file
 */
public record GraphSpec(
        Scenario world,
        List<String> regions,
        int[] regionOf,
        Range betweenRegions,
        int services,
        int depth,
        int fronts,
        double frontShare,
        int minHosts,
        int fanOut,
        double skew,
        double chain,
        double callsPerRequest,
        boolean rateCountsCalls,
        Range workFactor,
        double sequentialShare,
        double optionalShare,
        double readShare,
        PropagatedDeadline propagatedDeadline,
        long reserveUs,
        int hostsPerRack,
        long addedTimeBudgetUs,
        List<Failure> failures) {

    /** The deadline that a server receives and uses for its own calls. */
    public enum PropagatedDeadline {
        /**
         * The client proxy's timeout of this attempt, as in the wire protocol and in {@code serve}.
         */
        ATTEMPT,
        /** The application's timeout of the call. */
        REQUEST
    }

    /** Type of a failure. */
    public enum Kind {
        /** Server and client proxy end without notice, and start again cold afterwards. */
        KILL,
        /** A server drains, ends and starts again cold; optionally its client proxy restarts too. */
        RESTART,
        /** Machines lose the network without notice, and regain it with their state unchanged. */
        VANISH,
        /** A network partition between all regions. */
        CUT
    }

    /**
     * One failure.
     *
     * @param at when it begins
     * @param forUs how long it lasts
     * @param withinUs time within which it affects all its machines
     * @param count number of machines, chosen at random; -1: all candidates
     * @param zone number of the zone whose machines are candidates; -1: all zones
     * @param rack whether the candidates are those of one rack, chosen at random
     * @param batch fraction of the machines per batch, spread over all services; 0: each machine at a random time
     * @param drainUs how long a server drains before it ends
     * @param proxies whether client proxies are restarted too
     */
    public record Failure(
            Kind kind,
            long at,
            long forUs,
            long withinUs,
            int count,
            int zone,
            boolean rack,
            double batch,
            long drainUs,
            boolean proxies) {}

    /** Number of machines. */
    public int hosts() {
        return world.serverCount();
    }

    /** This graph with other failures. */
    GraphSpec withFailures(List<Failure> newFailures) {
        return new GraphSpec(
                world,
                regions,
                regionOf,
                betweenRegions,
                services,
                depth,
                fronts,
                frontShare,
                minHosts,
                fanOut,
                skew,
                chain,
                callsPerRequest,
                rateCountsCalls,
                workFactor,
                sequentialShare,
                optionalShare,
                readShare,
                propagatedDeadline,
                reserveUs,
                hostsPerRack,
                addedTimeBudgetUs,
                newFailures);
    }

    /** Requests from outside per second. */
    public double requestsPerSecond() {
        return rateCountsCalls
                ? world.load().perSecond() / callsPerRequest
                : world.load().perSecond();
    }

    /**
     * This graph in another size, for trial runs. Failures begin at the same fraction of the run's length and last the
     * same fraction of it.
     *
     * @param hosts number of machines; at most 0: unchanged
     * @param serviceCount number of services; at most 0: unchanged
     * @param perSecond the load's rate; at most 0: unchanged
     * @param lengthUs how long requests are sent; at most 0: unchanged
     */
    public GraphSpec sized(int hosts, int serviceCount, double perSecond, long lengthUs) {
        Scenario scenario = world;
        double scale = lengthUs > 0 ? (double) lengthUs / scenario.lengthUs() : 1;
        Scenario.Load originalLoad = scenario.load();
        double rate = perSecond > 0 ? perSecond : originalLoad.perSecond();
        Scenario.Load load = new Scenario.Load(
                rate,
                originalLoad.shape(),
                rate,
                originalLoad.swing(),
                originalLoad.burstUs(),
                originalLoad.keys(),
                originalLoad.zipf());
        Scenario.Servers group = scenario.servers()
                .get(0)
                .withNameAndCount(scenario.servers().get(0).name(), hosts > 0 ? hosts : hosts());
        Scenario sized = scenario.asService(
                scenario.name(),
                lengthUs > 0 ? lengthUs : scenario.lengthUs(),
                scenario.proxies(),
                scenario.clients(),
                load,
                group,
                scenario.classes());
        List<Failure> scaled = new ArrayList<>();
        for (Failure failure : failures) {
            scaled.add(new Failure(
                    failure.kind(),
                    (long) (failure.at() * scale),
                    (long) (failure.forUs() * scale),
                    (long) (failure.withinUs() * scale),
                    hosts > 0 && failure.count() > 0 ? Math.max(1, failure.count() * hosts / hosts()) : failure.count(),
                    failure.zone(),
                    failure.rack(),
                    failure.batch(),
                    (long) (failure.drainUs() * scale),
                    failure.proxies()));
        }
        int smallRack = hosts > 0 ? Math.max(1, hostsPerRack * hosts / hosts()) : hostsPerRack;
        return new GraphSpec(
                sized,
                regions,
                regionOf,
                betweenRegions,
                serviceCount > 0 ? serviceCount : services,
                depth,
                fronts,
                frontShare,
                minHosts,
                fanOut,
                skew,
                chain,
                callsPerRequest,
                rateCountsCalls,
                workFactor,
                sequentialShare,
                optionalShare,
                readShare,
                propagatedDeadline,
                reserveUs,
                smallRack,
                addedTimeBudgetUs,
                scaled);
    }
}
