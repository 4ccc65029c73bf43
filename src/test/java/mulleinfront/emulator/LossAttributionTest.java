package mulleinfront.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Loss attribution: each lost request is counted exactly once, under its cause. */
class LossAttributionTest {
    static List<Path> shipped() throws Exception {
        return Worlds.shipped();
    }

    private static double totalWorth(ServiceReport report, Scenario scenario) {
        // Requests of tenants above their share are worth less, so the total worth is derived from the lost share.
        return report.losses().lostValue() / Math.max(1e-12, 1 - report.overallShare());
    }

    @ParameterizedTest
    @MethodSource("shipped")
    void attributedLossesSumToTheTotalLoss(Path file) throws Exception {
        Scenario scenario = ScenarioReader.read(file);
        World world = Worlds.world(scenario, 5);
        ServiceReport report = world.run().service();
        long missedRequests = report.classes().stream()
                .mapToLong(requestClass -> requestClass.requests() - requestClass.onTime())
                .sum();
        LossReport losses = report.losses();
        assertEquals(
                missedRequests,
                losses.causes().values().stream()
                        .mapToLong(LossReport.Loss::requests)
                        .sum());
        double lostWorth = losses.causes().values().stream()
                .mapToDouble(LossReport.Loss::worth)
                .sum();
        assertEquals(losses.lostValue(), lostWorth, 1e-6);
        assertEquals(1 - report.overallShare(), lostWorth / totalWorth(report, scenario), 1e-9);
        for (Map<String, Map<Cause, Double>> part : losses.causesByDimension().values()) {
            assertEquals(
                    lostWorth,
                    part.values().stream()
                            .flatMap(m -> m.values().stream())
                            .mapToDouble(Double::doubleValue)
                            .sum(),
                    1e-6);
        }
        // Cross-check by request class, from the report's counts. Requests above a tenant's share are worth less, hence
        // the range.
        for (ServiceReport.GroupStatistics requestClass : report.classes()) {
            double worth = scenario.classes().stream()
                    .filter(k -> k.type().name().equals(requestClass.name()))
                    .findFirst()
                    .orElseThrow()
                    .type()
                    .worth();
            double classLoss = losses
                    .causesByDimension()
                    .get(LossReport.Dimension.CLASS)
                    .getOrDefault(requestClass.name(), Map.of())
                    .values()
                    .stream()
                    .mapToDouble(Double::doubleValue)
                    .sum();
            assertTrue(
                    classLoss <= worth * (requestClass.requests() - requestClass.onTime()) + 1e-6, requestClass.name());
            assertTrue(
                    classLoss
                            >= scenario.overShareWorth() * worth * (requestClass.requests() - requestClass.onTime())
                                    - 1e-6,
                    requestClass.name());
        }
    }

    private static Cause largestCause(String lines, long seed) throws Exception {
        ServiceReport report = Worlds.play(lines, seed).service();
        return report.losses().causes().entrySet().stream()
                .max((a, b) -> Double.compare(a.getValue().worth(), b.getValue().worth()))
                .orElseThrow()
                .getKey();
    }

    private static String fault(String lines) {
        return "length = \"20s\"\n[load]\nof-capacity = \"30%\"\n[[fault]]\nat = \"5s\"\n" + lines;
    }

    @Test
    void eachFaultIsAttributedToItsCause() throws Exception {
        assertEquals(Cause.HANGING, largestCause(fault("do = \"hang\"\ncount = 3\n"), 1));
        assertEquals(Cause.BAD, largestCause(fault("do = \"errors\"\nrate = \"60%\"\ncount = 4\n"), 1));
        assertEquals(
                Cause.ANSWER_LOST, largestCause(fault("do = \"reset-after\"\nrate = \"40%\"\npart = \"100%\"\n"), 1));
        assertEquals(Cause.OWN_RESTART, largestCause(fault("do = \"kill-proxy\"\ncount = 5\n"), 1));
        assertEquals(Cause.UNREACHABLE, largestCause(fault("do = \"vanish\"\ncount = 4\n"), 1));
        assertEquals(
                Cause.NO_LIST,
                largestCause(
                        "length = \"10s\"\n[discovery]\ncall = \"30s\"\ntimeout = \"40s\"\n"
                                + "[proxies]\nknown = \"empty\"\n",
                        1));
        assertEquals(
                Cause.CLIENT_GONE,
                largestCause("length = \"10s\"\n[load]\nof-capacity = \"20%\"\n" + "[clients]\nleave = \"40%\"\n", 1));
    }

    @Test
    void requestHistoryListsAttemptsAndCause() throws Exception {
        Scenario scenario = Worlds.of(fault("do = \"hang\"\ncount = 3\n"));
        List<String> lines = Explain.requestsLostBy(scenario, 1, Cause.HANGING, 5_000_000, 1);
        String history = String.join("\n", lines);
        assertTrue(
                history.contains("(hanging)")
                        && history.contains("timed-out")
                        && history.contains("lost: tried at a hanging server"),
                history);
        String id = lines.get(1).replaceFirst(".*ms  (q\\d+):.*", "$1");
        assertEquals(lines, Explain.request(scenario, 1, id));
        assertEquals(List.of(), Explain.request(scenario, 1, "q999999999"));
    }
}
