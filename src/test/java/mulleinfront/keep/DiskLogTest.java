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

/** A keeper's log on disk: killed, cut, changed and put back. */
@Execution(ExecutionMode.CONCURRENT)
class DiskLogTest {
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();
    /** Bytes from one cut to the next; with -Dkeep.stride=1 each byte is tried, which takes minutes. */
    private static final int STRIDE = Integer.getInteger("keep.stride", 97);

    private static final Set<String> KEEPERS = Set.of("k1", "k2", "k3");

    @TempDir
    Path home;

    private static DiskLog open(Path directory) throws IOException {
        return new DiskLog(directory, "k1", KEEPERS);
    }

    private static void begin(DiskLog log) throws IOException {
        List<RaftEndpoint> members = List.of(new Member("k1"), new Member("k2"), new Member("k3"));
        log.persistAndFlushLocalEndpoint(MODEL.createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(new Member("k1"))
                .setVoting(true)
                .build());
        log.persistAndFlushInitialGroupMembers(MODEL.createRaftGroupMembersViewBuilder()
                .setLogIndex(0)
                .setMembers(members)
                .setVotingMembers(members)
                .build());
    }

    private static void term(DiskLog log, int term, String vote) throws IOException {
        log.persistAndFlushTerm(MODEL.createRaftTermPersistentStateBuilder()
                .setTerm(term)
                .setVotedFor(vote == null ? null : new Member(vote))
                .build());
    }

    private static LogEntry entry(long index) {
        return MODEL.createLogEntryBuilder()
                .setIndex(index)
                .setTerm(1)
                .setOperation(new Operation.Change(Trio.proposal("p" + index, -1, "v" + index)))
                .build();
    }

    private static void append(DiskLog log, long index) throws IOException {
        log.persistLogEntries(List.of(entry(index)));
        log.flush();
    }

    @Test
    void whatWasSavedIsThereAfterACrashAndWhatWasNotIsNot() throws Exception {
        try (DiskLog log = open(home)) {
            assertNull(log.restored());
            begin(log);
            term(log, 4, null);
            for (int i = 1; i <= 5; i++) {
                append(log, i);
            }
            log.truncateLogEntriesFrom(5);
            log.persistAndFlushCommitted(3);
            log.persistLogEntries(List.of(entry(5)));
        }
        try (DiskLog log = open(home)) {
            RestoredRaftState state = log.restored();
            assertEquals(4, state.getTermPersistentState().getTerm());
            // No vote in the last term is a state like any other, not an empty log.
            assertNull(state.getTermPersistentState().getVotedFor());
            assertEquals(4, state.getLogEntries().size());
            assertEquals(3, log.committed());
            term(log, 5, "k3");
        }
        try (DiskLog log = open(home)) {
            assertEquals(
                    new Member("k3"), log.restored().getTermPersistentState().getVotedFor());
        }
    }

    /** What a log says of itself, for comparison. */
    private static String state(DiskLog log) {
        RestoredRaftState state = log.restored();
        return log.saves() + " " + log.committed() + " " + state.getTermPersistentState() + state.getLogEntries();
    }

    /** Writes one with everything in it. */
    private String written(Path directory) throws IOException {
        try (DiskLog log = open(directory)) {
            begin(log);
            term(log, 1, "k2");
            for (int i = 1; i <= 4; i++) {
                append(log, i);
                log.persistAndFlushCommitted(i);
            }
            return state(log);
        }
    }

    /**
     * Opens a directory in which one file has other bytes: it is as it was, or refused in one line with a
     * name.
     */
    private void wholeOrRefused(Path from, String file, byte[] bytes, String state, String what, TreeSet<String> kinds)
            throws IOException {
        Path to = home.resolve("changed");
        Files.createDirectories(to);
        for (String name : List.of(DiskLog.STORE, DiskLog.MARK)) {
            Files.write(to.resolve(name), name.equals(file) ? bytes : Files.readAllBytes(from.resolve(name)));
        }
        try (DiskLog log = open(to)) {
            assertEquals(state, state(log), what);
            kinds.add("whole");
        } catch (IOException e) {
            assertTrue(e.getMessage().startsWith(to.toString()), what + ": " + e.getMessage());
            assertEquals(1, e.getMessage().lines().count(), what);
            kinds.add("refused");
        }
    }

    @Test
    void aStoreCutAtAnyByteIsWholeOrRefused() throws Exception {
        Path from = home.resolve("from");
        String state = written(from);
        byte[] store = Files.readAllBytes(from.resolve(DiskLog.STORE));
        TreeSet<String> kinds = new TreeSet<>();
        for (int length = 0; length < store.length; length += STRIDE) {
            wholeOrRefused(from, DiskLog.STORE, Arrays.copyOf(store, length), state, "cut at " + length, kinds);
        }
        assertTrue(kinds.contains("refused"), kinds.toString());
    }

    @Test
    void aStoreWithAChangedByteIsWholeOrRefused() throws Exception {
        Path from = home.resolve("from");
        String state = written(from);
        byte[] store = Files.readAllBytes(from.resolve(DiskLog.STORE));
        TreeSet<String> kinds = new TreeSet<>();
        for (int at = 0; at < store.length; at += STRIDE) {
            byte[] changed = store.clone();
            changed[at] ^= 0x10;
            wholeOrRefused(from, DiskLog.STORE, changed, state, "changed at " + at, kinds);
        }
        assertEquals(Set.of("whole", "refused"), kinds);
    }

    @Test
    void aMarkCutAtAnyByteIsRefused() throws Exception {
        Path from = home.resolve("from");
        String state = written(from);
        byte[] mark = Files.readAllBytes(from.resolve(DiskLog.MARK));
        TreeSet<String> kinds = new TreeSet<>();
        for (int length = 0; length < mark.length; length += STRIDE) {
            wholeOrRefused(from, DiskLog.MARK, Arrays.copyOf(mark, length), state, "cut at " + length, kinds);
        }
        assertEquals(Set.of("refused"), kinds);
        for (int at = 0; at < mark.length; at += STRIDE) {
            byte[] changed = mark.clone();
            changed[at] ^= 0x10;
            wholeOrRefused(from, DiskLog.MARK, changed, state, "changed at " + at, kinds);
        }
    }

    @Test
    void anOlderStoreBesideANewerMarkIsRefused() throws Exception {
        byte[] older;
        try (DiskLog log = open(home)) {
            begin(log);
            append(log, 1);
        }
        older = Files.readAllBytes(home.resolve(DiskLog.STORE));
        try (DiskLog log = open(home)) {
            append(log, 2);
        }
        Files.write(home.resolve(DiskLog.STORE), older);
        String why = assertThrows(IOException.class, () -> open(home)).getMessage();
        assertTrue(why.endsWith("is at save 3, its mark at 4: it was cut, or an older copy was put back"), why);
        Files.delete(home.resolve(DiskLog.MARK));
        why = assertThrows(IOException.class, () -> open(home)).getMessage();
        assertTrue(why.contains("keeper.mark: is missing"), why);
    }

    @Test
    void afterAnErrorNothingIsWrittenAnyMore() throws Exception {
        DiskLog log = open(home);
        begin(log);
        log.close();
        String first = assertThrows(IOException.class, () -> append(log, 1)).getMessage();
        assertEquals(
                first, assertThrows(IOException.class, () -> term(log, 2, null)).getMessage());
        assertEquals(2, log.saves());
    }

    @Test
    void theFileDoesNotGrowWithTheNumberOfChanges() throws Exception {
        try (DiskLog log = open(home)) {
            begin(log);
            for (int i = 1; i <= 1500; i++) {
                append(log, i);
                if (i % 128 == 0) {
                    log.taking(i);
                    log.persistSnapshotChunk(MODEL.createSnapshotChunkBuilder()
                            .setIndex(i)
                            .setTerm(1)
                            .setOperation(new Operation.Part(new byte[10_000]))
                            .setSnapshotChunkIndex(0)
                            .setSnapshotChunkCount(1)
                            .setGroupMembersView(log.restored().getInitialGroupMembers())
                            .build());
                    log.flush();
                    log.truncateLogEntriesUntil(i);
                    log.flush();
                }
            }
        }
        long size = Files.size(home.resolve(DiskLog.STORE));
        assertTrue(size < 16 << 20, size + " bytes after 1,500 changes");
        try (DiskLog log = open(home)) {
            RestoredRaftState state = log.restored();
            // 11 snapshots of 128; the start is made from the one before the newest.
            assertEquals(10 * 128, state.getSnapshotEntry().getIndex());
            assertEquals(1500 - 10 * 128, state.getLogEntries().size());
        }
    }

    /** Appends and says each entry after it is durable, until it is killed. */
    public static final class Child {
        private Child() {}

        public static void main(String[] args) throws IOException {
            DiskLog log = open(Path.of(args[0]));
            long index = 0;
            if (log.restored() == null) {
                begin(log);
            } else {
                index = log.restored().getLogEntries().size();
            }
            while (true) {
                append(log, ++index);
                System.out.println(index);
                System.out.flush();
            }
        }
    }

    @Test
    void killedAtAnyTimeItHoldsWhatItSaid() throws Exception {
        long said = 0;
        for (int round = 0; round < 5; round++) {
            Process child = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-cp",
                            System.getProperty("java.class.path"),
                            Child.class.getName(),
                            home.toString())
                    .redirectError(ProcessBuilder.Redirect.INHERIT)
                    .start();
            try (BufferedReader lines = new BufferedReader(new InputStreamReader(child.getInputStream()))) {
                for (int i = 0; i < 20 + 17 * round; i++) {
                    String line = lines.readLine();
                    assertNotNull(line);
                    assertEquals(said + 1, Long.parseLong(line));
                    said = Long.parseLong(line);
                }
                // By its handle: the process itself would close what it has said.
                child.toHandle().destroyForcibly();
                for (String line = lines.readLine(); line != null && !line.isEmpty(); line = lines.readLine()) {
                    said = Long.parseLong(line);
                }
            }
            assertTrue(child.waitFor(10, TimeUnit.SECONDS));
            try (DiskLog log = open(home)) {
                List<LogEntry> entries = new ArrayList<>(log.restored().getLogEntries());
                assertTrue(entries.size() >= said, entries.size() + " entries, " + said + " were said");
                assertEquals(
                        "p" + said,
                        ((Operation.Change) entries.get((int) said - 1).getOperation())
                                .proposal()
                                .id());
                said = entries.size();
            }
        }
    }
}
