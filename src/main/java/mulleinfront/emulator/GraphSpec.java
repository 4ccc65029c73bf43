package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.List;
import mulleinfront.settings.Range;

/**
 * Many services that call each other, as {@link GraphReader} reads them from a file. Times are microseconds,
 * shares parts of 1.
 *
 * @param world what holds for every service; its one group of servers says what a machine is and how many
 *        there are, its load how much is asked
 * @param regions names of the regions
 * @param regionOf region of each zone
 * @param betweenRegions one way between zones of two regions, drawn for each pair
 * @param services how many services
 * @param depth levels of calls at most
 * @param fronts services that requests come to from outside
 * @param frontPart part of the machines that run them
 * @param leastHosts machines of a service at least
 * @param fanOut further services that one calls at most, beside the chain
 * @param skew exponent by which services differ in how many call them (Zipf)
 * @param chain chance with which each service of the longest chain calls the next
 * @param callsPerRequest calls that a request from outside makes in all, on the mean
 * @param rateOfCalls whether the load's rate is that of all calls, rather than of requests from outside
 * @param workFactor work of a service's calls, as a multiple of its class's; drawn for each service
 * @param inTurn part of the services that make their calls one after the other rather than at once
 * @param optional part of the calls without which a service answers all the same
 * @param reads part of the calls that are safe whatever the request is
 * @param told which time a server is told with a call
 * @param reserveUs what a service keeps of its time for its own answer's way
 * @param rack machines of a rack
 * @param budgetUs time that may be added to a call
 * @param failures what happens
 */
public record GraphSpec(
        Scenario world,
        List<String> regions,
        int[] regionOf,
        Range betweenRegions,
        int services,
        int depth,
        int fronts,
        double frontPart,
        int leastHosts,
        int fanOut,
        double skew,
        double chain,
        double callsPerRequest,
        boolean rateOfCalls,
        Range workFactor,
        double inTurn,
        double optional,
        double reads,
        Told told,
        long reserveUs,
        int rack,
        long budgetUs,
        List<Failure> failures) {

    /** The time that a server is told, and divides among its own calls. */
    public enum Told {
        /**
         * How long the client proxy waits for this attempt, as the wire's page says and {@code serve} does.
         */
        ATTEMPT,
        /** How long the application waits for the call. */
        REQUEST
    }

    /** What can happen to machines. */
    public enum Kind {
        /** Without a word: server and client proxy are gone, and start anew and cold afterwards. */
        KILL,
        /** A server drains, ends and starts anew and cold; its client proxy too, where that is said. */
        RESTART,
        /** Off the net without a word, and back as they were. */
        VANISH,
        /** All regions from each other. */
        CUT
    }

    /**
     * One failure.
     *
     * @param at when it begins
     * @param forUs how long it lasts
     * @param withinUs time within which it comes to all that it is about
     * @param count machines drawn; -1: all that are meant
     * @param zone number of the zone whose machines are meant; -1: all
     * @param rack whether one rack drawn is meant
     * @param batch part of the machines at a time, spread over all services; 0: each at a time of its own
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

    /** How many machines there are. */
    public int hosts() {
        return world.fleet();
    }

    /** The same with other failures. */
    GraphSpec failing(List<Failure> others) {
        return new GraphSpec(
                world,
                regions,
                regionOf,
                betweenRegions,
                services,
                depth,
                fronts,
                frontPart,
                leastHosts,
                fanOut,
                skew,
                chain,
                callsPerRequest,
                rateOfCalls,
                workFactor,
                inTurn,
                optional,
                reads,
                told,
                reserveUs,
                rack,
                budgetUs,
                others);
    }

    /** Requests from outside a second. */
    public double requestsPerSecond() {
        return rateOfCalls
                ? world.load().perSecond() / callsPerRequest
                : world.load().perSecond();
    }

    /**
     * The same in another size, for a look: failures come at the same part of the whole time, and last the
     * same part of it.
     *
     * @param hosts machines; at most 0: as they are
     * @param itsServices services; at most 0: as they are
     * @param perSecond the load's rate; at most 0: as it is
     * @param lengthUs how long is asked; at most 0: as long as it is
     */
    public GraphSpec sized(int hosts, int itsServices, double perSecond, long lengthUs) {
        Scenario w = world;
        double scale = lengthUs > 0 ? (double) lengthUs / w.lengthUs() : 1;
        Scenario.Load l = w.load();
        double rate = perSecond > 0 ? perSecond : l.perSecond();
        Scenario.Load load = new Scenario.Load(rate, l.shape(), rate, l.swing(), l.burstUs(), l.keys(), l.zipf());
        Scenario.Servers group = w.servers().get(0).named(w.servers().get(0).name(), hosts > 0 ? hosts : hosts());
        Scenario sized = w.asService(
                w.name(), lengthUs > 0 ? lengthUs : w.lengthUs(), w.proxies(), w.clients(), load, group, w.classes());
        List<Failure> scaled = new ArrayList<>();
        for (Failure f : failures) {
            scaled.add(new Failure(
                    f.kind(),
                    (long) (f.at() * scale),
                    (long) (f.forUs() * scale),
                    (long) (f.withinUs() * scale),
                    hosts > 0 && f.count() > 0 ? Math.max(1, f.count() * hosts / hosts()) : f.count(),
                    f.zone(),
                    f.rack(),
                    f.batch(),
                    (long) (f.drainUs() * scale),
                    f.proxies()));
        }
        int smallRack = hosts > 0 ? Math.max(1, rack * hosts / hosts()) : rack;
        return new GraphSpec(
                sized,
                regions,
                regionOf,
                betweenRegions,
                itsServices > 0 ? itsServices : services,
                depth,
                fronts,
                frontPart,
                leastHosts,
                fanOut,
                skew,
                chain,
                callsPerRequest,
                rateOfCalls,
                workFactor,
                inTurn,
                optional,
                reads,
                told,
                reserveUs,
                smallRack,
                budgetUs,
                scaled);
    }
}
