package mulleinfront.keep;

import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.persistence.RestoredRaftState;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * Selects the part of the stored log that is restored at startup, and thereby the part that may be deleted.
 *
 * <p>The library restores no entry at or before the snapshot from which it starts. A follower that restarts
 * from a snapshot at entry S rejects every append request of a leader whose last known position of the follower
 * is before S, because it doesn't know the previous entry. The leader never goes back behind the highest
 * position that the follower has acknowledged, so the follower makes no progress until the leader changes.
 * For this reason the last two snapshots are kept, with all entries between them, and a replica starts from the
 * older one.
 */
final class Recovery {
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();

    private Recovery() {}

    /**
     * Builds the Raft state to start from.
     *
     * @param vote name of the replica that this one voted for in that term, or null
     * @param snapshots stored chunks in order, by snapshot index; incomplete snapshots included
     * @param ownSnapshotIndex index of the newest snapshot taken of this replica's own state machine; 0 if none
     * @param entriesByIndex stored log entries, by index
     * @param commitIndex index of the newest entry known to be committed
     * @throws IllegalArgumentException with a message of one line, if the stored state is inconsistent
     */
    static RestoredRaftState restore(
            String name,
            RaftGroupMembersView members,
            int term,
            String vote,
            NavigableMap<Long, List<SnapshotChunk>> snapshots,
            long ownSnapshotIndex,
            NavigableMap<Long, LogEntry> entriesByIndex,
            long commitIndex) {
        long startIndex = findStartIndex(completeSnapshots(snapshots), ownSnapshotIndex);
        List<LogEntry> entries = new ArrayList<>();
        long lastIndex = startIndex;
        for (Map.Entry<Long, LogEntry> indexedEntry :
                entriesByIndex.tailMap(startIndex, false).entrySet()) {
            if (indexedEntry.getKey() != lastIndex + 1
                    || indexedEntry.getValue().getIndex() != indexedEntry.getKey()) {
                throw new IllegalArgumentException(
                        "has log entry " + indexedEntry.getValue().getIndex() + " after " + lastIndex);
            }
            entries.add(indexedEntry.getValue());
            lastIndex++;
        }
        if (lastIndex < commitIndex) {
            throw new IllegalArgumentException(
                    "ends at entry " + lastIndex + ", but entry " + commitIndex + " was committed");
        }
        RaftEndpoint votedFor = vote == null ? null : new ReplicaEndpoint(vote);
        return new RestoredRaftState(
                MODEL.createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(new ReplicaEndpoint(name))
                        .setVoting(true)
                        .build(),
                members,
                MODEL.createRaftTermPersistentStateBuilder()
                        .setTerm(term)
                        .setVotedFor(votedFor)
                        .build(),
                startIndex == 0 ? null : snapshot(snapshots.get(startIndex)),
                entries);
    }

    private static SnapshotEntry snapshot(List<SnapshotChunk> chunks) {
        SnapshotChunk first = chunks.get(0);
        return MODEL.createSnapshotEntryBuilder()
                .setIndex(first.getIndex())
                .setTerm(first.getTerm())
                .setSnapshotChunks(chunks)
                .setGroupMembersView(first.getGroupMembersView())
                .build();
    }

    /** Indexes of the snapshots of which all chunks are stored. */
    static TreeSet<Long> completeSnapshots(NavigableMap<Long, List<SnapshotChunk>> snapshots) {
        TreeSet<Long> complete = new TreeSet<>();
        snapshots.forEach((index, chunks) -> {
            if (chunks.size() == chunks.get(0).getSnapshotChunkCount()) {
                complete.add(index);
            }
        });
        return complete;
    }

    /**
     * Index of the snapshot from which a replica starts, or 0 for the beginning of the log. It is the snapshot
     * before the newest if the newest was taken of this replica's own state machine, because the entries between
     * the two are then stored. It is the newest if that was received from another replica, because the entries
     * before it may be missing. Entries up to this index, and older snapshots, may be deleted.
     *
     * @param completeSnapshots indexes of the snapshots of which all chunks are stored
     */
    static long findStartIndex(NavigableSet<Long> completeSnapshots, long ownSnapshotIndex) {
        if (completeSnapshots.isEmpty()) {
            return 0;
        }
        long newest = completeSnapshots.last();
        if (newest != ownSnapshotIndex) {
            return newest;
        }
        Long previous = completeSnapshots.lower(newest);
        return previous == null ? 0 : previous;
    }
}
