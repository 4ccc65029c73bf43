package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.List;
import mulleinfront.Balancer;
import mulleinfront.Balancer.DedupScope;
import mulleinfront.Balancer.Effect;
import mulleinfront.settings.Range;

/**
 * A world and a timed script of what goes wrong in it, as {@link ScenarioReader} reads it from a file. All
 * times are microseconds, all shares are parts of 1. Where a figure is a {@link Range} each server, or each
 * world, draws its own.
 *
 * @param name the file's name without its ending
 * @param title one line for people
 * @param lengthUs how long clients go on asking
 * @param settleUs how long the world goes on after that, so that all is answered
 * @param zones names of the zones
 * @param network delays
 * @param discovery the list of servers
 * @param proxies the client proxies
 * @param clients what the applications do beside asking
 * @param load what they ask
 * @param servers groups of servers alike
 * @param classes classes of requests
 * @param tenants tenants, perhaps none
 * @param overShareWorth worth of a request beyond its tenant's share, as a part
 * @param limits what client proxies may do
 * @param rules figures of the four rules
 * @param service how service is counted
 * @param peers how client proxies know each other; null: not at all
 * @param faults what happens, in the order of the file
 */
public record Scenario(
        String name,
        String title,
        long lengthUs,
        long settleUs,
        List<String> zones,
        Network network,
        Discovery discovery,
        Proxies proxies,
        Clients clients,
        Load load,
        List<Servers> servers,
        List<ClassSpec> classes,
        List<Tenant> tenants,
        double overShareWorth,
        Limits limits,
        Rules rules,
        Service service,
        Peers peers,
        List<Fault> faults) {

    /**
     * One-way delays, microseconds.
     *
     * @param same within a zone
     * @param cross between zones
     * @param client between an application and its own client proxy
     * @param jitter part by which a message may be later than its path's delay
     */
    public record Network(Range same, Range cross, Range client, double jitter) {}

    /**
     * @param asked whether lists must be asked for; else an agent pushes them
     * @param notice how late it knows of what happens to a server
     * @param silentNotice how late it knows of one that vanished without a word
     * @param period how late changes reach those who watch
     * @param callUs time it takes for one call; calls are worked through in turn
     * @param timeoutUs a call that is not answered by then has failed
     * @param alsoListed servers that whole lists name besides, all of them draining; on real sockets only
     */
    public record Discovery(
            boolean asked,
            Range notice,
            Range silentNotice,
            Range period,
            long callUs,
            long timeoutUs,
            int alsoListed) {}

    /** The list that a client proxy starts with. */
    public enum Known {
        CURRENT,
        STALE,
        EMPTY
    }

    /**
     * @param count how many
     * @param spread exponent by which their traffic differs (Zipf); 0: alike
     * @param startWithinUs they start within this time
     * @param known the list that they start with
     * @param knownAgeUs how old a stale one is
     * @param ghosts servers long gone that a stale list still names
     * @param startUs time from the start of a process until it takes requests
     * @param lateCallsUs how long after being told to end it goes on taking requests
     * @param killAfterUs time from being told to end until it is killed
     * @param connections connections to servers at most, each
     * @param cpu what their own code costs
     */
    public record Proxies(
            int count,
            double spread,
            long startWithinUs,
            Known known,
            long knownAgeUs,
            int ghosts,
            long startUs,
            long lateCallsUs,
            long killAfterUs,
            int connections,
            Cpu cpu) {}

    /**
     * A client proxy's own code: half of a request's CPU is spent when it comes, half when its answer goes, one after
     * the other. What is not compiled yet takes longer.
     *
     * @param core share of a core that each process has; 0: its code costs nothing
     * @param coldUs CPU of a process's first request
     * @param warmUs CPU of a request once the code is compiled
     * @param warmAfter requests until then, the cost falling evenly
     */
    public record Cpu(double core, long coldUs, long warmUs, int warmAfter) {
        /** Time that half of a process's nth request takes, microseconds. */
        long halfUs(long nth) {
            double cold = Math.max(0, 1 - (double) nth / warmAfter);
            return core == 0 ? 0 : (long) ((warmUs + (coldUs - warmUs) * cold) / core / 2);
        }
    }

    /**
     * @param retries further tries of a request at most
     * @param backoff wait before a further try
     * @param doubling whether the wait doubles with each try
     * @param honour share of clients that come back no sooner than {@code Retry-After} says
     * @param patience part of the class's deadline after which a try is given up
     * @param leave share of tries whose client leaves before it has its answer
     */
    public record Clients(int retries, Range backoff, boolean doubling, double honour, Range patience, double leave) {}

    /** How the rate of requests goes over time. */
    public enum Shape {
        STEADY,
        BURSTY,
        RAMP
    }

    /**
     * @param perSecond requests a second, at the start
     * @param shape how that goes on
     * @param endPerSecond requests a second at the end, for a ramp
     * @param swing part by which bursts and lulls differ from the mean
     * @param burstUs mean length of a burst or lull
     * @param keys distinct keys; 0: requests have none
     * @param zipf exponent of their popularity
     */
    public record Load(
            double perSecond, Shape shape, double endPerSecond, double swing, long burstUs, int keys, double zipf) {}

    /** How service times vary. */
    public enum Dist {
        FIXED,
        EXPONENTIAL,
        LOGNORMAL
    }

    /**
     * A group of servers alike; the figures are those of {@link ServerModel.ProcessSettings}.
     *
     * @param count how many, numbered within the group and spread over the zones in turn
     * @param cell servers of a cell, numbered through all groups
     * @param weight size as discovery lists it
     */
    public record Servers(
            String name,
            int count,
            int cell,
            double weight,
            int cores,
            Range speed,
            int slots,
            int room,
            int connections,
            Range handshakeWork,
            long idleCloseUs,
            double errors,
            Range reportEvery,
            double probeWork,
            int probes,
            boolean deepProbes,
            Range coldFrom,
            Range coldFor,
            double coldWork,
            long pauseEveryUs,
            Range pause,
            double crowdAt,
            double crowdLoss,
            ServerModel.Linger linger,
            ServerModel.Stops stops,
            boolean dropsExpired,
            long keyMemoryUs,
            double keySaving,
            int keysKept) {
        /** So many of the same under another name. */
        Servers named(String other, int many) {
            return new Servers(
                    other,
                    many,
                    cell,
                    weight,
                    cores,
                    speed,
                    slots,
                    room,
                    connections,
                    handshakeWork,
                    idleCloseUs,
                    errors,
                    reportEvery,
                    probeWork,
                    probes,
                    deepProbes,
                    coldFrom,
                    coldFor,
                    coldWork,
                    pauseEveryUs,
                    pause,
                    crowdAt,
                    crowdLoss,
                    linger,
                    stops,
                    dropsExpired,
                    keyMemoryUs,
                    keySaving,
                    keysKept);
        }
    }

    /** A class of requests, as the module knows it and with the work that it makes. */
    public record ClassSpec(Balancer.RequestClass type, double share, double workUs, Dist dist, double cv) {
        /** Work of one request, microseconds. */
        double drawUs(Chance chance) {
            return switch (dist) {
                case FIXED -> workUs;
                case EXPONENTIAL -> chance.exponential(workUs);
                case LOGNORMAL -> chance.lognormal(workUs, cv);
            };
        }
    }

    /**
     * @param share of the service that it has a right to
     * @param usage what it asks for, as a part of that
     */
    public record Tenant(String name, double share, double usage) {}

    /**
     * What a client proxy may do, and the figures it works by.
     *
     * @param reports part of the answers that say how many requests their server holds
     */
    public record Limits(
            int attempts,
            boolean cancel,
            boolean probes,
            long retryAfterUs,
            long dialTimeoutUs,
            long connIdleUs,
            double reports) {}

    /**
     * @param answerSlackUs time after the deadline in which a final answer still counts
     * @param drainUs how long after being told something may still go to a server
     * @param coldMultiple how many times its present capacity pushes a cold server over ...
     * @param coldForUs ... if it is sent that for this time
     * @param coldFrom share of its capacity that a cold server has at least, as told to client proxies
     * @param coldUs time after which one is warm, as told to them
     * @param askWithinUs who watches nothing and has not asked for this long counts as told
     */
    public record Rules(
            long answerSlackUs,
            long drainUs,
            double coldMultiple,
            long coldForUs,
            double coldFrom,
            long coldUs,
            long askWithinUs) {}

    /** Weights of service, and prices in parts of it. */
    public record Service(
            double whole,
            double window,
            double worstClass,
            double worstTenant,
            long windowUs,
            double waste,
            double lateFail,
            double probe,
            double crossZone,
            double linger,
            double shareOfCapacity) {}

    /**
     * The client proxies as a fleet.
     *
     * @param periodUs each pings one other in this time
     * @param goneUs time after which one that was not seen counts as gone for good
     * @param plain whether the detector has neither suspicion nor doubt of itself
     * @param loss part of all datagrams that is lost, at all times
     */
    public record Peers(long periodUs, long goneUs, boolean plain, double loss) {}

    /** What can go wrong. */
    public enum Kind {
        SLOW,
        HANG,
        NEIGHBOUR,
        ERRORS,
        PAUSE,
        DRAIN,
        RESTART,
        DEPLOY,
        VANISH,
        CUT,
        RESET_BEFORE,
        RESET_AFTER,
        DISCOVERY_DOWN,
        DISCOVERY_REFUSES,
        DISCOVERY_CUTS,
        DISCOVERY_PAUSES,
        DISCOVERY_ENDS,
        DISCOVERY_SILENT,
        DISCOVERY_LATE,
        DISCOVERY_SHUFFLE,
        DISCOVERY_CROWD,
        WATCHES_SILENT,
        WATCHES_RESET,
        KILL_PROXY,
        END_PROXY,
        ROLL_PROXIES,
        PAUSE_PROXY,
        RELOAD_PROXY,
        CUT_PROXY,
        CROWD_PROXY,
        CUT_PEERS,
        DATAGRAMS,
        REPEAT_DATAGRAMS,
        STRANGERS,
        CLOCK,
        SURGE,
        BURST
    }

    /**
     * Which datagrams between client proxies a fault is about, and what it does to them.
     *
     * @param from numbers of the senders; empty: all
     * @param to numbers of the receivers; empty: all others
     * @param oneWay whether only that way is cut
     * @param lose part that is lost
     * @param twice part that comes twice
     * @param overtaken part that later ones overtake
     * @param change part that has bytes changed
     * @param late how much later they come
     */
    public record Between(
            List<Integer> from,
            List<Integer> to,
            boolean oneWay,
            double lose,
            double twice,
            double overtaken,
            double change,
            Range late) {}

    /**
     * One thing that goes wrong; which fields count depends on its kind.
     *
     * @param at when it begins
     * @param forUs how long it lasts; 0: to the end
     * @param servers names of servers, or empty
     * @param count how many servers or client proxies, drawn, or requests at once; -1: all
     * @param zone number of a zone, or -1
     * @param proxy number of a client proxy, or -1
     * @param tenant number of a tenant, or -1: all
     * @param factor how many times slower or more; or how many lists; or calls or datagrams a second; or by how many
     *        milliseconds a clock is put on
     * @param share a part: of the machine, of the answers, of the fleet at a time
     * @param on mean time on, for what comes and goes; or the time within which it happens to all
     * @param off mean time off
     * @param drainUs how long a server drains before its process ends, or a killed client proxy stays away beyond its
     *        start, or datagrams are kept before they are repeated
     * @param moved whether a restarted server has another address; whether discovery is what a client proxy is cut from
     * @param between what happens to datagrams; null: nothing
     */
    public record Fault(
            Kind kind,
            long at,
            long forUs,
            List<String> servers,
            int count,
            int zone,
            int proxy,
            int tenant,
            double factor,
            double share,
            Range on,
            Range off,
            long drainUs,
            boolean moved,
            Between between) {}

    /** What a client proxy is told of all this. */
    public Balancer.Settings settings() {
        List<Balancer.RequestClass> types = new ArrayList<>();
        classes.forEach(c -> types.add(c.type()));
        List<Double> shares = new ArrayList<>();
        tenants.forEach(t -> shares.add(t.share()));
        double worth =
                classes.stream().mapToDouble(c -> c.share() * c.type().worth()).sum();
        return new Balancer.Settings(
                types,
                shares,
                overShareWorth,
                proxies.count(),
                service.probe() / Math.max(1e-9, worth),
                discovery.asked(),
                false,
                new Balancer.Limits(
                        limits.attempts(),
                        limits.cancel(),
                        limits.probes(),
                        limits.retryAfterUs(),
                        limits.connIdleUs()),
                new Balancer.Contract(rules.askWithinUs(), rules.coldFrom(), rules.coldUs(), rules.coldMultiple()));
    }

    /** Whether a refusal of this class is harmless after an attempt that may have run. */
    public static boolean refusable(Balancer.RequestClass type) {
        return type.effect() == Effect.RETRYABLE || type.effect() == Effect.DEDUP && type.scope() == DedupScope.ALL;
    }

    /** The same world with another script. */
    Scenario withFaults(List<Fault> script) {
        return with(proxies, rules, script);
    }

    /** The same world with another number of client proxies; the requests are spread over them. */
    public Scenario withProxies(int count) {
        Proxies p = new Proxies(
                count,
                proxies.spread(),
                proxies.startWithinUs(),
                proxies.known(),
                proxies.knownAgeUs(),
                proxies.ghosts(),
                proxies.startUs(),
                proxies.lateCallsUs(),
                proxies.killAfterUs(),
                proxies.connections(),
                proxies.cpu());
        return with(p, rules, faults);
    }

    /** The same world as one service of many, without faults: these servers, and so many client proxies that call it. */
    Scenario asService(
            String itsName,
            long itsLengthUs,
            Proxies itsProxies,
            Clients itsClients,
            Load itsLoad,
            Servers itsServers,
            List<ClassSpec> itsClasses) {
        return new Scenario(
                itsName,
                title,
                itsLengthUs,
                settleUs,
                zones,
                network,
                discovery,
                itsProxies,
                itsClients,
                itsLoad,
                List.of(itsServers),
                itsClasses,
                tenants,
                overShareWorth,
                limits,
                rules,
                service,
                null,
                List.of());
    }

    /** The same world with each time limit of its rules so much longer. */
    Scenario withSlack(long us) {
        Rules r = new Rules(
                rules.answerSlackUs() + us,
                rules.drainUs() + us,
                rules.coldMultiple(),
                rules.coldForUs(),
                rules.coldFrom(),
                rules.coldUs(),
                rules.askWithinUs() + us);
        return with(proxies, r, faults);
    }

    private Scenario with(Proxies itsProxies, Rules itsRules, List<Fault> itsFaults) {
        return new Scenario(
                name,
                title,
                lengthUs,
                settleUs,
                zones,
                network,
                discovery,
                itsProxies,
                clients,
                load,
                servers,
                classes,
                tenants,
                overShareWorth,
                limits,
                itsRules,
                service,
                peers,
                itsFaults);
    }

    /** How many servers there are. */
    public int fleet() {
        return servers.stream().mapToInt(Servers::count).sum();
    }

    /**
     * Requests of the mean work that all servers can serve in a second when warm and undisturbed, in
     * expectation.
     */
    public double fullRate() {
        return fullRate(servers, classes);
    }

    static double fullRate(List<Servers> servers, List<ClassSpec> classes) {
        double work = classes.stream().mapToDouble(c -> c.share() * c.workUs()).sum();
        return capacity(servers) * 1e6 / work;
    }

    /**
     * Work that all servers can do in a second when warm and undisturbed, in core seconds, in expectation.
     */
    public double capacity() {
        return capacity(servers);
    }

    private static double capacity(List<Servers> servers) {
        return servers.stream()
                .mapToDouble(s ->
                        s.count() * s.cores() * (s.speed().low() + s.speed().high()) / 2)
                .sum();
    }
}
