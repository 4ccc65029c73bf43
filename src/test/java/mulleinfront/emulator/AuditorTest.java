package mulleinfront.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import mulleinfront.Balancer;
import mulleinfront.core.Core;
import mulleinfront.emulator.Auditor.Breach;
import mulleinfront.emulator.Auditor.Rule;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The auditor detects violations: each deliberately faulty balancer, caller or wire is reported under the invariant
 * that it violates.
 */
class AuditorTest {
    private static final String FAULTS_UNDER_LOAD = """
            length = "40s"
            [load]
            of-capacity = "80%"
            [clients]
            leave = "2%"
            [[fault]]
            do = "hang"
            at = "5s"
            for = "6s"
            count = 3
            [[fault]]
            do = "reset-after"
            at = "3s"
            for = "30s"
            part = "30%"
            rate = "3%"
            [[fault]]
            do = "deploy"
            at = "14s"
            for = "12s"
            part = "60%"
            batch = "30%"
            drain = "4s"
            """;

    /** Runs the {@link #FAULTS_UNDER_LOAD} scenario with the given balancer and wrappers. */
    private static World.Result play(Core.BalancerFactory factory, CoreWiring wiring) throws Exception {
        return Worlds.world(Worlds.of(FAULTS_UNDER_LOAD), 1, factory, wiring).run();
    }

    static Stream<Arguments> broken() {
        Core.BalancerFactory real = Balancer::create;
        return Stream.of(
                Arguments.of("drops a response", Rule.LOST, "not answered", real, FaultyComponents.dropsResponses()),
                Arguments.of("answers twice", Rule.LOST, "answered twice", real, FaultyComponents.answersTwice()),
                Arguments.of(
                        "swaps responses",
                        Rule.LOST,
                        "served with the answer to",
                        real,
                        FaultyComponents.swapsResponses()),
                Arguments.of(
                        "sends after the end of a request",
                        Rule.LOST,
                        "after its end",
                        real,
                        FaultyComponents.sendsAfterEnd()),
                Arguments.of(
                        "resends an unsafe request",
                        Rule.TWICE,
                        "sent again though attempt",
                        (Core.BalancerFactory) FaultyComponents::resendsUnsafeRequests,
                        FaultyComponents.skipsWantedCheck()),
                Arguments.of(
                        "resends outside the deduplication group",
                        Rule.TWICE,
                        "outside the group",
                        (Core.BalancerFactory) FaultyComponents::ignoresDedupGroup,
                        FaultyComponents.skipsWantedCheck()),
                Arguments.of(
                        "reports failures as refusals",
                        Rule.TWICE,
                        "refused though attempt",
                        real,
                        FaultyComponents.reportsFailuresAsRefusals()),
                Arguments.of("sends duplicates", Rule.TWICE, "is out", real, FaultyComponents.sendsDuplicates()),
                Arguments.of(
                        "ignores drains",
                        Rule.DRAINS,
                        "after being told",
                        (Core.BalancerFactory) FaultyComponents::ignoresDrains,
                        FaultyComponents.skipsWantedCheck()),
                Arguments.of("delays lists", Rule.DRAINS, "after being told", real, FaultyComponents.delaysLists()),
                Arguments.of(
                        "floods the newest server",
                        Rule.COLD,
                        "times what it can do while cold",
                        (Core.BalancerFactory) FaultyComponents::floodsNewestServer,
                        CoreWiring.UNCHANGED),
                Arguments.of(
                        "favours the newest server",
                        Rule.COLD,
                        "times what it can do while cold",
                        (Core.BalancerFactory) FaultyComponents::favoursNewestServer,
                        CoreWiring.UNCHANGED));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("broken")
    void detectsViolation(String name, Rule rule, String expectedText, Core.BalancerFactory factory, CoreWiring wiring)
            throws Exception {
        World.Result result = play(factory, wiring);
        List<Breach> breaches =
                result.breaches().stream().filter(b -> b.rule() == rule).toList();
        assertFalse(
                breaches.isEmpty(),
                "not detected: " + result.breaches().stream().limit(5).toList());
        assertTrue(breaches.stream().anyMatch(b -> b.description().contains(expectedText)), "" + breaches.get(0));
        Breach first = breaches.get(0);
        assertTrue(
                first.atUs() > 0
                        && first.proxy() >= 0
                        && first.request() != null
                        && first.toString().contains("rule broken: " + rule.description()),
                first.toString());
    }

    @Test
    void realComponentsSatisfyAllInvariants() throws Exception {
        World.Result result = play(Balancer::create, CoreWiring.UNCHANGED);
        assertEquals(List.of(), result.breaches());
        assertTrue(
                result.service().outcomes().getOrDefault("reset", 0L) > 20,
                "too few resets: " + result.service().outcomes());
    }

    @Test
    void ruleGuardStopsForbiddenRepeatsAndSends() throws Exception {
        for (Core.BalancerFactory factory : List.<Core.BalancerFactory>of(
                FaultyComponents::resendsUnsafeRequests,
                FaultyComponents::ignoresDedupGroup,
                FaultyComponents::ignoresDrains)) {
            assertEquals(List.of(), play(factory, CoreWiring.UNCHANGED).breaches());
        }
    }

    @Test
    void overloadedServerCrashesAndStaysDown() throws Exception {
        World.Result result = play(FaultyComponents::floodsNewestServer, CoreWiring.UNCHANGED);
        assertTrue(result.service().servers().stream().anyMatch(s -> s.statistics().crashed));
    }

    @Test
    void openRequestsOfAnExitingProxyAreReportedAsLost() throws Exception {
        World.Result result = Worlds.play("""
                length = "10s"
                [proxies]
                kill-after = "0s"
                [[fault]]
                do = "end-proxy"
                at = "5s"
                count = 5
                """, 1);
        assertTrue(result.breachCount() > 0);
        assertEquals(
                "not answered when its client proxy ended",
                result.breaches().get(0).description());
    }

    @Test
    void propagationDeadlineAppliesWithoutWatchOrDiscoveryCall() throws Exception {
        // A balancer that never requests a list is still bound by the propagation deadline of a drain.
        World.Result result = Worlds.world(
                        Worlds.of("""
                length = "40s"
                [[fault]]
                do = "drain"
                at = "5s"
                count = 3
                """),
                        1,
                        (settings, seed, now, actions) ->
                                FaultyComponents.neverCallsDiscovery(settings, seed, now, actions),
                        FaultyComponents.skipsWantedCheck())
                .run();
        List<String> drainBreaches = new ArrayList<>();
        result.breaches().stream()
                .filter(b -> b.rule() == Rule.DRAINS)
                .forEach(b -> drainBreaches.add(b.description()));
        assertTrue(drainBreaches.stream().anyMatch(w -> w.contains("counts as told")), "" + result.breaches());
    }

    @Test
    void exceptionInABalancerIsReported() throws Exception {
        World.Result result = Worlds.world(
                        Worlds.of("length = \"3s\"\n"),
                        1,
                        (settings, seed, now, actions) -> {
                            Balancer real = Balancer.create(settings, seed, now, actions);
                            return FaultyComponents.throwsOnce(real);
                        },
                        CoreWiring.UNCHANGED)
                .run();
        assertTrue(
                result.breaches().stream().anyMatch(b -> b.description().contains("a defect")), "" + result.breaches());
    }
}
