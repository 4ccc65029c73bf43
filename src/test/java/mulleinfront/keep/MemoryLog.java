package mulleinfront.keep;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;
import java.util.List;
import java.util.TreeMap;

/** A keeper's log in memory that loses at a crash what wasn't saved; it can be made to lie about that. */
final class MemoryLog implements KeepLog {
    /** What is wrong with a log, to be found out. */
    enum Fault {
        NONE,
        /** Says that it has saved, and saves when it comes to it. */
        SAVES_LATER,
        /** Doesn't keep the vote. */
        FORGETS_VOTE,
        /** Restores nothing if there was no vote in the last term, as microraft-store-sqlite 0.7 does. */
        FORGETS_ALL_WITHOUT_VOTE
    }

    /** All that it holds. */
    private static final class Image {
        String endpoint;
        byte[] members;
        int term;
        String vote;
        long committed;
        long taken;
        final TreeMap<Long, byte[]> log = new TreeMap<>();
        final TreeMap<Long, TreeMap<Integer, byte[]>> chunks = new TreeMap<>();

        Image copy() {
            Image copy = new Image();
            copy.endpoint = endpoint;
            copy.members = members;
            copy.term = term;
            copy.vote = vote;
            copy.committed = committed;
            copy.taken = taken;
            copy.log.putAll(log);
            chunks.forEach((index, parts) -> copy.chunks.put(index, new TreeMap<>(parts)));
            return copy;
        }
    }

    private final Fault fault;
    private Image saved = new Image();
    private Image image = new Image();
    private int unsaved;

    MemoryLog(Fault fault) {
        this.fault = fault;
    }

    /** What wasn't saved is lost. */
    void crash() {
        image = saved.copy();
        unsaved = 0;
    }

    private void save() {
        if (fault == Fault.SAVES_LATER && unsaved++ % 12 < 11) {
            return;
        }
        saved = image.copy();
    }

    @Override
    public RestoredRaftState restored() {
        if (image.endpoint == null
                || image.members == null
                || fault == Fault.FORGETS_ALL_WITHOUT_VOTE && image.vote == null) {
            return null;
        }
        TreeMap<Long, LogEntry> entries = new TreeMap<>();
        image.log.forEach((index, bytes) -> entries.put(index, Codec.entry(bytes)));
        return Recovery.restore(
                image.endpoint,
                Codec.members(image.members),
                image.term,
                fault == Fault.FORGETS_VOTE ? null : image.vote,
                snapshots(),
                image.taken,
                entries,
                fault == Fault.NONE ? image.committed : 0);
    }

    private TreeMap<Long, List<SnapshotChunk>> snapshots() {
        TreeMap<Long, List<SnapshotChunk>> snapshots = new TreeMap<>();
        image.chunks.forEach((index, parts) ->
                snapshots.put(index, parts.values().stream().map(Codec::chunk).toList()));
        return snapshots;
    }

    @Override
    public void taking(long index) {
        image.taken = index;
    }

    @Override
    public long committed() {
        return image.committed;
    }

    @Override
    public void persistAndFlushCommitted(long index) {
        image.committed = index;
        save();
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState endpoint) {
        image.endpoint = (String) endpoint.getLocalEndpoint().getId();
        save();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) {
        image.members = Codec.members(members);
        save();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) {
        image.term = term.getTerm();
        image.vote =
                term.getVotedFor() == null ? null : (String) term.getVotedFor().getId();
        save();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) {
        entries.forEach(e -> image.log.put(e.getIndex(), Codec.entry(e)));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) {
        image.chunks
                .computeIfAbsent(chunk.getIndex(), i -> new TreeMap<>())
                .put(chunk.getSnapshotChunkIndex(), Codec.chunk(chunk));
    }

    @Override
    public void truncateLogEntriesFrom(long index) {
        image.log.tailMap(index, true).clear();
    }

    @Override
    public void truncateLogEntriesUntil(long index) {
        long begin = Recovery.begin(Recovery.whole(snapshots()), image.taken);
        image.log.headMap(begin, true).clear();
        image.chunks.headMap(begin, false).clear();
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) {
        image.chunks.remove(index);
    }

    @Override
    public void flush() {
        save();
    }
}
