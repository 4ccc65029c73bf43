package mulleinfront.keep;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.message.RaftMessage;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import mulleinfront.config.Proposal;
import mulleinfront.config.VersionLog;
import org.junit.jupiter.api.Test;

/** Encoding and decoding of messages, log entries and proposals. */
class CodecTest {
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final RaftEndpoint REPLICA_1 = new ReplicaEndpoint("k1");

    private static List<RaftMessage> allMessages() {
        String groupId = Codec.GROUP_ID;
        RaftGroupMembersView members = MODEL.createRaftGroupMembersViewBuilder()
                .setLogIndex(0)
                .setMembers(List.of(REPLICA_1, new ReplicaEndpoint("k2")))
                .setVotingMembers(List.of(REPLICA_1))
                .build();
        LogEntry change = MODEL.createLogEntryBuilder()
                .setIndex(7)
                .setTerm(3)
                .setOperation(new Operation.Change(TestCluster.proposal("p", 2, "żółć")))
                .build();
        LogEntry start = MODEL.createLogEntryBuilder()
                .setIndex(8)
                .setTerm(4)
                .setOperation(new Operation.TermStart())
                .build();
        return List.of(
                MODEL.createAppendEntriesRequestBuilder()
                        .setGroupId(groupId)
                        .setSender(REPLICA_1)
                        .setTerm(4)
                        .setPreviousLogTerm(2)
                        .setPreviousLogIndex(6)
                        .setCommitIndex(5)
                        .setLogEntries(List.of(change, start))
                        .setQuerySequenceNumber(9)
                        .setFlowControlSequenceNumber(10)
                        .build(),
                MODEL.createAppendEntriesSuccessResponseBuilder()
                        .setGroupId(groupId)
                        .setSender(REPLICA_1)
                        .setTerm(4)
                        .setLastLogIndex(8)
                        .setQuerySequenceNumber(1)
                        .setFlowControlSequenceNumber(2)
                        .build(),
                MODEL.createAppendEntriesFailureResponseBuilder()
                        .setGroupId(groupId)
                        .setSender(REPLICA_1)
                        .setTerm(4)
                        .setExpectedNextIndex(8)
                        .setQuerySequenceNumber(1)
                        .setFlowControlSequenceNumber(2)
                        .build(),
                MODEL.createInstallSnapshotRequestBuilder()
                        .setGroupId(groupId)
                        .setSender(REPLICA_1)
                        .setTerm(4)
                        .setSenderLeader(true)
                        .setSnapshotTerm(3)
                        .setSnapshotIndex(128)
                        .setTotalSnapshotChunkCount(2)
                        .setSnapshotChunk(MODEL.createSnapshotChunkBuilder()
                                .setIndex(128)
                                .setTerm(3)
                                .setOperation(new Operation.SnapshotPart(new byte[] {1, 2, 3}))
                                .setSnapshotChunkIndex(1)
                                .setSnapshotChunkCount(2)
                                .setGroupMembersView(members)
                                .build())
                        .setSnapshottedMembers(List.of(REPLICA_1))
                        .setGroupMembersView(members)
                        .setQuerySequenceNumber(1)
                        .setFlowControlSequenceNumber(2)
                        .build(),
                MODEL.createInstallSnapshotRequestBuilder()
                        .setGroupId(groupId)
                        .setSender(REPLICA_1)
                        .setTerm(4)
                        .setSenderLeader(false)
                        .setSnapshotTerm(3)
                        .setSnapshotIndex(128)
                        .setTotalSnapshotChunkCount(2)
                        .setSnapshotChunk(null)
                        .setSnapshottedMembers(List.of())
                        .setGroupMembersView(members)
                        .setQuerySequenceNumber(1)
                        .setFlowControlSequenceNumber(2)
                        .build(),
                MODEL.createInstallSnapshotResponseBuilder()
                        .setGroupId(groupId)
                        .setSender(REPLICA_1)
                        .setTerm(4)
                        .setSnapshotIndex(128)
                        .setRequestedSnapshotChunkIndex(1)
                        .setQuerySequenceNumber(1)
                        .setFlowControlSequenceNumber(2)
                        .build(),
                MODEL.createPreVoteRequestBuilder()
                        .setGroupId(groupId)
                        .setSender(REPLICA_1)
                        .setTerm(4)
                        .setLastLogTerm(3)
                        .setLastLogIndex(8)
                        .build(),
                MODEL.createPreVoteResponseBuilder()
                        .setGroupId(groupId)
                        .setSender(REPLICA_1)
                        .setTerm(4)
                        .setGranted(true)
                        .build(),
                MODEL.createVoteRequestBuilder()
                        .setGroupId(groupId)
                        .setSender(REPLICA_1)
                        .setTerm(4)
                        .setLastLogTerm(3)
                        .setLastLogIndex(8)
                        .setSticky(true)
                        .build(),
                MODEL.createVoteResponseBuilder()
                        .setGroupId(groupId)
                        .setSender(REPLICA_1)
                        .setTerm(4)
                        .setGranted(true)
                        .build(),
                MODEL.createTriggerLeaderElectionRequestBuilder()
                        .setGroupId(groupId)
                        .setSender(REPLICA_1)
                        .setTerm(4)
                        .setLastLogTerm(3)
                        .setLastLogIndex(8)
                        .build());
    }

    @Test
    void messagesSurviveEncodingAndDecoding() {
        for (RaftMessage message : allMessages()) {
            byte[] bytes = Codec.encodeMessage(message);
            RaftMessage decoded = Codec.decodeMessage(bytes);
            assertEquals(message.getClass(), decoded.getClass());
            assertEquals(REPLICA_1, decoded.getSender());
            assertArrayEquals(bytes, Codec.encodeMessage(decoded), message.toString());
            if (!(message instanceof io.microraft.model.message.InstallSnapshotRequest)) {
                // toString shows a snapshot part's bytes by identity.
                assertEquals(message.toString(), decoded.toString());
            }
        }
    }

    @Test
    void truncatedOrExtendedMessagesAreRejected() {
        for (RaftMessage message : allMessages()) {
            byte[] bytes = Codec.encodeMessage(message);
            for (int length = 0; length < bytes.length; length++) {
                byte[] truncated = Arrays.copyOf(bytes, length);
                assertThrows(IllegalArgumentException.class, () -> Codec.decodeMessage(truncated));
            }
            byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
            assertThrows(IllegalArgumentException.class, () -> Codec.decodeMessage(longer));
        }
    }

    @Test
    void alteredMessagesDecodeOrAreRejected() {
        Random random = new Random(1);
        int rejected = 0;
        for (int i = 0; i < 20_000; i++) {
            List<RaftMessage> all = allMessages();
            byte[] bytes = Codec.encodeMessage(all.get(i % all.size()));
            for (int changes = 1 + random.nextInt(3); changes > 0; changes--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            try {
                Codec.decodeMessage(bytes);
            } catch (IllegalArgumentException e) {
                rejected++;
            }
        }
        assertTrue(rejected > 5_000, rejected + " were rejected");
    }

    @Test
    void proposalsAndResultsSurviveEncodingAndDecoding() {
        Proposal proposal = TestCluster.proposal("p", -1, "ż\u0000\ud83d\ude00");
        assertEquals(proposal, Codec.decodeProposal(Codec.encodeProposal(proposal)));
        for (VersionLog.ProposalOutcome outcome : VersionLog.ProposalOutcome.values()) {
            VersionLog.ProposalResult result = new VersionLog.ProposalResult(outcome, 5, "why");
            assertEquals(result, Codec.decodeProposalResult(Codec.encodeProposalResult(result)));
        }
        byte[] unknownFormat = Codec.encodeProposal(proposal);
        unknownFormat[0] = 2;
        assertEquals(
                "unknown format version 2, expected 1",
                assertThrows(IllegalArgumentException.class, () -> Codec.decodeProposal(unknownFormat))
                        .getMessage());
    }
}
