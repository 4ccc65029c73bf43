package mulleinfront.keep;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Keepers on virtual time, from seeds; and keepers that are wrong, to show that the judge finds them. */
@Execution(ExecutionMode.CONCURRENT)
class KeepWorldTest {
    private static final int SECONDS = 60;

    /**
     * Among these seeds are some in which, by the library alone, a keeper never comes up with the others
     * again.
     */
    @Test
    void oneTruthThroughLossCrashesAndCuts() {
        for (long seed = 1; seed <= 110; seed++) {
            KeepWorld world = new KeepWorld(KeepWorld.Variant.RIGHT, seed);
            long newest = world.play(SECONDS);
            assertEquals(List.of(), world.found, "seed " + seed);
            assertTrue(newest > 60, "seed " + seed + " decided " + newest);
            assertEquals(newest, world.decided(), "seed " + seed);
        }
    }

    @Test
    void aSeedGivesTheSameRunAgain() {
        KeepWorld one = new KeepWorld(KeepWorld.Variant.SAYS_BEFORE_DURABLE, 3);
        KeepWorld other = new KeepWorld(KeepWorld.Variant.SAYS_BEFORE_DURABLE, 3);
        assertEquals(one.play(SECONDS), other.play(SECONDS));
        assertEquals(one.found, other.found);
    }

    @ParameterizedTest
    @CsvSource({
        "SAYS_BEFORE_DURABLE, had told of, 1",
        "FORGETS_ALL_WITHOUT_VOTE, had told of, 1",
        // Two leaders of one term are rare: it takes a crash between two votes.
        "FORGETS_VOTE, two versions have number, 96",
        "ONE_WORD_IS_ENOUGH, two versions have number, 1",
        "DECIDES_TWICE, one proposal is two versions, 1",
        "GOES_BACK, had told of, 1",
    })
    void wrongKeepersAreFoundOut(KeepWorld.Variant variant, String by, long from) {
        for (long seed = from; seed < from + 300; seed++) {
            KeepWorld world = new KeepWorld(variant, seed);
            world.play(SECONDS);
            if (world.found.stream().anyMatch(line -> line.contains(by))) {
                return;
            }
        }
        fail(variant + " was found out in none of 300 seeds");
    }
}
