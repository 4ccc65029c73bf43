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
 * All client proxies together don't overload a cold server: within the window of the cold rule, the attempts sent to it
 * stay under N + 2 * sqrt(N) + 2 requests of mean work, where N is what the settings allow at its current warmth. First
 * attempts, retries, keys that overflow to other servers and first requests of new instances all count. A window is
 * checked if more than two thirds of its work come from instances that know of the server's start.
 */
@Execution(ExecutionMode.CONCURRENT)
class ColdHostsTest {
    /** The work sent to each cold server, summed over all instances. */
    private static final class Meter {
        private final Map<String, ArrayDeque<double[]>> sent = new HashMap<>();
        private World world;
        private double meanWorkUs;
        /** The largest ratio of work sent to its bound for any server; {@link #maxDescription} describes it. */
        private double maxBoundRatio;

        private String maxDescription = "nothing was sent to any cold server";
        private long countedSends;

        Core.BalancerFactory factory(double instanceFactor) {
            return RecordingBalancer.factory(
                    settings -> new Settings(
                            settings.classes(),
                            settings.tenantShares(),
                            settings.overShareWorth(),
                            (int) Math.max(1, Math.round(settings.instances() * instanceFactor)),
                            settings.probePrice(),
                            settings.subscribe(),
                            settings.weightsVary(),
                            settings.limits(),
                            settings.contract()),
                    () -> new Instance(this));
        }

        void recordSend(String endpointId, long startedAt, double workUs, long now) {
            Host host = world.hosts.stream()
                    .filter(h -> h.id.equals(endpointId))
                    .findFirst()
                    .orElseThrow();
            Balancer.Contract contract = world.settings.contract();
            double ageShare = (double) (now - host.startedAt) / contract.coldUs();
            if (host.startedAt == 0 || ageShare >= 1) {
                return;
            }
            countedSends++;
            ArrayDeque<double[]> window =
                    sent.computeIfAbsent(endpointId + " of " + host.startedAt, h -> new ArrayDeque<>());
            window.add(new double[] {now, workUs / meanWorkUs, startedAt == host.startedAt ? 1 : 0});
            long windowUs = world.scenario.rules().coldForUs();
            while (window.peek()[0] <= now - windowUs) {
                window.poll();
            }
            double totalRequests = window.stream().mapToDouble(s -> s[1]).sum();
            double informedRequests =
                    window.stream().mapToDouble(s -> s[1] * s[2]).sum();
            double warmth = contract.coldFrom() + (1 - contract.coldFrom()) * ageShare;
            double allowedRequests = contract.overloadFactor() * warmth * host.spec.capacity() * windowUs / meanWorkUs;
            double bound = allowedRequests + 2 * Math.sqrt(allowedRequests) + 2;
            if (informedRequests * 3 > totalRequests * 2 && totalRequests / bound > maxBoundRatio) {
                maxBoundRatio = totalRequests / bound;
                maxDescription = String.format(
                        Locale.ROOT,
                        "%s, %.2f s after its start: %.1f of %.1f (N %.1f), " + "%.0f%% by informed instances",
                        endpointId,
                        (now - host.startedAt) / 1e6,
                        totalRequests,
                        bound,
                        allowedRequests,
                        100 * informedRequests / totalRequests);
            }
        }
    }

    /** The lists, requests and sends of one instance. */
    private static final class Instance implements RecordingBalancer.Recorder {
        private final Meter meter;
        private final Map<String, Double> workUsByRequest = new HashMap<>();
        private final Map<String, Long> startTimeByEndpoint = new HashMap<>();

        Instance(Meter meter) {
            this.meter = meter;
        }

        @Override
        public void onEvent(long now, String event, Object[] args) {
            if (event.equals("onEndpoints")) {
                for (Object endpoint : (List<?>) args[2]) {
                    startTimeByEndpoint.put(((Endpoint) endpoint).id(), ((Endpoint) endpoint).startedAtUs());
                }
            } else if (event.equals("onRequest")) {
                Request request = (Request) args[1];
                workUsByRequest.put(
                        request.id(),
                        meter.world.scenario.classes().get(request.classIndex()).workUs());
            }
        }

        @Override
        public void onAction(long now, String action, Object[] args) {
            if (action.equals("send")) {
                meter.recordSend((String) args[1], startTimeByEndpoint.get(args[1]), workUsByRequest.get(args[0]), now);
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
     * Sixty servers of two types and keyed requests, with the given fault and a surge of the load.
     *
     * @param small whether servers are so small that a cold one is allowed a dozen requests in place of fifty
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
        // A wrong instance count in the settings: of 24 instances, each assumes 12 or 48 in all.
        "zone, 24, 0.5, true",
        "all-anew, 24, 0.5, false",
        "all-anew, 24, 2, true",
        "zone, 670, 0.5, true"
    })
    void totalLoadStaysWithinColdServerBound(String fault, int proxies, double instanceFactor, boolean small)
            throws Exception {
        Scenario scenario =
                scenario(small, small ? "85%" : "60%", FAULTS.get(fault)).withProxies(proxies);
        Meter meter = new Meter();
        meter.meanWorkUs = scenario.classes().stream()
                .mapToDouble(c -> c.share() * c.workUs())
                .sum();
        long seed = 11 + proxies + (small ? 1 : 0);
        meter.world = Worlds.world(scenario, seed, meter.factory(instanceFactor), CoreWiring.UNCHANGED);
        meter.world.run();
        assertTrue(meter.countedSends > 100, "too few sends to cold servers: " + meter.countedSends);
        assertTrue(meter.maxBoundRatio < 1, "seed " + seed + ": " + meter.maxDescription);
    }
}
