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

/** Replicas in virtual time under seeded faults, and faulty replicas that the checks of the simulation must detect. */
@Execution(ExecutionMode.CONCURRENT)
class ReplicaSimulationTest {
    private static final int SECONDS = 60;

    /**
     * With the library alone, a replica never catches up again in some of these seeds: it rejects append requests
     * whose previous entry is at or before its snapshot.
     */
    @Test
    void replicasAgreeDespiteLossCrashesAndPartitions() {
        for (long seed = 1; seed <= 110; seed++) {
            ReplicaSimulation simulation = new ReplicaSimulation(ReplicaSimulation.Variant.CORRECT, seed);
            long newest = simulation.runScenario(SECONDS);
            assertEquals(List.of(), simulation.violations, "seed " + seed);
            assertTrue(newest > 60, "seed " + seed + " committed " + newest);
            assertEquals(newest, simulation.committedProposals(), "seed " + seed);
        }
    }

    @Test
    void equalSeedsGiveEqualRuns() {
        ReplicaSimulation one = new ReplicaSimulation(ReplicaSimulation.Variant.ACKNOWLEDGES_BEFORE_DURABLE, 3);
        ReplicaSimulation other = new ReplicaSimulation(ReplicaSimulation.Variant.ACKNOWLEDGES_BEFORE_DURABLE, 3);
        assertEquals(one.runScenario(SECONDS), other.runScenario(SECONDS));
        assertEquals(one.violations, other.violations);
    }

    @ParameterizedTest
    @CsvSource({
        "ACKNOWLEDGES_BEFORE_DURABLE, had reported, 1",
        "LOSES_STATE_WITHOUT_VOTE, had reported, 1",
        // Two leaders in one term are rare: a replica must crash between two votes.
        "LOSES_VOTE, two versions have number, 96",
        "SINGLE_VOTE_QUORUM, two versions have number, 1",
        "LOSES_PROPOSAL_ID, one proposal became two versions, 1",
        "REPORTS_OLDER_VERSION, had reported, 1",
    })
    void faultyReplicasAreDetected(ReplicaSimulation.Variant variant, String expectedViolation, long firstSeed) {
        for (long seed = firstSeed; seed < firstSeed + 300; seed++) {
            ReplicaSimulation simulation = new ReplicaSimulation(variant, seed);
            simulation.runScenario(SECONDS);
            if (simulation.violations.stream().anyMatch(line -> line.contains(expectedViolation))) {
                return;
            }
        }
        fail(variant + " was detected with none of 300 seeds");
    }
}
