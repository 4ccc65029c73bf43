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

/** The auditor can fail: cores and modules broken on purpose are caught, each by the rule that it breaks. */
class AuditorTest {
    private static final String ROUGH = """
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

    /** The same with servers that go on serving while they drain, as some do: only the client keeps rule 3. */
    private static World.Result play(Core.BalancerFactory maker, Fitting fitting) throws Exception {
        return Worlds.world(Worlds.of(ROUGH), 1, maker, fitting).play();
    }

    static Stream<Arguments> broken() {
        Core.BalancerFactory real = Balancer::create;
        return Stream.of(
                Arguments.of("forgets a request", Rule.LOST, "not answered", real, Broken.forgets()),
                Arguments.of("answers twice", Rule.LOST, "answered twice", real, Broken.answersTwice()),
                Arguments.of("mixes answers up", Rule.LOST, "served with the answer to", real, Broken.mixesAnswersUp()),
                Arguments.of("sends after the end", Rule.LOST, "after its end", real, Broken.sendsAfterTheEnd()),
                Arguments.of(
                        "resends a payout",
                        Rule.TWICE,
                        "sent again though attempt",
                        (Core.BalancerFactory) Broken::resendsPayouts,
                        Broken.writesUnasked()),
                Arguments.of(
                        "resends outside the group",
                        Rule.TWICE,
                        "outside the group",
                        (Core.BalancerFactory) Broken::leavesTheGroup,
                        Broken.writesUnasked()),
                Arguments.of(
                        "calls failures harmless",
                        Rule.TWICE,
                        "refused though attempt",
                        real,
                        Broken.callsFailuresHarmless()),
                Arguments.of("sends second copies", Rule.TWICE, "is out", real, Broken.sendsSecondCopies()),
                Arguments.of(
                        "is deaf to drains",
                        Rule.DRAINS,
                        "after being told",
                        (Core.BalancerFactory) Broken::deafToDrains,
                        Broken.writesUnasked()),
                Arguments.of("hears of lists late", Rule.DRAINS, "after being told", real, Broken.hearsOfListsLate()),
                Arguments.of(
                        "floods the newest",
                        Rule.COLD,
                        "times what it can do while cold",
                        (Core.BalancerFactory) Broken::floodsTheNewest,
                        Fitting.PLAIN),
                Arguments.of(
                        "favours the newest",
                        Rule.COLD,
                        "times what it can do while cold",
                        (Core.BalancerFactory) Broken::favoursTheNewest,
                        Fitting.PLAIN));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("broken")
    void catches(String name, Rule rule, String words, Core.BalancerFactory maker, Fitting fitting) throws Exception {
        World.Result result = play(maker, fitting);
        List<Breach> found =
                result.breaches().stream().filter(b -> b.rule() == rule).toList();
        assertFalse(
                found.isEmpty(),
                "not caught: " + result.breaches().stream().limit(5).toList());
        assertTrue(found.stream().anyMatch(b -> b.what().contains(words)), "" + found.get(0));
        Breach first = found.get(0);
        assertTrue(
                first.atUs() > 0
                        && first.proxy() >= 0
                        && first.request() != null
                        && first.toString().contains("rule broken: " + rule.words()),
                first.toString());
    }

    @Test
    void theRealOnesKeepAllRulesInTheSameWorld() throws Exception {
        World.Result result = play(Balancer::create, Fitting.PLAIN);
        assertEquals(List.of(), result.breaches());
        assertTrue(
                result.service().outcomes().getOrDefault("reset", 0L) > 20,
                "it is rough: " + result.service().outcomes());
    }

    @Test
    void theCoresGuardStopsAModuleThatRepeatsOrSendsWhatItMayNot() throws Exception {
        for (Core.BalancerFactory broken :
                List.<Core.BalancerFactory>of(Broken::resendsPayouts, Broken::leavesTheGroup, Broken::deafToDrains)) {
            assertEquals(List.of(), play(broken, Fitting.PLAIN).breaches());
        }
    }

    @Test
    void aServerThatIsPushedOverFallsAndStaysDown() throws Exception {
        World.Result result = play(Broken::floodsTheNewest, Fitting.PLAIN);
        assertTrue(result.service().servers().stream().anyMatch(s -> s.figures().fell));
    }

    @Test
    void whatAClientProxyHeldWhenItEndedByItselfIsLost() throws Exception {
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
                result.breaches().get(0).what());
    }

    @Test
    void whoNeitherWatchesNorAsksCountsAsTold() throws Exception {
        // A module that never asks for lists: what discovery has to tell counts all the same.
        World.Result result = Worlds.world(
                        Worlds.of("""
                length = "40s"
                [[fault]]
                do = "drain"
                at = "5s"
                count = 3
                """),
                        1,
                        (settings, seed, now, actions) -> Broken.neverAsks(settings, seed, now, actions),
                        Broken.writesUnasked())
                .play();
        List<String> told = new ArrayList<>();
        result.breaches().stream().filter(b -> b.rule() == Rule.DRAINS).forEach(b -> told.add(b.what()));
        assertTrue(told.stream().anyMatch(w -> w.contains("counts as told")), "" + result.breaches());
    }

    @Test
    void anExceptionInAModuleIsADefect() throws Exception {
        World.Result result = Worlds.world(
                        Worlds.of("length = \"3s\"\n"),
                        1,
                        (settings, seed, now, actions) -> {
                            Balancer real = Balancer.create(settings, seed, now, actions);
                            return Broken.throwsOnce(real);
                        },
                        Fitting.PLAIN)
                .play();
        assertTrue(result.breaches().stream().anyMatch(b -> b.what().contains("a defect")), "" + result.breaches());
    }
}
