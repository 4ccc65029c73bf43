package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.UnservedReason;
import mulleinfront.core.UnservedCounts;
import mulleinfront.settings.Section;

/** Collects the statistics of a service report during a run. */
final class ServiceStatistics {
    /** Width of the report's windows. */
    static final long WINDOW_US = 5_000_000;

    private final Scenario scenario;
    private final Sum total = new Sum();
    private final Sum[] classes;
    private final Sum[] tenants;
    private final List<Sum> windows = new ArrayList<>();
    private final long[] triesByResult = new long[Clients.TryResult.values().length];
    private final long[] outcomes = new long[Outcome.values().length];
    private final Map<String, List<ServerModel>> processesByHost = new LinkedHashMap<>();
    private final List<ServiceReport.FaultRecord> appliedFaults = new ArrayList<>();
    private double lateWorth;
    private double workOffered;
    private long attempts;
    private long crossZoneAttempts;
    private long tryCount;
    private int maxConnections;
    long probes;
    /**
     * Requests to restarted client proxies in their first seconds ({@code restarted}), and to the other proxies at
     * the same time ({@code stayed}).
     */
    private final Sum restarted = new Sum();

    private final Sum stayed = new Sum();
    private long restartsFrom = Long.MAX_VALUE;
    private long restartsTo;
    /** Why client proxies left requests unserved, in total and by window. */
    private final UnservedCounts unserved;

    private final List<UnservedCounts> unservedByWindow = new ArrayList<>();

    /** Value offered and earned, and response times. */
    static final class Sum {
        private long tries;
        private long refused;
        private double offered;
        private double earned;
        private long count;
        private long onTime;
        private long served;
        private double offeredWithinShare;
        private double earnedWithinShare;
        private long[] latenciesUs = new long[256];

        private void offered(double worth, boolean overShare) {
            count++;
            offered += worth;
            offeredWithinShare += overShare ? 0 : worth;
        }

        private void served(double worth, boolean overShare, long latencyUs, boolean inTime) {
            if (served == latenciesUs.length) {
                latenciesUs = Arrays.copyOf(latenciesUs, 2 * latenciesUs.length);
            }
            latenciesUs[(int) served++] = latencyUs;
            onTime += inTime ? 1 : 0;
            earned += worth;
            earnedWithinShare += overShare ? 0 : worth;
        }

        private double earnedShare() {
            return offered == 0 ? 1 : earned / offered;
        }

        private double earnedShareWithin() {
            return offeredWithinShare == 0 ? 1 : earnedWithinShare / offeredWithinShare;
        }

        private ServiceReport.GroupStatistics toGroupStatistics(String name, double share) {
            long[] sorted = Arrays.copyOf(latenciesUs, (int) served);
            Arrays.sort(sorted);
            return new ServiceReport.GroupStatistics(
                    name, count, onTime, served, share, quantile(sorted, 0.5), quantile(sorted, 0.99));
        }

        private static long quantile(long[] sorted, double fraction) {
            return sorted.length == 0 ? -1 : sorted[(int) Math.min(sorted.length - 1, fraction * sorted.length)];
        }
    }

    ServiceStatistics(Scenario scenario) {
        this.scenario = scenario;
        this.classes = new Sum[scenario.classes().size()];
        this.tenants = new Sum[scenario.tenants().size()];
        Arrays.setAll(classes, i -> new Sum());
        this.unserved = newUnservedCounts();
        Arrays.setAll(tenants, i -> new Sum());
    }

    // ---- what happens --------------------------------------------------------------------------------

    void faultApplied(Scenario.Fault fault, long now) {
        String target = !fault.servers().isEmpty()
                ? " " + String.join(", ", fault.servers())
                : fault.proxy() >= 0 ? " " + fault.proxy() : fault.count() >= 0 ? " x" + fault.count() : "";
        appliedFaults.add(new ServiceReport.FaultRecord(now, fault.forUs(), Section.outputName(fault.kind()) + target));
    }

    /** Records the restart of a client proxy. */
    void proxyRestarted(long now) {
        restartsFrom = Math.min(restartsFrom, now);
        restartsTo = now + UnservedCounts.RECENT_START_US;
    }

    /** The restart statistics that a request counts for; null: neither. */
    private Sum restartStatisticsOf(Instance proxy, long now) {
        if (now < restartsFrom || now > restartsTo) {
            return null;
        }
        return proxy.starts == 1 ? stayed : now - proxy.readyAt < UnservedCounts.RECENT_START_US ? restarted : null;
    }

    double worth(Clients.ClientRequest request) {
        return request.type.worth() * (request.overShare ? scenario.overShareWorth() : 1);
    }

    void requestArrived(Clients.ClientRequest request, Instance proxy) {
        double worth = worth(request);
        request.restartStatistics = proxy.running() ? restartStatisticsOf(proxy, request.arrivedAt) : null;
        if (request.restartStatistics != null) {
            request.restartStatistics.offered(worth, request.overShare);
        }
        total.offered(worth, request.overShare);
        classes[request.classIndex].offered(worth, request.overShare);
        if (tenants.length > 0) {
            tenants[request.tenant].offered(worth, request.overShare);
        }
        window(request.arrivedAt).offered(worth, request.overShare);
    }

    private Sum window(long at) {
        int index = (int) (at / WINDOW_US);
        while (windows.size() <= index) {
            windows.add(new Sum());
        }
        return windows.get(index);
    }

    void trySent() {
        tryCount++;
    }

    void tryEnded(Clients.ClientRequest request, Clients.TryResult result) {
        triesByResult[result.ordinal()]++;
        if (request.restartStatistics != null) {
            request.restartStatistics.tries++;
            request.restartStatistics.refused += result == Clients.TryResult.REFUSED ? 1 : 0;
        }
    }

    /**
     * Records the end of a request for its client, with or without a response.
     *
     * @return the value of the request that was not earned
     */
    double requestEnded(Clients.ClientRequest request, boolean served, long now) {
        RequestClass type = request.type;
        if (!served) {
            lateWorth += now > request.targetAt() ? worth(request) : 0;
            return worth(request);
        }
        boolean inTime = now <= request.targetAt();
        double worth = worth(request) * (inTime ? 1 : type.lateWorth());
        long latencyUs = now - request.arrivedAt;
        total.served(worth, request.overShare, latencyUs, inTime);
        classes[request.classIndex].served(worth, request.overShare, latencyUs, inTime);
        if (tenants.length > 0) {
            tenants[request.tenant].served(worth, request.overShare, latencyUs, inTime);
        }
        window(request.arrivedAt).served(worth, request.overShare, latencyUs, inTime);
        if (request.restartStatistics != null) {
            request.restartStatistics.served(worth, request.overShare, latencyUs, inTime);
        }
        return inTime ? 0 : worth(request) - worth;
    }

    void attemptSent(boolean withinZone) {
        attempts++;
        crossZoneAttempts += withinZone ? 0 : 1;
    }

    void attemptEnded(Outcome outcome) {
        outcomes[outcome.ordinal()]++;
    }

    void connectionOpened(int connections) {
        maxConnections = Math.max(maxConnections, connections);
    }

    void workArrived(double work) {
        workOffered += work;
    }

    void processStarted(Host host, ServerModel process) {
        processesByHost.computeIfAbsent(host.id, id -> new ArrayList<>()).add(process);
    }

    private UnservedCounts newUnservedCounts() {
        return new UnservedCounts(
                scenario.classes().stream().map(Scenario.ClassSpec::type).toList());
    }

    void requestUnserved(long now, UnservedReason reason) {
        unserved.requestUnserved(now, reason);
        int index = (int) (now / WINDOW_US);
        while (unservedByWindow.size() <= index) {
            unservedByWindow.add(newUnservedCounts());
        }
        unservedByWindow.get(index).requestUnserved(now, reason);
    }

    // ---- the report ----------------------------------------------------------------------------------

    ServiceReport report(World world) {
        Scenario.Service spec = scenario.service();
        List<ServiceReport.Server> servers = new ArrayList<>();
        double wasted = 0;
        int lingered = 0;
        for (Map.Entry<String, List<ServerModel>> entry : processesByHost.entrySet()) {
            ServerModel.Statistics statistics = sum(entry.getValue());
            servers.add(
                    new ServiceReport.Server(entry.getKey(), entry.getValue().size(), statistics));
            wasted += statistics.workWasted;
            lingered += statistics.slowedDownUs > 0 ? 1 : 0;
        }
        long requestCount = Math.max(1, total.count);
        Map<String, Double> prices = new LinkedHashMap<>();
        prices.put("waste", spec.waste() * Math.min(1, wasted / Math.max(1, workOffered)));
        prices.put("late-fail", spec.lateFail() * lateWorth / Math.max(1e-9, total.offered));
        prices.put("probe", spec.probe() * probes / requestCount);
        prices.put("cross-zone", spec.crossZone() * crossZoneAttempts / requestCount);
        prices.put("linger", spec.linger() * lingered / Math.max(1, servers.size()));
        double worstClass = Arrays.stream(classes)
                .filter(c -> c.count > 0)
                .mapToDouble(Sum::earnedShare)
                .min()
                .orElse(1);
        double worstTenant = Arrays.stream(tenants)
                .filter(t -> t.offeredWithinShare > 0)
                .mapToDouble(Sum::earnedShareWithin)
                .min()
                .orElse(total.earnedShareWithin());
        double worstWindow = worstWindow(spec.windowUs());
        double service = spec.overallWeight() * total.earnedShare()
                + spec.windowWeight() * worstWindow
                + spec.worstClassWeight() * worstClass
                + spec.worstTenantWeight() * worstTenant
                - prices.values().stream().mapToDouble(Double::doubleValue).sum();
        return new ServiceReport(
                service,
                total.earnedShare(),
                worstWindow,
                worstClass,
                worstTenant,
                prices,
                total.count,
                groupStatistics(classes, i -> scenario.classes().get(i).type().name(), false),
                groupStatistics(tenants, i -> scenario.tenants().get(i).name(), true),
                windowStatistics(),
                nonZeroByName(triesByResult, i -> Section.outputName(Clients.TryResult.values()[i])),
                nonZeroByName(outcomes, i -> Section.outputName(Outcome.values()[i])),
                counts(world),
                servers,
                List.copyOf(appliedFaults),
                world.lossAttribution.report(),
                unserved,
                List.copyOf(unservedByWindow),
                restarted.count == 0
                        ? List.of()
                        : List.of(
                                restartStatistics("started again", restarted),
                                restartStatistics("never killed", stayed)));
    }

    private static ServiceReport.RestartStatistics restartStatistics(String name, Sum group) {
        return new ServiceReport.RestartStatistics(
                name, group.count, group.onTime, group.earnedShare(), group.tries, group.refused);
    }

    /**
     * The lowest fraction of value earned in any run of whole windows of this length that has enough offered load to
     * be significant.
     */
    private double worstWindow(long lengthUs) {
        int windowCount = (int) Math.max(1, lengthUs / WINDOW_US);
        double worst = 1;
        double minOffered = total.offered / Math.max(1, windows.size()) * windowCount / 10;
        for (int from = 0; from + windowCount <= windows.size(); from++) {
            double offered = 0;
            double earned = 0;
            for (Sum window : windows.subList(from, from + windowCount)) {
                offered += window.offered;
                earned += window.earned;
            }
            worst = offered > minOffered ? Math.min(worst, earned / offered) : worst;
        }
        return worst;
    }

    /** Returns the name to report for an index of a counter array. */
    private interface Namer {
        String name(int index);
    }

    private static List<ServiceReport.GroupStatistics> groupStatistics(Sum[] sums, Namer namer, boolean withinShare) {
        List<ServiceReport.GroupStatistics> parts = new ArrayList<>();
        for (int i = 0; i < sums.length; i++) {
            parts.add(sums[i].toGroupStatistics(
                    namer.name(i), withinShare ? sums[i].earnedShareWithin() : sums[i].earnedShare()));
        }
        return parts;
    }

    private List<ServiceReport.Window> windowStatistics() {
        List<ServiceReport.Window> all = new ArrayList<>();
        for (int i = 0; i < windows.size(); i++) {
            all.add(new ServiceReport.Window(
                    i * WINDOW_US, windows.get(i).count, windows.get(i).earnedShare()));
        }
        return all;
    }

    private static Map<String, Long> nonZeroByName(long[] counts, Namer namer) {
        Map<String, Long> named = new LinkedHashMap<>();
        for (int i = 0; i < counts.length; i++) {
            if (counts[i] > 0) {
                named.put(namer.name(i), counts[i]);
            }
        }
        return named;
    }

    private Map<String, Long> counts(World world) {
        Map<String, Long> counts = new LinkedHashMap<>();
        counts.put("tries", tryCount);
        counts.put("attempts", attempts);
        counts.put("attempts across zones", crossZoneAttempts);
        counts.put("probes", probes);
        counts.put("most connections of a client proxy", (long) maxConnections);
        counts.put("discovery calls", world.registry.calls);
        counts.put("discovery calls failed", world.registry.failedCalls);
        counts.put(
                "client proxy starts",
                world.proxies.stream().mapToLong(p -> p.starts).sum());
        return counts;
    }

    private static ServerModel.Statistics sum(List<ServerModel> processes) {
        ServerModel.Statistics all = new ServerModel.Statistics();
        processes.forEach(l -> all.add(l.statistics()));
        return all;
    }
}
