package mulleinfront.keep;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mulleinfront.config.Proposal;
import mulleinfront.config.Version;
import mulleinfront.config.VersionLog.ProposalOutcome;
import mulleinfront.config.VersionLog.ProposalResult;
import org.junit.jupiter.api.Test;

/** The state machine without Raft. */
class ConfigStateMachineTest {
    private static ProposalResult committed(long number) {
        return new ProposalResult(ProposalOutcome.DECIDED, number, "");
    }

    private static Proposal proposalOfSize(String id, int characters) {
        return TestCluster.proposal(id, -1, "x".repeat(characters));
    }

    @Test
    void versionNumbersAreConsecutiveFromOne() {
        ConfigStateMachine stateMachine = new ConfigStateMachine();
        assertEquals(Version.NONE, stateMachine.newest());
        assertEquals(Version.NONE, stateMachine.at(0));
        assertEquals(committed(1), stateMachine.apply(TestCluster.proposal("a", 0, "1")));
        assertEquals(committed(2), stateMachine.apply(TestCluster.proposal("b", -1, "2")));
        assertEquals(committed(3), stateMachine.apply(TestCluster.proposal("c", 2, "3")));
        assertEquals("2", stateMachine.at(2).entries().get("limit"));
        assertEquals("because of c", stateMachine.newest().description());
        assertNull(stateMachine.at(0));
        assertNull(stateMachine.at(4));
        assertEquals(List.of(stateMachine.at(2), stateMachine.at(3)), stateMachine.versionsAfter(1));
    }

    @Test
    void repeatedIdGetsTheSameResult() {
        ConfigStateMachine stateMachine = new ConfigStateMachine();
        stateMachine.apply(TestCluster.proposal("a", -1, "1"));
        stateMachine.apply(TestCluster.proposal("b", -1, "2"));
        assertEquals(committed(1), stateMachine.apply(TestCluster.proposal("a", -1, "1")));
        ProposalResult refused = stateMachine.apply(TestCluster.proposal("early", 5, "1"));
        assertEquals(new ProposalResult(ProposalOutcome.REFUSED, 2, "based on version 5, the newest is 2"), refused);
        for (int i = 3; i <= 5; i++) {
            stateMachine.apply(TestCluster.proposal("p" + i, -1, "" + i));
        }
        assertEquals(
                refused,
                stateMachine.apply(TestCluster.proposal("early", 5, "1")),
                "a repeated id keeps its result although version 5 is now the newest");
        assertEquals(committed(6), stateMachine.apply(TestCluster.proposal("late", 5, "1")));
    }

    @Test
    void repeatedIdWithOtherEntriesIsRefused() {
        ConfigStateMachine stateMachine = new ConfigStateMachine();
        stateMachine.apply(TestCluster.proposal("a", -1, "1"));
        ProposalResult result = stateMachine.apply(TestCluster.proposal("a", -1, "2"));
        assertEquals(ProposalOutcome.REFUSED, result.outcome());
        assertTrue(result.reason().startsWith("the id a was given to version 1"), result.reason());
        assertEquals(1, stateMachine.newest().number());
    }

    @Test
    void invalidProposalsAreRefused() {
        ConfigStateMachine stateMachine = new ConfigStateMachine();
        assertEquals(
                ProposalOutcome.REFUSED,
                stateMachine
                        .apply(proposalOfSize("big", ConfigStateMachine.MAX_VERSION_BYTES))
                        .outcome());
        assertEquals(
                ProposalOutcome.REFUSED,
                stateMachine.apply(TestCluster.proposal("", -1, "1")).outcome());
        assertEquals(
                ProposalOutcome.REFUSED,
                stateMachine
                        .apply(TestCluster.proposal("i".repeat(101), -1, "1"))
                        .outcome());
        assertEquals(
                ProposalOutcome.REFUSED,
                stateMachine
                        .apply(new Proposal("two", -1, new TreeMap<>(), "one\ntwo", 0))
                        .outcome());
        assertEquals(0, stateMachine.newest().number());
    }

    @Test
    void historyIsBoundedByCountAndSize() {
        ConfigStateMachine many = new ConfigStateMachine();
        for (int i = 1; i <= ConfigStateMachine.MAX_VERSIONS + 10; i++) {
            many.apply(TestCluster.proposal("p" + i, -1, "" + i));
        }
        assertNull(many.at(10));
        assertNotNull(many.at(11));
        ConfigStateMachine large = new ConfigStateMachine();
        for (int i = 1; i <= 100; i++) {
            assertEquals(committed(i), large.apply(proposalOfSize("p" + i, 100_000)));
        }
        // 100,000 characters count as slightly more than 200,000 bytes.
        long keptVersions = ConfigStateMachine.MAX_HISTORY_BYTES / 200_000;
        assertNull(large.at(100 - keptVersions));
        assertNotNull(large.at(100 - keptVersions + 2));
    }

    @Test
    void rememberedIdsAreBounded() {
        ConfigStateMachine stateMachine = new ConfigStateMachine();
        stateMachine.apply(TestCluster.proposal("first", -1, "1"));
        for (int i = 1; i < ConfigStateMachine.MAX_ACCEPTED_IDS; i++) {
            stateMachine.apply(TestCluster.proposal("p" + i, -1, "1"));
        }
        for (int i = 0; i < 3 * ConfigStateMachine.MAX_REFUSED_IDS; i++) {
            stateMachine.apply(TestCluster.proposal("r" + i, 0, "1"));
        }
        assertEquals(
                committed(1),
                stateMachine.apply(TestCluster.proposal("first", -1, "1")),
                "refused proposals must not evict accepted ones");
        stateMachine.apply(TestCluster.proposal("last", -1, "1"));
        assertEquals(
                committed(ConfigStateMachine.MAX_ACCEPTED_IDS + 2),
                stateMachine.apply(TestCluster.proposal("first", -1, "1")));
    }

    @Test
    void snapshotRestoresTheState() {
        ConfigStateMachine stateMachine = new ConfigStateMachine();
        for (int i = 1; i <= 60; i++) {
            stateMachine.apply(proposalOfSize("p" + i, 30_000 + i));
        }
        stateMachine.apply(TestCluster.proposal("refused", 1, "1"));
        List<byte[]> parts = stateMachine.encodeSnapshot();
        assertTrue(parts.size() > 2, parts.size() + " parts");
        for (byte[] part : parts) {
            assertTrue(part.length < ReplicaTransport.MAX_BODY_BYTES / 2, "a part of " + part.length);
        }
        ConfigStateMachine loaded = ConfigStateMachine.decodeSnapshot(parts);
        assertEquals(stateMachine.versionsAfter(0), loaded.versionsAfter(0));
        assertEquals(committed(7), loaded.apply(proposalOfSize("p7", 30_007)));
        assertEquals(
                stateMachine.apply(TestCluster.proposal("refused", 1, "1")),
                loaded.apply(TestCluster.proposal("refused", 1, "1")));
        assertEquals(committed(61), loaded.apply(TestCluster.proposal("next", 60, "1")));
        assertThrows(
                IllegalArgumentException.class,
                () -> ConfigStateMachine.decodeSnapshot(parts.subList(0, parts.size() - 1)));
        assertThrows(IllegalArgumentException.class, () -> ConfigStateMachine.decodeSnapshot(List.of()));
    }

    @Test
    void laterChangesOfTheProposersMapHaveNoEffect() {
        ConfigStateMachine stateMachine = new ConfigStateMachine();
        TreeMap<String, String> entries = new TreeMap<>(Map.of("a", "1"));
        stateMachine.apply(new Proposal("p", -1, entries, "", 0));
        entries.put("a", "2");
        assertEquals("1", stateMachine.newest().entries().get("a"));
    }
}
