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
 * A keeper's log on disk: H2's MVStore in one file, and a {@link Mark} beside it.
 *
 * <p>Each save counts up by one; the number is written to the store, forced, then to the mark, forced, and
 * only then is anything said that rests on it. A store that is found at a lower number than its mark was cut
 * or put back alone and is refused. A directory put back whole shows no such difference here: the others
 * remember the number ({@link KeeperWire}).
 *
 * <p>Each value carries a checksum of its own, since MVStore's cover chunk heads and page lengths, not
 * contents. After the first error nothing more is written and each call fails by the same: whoever can't
 * write must not go on.
 */
final class DiskLog implements KeepLog, AutoCloseable {
    static final String STORE = "keeper.mv";
    static final String MARK = "keeper.mark";

    /** Saves between two goes at making the file smaller. */
    private static final int SAVES_A_COMPACTION = 128;

    private final Path file;
    private final MVStore store;
    private final MVMap<String, byte[]> state;
    private final MVMap<Long, byte[]> log;
    /** By snapshot's index and chunk's, see {@link #chunkKey}. */
    private final MVMap<Long, byte[]> chunks;

    private final Mark mark;
    private final String name;
    private final Collection<String> keepers;
    private long saves;
    private long committed;
    private IOException fault;

    /**
     * Opens or creates it.
     *
     * @param name the keeper whose it is
     * @param keepers names of all keepers
     * @throws IOException one line with the file, if it can't be read whole, or is not that keeper's
     */
    DiskLog(Path directory, String name, Collection<String> keepers) throws IOException {
        this.name = name;
        this.keepers = Set.copyOf(keepers);
        Files.createDirectories(directory);
        file = directory.resolve(STORE);
        boolean found = Files.exists(file);
        Path marked = directory.resolve(MARK);
        if (found && !Files.exists(marked)) {
            throw new IOException(marked + ": is missing, and there is " + file + ": was part of the directory lost?");
        }
        mark = Mark.open(marked);
        MVStore opened = null;
        try {
            opened = new MVStore.Builder()
                    .fileName(file.toString())
                    .autoCommitDisabled()
                    .autoCommitBufferSize(0)
                    .cacheSize(1)
                    .open();
            store = opened;
            store.setVersionsToKeep(0);
            state = store.openMap(
                    "state",
                    new MVMap.Builder<String, byte[]>()
                            .keyType(StringDataType.INSTANCE)
                            .valueType(ByteArrayDataType.INSTANCE));
            log = store.openMap("log", longs());
            chunks = store.openMap("chunks", longs());
            saves = number("saves");
            if (saves < mark.number()) {
                throw new IllegalArgumentException("is at save " + saves + ", its mark at " + mark.number()
                        + ": it was cut, or an older copy was put back");
            }
            committed = number("committed");
            restore();
        } catch (RuntimeException | AssertionError e) {
            // MVStore meets a file that isn't whole with whatever it stumbles over, a null among them.
            if (opened != null) {
                opened.closeImmediately();
            }
            mark.close();
            throw new IOException(file + ": " + line(e), e);
        }
    }

    private static MVMap.Builder<Long, byte[]> longs() {
        return new MVMap.Builder<Long, byte[]>().keyType(LongDataType.INSTANCE).valueType(ByteArrayDataType.INSTANCE);
    }

    private static String line(Throwable e) {
        String message = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
        return e instanceof IllegalArgumentException || e instanceof MVStoreException
                ? message
                : "is not whole: " + e.getClass().getSimpleName() + " " + message;
    }

    // ---- at the start

    private RestoredRaftState restore() {
        byte[] endpoint = value(state, "endpoint");
        byte[] members = value(state, "members");
        if (endpoint == null || members == null) {
            // Both are saved before the first message: without them nothing was said.
            if (!log.isEmpty() || state.containsKey("term")) {
                throw new IllegalArgumentException("has a log and no keeper");
            }
            return null;
        }
        String whose = new String(endpoint, StandardCharsets.UTF_8);
        if (!whose.equals(name)) {
            throw new IllegalArgumentException("is keeper " + whose + "'s, not " + name + "'s");
        }
        RaftGroupMembersView initial = Codec.members(members);
        Set<String> known = new HashSet<>();
        initial.getMembers().forEach(m -> known.add((String) m.getId()));
        if (!known.equals(keepers)) {
            throw new IllegalArgumentException("was made for keepers " + known + ", the settings name " + keepers);
        }
        byte[] vote = value(state, "vote");
        TreeMap<Long, LogEntry> entries = new TreeMap<>();
        for (Long index : log.keySet()) {
            entries.put(index, Codec.entry(value(log, index)));
        }
        return Recovery.restore(
                name,
                initial,
                (int) number("term"),
                vote == null ? null : new String(vote, StandardCharsets.UTF_8),
                snapshots(),
                number("taken"),
                entries,
                committed);
    }

    private TreeMap<Long, List<SnapshotChunk>> snapshots() {
        TreeMap<Long, List<SnapshotChunk>> snapshots = new TreeMap<>();
        for (Long key : chunks.keySet()) {
            snapshots.computeIfAbsent(key >> 16, i -> new ArrayList<>()).add(Codec.chunk(value(chunks, key)));
        }
        return snapshots;
    }

    @Override
    public RestoredRaftState restored() {
        try {
            return restore();
        } catch (MVStoreException | NullPointerException | IndexOutOfBoundsException e) {
            throw new IllegalArgumentException(line(e), e);
        }
    }

    @Override
    public long committed() {
        return committed;
    }

    /** Saves so far, all durable. */
    long saves() {
        return saves;
    }

    /** The highest number of saves that another keeper has told of, as far as was saved here; 0 if none. */
    long heard(String keeper) {
        return number("heard/" + keeper);
    }

    /** Remembers it; durable with the next save. */
    void heard(String keeper, long number) throws IOException {
        write(() -> put(state, "heard/" + keeper, number));
    }

    // ---- values

    private <K> byte[] value(MVMap<K, byte[]> map, K key) {
        byte[] stored = map.get(key);
        if (stored == null) {
            return null;
        }
        if (stored.length < Integer.BYTES) {
            throw new IllegalArgumentException("has no checksum at " + map.getName() + " " + key);
        }
        ByteBuffer b = ByteBuffer.wrap(stored);
        int expected = b.getInt();
        byte[] bytes = new byte[b.remaining()];
        b.get(bytes);
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

    private long number(String key) {
        byte[] bytes = value(state, key);
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

    /** One change of the maps; after an error there is none any more. */
    private void write(Runnable change) throws IOException {
        if (fault != null) {
            throw fault;
        }
        try {
            change.run();
        } catch (RuntimeException | AssertionError e) {
            fault = new IOException(file + ": " + line(e), e);
            throw fault;
        }
    }

    private void save() throws IOException {
        write(() -> {
            put(state, "saves", saves + 1);
            if ((saves + 1) % SAVES_A_COMPACTION == 0) {
                store.compact(50, 1 << 20);
            }
            store.commit();
            store.sync();
        });
        try {
            mark.write(saves + 1);
        } catch (IOException e) {
            fault = e;
            throw e;
        }
        saves++;
    }

    // ---- what the library asks for

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState endpoint) throws IOException {
        RaftEndpoint local = endpoint.getLocalEndpoint();
        write(() -> put(state, "endpoint", ((String) local.getId()).getBytes(StandardCharsets.UTF_8)));
        save();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        write(() -> put(state, "members", Codec.members(members)));
        save();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
        write(() -> {
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
        write(() -> entries.forEach(e -> put(log, e.getIndex(), Codec.entry(e))));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        write(() -> put(chunks, chunkKey(chunk.getIndex(), chunk.getSnapshotChunkIndex()), Codec.chunk(chunk)));
    }

    private static long chunkKey(long index, int chunk) {
        return index << 16 | chunk;
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        write(() -> {
            for (Long i = log.ceilingKey(index); i != null; i = log.ceilingKey(index)) {
                log.remove(i);
            }
        });
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        write(() -> {
            long begin = Recovery.begin(Recovery.whole(snapshots()), number("taken"));
            for (Long i = log.floorKey(begin); i != null; i = log.floorKey(begin)) {
                log.remove(i);
            }
            for (Long k = chunks.lowerKey(begin << 16); k != null; k = chunks.lowerKey(begin << 16)) {
                chunks.remove(k);
            }
        });
    }

    @Override
    public void taking(long index) throws IOException {
        write(() -> put(state, "taken", index));
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        write(() -> {
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
    public void persistAndFlushCommitted(long index) throws IOException {
        write(() -> put(state, "committed", index));
        save();
        committed = index;
    }

    /** Lets go of the files; what wasn't saved is lost, as if the process had been killed. */
    @Override
    public void close() {
        store.closeImmediately();
        mark.close();
    }
}
