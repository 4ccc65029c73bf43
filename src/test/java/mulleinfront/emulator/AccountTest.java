package mulleinfront.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Every loss is accounted for once, under what caused it. */
class AccountTest {
    static List<Path> shipped() throws Exception {
        return Worlds.shipped();
    }

    private static double asked(ServiceReport s, Scenario scenario) {
        // Tenants beyond their share are asked for at less: the whole's share of all tells the rest.
        return s.losses().lost() / Math.max(1e-12, 1 - s.whole());
    }

    @ParameterizedTest
    @MethodSource("shipped")
    void theAccountSumsToTheLossToTheLastUnit(Path file) throws Exception {
        Scenario scenario = ScenarioReader.read(file);
        World world = Worlds.world(scenario, 5);
        ServiceReport s = world.play().service();
        long missed =
                s.classes().stream().mapToLong(c -> c.asked() - c.onTime()).sum();
        LossReport losses = s.losses();
        assertEquals(
                missed,
                losses.causes().values().stream()
                        .mapToLong(LossReport.Loss::requests)
                        .sum());
        double lost = losses.causes().values().stream()
                .mapToDouble(LossReport.Loss::worth)
                .sum();
        assertEquals(losses.lost(), lost, 1e-6);
        assertEquals(1 - s.whole(), lost / asked(s, scenario), 1e-9);
        for (Map<String, Map<Cause, Double>> part : losses.parts().values()) {
            assertEquals(
                    lost,
                    part.values().stream()
                            .flatMap(m -> m.values().stream())
                            .mapToDouble(Double::doubleValue)
                            .sum(),
                    1e-6);
        }
        // The same from the other side: by class, from what the report says of it.
        for (ServiceReport.Part c : s.classes()) {
            double worth = scenario.classes().stream()
                    .filter(k -> k.type().name().equals(c.name()))
                    .findFirst()
                    .orElseThrow()
                    .type()
                    .worth();
            double itsLoss =
                    losses.parts().get(LossReport.Part.CLASS).getOrDefault(c.name(), Map.of()).values().stream()
                            .mapToDouble(Double::doubleValue)
                            .sum();
            assertTrue(itsLoss <= worth * (c.asked() - c.onTime()) + 1e-6, c.name());
            assertTrue(itsLoss >= scenario.overShareWorth() * worth * (c.asked() - c.onTime()) - 1e-6, c.name());
        }
    }

    private static Cause most(String lines, long seed) throws Exception {
        ServiceReport s = Worlds.play(lines, seed).service();
        return s.losses().causes().entrySet().stream()
                .max((a, b) -> Double.compare(a.getValue().worth(), b.getValue().worth()))
                .orElseThrow()
                .getKey();
    }

    private static String fault(String what) {
        return "length = \"20s\"\n[load]\nof-capacity = \"30%\"\n[[fault]]\nat = \"5s\"\n" + what;
    }

    @Test
    void eachTroubleIsToldByItsName() throws Exception {
        assertEquals(Cause.HANGING, most(fault("do = \"hang\"\ncount = 3\n"), 1));
        assertEquals(Cause.BAD, most(fault("do = \"errors\"\nrate = \"60%\"\ncount = 4\n"), 1));
        assertEquals(Cause.ANSWER_LOST, most(fault("do = \"reset-after\"\nrate = \"40%\"\npart = \"100%\"\n"), 1));
        assertEquals(Cause.OWN_RESTART, most(fault("do = \"kill-proxy\"\ncount = 5\n"), 1));
        assertEquals(Cause.UNREACHABLE, most(fault("do = \"vanish\"\ncount = 4\n"), 1));
        assertEquals(
                Cause.NO_LIST,
                most(
                        "length = \"10s\"\n[discovery]\ncall = \"30s\"\ntimeout = \"40s\"\n"
                                + "[proxies]\nknown = \"empty\"\n",
                        1));
        assertEquals(
                Cause.CLIENT_GONE,
                most("length = \"10s\"\n[load]\nof-capacity = \"20%\"\n" + "[clients]\nleave = \"40%\"\n", 1));
    }

    @Test
    void aRequestsStoryNamesItsAttemptsAndItsCause() throws Exception {
        Scenario scenario = Worlds.of(fault("do = \"hang\"\ncount = 3\n"));
        List<String> lines = Explain.cause(scenario, 1, Cause.HANGING, 5_000_000, 1);
        String all = String.join("\n", lines);
        assertTrue(
                all.contains("(hanging)")
                        && all.contains("timed-out")
                        && all.contains("lost: tried at a hanging server"),
                all);
        String id = lines.get(1).replaceFirst(".*ms  (q\\d+):.*", "$1");
        assertEquals(lines, Explain.request(scenario, 1, id));
        assertEquals(List.of(), Explain.request(scenario, 1, "q999999999"));
    }
}
