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
 * What of a log is handed to the library at a start, and what may go of it before.
 *
 * <p>The library restores no entry at or before its snapshot. A follower that comes back with a snapshot at
 * entry S then refuses every request of a leader that last heard of it before S, as "previous entry unknown",
 * and the leader never goes back behind what the follower once had: the follower stays where it is until
 * there is another leader. So the last two snapshots are kept, with all entries between, and a start is made
 * from the older one.
 */
final class Recovery {
    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();

    private Recovery() {}

    /**
     * The state at a start.
     *
     * @param vote whom it voted for in that term, or null
     * @param snapshots chunks held, by snapshot's index and chunk's; also of snapshots not whole
     * @param taken index of the newest snapshot that this keeper made of its own entries; 0 if none
     * @param log entries held, by index
     * @param committed entry that is known to be decided
     * @throws IllegalArgumentException one line, if that can't have been
     */
    static RestoredRaftState restore(
            String name,
            RaftGroupMembersView members,
            int term,
            String vote,
            NavigableMap<Long, List<SnapshotChunk>> snapshots,
            long taken,
            NavigableMap<Long, LogEntry> log,
            long committed) {
        long from = begin(whole(snapshots), taken);
        List<LogEntry> entries = new ArrayList<>();
        long last = from;
        for (Map.Entry<Long, LogEntry> e : log.tailMap(from, false).entrySet()) {
            if (e.getKey() != last + 1 || e.getValue().getIndex() != e.getKey()) {
                throw new IllegalArgumentException(
                        "has log entry " + e.getValue().getIndex() + " after " + last);
            }
            entries.add(e.getValue());
            last++;
        }
        if (last < committed) {
            throw new IllegalArgumentException("ends at entry " + last + ", but " + committed + " was decided");
        }
        RaftEndpoint voted = vote == null ? null : new Member(vote);
        return new RestoredRaftState(
                MODEL.createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(new Member(name))
                        .setVoting(true)
                        .build(),
                members,
                MODEL.createRaftTermPersistentStateBuilder()
                        .setTerm(term)
                        .setVotedFor(voted)
                        .build(),
                from == 0 ? null : snapshot(snapshots.get(from)),
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

    /** Indexes of the snapshots of which all chunks are there. */
    static TreeSet<Long> whole(NavigableMap<Long, List<SnapshotChunk>> snapshots) {
        TreeSet<Long> whole = new TreeSet<>();
        snapshots.forEach((index, chunks) -> {
            if (chunks.size() == chunks.get(0).getSnapshotChunkCount()) {
                whole.add(index);
            }
        });
        return whole;
    }

    /**
     * Index of the snapshot that a start is made from, 0 for the beginning of the log: the one before the
     * newest, if the newest was made of entries that are all still there; one that came from another keeper
     * stands alone. Entries up to there and snapshots before may go.
     *
     * @param whole indexes of the snapshots held whole
     */
    static long begin(NavigableSet<Long> whole, long taken) {
        if (whole.isEmpty()) {
            return 0;
        }
        long newest = whole.last();
        if (newest != taken) {
            return newest;
        }
        Long before = whole.lower(newest);
        return before == null ? 0 : before;
    }
}
