package mulleinfront.keep;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;
import java.util.List;
import java.util.TreeMap;

/** A replica's log in memory. A crash loses unsaved changes; faults can be built in. */
final class MemoryLog implements ReplicaLog {
    /** Faults of a log that the simulation must detect. */
    enum Fault {
        NONE,
        /** Saves only every 12th time, though it reports each save as done. */
        SKIPS_SAVES,
        /** Does not restore the vote. */
        LOSES_VOTE,
        /** Restores nothing if there is no vote in the last term, a fault of microraft-store-sqlite 0.7. */
        LOSES_STATE_WITHOUT_VOTE
    }

    /** The complete contents of the log. */
    private static final class Contents {
        String endpoint;
        byte[] members;
        int term;
        String vote;
        long commitIndex;
        long ownSnapshotIndex;
        final TreeMap<Long, byte[]> log = new TreeMap<>();
        final TreeMap<Long, TreeMap<Integer, byte[]>> chunks = new TreeMap<>();

        Contents copy() {
            Contents copy = new Contents();
            copy.endpoint = endpoint;
            copy.members = members;
            copy.term = term;
            copy.vote = vote;
            copy.commitIndex = commitIndex;
            copy.ownSnapshotIndex = ownSnapshotIndex;
            copy.log.putAll(log);
            chunks.forEach((index, parts) -> copy.chunks.put(index, new TreeMap<>(parts)));
            return copy;
        }
    }

    private final Fault fault;
    private Contents saved = new Contents();
    private Contents current = new Contents();
    private int saveCalls;

    MemoryLog(Fault fault) {
        this.fault = fault;
    }

    /** Discards the changes since the last save. */
    void crash() {
        current = saved.copy();
        saveCalls = 0;
    }

    private void save() {
        if (fault == Fault.SKIPS_SAVES && saveCalls++ % 12 < 11) {
            return;
        }
        saved = current.copy();
    }

    @Override
    public RestoredRaftState restoredState() {
        if (current.endpoint == null
                || current.members == null
                || fault == Fault.LOSES_STATE_WITHOUT_VOTE && current.vote == null) {
            return null;
        }
        TreeMap<Long, LogEntry> entries = new TreeMap<>();
        current.log.forEach((index, bytes) -> entries.put(index, Codec.decodeEntry(bytes)));
        return Recovery.restore(
                current.endpoint,
                Codec.decodeMembers(current.members),
                current.term,
                fault == Fault.LOSES_VOTE ? null : current.vote,
                snapshots(),
                current.ownSnapshotIndex,
                entries,
                fault == Fault.NONE ? current.commitIndex : 0);
    }

    private TreeMap<Long, List<SnapshotChunk>> snapshots() {
        TreeMap<Long, List<SnapshotChunk>> snapshots = new TreeMap<>();
        current.chunks.forEach((index, parts) -> snapshots.put(
                index, parts.values().stream().map(Codec::decodeChunk).toList()));
        return snapshots;
    }

    @Override
    public void beginSnapshot(long index) {
        current.ownSnapshotIndex = index;
    }

    @Override
    public long commitIndex() {
        return current.commitIndex;
    }

    @Override
    public void persistAndFlushCommitIndex(long index) {
        current.commitIndex = index;
        save();
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState endpoint) {
        current.endpoint = (String) endpoint.getLocalEndpoint().getId();
        save();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) {
        current.members = Codec.encodeMembers(members);
        save();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) {
        current.term = term.getTerm();
        current.vote =
                term.getVotedFor() == null ? null : (String) term.getVotedFor().getId();
        save();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) {
        entries.forEach(e -> current.log.put(e.getIndex(), Codec.encodeEntry(e)));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) {
        current.chunks
                .computeIfAbsent(chunk.getIndex(), i -> new TreeMap<>())
                .put(chunk.getSnapshotChunkIndex(), Codec.encodeChunk(chunk));
    }

    @Override
    public void truncateLogEntriesFrom(long index) {
        current.log.tailMap(index, true).clear();
    }

    @Override
    public void truncateLogEntriesUntil(long index) {
        long startIndex = Recovery.findStartIndex(Recovery.completeSnapshots(snapshots()), current.ownSnapshotIndex);
        current.log.headMap(startIndex, true).clear();
        current.chunks.headMap(startIndex, false).clear();
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) {
        current.chunks.remove(index);
    }

    @Override
    public void flush() {
        save();
    }
}
