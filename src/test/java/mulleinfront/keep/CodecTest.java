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

/** Messages, entries and answers as bytes and back. */
class CodecTest {
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final RaftEndpoint K1 = new Member("k1");

    private static List<RaftMessage> all() {
        String g = Codec.GROUP;
        RaftGroupMembersView members = MODEL.createRaftGroupMembersViewBuilder()
                .setLogIndex(0)
                .setMembers(List.of(K1, new Member("k2")))
                .setVotingMembers(List.of(K1))
                .build();
        LogEntry change = MODEL.createLogEntryBuilder()
                .setIndex(7)
                .setTerm(3)
                .setOperation(new Operation.Change(Trio.proposal("p", 2, "żółć")))
                .build();
        LogEntry start = MODEL.createLogEntryBuilder()
                .setIndex(8)
                .setTerm(4)
                .setOperation(new Operation.TermStart())
                .build();
        return List.of(
                MODEL.createAppendEntriesRequestBuilder()
                        .setGroupId(g)
                        .setSender(K1)
                        .setTerm(4)
                        .setPreviousLogTerm(2)
                        .setPreviousLogIndex(6)
                        .setCommitIndex(5)
                        .setLogEntries(List.of(change, start))
                        .setQuerySequenceNumber(9)
                        .setFlowControlSequenceNumber(10)
                        .build(),
                MODEL.createAppendEntriesSuccessResponseBuilder()
                        .setGroupId(g)
                        .setSender(K1)
                        .setTerm(4)
                        .setLastLogIndex(8)
                        .setQuerySequenceNumber(1)
                        .setFlowControlSequenceNumber(2)
                        .build(),
                MODEL.createAppendEntriesFailureResponseBuilder()
                        .setGroupId(g)
                        .setSender(K1)
                        .setTerm(4)
                        .setExpectedNextIndex(8)
                        .setQuerySequenceNumber(1)
                        .setFlowControlSequenceNumber(2)
                        .build(),
                MODEL.createInstallSnapshotRequestBuilder()
                        .setGroupId(g)
                        .setSender(K1)
                        .setTerm(4)
                        .setSenderLeader(true)
                        .setSnapshotTerm(3)
                        .setSnapshotIndex(128)
                        .setTotalSnapshotChunkCount(2)
                        .setSnapshotChunk(MODEL.createSnapshotChunkBuilder()
                                .setIndex(128)
                                .setTerm(3)
                                .setOperation(new Operation.Part(new byte[] {1, 2, 3}))
                                .setSnapshotChunkIndex(1)
                                .setSnapshotChunkCount(2)
                                .setGroupMembersView(members)
                                .build())
                        .setSnapshottedMembers(List.of(K1))
                        .setGroupMembersView(members)
                        .setQuerySequenceNumber(1)
                        .setFlowControlSequenceNumber(2)
                        .build(),
                MODEL.createInstallSnapshotRequestBuilder()
                        .setGroupId(g)
                        .setSender(K1)
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
                        .setGroupId(g)
                        .setSender(K1)
                        .setTerm(4)
                        .setSnapshotIndex(128)
                        .setRequestedSnapshotChunkIndex(1)
                        .setQuerySequenceNumber(1)
                        .setFlowControlSequenceNumber(2)
                        .build(),
                MODEL.createPreVoteRequestBuilder()
                        .setGroupId(g)
                        .setSender(K1)
                        .setTerm(4)
                        .setLastLogTerm(3)
                        .setLastLogIndex(8)
                        .build(),
                MODEL.createPreVoteResponseBuilder()
                        .setGroupId(g)
                        .setSender(K1)
                        .setTerm(4)
                        .setGranted(true)
                        .build(),
                MODEL.createVoteRequestBuilder()
                        .setGroupId(g)
                        .setSender(K1)
                        .setTerm(4)
                        .setLastLogTerm(3)
                        .setLastLogIndex(8)
                        .setSticky(true)
                        .build(),
                MODEL.createVoteResponseBuilder()
                        .setGroupId(g)
                        .setSender(K1)
                        .setTerm(4)
                        .setGranted(true)
                        .build(),
                MODEL.createTriggerLeaderElectionRequestBuilder()
                        .setGroupId(g)
                        .setSender(K1)
                        .setTerm(4)
                        .setLastLogTerm(3)
                        .setLastLogIndex(8)
                        .build());
    }

    @Test
    void eachMessageComesBackTheSame() {
        for (RaftMessage message : all()) {
            byte[] bytes = Codec.message(message);
            RaftMessage back = Codec.message(bytes);
            assertEquals(message.getClass(), back.getClass());
            assertEquals(K1, back.getSender());
            assertArrayEquals(bytes, Codec.message(back), message.toString());
            if (!(message instanceof io.microraft.model.message.InstallSnapshotRequest)) {
                // A part's bytes are shown by their identity.
                assertEquals(message.toString(), back.toString());
            }
        }
    }

    @Test
    void aMessageCutAtAnyByteOrWithMoreBehindIsRefused() {
        for (RaftMessage message : all()) {
            byte[] bytes = Codec.message(message);
            for (int length = 0; length < bytes.length; length++) {
                byte[] cut = Arrays.copyOf(bytes, length);
                assertThrows(IllegalArgumentException.class, () -> Codec.message(cut));
            }
            byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
            assertThrows(IllegalArgumentException.class, () -> Codec.message(longer));
        }
    }

    @Test
    void changedBytesAreAMessageOrRefusedAndNothingElse() {
        Random random = new Random(1);
        int refused = 0;
        for (int i = 0; i < 20_000; i++) {
            List<RaftMessage> all = all();
            byte[] bytes = Codec.message(all.get(i % all.size()));
            for (int changes = 1 + random.nextInt(3); changes > 0; changes--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            try {
                Codec.message(bytes);
            } catch (IllegalArgumentException e) {
                refused++;
            }
        }
        assertTrue(refused > 5_000, refused + " were refused");
    }

    @Test
    void proposalsAndAnswersComeBackTheSame() {
        Proposal proposal = Trio.proposal("p", -1, "ż\u0000\ud83d\ude00");
        assertEquals(proposal, Codec.proposal(Codec.proposal(proposal)));
        for (VersionLog.ProposalOutcome what : VersionLog.ProposalOutcome.values()) {
            VersionLog.ProposalResult answer = new VersionLog.ProposalResult(what, 5, "why");
            assertEquals(answer, Codec.answer(Codec.answer(answer)));
        }
        byte[] other = Codec.proposal(proposal);
        other[0] = 2;
        assertEquals(
                "format 2 is not known, 1 is",
                assertThrows(IllegalArgumentException.class, () -> Codec.proposal(other))
                        .getMessage());
    }
}
