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
import mulleinfront.settings.Listing;

/**
 * What a list of hosts costs as they become more: its bytes, and the time to read it and take it into the
 * module.
 */
public final class ListCost {
    private static final int LEAST_ROUNDS = 20;
    private static final int HOSTS_READ = 200_000;

    private ListCost() {}

    /** One host in discovery's form, with names as long as the sites' own. */
    private static String entry(int i, int life, String state) {
        return "{\"id\":\"server-" + i + "-" + life + "\",\"addr\":\"10." + i / 60000 + "." + i / 250 % 240
                + "."
                + (1 + i % 250) + ":9001\",\"zone\":\"zone-a\",\"kind\":\"new\",\"cell\":" + i % 8
                + ",\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":1796083200000}";
    }

    /** A whole list in discovery's form. */
    static byte[] whole(int hosts) {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            all.add(entry(i, 0, "in_service"));
        }
        return list(1, true, all);
    }

    /** A change in the same form: the process on one host is gone, and the next one there. */
    private static byte[] change(int version, int host, int life) {
        return list(version, false, List.of(entry(host, life - 1, "terminated"), entry(host, life, "in_service")));
    }

    private static byte[] list(int version, boolean full, List<String> entries) {
        return ("{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", entries) + "]}\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Measures lists of these sizes. */
    public static List<Slope> measure(int[] sizes, String command) throws java.io.IOException {
        Measured out = new Measured("hosts", command);
        one(sizes[0], new Measured("", ""));
        for (int n : sizes) {
            one(n, out);
        }
        return out.slopes();
    }

    private static void one(int hosts, Measured out) throws java.io.IOException {
        byte[] whole = whole(hosts);
        out.add(hosts, "lists.full.bytes", "a whole list", "bytes", whole.length);
        out.add(hosts, "lists.change.bytes", "one host replaced", "bytes", change(2, hosts - 1, 1).length);
        Balancer module = module();
        long now = 1_000_000;
        int rounds = Math.max(LEAST_ROUNDS, HOSTS_READ / hosts);
        long from = 0;
        for (int i = -rounds / 4; i < rounds; i++) {
            from = i == 0 ? cpu() : from;
            now += 1_000;
            module.onEndpoints(now, Source.FULL, endpoints(Listing.parse(whole)));
        }
        out.add(
                hosts,
                "lists.full.processor",
                "processor time to read and take a whole list",
                "s",
                (cpu() - from) / 1e9 / rounds);
        byte[][] changes = new byte[rounds][];
        for (int i = 0; i < rounds; i++) {
            changes[i] = change(2 + i, i % hosts, 1 + i / hosts);
        }
        from = cpu();
        for (int i = 0; i < rounds; i++) {
            now += 1_000;
            module.onEndpoints(now, Source.DELTA, endpoints(Listing.parse(changes[i])));
        }
        out.add(
                hosts,
                "lists.change.processor",
                "processor time to read and take one host replaced",
                "s",
                (cpu() - from) / 1e9 / rounds);
        double within = last(hosts);
        out.add(hosts, "lists.asked", "until all have asked discovery once, a list at hand", "s", within);
        out.add(hosts, "lists.calls", "calls to discovery by all at once, a list at hand", "/s", hosts / within);
    }

    /** When the last of so many that begin at one moment with a list calls, by its own module, seconds. */
    private static double last(int instances) {
        long last = 1;
        for (int i = 0; i < instances; i++) {
            Caller caller = new Caller();
            Balancer module = module(instances, i, caller, true);
            module.onEndpoints(
                    0, Source.CACHED, List.of(new Endpoint("h", 0, 0, 0, Balancer.Availability.READY, 1, 0)));
            for (long now = 0; !caller.called && caller.at < Long.MAX_VALUE; now = caller.at) {
                module.onTimer(now);
                last = Math.max(last, now);
            }
        }
        return last / 1e6;
    }

    /** Notes when a module wants to be woken, and that it called. */
    private static final class Caller extends NoOpActions {
        private boolean called;
        private long at;

        @Override
        public void subscribe() {
            called = true;
        }

        @Override
        public void wakeAt(long atUs) {
            at = Math.max(at + 1, atUs);
        }
    }

    private static List<Endpoint> endpoints(Listing listing) {
        List<Endpoint> all = new ArrayList<>();
        for (Listing.Entry e : listing.entries()) {
            all.add(new Endpoint(e.id(), 0, e.cell(), 0, e.availability(), e.weight(), e.startedMs() * 1000));
        }
        return all;
    }

    private static Balancer module() {
        return module(1, 0, new NoOpActions(), false);
    }

    private static Balancer module(int instances, int number, Balancer.Actions actions, boolean asks) {
        RequestClass lookup = new RequestClass("lookup", Effect.RETRYABLE, null, 0, 1, 0, 500_000, 0, 2_000_000);
        return Balancer.create(
                new Settings(
                        List.of(lookup),
                        List.of(),
                        1,
                        instances,
                        0,
                        asks,
                        false,
                        new Limits(3, true, false, 0, 15_000_000),
                        new Contract(10_000_000, 0.2, 20_000_000),
                        number),
                1 + number,
                asks ? 0 : 1_000_000,
                actions);
    }

    private static long cpu() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
