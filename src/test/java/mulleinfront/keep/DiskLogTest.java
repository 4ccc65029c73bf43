package mulleinfront.keep;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.persistence.RestoredRaftState;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/** The log on disk after kills, truncated or altered files, and files replaced by an older copy. */
@Execution(ExecutionMode.CONCURRENT)
class DiskLogTest {
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();
    /** Distance in bytes between tested positions; -Dkeep.stride=1 tests every byte, which takes minutes. */
    private static final int STRIDE_BYTES = Integer.getInteger("keep.stride", 97);

    private static final Set<String> REPLICA_NAMES = Set.of("k1", "k2", "k3");

    @TempDir
    Path baseDirectory;

    private static DiskLog open(Path directory) throws IOException {
        return new DiskLog(directory, "k1", REPLICA_NAMES);
    }

    private static void initialize(DiskLog log) throws IOException {
        List<RaftEndpoint> members =
                List.of(new ReplicaEndpoint("k1"), new ReplicaEndpoint("k2"), new ReplicaEndpoint("k3"));
        log.persistAndFlushLocalEndpoint(MODEL.createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(new ReplicaEndpoint("k1"))
                .setVoting(true)
                .build());
        log.persistAndFlushInitialGroupMembers(MODEL.createRaftGroupMembersViewBuilder()
                .setLogIndex(0)
                .setMembers(members)
                .setVotingMembers(members)
                .build());
    }

    private static void persistTerm(DiskLog log, int term, String vote) throws IOException {
        log.persistAndFlushTerm(MODEL.createRaftTermPersistentStateBuilder()
                .setTerm(term)
                .setVotedFor(vote == null ? null : new ReplicaEndpoint(vote))
                .build());
    }

    private static LogEntry entry(long index) {
        return MODEL.createLogEntryBuilder()
                .setIndex(index)
                .setTerm(1)
                .setOperation(new Operation.Change(TestCluster.proposal("p" + index, -1, "v" + index)))
                .build();
    }

    private static void append(DiskLog log, long index) throws IOException {
        log.persistLogEntries(List.of(entry(index)));
        log.flush();
    }

    @Test
    void savedStateSurvivesACrashAndUnsavedChangesDoNot() throws Exception {
        try (DiskLog log = open(baseDirectory)) {
            assertNull(log.restoredState());
            initialize(log);
            persistTerm(log, 4, null);
            for (int i = 1; i <= 5; i++) {
                append(log, i);
            }
            log.truncateLogEntriesFrom(5);
            log.persistAndFlushCommitIndex(3);
            log.persistLogEntries(List.of(entry(5)));
        }
        try (DiskLog log = open(baseDirectory)) {
            RestoredRaftState state = log.restoredState();
            assertEquals(4, state.getTermPersistentState().getTerm());
            // A term without a vote must not be taken for an empty log.
            assertNull(state.getTermPersistentState().getVotedFor());
            assertEquals(4, state.getLogEntries().size());
            assertEquals(3, log.commitIndex());
            persistTerm(log, 5, "k3");
        }
        try (DiskLog log = open(baseDirectory)) {
            assertEquals(
                    new ReplicaEndpoint("k3"),
                    log.restoredState().getTermPersistentState().getVotedFor());
        }
    }

    /** The restored state as text, for comparison. */
    private static String stateText(DiskLog log) {
        RestoredRaftState state = log.restoredState();
        return log.saveCount() + " " + log.commitIndex() + " " + state.getTermPersistentState() + state.getLogEntries();
    }

    /** Writes a log with a term, a vote, entries and a commit index. */
    private String writeSampleLog(Path directory) throws IOException {
        try (DiskLog log = open(directory)) {
            initialize(log);
            persistTerm(log, 1, "k2");
            for (int i = 1; i <= 4; i++) {
                append(log, i);
                log.persistAndFlushCommitIndex(i);
            }
            return stateText(log);
        }
    }

    /**
     * Opens a copy of the directory in which one file has the given bytes: the state must be unchanged, or opening
     * must fail with a message of one line that names the path.
     */
    private void assertUnchangedOrRejected(
            Path original, String file, byte[] bytes, String state, String description, TreeSet<String> outcomes)
            throws IOException {
        Path copy = baseDirectory.resolve("changed");
        Files.createDirectories(copy);
        for (String name : List.of(DiskLog.STORE_FILE, DiskLog.COUNTER_FILE)) {
            Files.write(copy.resolve(name), name.equals(file) ? bytes : Files.readAllBytes(original.resolve(name)));
        }
        try (DiskLog log = open(copy)) {
            assertEquals(state, stateText(log), description);
            outcomes.add("unchanged");
        } catch (IOException e) {
            assertTrue(e.getMessage().startsWith(copy.toString()), description + ": " + e.getMessage());
            assertEquals(1, e.getMessage().lines().count(), description);
            outcomes.add("rejected");
        }
    }

    @Test
    void truncatedStoreIsUnchangedOrRejected() throws Exception {
        Path original = baseDirectory.resolve("from");
        String state = writeSampleLog(original);
        byte[] store = Files.readAllBytes(original.resolve(DiskLog.STORE_FILE));
        TreeSet<String> outcomes = new TreeSet<>();
        for (int length = 0; length < store.length; length += STRIDE_BYTES) {
            assertUnchangedOrRejected(
                    original,
                    DiskLog.STORE_FILE,
                    Arrays.copyOf(store, length),
                    state,
                    "truncated at " + length,
                    outcomes);
        }
        assertTrue(outcomes.contains("rejected"), outcomes.toString());
    }

    @Test
    void alteredStoreIsUnchangedOrRejected() throws Exception {
        Path original = baseDirectory.resolve("from");
        String state = writeSampleLog(original);
        byte[] store = Files.readAllBytes(original.resolve(DiskLog.STORE_FILE));
        TreeSet<String> outcomes = new TreeSet<>();
        for (int at = 0; at < store.length; at += STRIDE_BYTES) {
            byte[] altered = store.clone();
            altered[at] ^= 0x10;
            assertUnchangedOrRejected(original, DiskLog.STORE_FILE, altered, state, "altered at " + at, outcomes);
        }
        assertEquals(Set.of("unchanged", "rejected"), outcomes);
    }

    @Test
    void truncatedCounterFileIsRejected() throws Exception {
        Path original = baseDirectory.resolve("from");
        String state = writeSampleLog(original);
        byte[] counterFile = Files.readAllBytes(original.resolve(DiskLog.COUNTER_FILE));
        TreeSet<String> outcomes = new TreeSet<>();
        for (int length = 0; length < counterFile.length; length += STRIDE_BYTES) {
            assertUnchangedOrRejected(
                    original,
                    DiskLog.COUNTER_FILE,
                    Arrays.copyOf(counterFile, length),
                    state,
                    "truncated at " + length,
                    outcomes);
        }
        assertEquals(Set.of("rejected"), outcomes);
        for (int at = 0; at < counterFile.length; at += STRIDE_BYTES) {
            byte[] altered = counterFile.clone();
            altered[at] ^= 0x10;
            assertUnchangedOrRejected(original, DiskLog.COUNTER_FILE, altered, state, "altered at " + at, outcomes);
        }
    }

    @Test
    void storeOlderThanItsCounterFileIsRejected() throws Exception {
        byte[] older;
        try (DiskLog log = open(baseDirectory)) {
            initialize(log);
            append(log, 1);
        }
        older = Files.readAllBytes(baseDirectory.resolve(DiskLog.STORE_FILE));
        try (DiskLog log = open(baseDirectory)) {
            append(log, 2);
        }
        Files.write(baseDirectory.resolve(DiskLog.STORE_FILE), older);
        String message =
                assertThrows(IOException.class, () -> open(baseDirectory)).getMessage();
        assertTrue(
                message.endsWith(
                        "has save counter 3, but its counter file has 4: it was truncated or replaced by an older copy"),
                message);
        Files.delete(baseDirectory.resolve(DiskLog.COUNTER_FILE));
        message = assertThrows(IOException.class, () -> open(baseDirectory)).getMessage();
        assertTrue(message.contains("keeper.mark: is missing"), message);
    }

    @Test
    void noWriteIsAcceptedAfterAnError() throws Exception {
        DiskLog log = open(baseDirectory);
        initialize(log);
        log.close();
        String first = assertThrows(IOException.class, () -> append(log, 1)).getMessage();
        assertEquals(
                first,
                assertThrows(IOException.class, () -> persistTerm(log, 2, null)).getMessage());
        assertEquals(2, log.saveCount());
    }

    @Test
    void storeSizeStaysBoundedWithSnapshots() throws Exception {
        try (DiskLog log = open(baseDirectory)) {
            initialize(log);
            for (int i = 1; i <= 1500; i++) {
                append(log, i);
                if (i % 128 == 0) {
                    log.beginSnapshot(i);
                    log.persistSnapshotChunk(MODEL.createSnapshotChunkBuilder()
                            .setIndex(i)
                            .setTerm(1)
                            .setOperation(new Operation.SnapshotPart(new byte[10_000]))
                            .setSnapshotChunkIndex(0)
                            .setSnapshotChunkCount(1)
                            .setGroupMembersView(log.restoredState().getInitialGroupMembers())
                            .build());
                    log.flush();
                    log.truncateLogEntriesUntil(i);
                    log.flush();
                }
            }
        }
        long size = Files.size(baseDirectory.resolve(DiskLog.STORE_FILE));
        assertTrue(size < 16 << 20, size + " bytes after 1,500 entries");
        try (DiskLog log = open(baseDirectory)) {
            RestoredRaftState state = log.restoredState();
            // 11 snapshots, 128 entries apart; a start uses the one before the newest.
            assertEquals(10 * 128, state.getSnapshotEntry().getIndex());
            assertEquals(1500 - 10 * 128, state.getLogEntries().size());
        }
    }

    /** Appends entries and prints the index of each once it is durable, until the process is killed. */
    public static final class Child {
        private Child() {}

        public static void main(String[] args) throws IOException {
            DiskLog log = open(Path.of(args[0]));
            long index = 0;
            if (log.restoredState() == null) {
                initialize(log);
            } else {
                index = log.restoredState().getLogEntries().size();
            }
            while (true) {
                append(log, ++index);
                System.out.println(index);
                System.out.flush();
            }
        }
    }

    @Test
    void acknowledgedEntriesSurviveAKill() throws Exception {
        long acknowledged = 0;
        for (int round = 0; round < 5; round++) {
            Process child = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-cp",
                            System.getProperty("java.class.path"),
                            Child.class.getName(),
                            baseDirectory.toString())
                    .redirectError(ProcessBuilder.Redirect.INHERIT)
                    .start();
            try (BufferedReader lines = new BufferedReader(new InputStreamReader(child.getInputStream()))) {
                for (int i = 0; i < 20 + 17 * round; i++) {
                    String line = lines.readLine();
                    assertNotNull(line);
                    assertEquals(acknowledged + 1, Long.parseLong(line));
                    acknowledged = Long.parseLong(line);
                }
                // Through its handle: Process.destroyForcibly would close the output stream, which is still read.
                child.toHandle().destroyForcibly();
                for (String line = lines.readLine(); line != null && !line.isEmpty(); line = lines.readLine()) {
                    acknowledged = Long.parseLong(line);
                }
            }
            assertTrue(child.waitFor(10, TimeUnit.SECONDS));
            try (DiskLog log = open(baseDirectory)) {
                List<LogEntry> entries = new ArrayList<>(log.restoredState().getLogEntries());
                assertTrue(
                        entries.size() >= acknowledged,
                        entries.size() + " entries, " + acknowledged + " were acknowledged");
                assertEquals(
                        "p" + acknowledged,
                        ((Operation.Change) entries.get((int) acknowledged - 1).getOperation())
                                .proposal()
                                .id());
                acknowledged = entries.size();
            }
        }
    }
}
