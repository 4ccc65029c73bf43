package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.List;
import mulleinfront.Balancer;
import mulleinfront.Balancer.DedupScope;
import mulleinfront.Balancer.Effect;
import mulleinfront.settings.Range;

/**
 * A simulated deployment and its timed faults, as {@link ScenarioReader} reads them from a file. All times are
 * in microseconds and all shares are fractions of 1. Where a parameter is a {@link Range}, each server, or each
 * simulation, draws its own value.
 *
 * @param name the file's name without its extension
 * @param title one line that describes the scenario
 * @param lengthUs how long clients send requests
 * @param settleUs drain-out period after that, in which the remaining requests are answered
 * @param zones names of the zones
 * @param network network delays
 * @param discovery how the server list is distributed
 * @param proxies the client proxies
 * @param clients how clients retry and give up
 * @param load the offered load
 * @param servers groups of identical servers
 * @param classes classes of requests
 * @param tenants tenants; may be empty
 * @param overShareWorth fraction of its value that a request beyond its tenant's share has
 * @param limits what client proxies are permitted to do
 * @param rules parameters of the four rules that the auditor checks
 * @param service how the service score is computed
 * @param peers membership among the client proxies; null: none
 * @param faults faults, in the order of the file
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
     * One-way delays in microseconds.
     *
     * @param same within a zone
     * @param cross between zones
     * @param client between an application and its own client proxy
     * @param jitter largest extra delay of a message, as a fraction of its path's delay
     */
    public record Network(Range same, Range cross, Range client, double jitter) {}

    /**
     * @param polled whether proxies call discovery for lists; otherwise an agent pushes them
     * @param noticeDelay delay until discovery learns of a change to a server
     * @param silentNoticeDelay delay until discovery learns of a server that vanished without notice
     * @param updateDelay delay until a change is sent to the open watches
     * @param callUs time that discovery takes for one call; it processes calls one after another
     * @param timeoutUs time after which a call without a response has failed
     * @param alsoListed additional servers that full lists name, all of them draining; on real sockets only
     */
    public record Discovery(
            boolean polled,
            Range noticeDelay,
            Range silentNoticeDelay,
            Range updateDelay,
            long callUs,
            long timeoutUs,
            int alsoListed) {}

    /** How current the list is that a client proxy starts with. */
    public enum InitialList {
        CURRENT,
        STALE,
        EMPTY
    }

    /**
     * @param count number of client proxies
     * @param spread Zipf exponent of the distribution of traffic among them; 0: equal
     * @param startWithinUs all proxies start within this time
     * @param initialList how current the initial list is
     * @param initialListAgeUs age of a stale initial list
     * @param unreachableListed unreachable servers that a stale list still names
     * @param startUs time from the start of a process until it accepts requests
     * @param lateRequestsUs how long a proxy goes on accepting requests after the shutdown signal
     * @param killAfterUs time from the shutdown signal until the process is killed
     * @param maxConnections most connections to servers per proxy
     * @param cpu CPU cost of the proxy's own code
     */
    public record Proxies(
            int count,
            double spread,
            long startWithinUs,
            InitialList initialList,
            long initialListAgeUs,
            int unreachableListed,
            long startUs,
            long lateRequestsUs,
            long killAfterUs,
            int maxConnections,
            Cpu cpu) {}

    /**
     * CPU cost of a client proxy's own code: half of a request's CPU time is spent when the request arrives and half
     * when its response is sent, one piece of work after another. Code that the JIT has not compiled yet takes longer.
     *
     * @param coreShare fraction of a core that each process has; 0: its code costs no time
     * @param coldUs CPU time of a process's first request
     * @param warmUs CPU time of a request once the code is compiled
     * @param requestsUntilWarm requests until then; the cost falls linearly
     */
    public record Cpu(double coreShare, long coldUs, long warmUs, int requestsUntilWarm) {
        /** Time in microseconds that half of a process's nth request takes. */
        long halfUs(long nth) {
            double cold = Math.max(0, 1 - (double) nth / requestsUntilWarm);
            return coreShare == 0 ? 0 : (long) ((warmUs + (coldUs - warmUs) * cold) / coreShare / 2);
        }
    }

    /**
     * @param retries most further tries of a request
     * @param backoff delay before a further try
     * @param doubling whether the delay doubles with each try
     * @param retryAfterShare share of clients that wait at least as long as {@code Retry-After} says
     * @param timeoutFraction fraction of the class's deadline after which the client gives a try up
     * @param disconnectShare share of tries whose client disconnects before its answer
     */
    public record Clients(
            int retries,
            Range backoff,
            boolean doubling,
            double retryAfterShare,
            Range timeoutFraction,
            double disconnectShare) {}

    /** How the request rate changes over time. */
    public enum LoadShape {
        STEADY,
        BURSTY,
        RAMP
    }

    /**
     * @param perSecond requests per second at the start
     * @param shape how the rate changes
     * @param endPerSecond requests per second at the end of a ramp
     * @param swing fraction by which bursts and lulls differ from the mean rate
     * @param burstUs mean length of a burst or lull
     * @param keys number of distinct keys; 0: requests have no key
     * @param zipf Zipf exponent of the keys' popularity
     */
    public record Load(
            double perSecond,
            LoadShape shape,
            double endPerSecond,
            double swing,
            long burstUs,
            int keys,
            double zipf) {}

    /** How service times vary. */
    public enum WorkDistribution {
        FIXED,
        EXPONENTIAL,
        LOGNORMAL
    }

    /**
     * A group of identical servers; the other parameters are those of {@link ServerModel.Spec}.
     *
     * @param count number of servers; numbered within the group and assigned to the zones in turn
     * @param cell servers per cell (deduplication group); cells are numbered across all groups
     * @param weight weight that discovery lists
     */
    public record Servers(
            String name,
            int count,
            int cell,
            double weight,
            int cores,
            Range speed,
            int slots,
            int queueCapacity,
            int maxConnections,
            Range handshakeWork,
            long idleCloseUs,
            double errorProbability,
            Range reportEvery,
            double probeWork,
            int maxProbes,
            boolean deepProbes,
            Range coldFraction,
            Range warmUp,
            double warmUpWork,
            long pauseEveryUs,
            Range pause,
            double overloadAt,
            double overloadLoss,
            ServerModel.MetastableSlowdown slowdown,
            ServerModel.CancelPolicy cancelPolicy,
            boolean dropsExpired,
            long keyCacheUs,
            double keySaving,
            int maxCachedKeys) {
        /** A group of {@code newCount} such servers under another name. */
        Servers withNameAndCount(String newName, int newCount) {
            return new Servers(
                    newName,
                    newCount,
                    cell,
                    weight,
                    cores,
                    speed,
                    slots,
                    queueCapacity,
                    maxConnections,
                    handshakeWork,
                    idleCloseUs,
                    errorProbability,
                    reportEvery,
                    probeWork,
                    maxProbes,
                    deepProbes,
                    coldFraction,
                    warmUp,
                    warmUpWork,
                    pauseEveryUs,
                    pause,
                    overloadAt,
                    overloadLoss,
                    slowdown,
                    cancelPolicy,
                    dropsExpired,
                    keyCacheUs,
                    keySaving,
                    maxCachedKeys);
        }
    }

    /** A request class as the balancer knows it, with its share of the requests and the work that one takes. */
    public record ClassSpec(Balancer.RequestClass type, double share, double workUs, WorkDistribution dist, double cv) {
        /** Draws the work of one request in microseconds. */
        double drawUs(RandomStream chance) {
            return switch (dist) {
                case FIXED -> workUs;
                case EXPONENTIAL -> chance.exponential(workUs);
                case LOGNORMAL -> chance.lognormal(workUs, cv);
            };
        }
    }

    /**
     * @param share of the service that the tenant is entitled to
     * @param usage its offered load as a fraction of that share
     */
    public record Tenant(String name, double share, double usage) {}

    /**
     * What a client proxy is permitted to do, and its time limits.
     *
     * @param reports share of the answers that report their server's requests in flight
     */
    public record Limits(
            int maxAttempts,
            boolean mayCancel,
            boolean mayProbe,
            long retryAfterUs,
            long dialTimeoutUs,
            long connIdleUs,
            double reports) {}

    /**
     * @param answerSlackUs time after the deadline in which a final answer still counts
     * @param drainUs how long after a change is known to a proxy it may still send to the removed server
     * @param coldMultiple load that overloads a cold server, as a multiple of its present capacity
     * @param coldForUs how long that load has to last to overload it
     * @param coldFrom least fraction of its capacity that a cold server has, as configured for client proxies
     * @param coldUs time after which a server is warm, as configured for client proxies
     * @param askWithinUs poll interval limit: after this time without a watch or a call a proxy counts as informed
     */
    public record Rules(
            long answerSlackUs,
            long drainUs,
            double coldMultiple,
            long coldForUs,
            double coldFrom,
            long coldUs,
            long askWithinUs) {
        /** The parameters that client proxies are configured with. */
        Balancer.Contract contract() {
            return new Balancer.Contract(askWithinUs, coldFrom, coldUs, coldMultiple);
        }
    }

    /** Weights of the parts of the service score, and prices as fractions of it. */
    public record Service(
            double overallWeight,
            double windowWeight,
            double worstClassWeight,
            double worstTenantWeight,
            long windowUs,
            double waste,
            double lateFail,
            double probe,
            double crossZone,
            double linger,
            double shareOfCapacity) {}

    /**
     * Membership among the client proxies.
     *
     * @param periodUs each member pings one other member per period
     * @param goneUs time after which a member that was not seen expires
     * @param withoutSuspicion whether the failure detector runs without suspicion and without local health
     * @param loss fraction of all datagrams that is lost, during the whole run
     */
    public record Peers(long periodUs, long goneUs, boolean withoutSuspicion, double loss) {}

    /** Type of a fault. */
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
     * Which datagrams between client proxies a fault affects, and how.
     *
     * @param from numbers of the senders; empty: all
     * @param to numbers of the receivers; empty: all others
     * @param oneWay whether a partition blocks only this direction
     * @param lossShare fraction that is lost
     * @param duplicateShare fraction that is duplicated
     * @param overtakenShare fraction that later datagrams overtake
     * @param corruptedShare fraction whose bytes are changed
     * @param extraDelay additional delay
     */
    public record DatagramEffects(
            List<Integer> from,
            List<Integer> to,
            boolean oneWay,
            double lossShare,
            double duplicateShare,
            double overtakenShare,
            double corruptedShare,
            Range extraDelay) {}

    /**
     * One fault; which fields apply depends on its type.
     *
     * @param at when it begins
     * @param forUs how long it lasts; 0: to the end of the scenario
     * @param servers names of servers, or empty
     * @param count number of servers or client proxies, chosen at random, or of requests at once; -1: all
     * @param zone number of a zone, or -1
     * @param proxy number of a client proxy, or -1
     * @param tenant number of a tenant, or -1: all
     * @param factor factor of a slowdown or a load increase; or number of lists, of failing calls or of connections; or
     *        calls or datagrams per second; or milliseconds by which a clock is put forward
     * @param share a fraction: of the server's CPU, of the answers, or of the targets per batch
     * @param on time on, for an intermittent fault; or the time within which it affects all targets; or a delay
     * @param off time off, for an intermittent fault
     * @param drainUs how long a server drains before its process ends, or how long a killed client proxy stays down in
     *        addition to its start time, or how long datagrams are recorded before they are repeated
     * @param moved whether a restarted server has another address; whether a client proxy is partitioned from discovery
     * @param datagramEffects effect on datagrams between client proxies; null: none
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
            DatagramEffects datagramEffects) {}

    /** The settings of a client proxy in this scenario. */
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
                discovery.polled(),
                false,
                new Balancer.Limits(
                        limits.maxAttempts(),
                        limits.mayCancel(),
                        limits.mayProbe(),
                        limits.retryAfterUs(),
                        limits.connIdleUs()),
                rules.contract());
    }

    /** Whether a refusal of this class is harmless after an attempt that may have run. */
    public static boolean refusalHarmless(Balancer.RequestClass type) {
        return type.effect() == Effect.RETRYABLE || type.effect() == Effect.DEDUP && type.scope() == DedupScope.ALL;
    }

    /** This scenario with other faults. */
    Scenario withFaults(List<Fault> newFaults) {
        return with(proxies, rules, newFaults);
    }

    /** This scenario with another number of client proxies; the total load stays the same. */
    public Scenario withProxies(int count) {
        Proxies resized = new Proxies(
                count,
                proxies.spread(),
                proxies.startWithinUs(),
                proxies.initialList(),
                proxies.initialListAgeUs(),
                proxies.unreachableListed(),
                proxies.startUs(),
                proxies.lateRequestsUs(),
                proxies.killAfterUs(),
                proxies.maxConnections(),
                proxies.cpu());
        return with(resized, rules, faults);
    }

    /** This scenario as one service of a call graph, without faults: its own servers and its own client proxies. */
    Scenario asService(
            String serviceName,
            long serviceLengthUs,
            Proxies serviceProxies,
            Clients serviceClients,
            Load serviceLoad,
            Servers serviceServers,
            List<ClassSpec> serviceClasses) {
        return new Scenario(
                serviceName,
                title,
                serviceLengthUs,
                settleUs,
                zones,
                network,
                discovery,
                serviceProxies,
                serviceClients,
                serviceLoad,
                List.of(serviceServers),
                serviceClasses,
                tenants,
                overShareWorth,
                limits,
                rules,
                service,
                null,
                List.of());
    }

    /** This scenario with each time limit of its rules extended. */
    Scenario withSlack(long slackUs) {
        Rules extended = new Rules(
                rules.answerSlackUs() + slackUs,
                rules.drainUs() + slackUs,
                rules.coldMultiple(),
                rules.coldForUs(),
                rules.coldFrom(),
                rules.coldUs(),
                rules.askWithinUs() + slackUs);
        return with(proxies, extended, faults);
    }

    private Scenario with(Proxies newProxies, Rules newRules, List<Fault> newFaults) {
        return new Scenario(
                name,
                title,
                lengthUs,
                settleUs,
                zones,
                network,
                discovery,
                newProxies,
                clients,
                load,
                servers,
                classes,
                tenants,
                overShareWorth,
                limits,
                newRules,
                service,
                peers,
                newFaults);
    }

    /** Number of servers in all groups. */
    public int serverCount() {
        return servers.stream().mapToInt(Servers::count).sum();
    }

    /**
     * Expected rate of requests with the mean work, per second, that all servers can serve when warm and without
     * faults.
     */
    public double fullRate() {
        return fullRate(servers, classes);
    }

    static double fullRate(List<Servers> servers, List<ClassSpec> classes) {
        double work = classes.stream().mapToDouble(c -> c.share() * c.workUs()).sum();
        return capacity(servers) * 1e6 / work;
    }

    /**
     * Expected work in core seconds per second that all servers can do when warm and without faults.
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
