package mulleinfront.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mulleinfront.emulator.Auditor.Rule;
import mulleinfront.emulator.reference.Reference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests of the reference policies. */
class ReferenceTest {
    private static World.Result play(Reference reference, String lines) throws Exception {
        return World.withReference(reference, Worlds.of(lines), 3).run();
    }

    @ParameterizedTest
    @EnumSource(Reference.class)
    void eachPolicyServesAndAnswersAllWithoutFaults(Reference reference) throws Exception {
        World.Result result = play(reference, "length = \"15s\"\n[load]\nof-capacity = \"30%\"\n");
        assertEquals(List.of(), result.breaches());
        assertTrue(
                result.service().service() > 0.85,
                reference + ": " + result.service().service());
        assertTrue(result.service().tries().getOrDefault("timed-out", 0L) == 0);
    }

    @ParameterizedTest
    @EnumSource(Reference.class)
    void noPolicyLosesOrRepeatsPossiblyExecutedRequests(Reference reference) throws Exception {
        World.Result result = play(reference, """
                length = "20s"
                [[fault]]
                do = "hang"
                at = "4s"
                for = "6s"
                count = 4
                [[fault]]
                do = "reset-after"
                at = "8s"
                rate = "10%"
                part = "50%"
                [[fault]]
                do = "vanish"
                at = "12s"
                count = 2
                """);
        // Reference policies may overload cold servers: they are baselines for routing, without slow start.
        assertEquals(
                List.of(),
                result.breaches().stream().filter(b -> b.rule() != Rule.COLD).toList());
    }

    @Test
    void policiesWithMoreKnowledgeScoreHigherUnderFaults() throws Exception {
        String lines = "length = \"30s\"\n[load]\nof-capacity = \"50%\"\n"
                + "[[fault]]\ndo = \"slow\"\nat = \"3s\"\nfactor = 8\ncount = 3\n";
        double random = play(Reference.RANDOM, lines).service().service();
        double late = play(Reference.LATE, lines).service().service();
        double oracle = play(Reference.ORACLE, lines).service().service();
        assertTrue(random < late - 0.02 && late <= oracle + 0.01, random + ", " + late + ", " + oracle);
    }

    @Test
    void eachPolicyIsDeterministic() throws Exception {
        for (Reference reference : Reference.values()) {
            String lines = "length = \"5s\"\n";
            assertEquals(play(reference, lines).sha256(), play(reference, lines).sha256(), reference.outputName());
            assertEquals(reference, Reference.forName(reference.outputName()));
        }
    }

    @Test
    void tableHasTheProductAndAllReferences() throws Exception {
        Scenario scenario = Worlds.of("length = \"5s\"\n");
        List<BalancerComparison> all = BalancerComparison.run(scenario, 1, 2, 2);
        String table = BalancerComparison.table(scenario, 1, 2, all);
        assertEquals(1 + Reference.values().length, all.size());
        assertTrue(table.contains("oracle") && table.contains("of late: "), table);
        assertEquals(Sweep.run(scenario, 1, 2, 1, null, p -> {}), all.get(0).results());
    }
}
