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
final class Tally {
    /** Width of the report's windows. */
    static final long WINDOW_US = 5_000_000;

    private final Scenario scenario;
    private final Sum whole = new Sum();
    private final Sum[] classes;
    private final Sum[] tenants;
    private final List<Sum> windows = new ArrayList<>();
    private final long[] tries = new long[Clients.How.values().length];
    private final long[] outcomes = new long[Outcome.values().length];
    private final Map<String, List<ServerModel>> lives = new LinkedHashMap<>();
    private final List<ServiceReport.Happened> happened = new ArrayList<>();
    private double lateWorth;
    private double workOffered;
    private long attempts;
    private long crossed;
    private long triesMade;
    private int mostConnections;
    long probes;
    /**
     * Requests to restarted client proxies in their first seconds ({@code restarted}), and to the other proxies at
     * the same time ({@code stayed}).
     */
    private final Sum restarted = new Sum();

    private final Sum stayed = new Sum();
    private long startsFrom = Long.MAX_VALUE;
    private long startsTo;
    /** Why client proxies left requests unserved, in total and by window. */
    private final UnservedCounts unserved;

    private final List<UnservedCounts> unservedIn = new ArrayList<>();

    /** Value offered and earned, and response times. */
    static final class Sum {
        private long tries;
        private long refused;
        private double asked;
        private double earned;
        private long count;
        private long onTime;
        private long served;
        private double askedWithin;
        private double earnedWithin;
        private long[] times = new long[256];

        private void asked(double worth, boolean overShare) {
            count++;
            asked += worth;
            askedWithin += overShare ? 0 : worth;
        }

        private void served(double worth, boolean overShare, long us, boolean inTime) {
            if (served == times.length) {
                times = Arrays.copyOf(times, 2 * times.length);
            }
            times[(int) served++] = us;
            onTime += inTime ? 1 : 0;
            earned += worth;
            earnedWithin += overShare ? 0 : worth;
        }

        private double share() {
            return asked == 0 ? 1 : earned / asked;
        }

        private double shareWithin() {
            return askedWithin == 0 ? 1 : earnedWithin / askedWithin;
        }

        private ServiceReport.Part part(String name, double share) {
            long[] sorted = Arrays.copyOf(times, (int) served);
            Arrays.sort(sorted);
            return new ServiceReport.Part(name, count, onTime, served, share, at(sorted, 0.5), at(sorted, 0.99));
        }

        private static long at(long[] sorted, double quantile) {
            return sorted.length == 0 ? -1 : sorted[(int) Math.min(sorted.length - 1, quantile * sorted.length)];
        }
    }

    Tally(Scenario scenario) {
        this.scenario = scenario;
        this.classes = new Sum[scenario.classes().size()];
        this.tenants = new Sum[scenario.tenants().size()];
        Arrays.setAll(classes, i -> new Sum());
        this.unserved = refusals();
        Arrays.setAll(tenants, i -> new Sum());
    }

    // ---- what happens --------------------------------------------------------------------------------

    void happened(Scenario.Fault f, long now) {
        String whom = !f.servers().isEmpty()
                ? " " + String.join(", ", f.servers())
                : f.proxy() >= 0 ? " " + f.proxy() : f.count() >= 0 ? " x" + f.count() : "";
        happened.add(new ServiceReport.Happened(now, f.forUs(), Section.form(f.kind()) + whom));
    }

    /** Records the restart of a client proxy. */
    void startedAgain(long now) {
        startsFrom = Math.min(startsFrom, now);
        startsTo = now + UnservedCounts.RECENT_START_US;
    }

    /** The restart statistics that a request counts for; null: neither. */
    private Sum startOf(Instance proxy, long now) {
        if (now < startsFrom || now > startsTo) {
            return null;
        }
        return proxy.starts == 1 ? stayed : now - proxy.readyAt < UnservedCounts.RECENT_START_US ? restarted : null;
    }

    double worth(Clients.Ask a) {
        return a.type.worth() * (a.overShare ? scenario.overShareWorth() : 1);
    }

    void asked(Clients.Ask a, Instance proxy) {
        double worth = worth(a);
        a.start = proxy.running() ? startOf(proxy, a.bornAt) : null;
        if (a.start != null) {
            a.start.asked(worth, a.overShare);
        }
        whole.asked(worth, a.overShare);
        classes[a.classIndex].asked(worth, a.overShare);
        if (tenants.length > 0) {
            tenants[a.tenant].asked(worth, a.overShare);
        }
        window(a.bornAt).asked(worth, a.overShare);
    }

    private Sum window(long at) {
        int place = (int) (at / WINDOW_US);
        while (windows.size() <= place) {
            windows.add(new Sum());
        }
        return windows.get(place);
    }

    void tried() {
        triesMade++;
    }

    void tryEnded(Clients.Ask a, Clients.How how) {
        tries[how.ordinal()]++;
        if (a.start != null) {
            a.start.tries++;
            a.start.refused += how == Clients.How.REFUSED ? 1 : 0;
        }
    }

    /**
     * Records the end of a request for its client, with or without a response.
     *
     * @return the value of the request that was not earned
     */
    double over(Clients.Ask a, boolean served, long now) {
        RequestClass type = a.type;
        if (!served) {
            lateWorth += now > a.aimAt() ? worth(a) : 0;
            return worth(a);
        }
        boolean inTime = now <= a.aimAt();
        double worth = worth(a) * (inTime ? 1 : type.lateWorth());
        long us = now - a.bornAt;
        whole.served(worth, a.overShare, us, inTime);
        classes[a.classIndex].served(worth, a.overShare, us, inTime);
        if (tenants.length > 0) {
            tenants[a.tenant].served(worth, a.overShare, us, inTime);
        }
        window(a.bornAt).served(worth, a.overShare, us, inTime);
        if (a.start != null) {
            a.start.served(worth, a.overShare, us, inTime);
        }
        return inTime ? 0 : worth(a) - worth;
    }

    void sent(boolean withinZone) {
        attempts++;
        crossed += withinZone ? 0 : 1;
    }

    void outcome(Outcome outcome) {
        outcomes[outcome.ordinal()]++;
    }

    void opened(int connections) {
        mostConnections = Math.max(mostConnections, connections);
    }

    void arrived(double work) {
        workOffered += work;
    }

    void began(Host host, ServerModel life) {
        lives.computeIfAbsent(host.id, id -> new ArrayList<>()).add(life);
    }

    private UnservedCounts refusals() {
        return new UnservedCounts(
                scenario.classes().stream().map(Scenario.ClassSpec::type).toList());
    }

    void unserved(long now, UnservedReason why) {
        unserved.requestUnserved(now, why);
        int place = (int) (now / WINDOW_US);
        while (unservedIn.size() <= place) {
            unservedIn.add(refusals());
        }
        unservedIn.get(place).requestUnserved(now, why);
    }

    // ---- the report ----------------------------------------------------------------------------------

    ServiceReport report(World world) {
        Scenario.Service s = scenario.service();
        List<ServiceReport.Server> servers = new ArrayList<>();
        double wasted = 0;
        int lingered = 0;
        for (Map.Entry<String, List<ServerModel>> e : lives.entrySet()) {
            ServerModel.Figures f = sum(e.getValue());
            servers.add(new ServiceReport.Server(e.getKey(), e.getValue().size(), f));
            wasted += f.workWasted;
            lingered += f.lingeredUs > 0 ? 1 : 0;
        }
        long firsts = Math.max(1, whole.count);
        Map<String, Double> prices = new LinkedHashMap<>();
        prices.put("waste", s.waste() * Math.min(1, wasted / Math.max(1, workOffered)));
        prices.put("late-fail", s.lateFail() * lateWorth / Math.max(1e-9, whole.asked));
        prices.put("probe", s.probe() * probes / firsts);
        prices.put("cross-zone", s.crossZone() * crossed / firsts);
        prices.put("linger", s.linger() * lingered / Math.max(1, servers.size()));
        double worstClass = Arrays.stream(classes)
                .filter(c -> c.count > 0)
                .mapToDouble(Sum::share)
                .min()
                .orElse(1);
        double worstTenant = Arrays.stream(tenants)
                .filter(t -> t.askedWithin > 0)
                .mapToDouble(Sum::shareWithin)
                .min()
                .orElse(whole.shareWithin());
        double worstWindow = worstWindow(s.windowUs());
        double service = s.whole() * whole.share()
                + s.window() * worstWindow
                + s.worstClass() * worstClass
                + s.worstTenant() * worstTenant
                - prices.values().stream().mapToDouble(Double::doubleValue).sum();
        return new ServiceReport(
                service,
                whole.share(),
                worstWindow,
                worstClass,
                worstTenant,
                prices,
                whole.count,
                parts(classes, i -> scenario.classes().get(i).type().name(), false),
                parts(tenants, i -> scenario.tenants().get(i).name(), true),
                windowParts(),
                names(tries, i -> Section.form(Clients.How.values()[i])),
                names(outcomes, i -> Section.form(Outcome.values()[i])),
                counts(world),
                servers,
                List.copyOf(happened),
                world.account.report(),
                unserved,
                List.copyOf(unservedIn),
                restarted.count == 0
                        ? List.of()
                        : List.of(starts("started again", restarted), starts("never killed", stayed)));
    }

    private static ServiceReport.Starts starts(String name, Sum s) {
        return new ServiceReport.Starts(name, s.count, s.onTime, s.share(), s.tries, s.refused);
    }

    /**
     * The lowest fraction of value earned in any run of whole windows of this length that has enough offered load to
     * be significant.
     */
    private double worstWindow(long lengthUs) {
        int wide = (int) Math.max(1, lengthUs / WINDOW_US);
        double worst = 1;
        double least = whole.asked / Math.max(1, windows.size()) * wide / 10;
        for (int from = 0; from + wide <= windows.size(); from++) {
            double asked = 0;
            double earned = 0;
            for (Sum w : windows.subList(from, from + wide)) {
                asked += w.asked;
                earned += w.earned;
            }
            worst = asked > least ? Math.min(worst, earned / asked) : worst;
        }
        return worst;
    }

    /** Returns the name to report for an index of a counter array. */
    private interface Namer {
        String name(int place);
    }

    private static List<ServiceReport.Part> parts(Sum[] sums, Namer namer, boolean withinShare) {
        List<ServiceReport.Part> parts = new ArrayList<>();
        for (int i = 0; i < sums.length; i++) {
            parts.add(sums[i].part(namer.name(i), withinShare ? sums[i].shareWithin() : sums[i].share()));
        }
        return parts;
    }

    private List<ServiceReport.Window> windowParts() {
        List<ServiceReport.Window> all = new ArrayList<>();
        for (int i = 0; i < windows.size(); i++) {
            all.add(new ServiceReport.Window(
                    i * WINDOW_US, windows.get(i).count, windows.get(i).share()));
        }
        return all;
    }

    private static Map<String, Long> names(long[] counts, Namer namer) {
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
        counts.put("tries", triesMade);
        counts.put("attempts", attempts);
        counts.put("attempts across zones", crossed);
        counts.put("probes", probes);
        counts.put("most connections of a client proxy", (long) mostConnections);
        counts.put("discovery calls", world.registry.calls);
        counts.put("discovery calls failed", world.registry.failedCalls);
        counts.put(
                "client proxy starts",
                world.proxies.stream().mapToLong(p -> p.starts).sum());
        return counts;
    }

    private static ServerModel.Figures sum(List<ServerModel> lives) {
        ServerModel.Figures all = new ServerModel.Figures();
        lives.forEach(l -> all.add(l.figures()));
        return all;
    }
}
