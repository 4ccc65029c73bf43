package mulleinfront.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import mulleinfront.emulator.ServiceReport.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Many client proxies with little traffic each: the scenarios of {@code scenarios/large} at a smaller size. */
class LargeFleetTest {
    private static final Path LARGE = Worlds.SHIPPED.resolve("large");

    static List<Path> large() throws Exception {
        try (Stream<Path> files = Files.list(LARGE)) {
            return files.filter(f -> f.toString().endsWith(".toml")).sorted().toList();
        }
    }

    @Test
    void everyLargeScenarioIsReadable() throws Exception {
        assertEquals(8, large().size());
        for (Path file : large()) {
            Scenario scenario = ScenarioReader.read(file);
            assertTrue(scenario.proxies().count() >= 5_000 || scenario.serverCount() >= 5_000, file + " is not large");
        }
    }

    static List<String> someMinutesOfEach() {
        return List.of("fleet", "late-list", "discovery-outage", "zone-gone", "one-large");
    }

    @ParameterizedTest
    @MethodSource("someMinutesOfEach")
    void tenthOfTheInstancesSatisfiesInvariantsWithoutCrashes(String name) throws Exception {
        Scenario scenario = ScenarioReader.read(LARGE.resolve(name + ".toml")).withProxies(500);
        World world = Worlds.world(scenario, 1);
        world.runUntil(15_000_000);
        World.Result result = world.finish();
        assertEquals(List.of(), result.breaches());
        for (Server server : result.service().servers()) {
            assertTrue(!server.statistics().crashed, server.name() + " crashed");
            assertEquals(0, server.statistics().connectionsRefused, server.name() + " refused connections");
        }
    }

    @Test
    void manyInstancesKeepFewConnectionsEach() throws Exception {
        // If each of 500 instances kept a connection to each of the 14 servers, every server would have 500, above its
        // limit of 380.
        World.Result result = Worlds.world(Worlds.of("length = \"30s\"\n").withProxies(500), 1)
                .run();
        assertEquals(List.of(), result.breaches());
        for (Server server : result.service().servers()) {
            assertTrue(
                    server.statistics().maxConnections < 300,
                    server.name() + " held " + server.statistics().maxConnections);
            assertEquals(0, server.statistics().connectionsRefused);
        }
    }

    @Test
    void discoveryCallsAfterAnOutageAreSpread() throws Exception {
        World.Result result = Worlds.world(Worlds.of("""
                length = "30s"
                [discovery]
                call = "2ms"
                [[fault]]
                do = "discovery-down"
                at = "5s"
                for = "10s"
                """).withProxies(1_000), 1).run();
        assertEquals(List.of(), result.breaches());
        long calls = result.service().counts().get("discovery calls");
        assertTrue(calls < 8_000, calls + " calls by 1,000 instances: one at the start, some in ten seconds of outage");
    }

    @Test
    void fastAndSlowServersServeInOneFleet() throws Exception {
        World.Result result = Worlds.world(Worlds.of("""
                length = "20s"
                [load]
                rate = "400/s"
                keys = 0
                [[servers]]
                name = "quick"
                count = 6
                cores = 2
                speed = 900
                queue-per-core = 22
                connections-per-core = 400
                [[servers]]
                name = "slow"
                count = 6
                cores = 8
                speed = 0.9
                queue-per-core = 22
                connections-per-core = 400
                """), 1).run();
        assertEquals(List.of(), result.breaches());
        assertTrue(
                result.service().overallShare() > 0.95,
                "whole " + result.service().overallShare());
        for (Server server : result.service().servers()) {
            assertTrue(server.statistics().served > 0, server.name() + " served nothing");
            assertTrue(!server.statistics().crashed, server.name() + " crashed");
        }
    }

    @Test
    void pausingServersAreNotTreatedAsFailed() throws Exception {
        World.Result result = Worlds.world(Worlds.of("""
                length = "30s"
                [load]
                rate = "120/s"
                keys = 0
                [[servers]]
                name = "pausing"
                count = 8
                cores = 2
                speed = 1.5
                queue-per-core = 22
                connections-per-core = 400
                pause-every = "2s"
                pause-for = "170ms"
                """), 1).run();
        assertEquals(List.of(), result.breaches());
        assertTrue(
                result.service().overallShare() > 0.97,
                "whole " + result.service().overallShare());
        long maxServed = result.service().servers().stream()
                .mapToLong(server -> server.statistics().served)
                .max()
                .orElseThrow();
        for (Server server : result.service().servers()) {
            assertTrue(
                    server.statistics().served > maxServed / 4,
                    server.name() + " served " + server.statistics().served + " of " + maxServed);
        }
    }

    @Test
    void instanceServesWithTheCurrentListAfterAnIdleHour() throws Exception {
        World world = Worlds.world(Worlds.of("""
                length = "61m"
                [proxies]
                count = 20
                [load]
                rate = "0/s"
                [[fault]]
                do = "deploy"
                at = "30m"
                for = "20s"
                part = "50%"
                batch = "50%"
                drain = "2s"
                [[fault]]
                do = "burst"
                at = "60m"
                requests = 40
                """), 1);
        world.runUntil(3_630_000_000L);
        World.Result result = world.finish();
        assertEquals(List.of(), result.breaches());
        assertEquals(40, result.service().requests());
        assertTrue(
                result.service().overallShare() > 0.9,
                "whole " + result.service().overallShare());
        long calls = result.service().counts().get("discovery calls");
        assertTrue(calls <= 20, calls + " calls of discovery by 20 instances that watched all the time");
    }
}
