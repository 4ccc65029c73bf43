package mulleinfront.keep;

import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.zip.CRC32C;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;
import org.h2.mvstore.type.ByteArrayDataType;
import org.h2.mvstore.type.LongDataType;
import org.h2.mvstore.type.StringDataType;

/**
 * The durable state of a replica on disk: an H2 MVStore in one file, and a {@link SaveCounterFile} beside it.
 *
 * <p>Each save increments the save counter. The counter is written to the store and forced to the disk, then to
 * the counter file and forced, and only then does the replica send a message that depends on the save. A store
 * with a lower counter than the counter file was truncated or replaced by an older copy, and is rejected. If the
 * whole directory is replaced by an older copy, the two files agree; the other replicas detect that case because
 * they remember the counter (see {@link ReplicaTransport}).
 *
 * <p>Each value has its own checksum, because the checksums of MVStore cover chunk headers and page lengths but
 * not the contents. After the first error nothing more is written and every write fails with the same exception:
 * a replica that can't write must not continue.
 */
final class DiskLog implements ReplicaLog, AutoCloseable {
    static final String STORE_FILE = "keeper.mv";
    static final String COUNTER_FILE = "keeper.mark";

    /** Number of saves between two compactions of the store file. */
    private static final int SAVES_PER_COMPACTION = 128;

    private final Path storePath;
    private final MVStore store;
    private final MVMap<String, byte[]> state;
    private final MVMap<Long, byte[]> log;
    /** Snapshot chunks by snapshot index and chunk index, see {@link #chunkKey}. */
    private final MVMap<Long, byte[]> chunks;

    private final SaveCounterFile counterFile;
    private final String name;
    private final Collection<String> replicaNames;
    private long saveCount;
    private long commitIndex;
    private IOException firstError;

    /**
     * Opens the log in a directory, or creates it.
     *
     * @param name name of the replica that owns the log
     * @param replicaNames names of all replicas
     * @throws IOException with a message of one line that names the file, if the log is incomplete or damaged, or
     *        belongs to another replica
     */
    DiskLog(Path directory, String name, Collection<String> replicaNames) throws IOException {
        this.name = name;
        this.replicaNames = Set.copyOf(replicaNames);
        Files.createDirectories(directory);
        storePath = directory.resolve(STORE_FILE);
        boolean storeExists = Files.exists(storePath);
        Path counterPath = directory.resolve(COUNTER_FILE);
        if (storeExists && !Files.exists(counterPath)) {
            throw new IOException(
                    counterPath + ": is missing, but " + storePath + " exists: was part of the directory lost?");
        }
        counterFile = SaveCounterFile.open(counterPath);
        MVStore openedStore = null;
        try {
            openedStore = new MVStore.Builder()
                    .fileName(storePath.toString())
                    .autoCommitDisabled()
                    .autoCommitBufferSize(0)
                    .cacheSize(1)
                    .open();
            store = openedStore;
            store.setVersionsToKeep(0);
            state = store.openMap(
                    "state",
                    new MVMap.Builder<String, byte[]>()
                            .keyType(StringDataType.INSTANCE)
                            .valueType(ByteArrayDataType.INSTANCE));
            log = store.openMap("log", longKeyedMap());
            chunks = store.openMap("chunks", longKeyedMap());
            saveCount = longValue("saves");
            if (saveCount < counterFile.saveCount()) {
                throw new IllegalArgumentException("has save counter " + saveCount + ", but its counter file has "
                        + counterFile.saveCount() + ": it was truncated or replaced by an older copy");
            }
            commitIndex = longValue("committed");
            restore();
        } catch (RuntimeException | AssertionError e) {
            // On a damaged file MVStore throws various exceptions, a NullPointerException among them.
            if (openedStore != null) {
                openedStore.closeImmediately();
            }
            counterFile.close();
            throw new IOException(storePath + ": " + firstLine(e), e);
        }
    }

    private static MVMap.Builder<Long, byte[]> longKeyedMap() {
        return new MVMap.Builder<Long, byte[]>().keyType(LongDataType.INSTANCE).valueType(ByteArrayDataType.INSTANCE);
    }

    private static String firstLine(Throwable error) {
        String message = String.valueOf(error.getMessage()).lines().findFirst().orElse("");
        return error instanceof IllegalArgumentException || error instanceof MVStoreException
                ? message
                : "is damaged: " + error.getClass().getSimpleName() + " " + message;
    }

    // ---- startup

    private RestoredRaftState restore() {
        byte[] endpoint = verifiedValue(state, "endpoint");
        byte[] members = verifiedValue(state, "members");
        if (endpoint == null || members == null) {
            // Both are saved before the first message, so without them this replica has never sent a message.
            if (!log.isEmpty() || state.containsKey("term")) {
                throw new IllegalArgumentException("has log entries or a term, but no replica name or group members");
            }
            return null;
        }
        String owner = new String(endpoint, StandardCharsets.UTF_8);
        if (!owner.equals(name)) {
            throw new IllegalArgumentException("belongs to replica " + owner + ", not to " + name);
        }
        RaftGroupMembersView initialMembers = Codec.decodeMembers(members);
        Set<String> storedNames = new HashSet<>();
        initialMembers.getMembers().forEach(member -> storedNames.add((String) member.getId()));
        if (!storedNames.equals(replicaNames)) {
            throw new IllegalArgumentException(
                    "was created for the replicas " + storedNames + ", but the settings name " + replicaNames);
        }
        byte[] vote = verifiedValue(state, "vote");
        TreeMap<Long, LogEntry> entries = new TreeMap<>();
        for (Long index : log.keySet()) {
            entries.put(index, Codec.decodeEntry(verifiedValue(log, index)));
        }
        return Recovery.restore(
                name,
                initialMembers,
                (int) longValue("term"),
                vote == null ? null : new String(vote, StandardCharsets.UTF_8),
                snapshots(),
                longValue("taken"),
                entries,
                commitIndex);
    }

    private TreeMap<Long, List<SnapshotChunk>> snapshots() {
        TreeMap<Long, List<SnapshotChunk>> snapshots = new TreeMap<>();
        for (Long key : chunks.keySet()) {
            snapshots
                    .computeIfAbsent(key >> 16, i -> new ArrayList<>())
                    .add(Codec.decodeChunk(verifiedValue(chunks, key)));
        }
        return snapshots;
    }

    @Override
    public RestoredRaftState restoredState() {
        try {
            return restore();
        } catch (MVStoreException | NullPointerException | IndexOutOfBoundsException e) {
            throw new IllegalArgumentException(firstLine(e), e);
        }
    }

    @Override
    public long commitIndex() {
        return commitIndex;
    }

    /** Number of saves so far, all durable. */
    long saveCount() {
        return saveCount;
    }

    /** The highest save counter received from another replica, as recorded here; 0 if none. */
    long highestSaveCount(String replica) {
        return longValue("heard/" + replica);
    }

    /** Records a save counter received from another replica; becomes durable with the next save. */
    void recordSaveCount(String replica, long count) throws IOException {
        update(() -> put(state, "heard/" + replica, count));
    }

    // ---- values

    private <K> byte[] verifiedValue(MVMap<K, byte[]> map, K key) {
        byte[] stored = map.get(key);
        if (stored == null) {
            return null;
        }
        if (stored.length < Integer.BYTES) {
            throw new IllegalArgumentException("has no checksum at " + map.getName() + " " + key);
        }
        ByteBuffer buffer = ByteBuffer.wrap(stored);
        int expected = buffer.getInt();
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        if (checksum(bytes) != expected) {
            throw new IllegalArgumentException("has a wrong checksum at " + map.getName() + " " + key);
        }
        return bytes;
    }

    private static int checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return (int) crc.getValue();
    }

    private long longValue(String key) {
        byte[] bytes = verifiedValue(state, key);
        return bytes == null ? 0 : ByteBuffer.wrap(bytes).getLong();
    }

    private static <K> void put(MVMap<K, byte[]> map, K key, byte[] bytes) {
        map.put(
                key,
                ByteBuffer.allocate(Integer.BYTES + bytes.length)
                        .putInt(checksum(bytes))
                        .put(bytes)
                        .array());
    }

    private static void put(MVMap<String, byte[]> map, String key, long number) {
        put(map, key, ByteBuffer.allocate(Long.BYTES).putLong(number).array());
    }

    /** Applies a change to the maps; fails without applying it after an earlier error. */
    private void update(Runnable change) throws IOException {
        if (firstError != null) {
            throw firstError;
        }
        try {
            change.run();
        } catch (RuntimeException | AssertionError e) {
            firstError = new IOException(storePath + ": " + firstLine(e), e);
            throw firstError;
        }
    }

    private void save() throws IOException {
        update(() -> {
            put(state, "saves", saveCount + 1);
            if ((saveCount + 1) % SAVES_PER_COMPACTION == 0) {
                store.compact(50, 1 << 20);
            }
            store.commit();
            store.sync();
        });
        try {
            counterFile.write(saveCount + 1);
        } catch (IOException e) {
            firstError = e;
            throw e;
        }
        saveCount++;
    }

    // ---- RaftStore and ReplicaLog

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState endpoint) throws IOException {
        RaftEndpoint local = endpoint.getLocalEndpoint();
        update(() -> put(state, "endpoint", ((String) local.getId()).getBytes(StandardCharsets.UTF_8)));
        save();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        update(() -> put(state, "members", Codec.encodeMembers(members)));
        save();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
        update(() -> {
            put(state, "term", term.getTerm());
            if (term.getVotedFor() == null) {
                state.remove("vote");
            } else {
                put(state, "vote", ((String) term.getVotedFor().getId()).getBytes(StandardCharsets.UTF_8));
            }
        });
        save();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        update(() -> entries.forEach(e -> put(log, e.getIndex(), Codec.encodeEntry(e))));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        update(() -> put(chunks, chunkKey(chunk.getIndex(), chunk.getSnapshotChunkIndex()), Codec.encodeChunk(chunk)));
    }

    private static long chunkKey(long index, int chunk) {
        return index << 16 | chunk;
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        update(() -> {
            for (Long i = log.ceilingKey(index); i != null; i = log.ceilingKey(index)) {
                log.remove(i);
            }
        });
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        update(() -> {
            long startIndex = Recovery.findStartIndex(Recovery.completeSnapshots(snapshots()), longValue("taken"));
            for (Long i = log.floorKey(startIndex); i != null; i = log.floorKey(startIndex)) {
                log.remove(i);
            }
            for (Long key = chunks.lowerKey(startIndex << 16); key != null; key = chunks.lowerKey(startIndex << 16)) {
                chunks.remove(key);
            }
        });
    }

    @Override
    public void beginSnapshot(long index) throws IOException {
        update(() -> put(state, "taken", index));
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        update(() -> {
            for (int i = 0; i < count; i++) {
                chunks.remove(chunkKey(index, i));
            }
        });
    }

    @Override
    public void flush() throws IOException {
        save();
    }

    @Override
    public void persistAndFlushCommitIndex(long index) throws IOException {
        update(() -> put(state, "committed", index));
        save();
        commitIndex = index;
    }

    /** Closes the files; unsaved changes are lost, as if the process had been killed. */
    @Override
    public void close() {
        store.closeImmediately();
        counterFile.close();
    }
}
