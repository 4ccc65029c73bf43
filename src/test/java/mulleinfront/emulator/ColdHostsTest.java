package mulleinfront.emulator;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import mulleinfront.Balancer;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Request;
import mulleinfront.Balancer.Settings;
import mulleinfront.core.Core;
import mulleinfront.settings.BadFileException;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A cold host is not pushed over by the sum of all client proxies: what all that were told of its start send
 * it within the stated time stays under N + 2 x root of N + 2 requests of mean work, N being what settings
 * allow it then. First attempts, further ones, keys that spill and first requests of new instances all count.
 */
@Execution(ExecutionMode.CONCURRENT)
class ColdHostsTest {
    /** What was decided to be sent to each cold host, over all instances. */
    private static final class Meter {
        private final Map<String, ArrayDeque<double[]>> sent = new HashMap<>();
        private World world;
        private double mean;
        /** The largest part of its bound that any host was sent, and where that was. */
        private double most;

        private String where = "nothing was sent to any cold host";
        private long counted;

        Core.BalancerFactory around(double balancers) {
            return Noted.maker(
                    s -> new Settings(
                            s.classes(),
                            s.tenantShares(),
                            s.overShareWorth(),
                            (int) Math.max(1, Math.round(s.instances() * balancers)),
                            s.probePrice(),
                            s.subscribe(),
                            s.weightsVary(),
                            s.limits(),
                            s.contract()),
                    () -> new Instance(this));
        }

        void sent(String id, long startedAt, double workUs, long now) {
            Host host = world.hosts.stream()
                    .filter(h -> h.id.equals(id))
                    .findFirst()
                    .orElseThrow();
            Balancer.Contract c = world.settings.contract();
            double age = (double) (now - host.startedAt) / c.coldUs();
            if (host.startedAt == 0 || age >= 1) {
                return;
            }
            counted++;
            ArrayDeque<double[]> window = sent.computeIfAbsent(id + " of " + host.startedAt, h -> new ArrayDeque<>());
            window.add(new double[] {now, workUs / mean, startedAt == host.startedAt ? 1 : 0});
            long forUs = world.scenario.rules().coldForUs();
            while (window.peek()[0] <= now - forUs) {
                window.poll();
            }
            double sum = window.stream().mapToDouble(s -> s[1]).sum();
            double byTold = window.stream().mapToDouble(s -> s[1] * s[2]).sum();
            double ramp = c.coldFrom() + (1 - c.coldFrom()) * age;
            double n = c.overload() * ramp * host.machine.capacity() * forUs / mean;
            double bound = n + 2 * Math.sqrt(n) + 2;
            if (byTold * 3 > sum * 2 && sum / bound > most) {
                most = sum / bound;
                where = String.format(
                        Locale.ROOT,
                        "%s, %.2f s after its start: %.1f of %.1f (N %.1f), " + "%.0f%% by those who were told",
                        id,
                        (now - host.startedAt) / 1e6,
                        sum,
                        bound,
                        n,
                        100 * byTold / sum);
            }
        }
    }

    /** What one instance was told and sent. */
    private static final class Instance implements Noted.Notes {
        private final Meter meter;
        private final Map<String, Double> work = new HashMap<>();
        private final Map<String, Long> started = new HashMap<>();

        Instance(Meter meter) {
            this.meter = meter;
        }

        @Override
        public void told(long now, String event, Object[] args) {
            if (event.equals("onEndpoints")) {
                for (Object e : (List<?>) args[2]) {
                    started.put(((Endpoint) e).id(), ((Endpoint) e).startedAtUs());
                }
            } else if (event.equals("onRequest")) {
                Request request = (Request) args[1];
                work.put(
                        request.id(),
                        meter.world.scenario.classes().get(request.classIndex()).workUs());
            }
        }

        @Override
        public void decided(long now, String action, Object[] args) {
            if (action.equals("send")) {
                meter.sent((String) args[1], started.get(args[1]), work.get(args[0]), now);
            }
        }
    }

    private static final String SERVERS = """
            cores = %d
            speed = [%s]
            queue-per-core = 22
            connections-per-core = 400
            handshake-work = "1ms"
            cold-from = ["13%%", "33%%"]
            cold-for = ["12s", "24s"]
            crowd-at = 6
            crowd-loss = "40%%"
            """;

    /**
     * Sixty hosts of two kinds, keys, and a release, a crash or a zone that is back cold, under a burst.
     *
     * @param small whether hosts are so small that a cold one is allowed a dozen requests, not fifty
     */
    private static Scenario scenario(boolean small, String load, String fault) throws BadFileException {
        return Worlds.of("""
                length = "20s"
                [discovery]
                call = "200us"
                [load]
                of-capacity = "%s"
                keys = 4000
                [[servers]]
                name = "new"
                count = 30
                %s
                [[servers]]
                name = "old"
                count = 30
                %s
                %s
                [[fault]]
                do = "surge"
                at = "9s"
                for = "5s"
                factor = 1.5
                """.formatted(
                        load,
                        SERVERS.formatted(small ? 1 : 2, small ? "0.4, 0.6" : "1.5, 2.1"),
                        SERVERS.formatted(small ? 1 : 2, small ? "0.35, 0.5" : "0.77, 1.0"),
                        fault));
    }

    private static final Map<String, String> FAULTS = Map.of(
            "deploy", """
                    [[fault]]
                    do = "deploy"
                    at = "6s"
                    for = "6s"
                    part = "60%"
                    batch = "25%"
                    drain = "2s"
                    """,
            "crash", """
                    [[fault]]
                    do = "restart"
                    at = "6s"
                    part = "30%"
                    """,
            "zone", """
                    [[fault]]
                    do = "vanish"
                    at = "4s"
                    for = "5s"
                    zone = "khan-uul"
                    [[fault]]
                    do = "restart"
                    at = "9s"
                    zone = "khan-uul"
                    """,
            "all-anew", """
                    [[fault]]
                    do = "deploy"
                    at = "6s"
                    for = "6s"
                    part = "60%"
                    batch = "25%"
                    drain = "2s"
                    [[fault]]
                    do = "kill-proxy"
                    at = "9s"
                    part = "70%"
                    down = "500ms"
                    """);

    @ParameterizedTest
    @CsvSource({
        "crash, 24, 1, false",
        "deploy, 100, 1, false",
        "deploy, 670, 1, false",
        "all-anew, 670, 1, false",
        "zone, 24, 1, true",
        "all-anew, 100, 1, true",
        "zone, 670, 1, true",
        // Settings that are wrong by half: of 24 instances each takes itself for one of 12, or of 48.
        "zone, 24, 0.5, true",
        "all-anew, 24, 0.5, false",
        "all-anew, 24, 2, true",
        "zone, 670, 0.5, true"
    })
    void theSumOfAllStaysUnderWhatAColdHostBears(String fault, int proxies, double balancers, boolean small)
            throws Exception {
        Scenario s = scenario(small, small ? "85%" : "60%", FAULTS.get(fault)).withProxies(proxies);
        Meter meter = new Meter();
        meter.mean =
                s.classes().stream().mapToDouble(c -> c.share() * c.workUs()).sum();
        long seed = 11 + proxies + (small ? 1 : 0);
        meter.world = Worlds.world(s, seed, meter.around(balancers), Fitting.PLAIN);
        meter.world.play();
        assertTrue(meter.counted > 100, "hosts were cold and served: " + meter.counted);
        assertTrue(meter.most < 1, "seed " + seed + ": " + meter.where);
    }
}
