package mulleinfront.bench;

import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import mulleinfront.Balancer;
import mulleinfront.Balancer.Contract;
import mulleinfront.Balancer.Effect;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Limits;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.Balancer.Settings;
import mulleinfront.Balancer.Source;
import mulleinfront.capacity.Slope;
import mulleinfront.core.NoOpActions;
import mulleinfront.settings.EndpointList;

/**
 * Measures the cost of endpoint lists by number of servers: their size, and the CPU time to parse and apply them.
 */
public final class ListCost {
    private static final int MIN_ROUNDS = 20;
    private static final int ENTRIES_READ = 200_000;

    private ListCost() {}

    /** One list entry as discovery writes it, with names of a realistic length. */
    private static String entry(int server, int incarnation, String state) {
        return "{\"id\":\"server-" + server + "-" + incarnation + "\",\"addr\":\"10." + server / 60000 + "."
                + server / 250 % 240
                + "."
                + (1 + server % 250) + ":9001\",\"zone\":\"zone-a\",\"kind\":\"new\",\"cell\":" + server % 8
                + ",\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":1796083200000}";
    }

    /** A full list as discovery writes it. */
    static byte[] fullList(int servers) {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            all.add(entry(i, 0, "in_service"));
        }
        return list(1, true, all);
    }

    /** A delta as discovery writes it that replaces one server by its next incarnation. */
    private static byte[] replacement(int version, int server, int incarnation) {
        return list(
                version,
                false,
                List.of(entry(server, incarnation - 1, "terminated"), entry(server, incarnation, "in_service")));
    }

    private static byte[] list(int version, boolean full, List<String> entries) {
        return ("{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", entries) + "]}\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Measures lists of the given sizes. */
    public static List<Slope> measure(int[] sizes, String command) throws java.io.IOException {
        SlopeCollector out = new SlopeCollector("hosts", command);
        measureSize(sizes[0], new SlopeCollector("", ""));
        for (int size : sizes) {
            measureSize(size, out);
        }
        return out.slopes();
    }

    private static void measureSize(int servers, SlopeCollector out) throws java.io.IOException {
        byte[] full = fullList(servers);
        out.add(servers, "lists.full.bytes", "a whole list", "bytes", full.length);
        out.add(servers, "lists.change.bytes", "one host replaced", "bytes", replacement(2, servers - 1, 1).length);
        Balancer balancer = newBalancer();
        long now = 1_000_000;
        int rounds = Math.max(MIN_ROUNDS, ENTRIES_READ / servers);
        long from = 0;
        for (int i = -rounds / 4; i < rounds; i++) {
            from = i == 0 ? threadCpuNanos() : from;
            now += 1_000;
            balancer.onEndpoints(now, Source.FULL, endpoints(EndpointList.parse(full)));
        }
        out.add(
                servers,
                "lists.full.processor",
                "processor time to read and take a whole list",
                "s",
                (threadCpuNanos() - from) / 1e9 / rounds);
        byte[][] changes = new byte[rounds][];
        for (int i = 0; i < rounds; i++) {
            changes[i] = replacement(2 + i, i % servers, 1 + i / servers);
        }
        from = threadCpuNanos();
        for (int i = 0; i < rounds; i++) {
            now += 1_000;
            balancer.onEndpoints(now, Source.DELTA, endpoints(EndpointList.parse(changes[i])));
        }
        out.add(
                servers,
                "lists.change.processor",
                "processor time to read and take one host replaced",
                "s",
                (threadCpuNanos() - from) / 1e9 / rounds);
        double within = secondsUntilLastCall(servers);
        out.add(servers, "lists.asked", "until all have asked discovery once, a list at hand", "s", within);
        out.add(servers, "lists.calls", "calls to discovery by all at once, a list at hand", "/s", servers / within);
    }

    /** Seconds until the last of the instances calls discovery, if all start at once with a cached list. */
    private static double secondsUntilLastCall(int instances) {
        long lastUs = 1;
        for (int i = 0; i < instances; i++) {
            CallRecorder caller = new CallRecorder();
            Balancer balancer = newBalancer(instances, i, caller, true);
            balancer.onEndpoints(
                    0, Source.CACHED, List.of(new Endpoint("h", 0, 0, 0, Balancer.Availability.READY, 1, 0)));
            for (long nowUs = 0; !caller.called && caller.wakeAtUs < Long.MAX_VALUE; nowUs = caller.wakeAtUs) {
                balancer.onTimer(nowUs);
                lastUs = Math.max(lastUs, nowUs);
            }
        }
        return lastUs / 1e6;
    }

    /** Records the next timer of a balancer and whether it has called discovery. */
    private static final class CallRecorder extends NoOpActions {
        private boolean called;
        private long wakeAtUs;

        @Override
        public void subscribe() {
            called = true;
        }

        @Override
        public void wakeAt(long atUs) {
            wakeAtUs = Math.max(wakeAtUs + 1, atUs);
        }
    }

    private static List<Endpoint> endpoints(EndpointList listing) {
        List<Endpoint> all = new ArrayList<>();
        for (EndpointList.Entry entry : listing.entries()) {
            all.add(new Endpoint(
                    entry.id(), 0, entry.cell(), 0, entry.availability(), entry.weight(), entry.startedMs() * 1000));
        }
        return all;
    }

    private static Balancer newBalancer() {
        return newBalancer(1, 0, new NoOpActions(), false);
    }

    private static Balancer newBalancer(int instances, int number, Balancer.Actions actions, boolean subscribes) {
        RequestClass lookup = new RequestClass("lookup", Effect.RETRYABLE, null, 0, 1, 0, 500_000, 0, 2_000_000);
        return Balancer.create(
                new Settings(
                        List.of(lookup),
                        List.of(),
                        1,
                        instances,
                        0,
                        subscribes,
                        false,
                        new Limits(3, true, false, 0, 15_000_000),
                        new Contract(10_000_000, 0.2, 20_000_000),
                        number),
                1 + number,
                subscribes ? 0 : 1_000_000,
                actions);
    }

    private static long threadCpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
