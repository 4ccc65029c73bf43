package mulleinfront.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mulleinfront.emulator.Auditor.Rule;
import mulleinfront.emulator.reference.Reference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The yardsticks themselves. */
class ReferenceTest {
    private static World.Result play(Reference r, String lines) throws Exception {
        return World.under(r, Worlds.of(lines), 3).play();
    }

    @ParameterizedTest
    @EnumSource(Reference.class)
    void eachServesACalmDayAndAnswersEverything(Reference r) throws Exception {
        World.Result result = play(r, "length = \"15s\"\n[load]\nof-capacity = \"30%\"\n");
        assertEquals(List.of(), result.breaches());
        assertTrue(
                result.service().service() > 0.85, r + ": " + result.service().service());
        assertTrue(result.service().tries().getOrDefault("timed-out", 0L) == 0);
    }

    @ParameterizedTest
    @EnumSource(Reference.class)
    void noneLosesOrRepeatsWhatMayHaveRun(Reference r) throws Exception {
        World.Result result = play(r, """
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
        // They may push over what is cold; they are yardsticks of routing, not of caution.
        assertEquals(
                List.of(),
                result.breaches().stream().filter(b -> b.rule() != Rule.COLD).toList());
    }

    @Test
    void whoSeesMoreDoesBetterInTrouble() throws Exception {
        String bad = "length = \"30s\"\n[load]\nof-capacity = \"50%\"\n"
                + "[[fault]]\ndo = \"slow\"\nat = \"3s\"\nfactor = 8\ncount = 3\n";
        double random = play(Reference.RANDOM, bad).service().service();
        double late = play(Reference.LATE, bad).service().service();
        double oracle = play(Reference.ORACLE, bad).service().service();
        assertTrue(random < late - 0.02 && late <= oracle + 0.01, random + ", " + late + ", " + oracle);
    }

    @Test
    void oneSeedHasOneCourseUnderEach() throws Exception {
        for (Reference r : Reference.values()) {
            String lines = "length = \"5s\"\n";
            assertEquals(play(r, lines).sha256(), play(r, lines).sha256(), r.word());
            assertEquals(r, Reference.of(r.word()));
        }
    }

    @Test
    void theTableHasTheProductAndAllReferences() throws Exception {
        Scenario scenario = Worlds.of("length = \"5s\"\n");
        List<Compared> all = Compared.play(scenario, 1, 2, 2);
        String table = Compared.table(scenario, 1, 2, all);
        assertEquals(1 + Reference.values().length, all.size());
        assertTrue(table.contains("oracle") && table.contains("of late: "), table);
        assertEquals(Sweep.play(scenario, 1, 2, 1, null, p -> {}), all.get(0).worlds());
    }
}
