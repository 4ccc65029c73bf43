package mulleinfront.keep;

import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import mulleinfront.config.Proposal;
import mulleinfront.config.Version;
import mulleinfront.config.VersionLog;

/**
 * A Raft replica without sockets, files, threads or a clock of its own: the caller passes them in, so that the
 * same code runs on an event loop and in virtual time.
 *
 * <p>The library configures heartbeats in whole seconds, which is too coarse here, so its clock and timers run
 * {@value #TIME_SCALE} times as fast as real time: a leader sends a heartbeat every 250 ms, and a follower looks for a
 * new leader after one second without.
 */
final class Replica implements VersionLog {
    /** How many times faster than real time the library's clock and timers run. */
    static final int TIME_SCALE = 4;
    /** Time after which an open proposal ends with {@link VersionLog.ProposalOutcome#UNKNOWN}. */
    static final long PROPOSAL_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(3);
    /** Delay before a proposal without a result is tried again. */
    private static final long RETRY_DELAY_NS = TimeUnit.MILLISECONDS.toNanos(50);
    /** Maximum number of proposals of local callers without a result. */
    private static final int MAX_OPEN_PROPOSALS = 64;
    /** Maximum number of uncommitted proposals in the log while this replica leads. */
    private static final int MAX_REPLICATING_PROPOSALS = 128;
    /**
     * Number of committed entries between two snapshots. After a snapshot the library drops the log before it,
     * except for the last tenth of this number of entries: more than one append request holds, because the
     * response to a request may be lost.
     */
    static final int SNAPSHOT_INTERVAL_ENTRIES = 128;

    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();

    private final String name;
    private final Scheduler scheduler;
    private final ReplicaLog log;
    private final Peers peers;
    private final Collection<String> replicaNames;
    private final Random random;
    private final int snapshotIntervalEntries;
    private RaftNode node;
    /** Incremented whenever the library's node is rebuilt; tasks of an earlier node are dropped. */
    private int nodeGeneration;
    /**
     * Index of the snapshot at which the library's log begins; {@link #entryTerms} has the terms of the later
     * entries.
     */
    private long snapshotIndex;

    private final TreeMap<Long, Integer> entryTerms = new TreeMap<>();
    private final List<Consumer<Version>> listeners = new ArrayList<>();
    /** The state that the library has applied so far; after a start it begins at the restored snapshot. */
    private ConfigStateMachine appliedState = new ConfigStateMachine();
    /** The state committed before the start, until the library has applied as much again; then null. */
    private ConfigStateMachine recoveredState;
    /** The newest version that is committed and durable here, as known to callers and listeners. */
    private Version newest = Version.NONE;

    private int openProposals;
    private int replicatingProposals;
    private String fault;
    private boolean started;
    /** Whether the library's tasks run at once, so that its termination is complete when {@link #close} returns. */
    private boolean closing;

    /**
     * @param replicaNames names of all replicas, this one included
     * @param random source of the randomised election timeouts
     * @param snapshotIntervalEntries committed entries between two snapshots; {@link #SNAPSHOT_INTERVAL_ENTRIES}
     *        except in tests
     * @throws IOException with a message of one line, if the stored state can't be read
     */
    Replica(
            String name,
            Collection<String> replicaNames,
            Scheduler scheduler,
            Random random,
            ReplicaLog log,
            Peers peers,
            int snapshotIntervalEntries)
            throws IOException {
        this.name = name;
        this.snapshotIntervalEntries = snapshotIntervalEntries;
        this.scheduler = scheduler;
        this.log = log;
        this.peers = peers;
        this.replicaNames = List.copyOf(replicaNames);
        this.random = random;
        buildNode();
        newest = currentState().newest();
    }

    /**
     * Creates the library's node from the stored state. The tasks of an earlier node no longer run.
     *
     * @throws IOException with a message of one line, if the stored state can't be read
     */
    private void buildNode() throws IOException {
        nodeGeneration++;
        appliedState = new ConfigStateMachine();
        entryTerms.clear();
        snapshotIndex = 0;
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder().setGroupId(Codec.GROUP_ID);
        try {
            RestoredRaftState restored = log.restoredState();
            if (restored == null) {
                List<RaftEndpoint> endpoints = new ArrayList<>();
                replicaNames.forEach(replicaName -> endpoints.add(new ReplicaEndpoint(replicaName)));
                builder.setLocalEndpoint(new ReplicaEndpoint(name)).setInitialGroupMembers(endpoints);
            } else {
                recoveredState = recoverState(restored, log.commitIndex());
                snapshotIndex = restored.getSnapshotEntry() == null
                        ? 0
                        : restored.getSnapshotEntry().getIndex();
                restored.getLogEntries().forEach(e -> entryTerms.put(e.getIndex(), e.getTerm()));
                builder.setRestoredState(restored);
            }
        } catch (IllegalArgumentException e) {
            throw new IOException("replica " + name + ": its log can't be read: " + e.getMessage(), e);
        }
        node = builder.setConfig(raftConfig(snapshotIntervalEntries))
                .setExecutor(new ScaledExecutor(nodeGeneration))
                .setClock(new ScaledClock())
                .setRandom(random)
                .setTransport(new PeerTransport())
                .setStateMachine(new StateMachineAdapter())
                .setStore(new FailStopStore())
                .build();
    }

    private static RaftConfig raftConfig(int snapshotIntervalEntries) {
        return RaftConfig.newBuilder()
                // In the library's scaled time. In real time: a heartbeat every 250 ms, a heartbeat timeout of 1 s
                // and an election timeout of 300 ms.
                .setLeaderHeartbeatPeriodSecs(1)
                .setLeaderHeartbeatTimeoutSecs(TIME_SCALE)
                .setLeaderElectionTimeoutMillis(300 * TIME_SCALE)
                .setAppendEntriesRequestBatchSize(8)
                .setCommitCountToTakeSnapshot(snapshotIntervalEntries)
                // Must hold all entries that a start may restore: those of two snapshot intervals, and the
                // uncommitted ones.
                .setMaxPendingLogEntryCount(2 * snapshotIntervalEntries + 2 * MAX_REPLICATING_PROPOSALS)
                // Only the leader sends snapshot chunks: those of different replicas are equal only if they
                // were taken at the same entry.
                .setTransferSnapshotsFromFollowersEnabled(false)
                .setRaftNodeReportPublishPeriodSecs(3600)
                .build();
    }

    /** The state at the commit index that this replica last reported. */
    private static ConfigStateMachine recoverState(RestoredRaftState restored, long commitIndex) {
        ConfigStateMachine state = new ConfigStateMachine();
        SnapshotEntry snapshot = restored.getSnapshotEntry();
        if (snapshot != null) {
            List<byte[]> parts = new ArrayList<>();
            for (Object chunk : (List<?>) snapshot.getOperation()) {
                parts.add(((Operation.SnapshotPart) ((SnapshotChunk) chunk).getOperation()).bytes());
            }
            state = ConfigStateMachine.decodeSnapshot(parts);
        }
        for (LogEntry entry : restored.getLogEntries()) {
            if (entry.getIndex() <= commitIndex && entry.getOperation() instanceof Operation.Change change) {
                state.apply(change.proposal());
            }
        }
        return state;
    }

    void start() {
        started = true;
        node.start().whenComplete((ok, failure) -> {
            if (failure != null) {
                stop("could not start: " + failure.getMessage());
            }
        });
    }

    /** Stops this replica; later messages are dropped. The log is not used after this method has returned. */
    void close() {
        if (fault == null) {
            fault = "closed";
        }
        closing = true;
        node.terminate();
    }

    /** Stops this replica permanently because of a fault: it sends no further message. */
    void stop(String reason) {
        if (fault == null) {
            fault = reason;
            scheduler.execute(node::terminate);
        }
    }

    /** Handles a message from another replica. */
    void handle(RaftMessage message) {
        if (started && fault == null) {
            node.handle(message instanceof AppendEntriesRequest request ? correctedRequest(request) : message);
        }
    }

    /**
     * Rewrites an append request in two cases that the library handles incorrectly.
     *
     * <p>The library compares the request's commit index with its own before it limits it to the request's last
     * entry, so a delayed request can move its commit index back. The commit index is limited here instead, as
     * Raft specifies: min(leaderCommit, index of last new entry).
     *
     * <p>The library knows no entry at or before its snapshot, and rejects a request whose previous entry is
     * there even if it already has entries after the snapshot. If the response for those entries was lost, the
     * leader sends the same request forever. Entries up to the snapshot are committed and therefore equal on both
     * sides, so the request is shortened to start after the first entry past the snapshot. If this replica has a
     * different entry there, its entry and all later ones conflict with the leader's log and are deleted, as the
     * library would do if it got that far.
     */
    private RaftMessage correctedRequest(AppendEntriesRequest request) {
        long previousIndex = request.getPreviousLogIndex();
        int previousTerm = request.getPreviousLogTerm();
        List<LogEntry> entries = request.getLogEntries();
        long lastIndex = previousIndex + entries.size();
        long firstIndex = snapshotIndex + 1;
        if (request.getTerm() >= node.getTerm().getTerm()
                && previousIndex < firstIndex
                && lastIndex >= firstIndex
                && entryTerms.containsKey(firstIndex)) {
            int skippedEntries = (int) (firstIndex - previousIndex);
            int term = entries.get(skippedEntries - 1).getTerm();
            if (entryTerms.get(firstIndex) == term) {
                previousIndex = firstIndex;
                previousTerm = term;
                entries = entries.subList(skippedEntries, entries.size());
            } else {
                truncateAndRebuild(firstIndex);
            }
        }
        return MODEL.createAppendEntriesRequestBuilder()
                .setGroupId(request.getGroupId())
                .setSender(request.getSender())
                .setTerm(request.getTerm())
                .setPreviousLogTerm(previousTerm)
                .setPreviousLogIndex(previousIndex)
                .setCommitIndex(Math.min(request.getCommitIndex(), lastIndex))
                .setLogEntries(entries)
                .setQuerySequenceNumber(request.getQuerySequenceNumber())
                .setFlowControlSequenceNumber(request.getFlowControlSequenceNumber())
                .build();
    }

    /** Deletes the log from an uncommitted entry on, and rebuilds the library's node as after a restart. */
    private void truncateAndRebuild(long index) {
        try {
            log.truncateLogEntriesFrom(index);
            log.flush();
            buildNode();
            node.start();
        } catch (IOException e) {
            stop(e.getMessage());
        }
    }

    ReplicaStatus status() {
        String leader = leader();
        ReplicaStatus.Role role = fault != null
                ? ReplicaStatus.Role.STOPPED
                : leader == null
                        ? ReplicaStatus.Role.NO_LEADER
                        : leader.equals(name) ? ReplicaStatus.Role.LEADER : ReplicaStatus.Role.FOLLOWER;
        return new ReplicaStatus(name, role, node.getTerm().getTerm(), leader, newest().number(), fault);
    }

    private String leader() {
        RaftEndpoint leader = fault == null ? node.getTerm().getLeaderEndpoint() : null;
        return leader == null ? null : (String) leader.getId();
    }

    // ---- VersionLog

    /** The more recent state: after a start the library applies entries again that were reported before it. */
    private ConfigStateMachine currentState() {
        if (recoveredState != null
                && appliedState.newest().number() >= recoveredState.newest().number()) {
            recoveredState = null;
        }
        return recoveredState != null ? recoveredState : appliedState;
    }

    @Override
    public Version newest() {
        return newest;
    }

    @Override
    public Version find(long number) {
        return number > newest.number() ? null : currentState().at(number);
    }

    @Override
    public void addListener(Consumer<Version> listener) {
        listeners.add(listener);
    }

    @Override
    public void propose(Proposal requested, Consumer<ProposalResult> onResult) {
        Proposal proposal;
        String problem = ConfigStateMachine.validate(requested);
        if (problem != null) {
            scheduler.execute(
                    () -> onResult.accept(new ProposalResult(ProposalOutcome.REFUSED, newest().number(), problem)));
            return;
        }
        // Encoded and decoded, so that this replica applies exactly what the others receive.
        proposal = Codec.decodeProposal(Codec.encodeProposal(requested));
        if (openProposals >= MAX_OPEN_PROPOSALS) {
            scheduler.execute(() -> onResult.accept(unknown("too many proposals wait")));
            return;
        }
        new ProposalAttempts(proposal, onResult).start();
    }

    /**
     * Handles a proposal that another replica forwarded. If this replica doesn't lead, the result is {@link
     * VersionLog.ProposalOutcome#UNKNOWN} and names the leader; the proposal is not forwarded again.
     *
     * @param onResult called once
     */
    void proposeLocally(Proposal proposal, Consumer<ProposalResult> onResult) {
        String problem = ConfigStateMachine.validate(proposal);
        if (problem != null) {
            onResult.accept(new ProposalResult(ProposalOutcome.REFUSED, newest().number(), problem));
        } else if (!name.equals(leader())) {
            onResult.accept(unknown("keeper " + name + " doesn't lead, " + leader() + " may"));
        } else {
            replicate(proposal, result -> onResult.accept(result != null ? result : unknown("the leader changed")));
        }
    }

    private ProposalResult unknown(String reason) {
        return new ProposalResult(ProposalOutcome.UNKNOWN, newest().number(), reason);
    }

    /** @param onResult called at most once: with the result, or with null if it isn't known */
    private void replicate(Proposal proposal, Consumer<ProposalResult> onResult) {
        if (replicatingProposals >= MAX_REPLICATING_PROPOSALS) {
            onResult.accept(null);
            return;
        }
        replicatingProposals++;
        node.<ProposalResult>replicate(new Operation.Change(proposal)).whenComplete((committed, failure) -> {
            replicatingProposals--;
            onResult.accept(failure == null && fault == null ? committed.getResult() : null);
        });
    }

    /**
     * The attempts for one proposal: sends it under the same id to the current leader until there is a result or
     * {@link #PROPOSAL_TIMEOUT_NS} have passed.
     */
    private final class ProposalAttempts {
        private final Proposal proposal;
        private final Consumer<ProposalResult> onResult;
        private boolean finished;

        ProposalAttempts(Proposal proposal, Consumer<ProposalResult> onResult) {
            this.proposal = proposal;
            this.onResult = onResult;
        }

        void start() {
            openProposals++;
            long seconds = TimeUnit.NANOSECONDS.toSeconds(PROPOSAL_TIMEOUT_NS);
            scheduler.schedule(
                    () -> finish(unknown("not decided within " + seconds + " s: " + timeoutReason())),
                    PROPOSAL_TIMEOUT_NS);
            attempt();
        }

        private String timeoutReason() {
            return fault != null
                    ? fault
                    : leader() == null
                            ? "no leader is known"
                            : "leader " + leader() + " has no majority or doesn't answer";
        }

        private void attempt() {
            if (finished) {
                return;
            }
            String leader = leader();
            if (fault != null) {
                finish(unknown(fault));
            } else if (leader == null) {
                onAttemptResult(null);
            } else if (leader.equals(name)) {
                replicate(proposal, this::onAttemptResult);
            } else {
                peers.propose(leader, proposal, this::onAttemptResult);
            }
        }

        private void onAttemptResult(ProposalResult result) {
            if (result != null && result.outcome() != ProposalOutcome.UNKNOWN) {
                finish(result);
            } else if (!finished) {
                scheduler.schedule(this::attempt, RETRY_DELAY_NS);
            }
        }

        private void finish(ProposalResult result) {
            if (!finished) {
                finished = true;
                openProposals--;
                scheduler.execute(() -> onResult.accept(result));
            }
        }
    }

    /** Makes newly committed versions durable and then reports them to the listeners. */
    private void publishCommitted(long index) {
        if (appliedState.newest().number() <= newest.number()) {
            return;
        }
        try {
            log.persistAndFlushCommitIndex(index);
        } catch (IOException e) {
            // The library would apply the next entry; a version that isn't durable must not be reported to anyone.
            stop(e.getMessage());
            return;
        }
        for (Version version : appliedState.versionsAfter(newest.number())) {
            newest = version;
            for (Consumer<Version> listener : listeners) {
                scheduler.execute(() -> listener.accept(version));
            }
        }
    }

    // ---- interfaces of the Raft library

    /** Applies committed operations to the state machine, and takes and installs its snapshots. */
    private final class StateMachineAdapter implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            if (!(operation instanceof Operation.Change change)) {
                return null;
            }
            ProposalResult result = appliedState.apply(change.proposal());
            publishCommitted(index);
            return result;
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> parts) {
            try {
                log.beginSnapshot(index);
            } catch (IOException e) {
                stop(e.getMessage());
                throw new UncheckedIOException(e);
            }
            snapshotIndex = index;
            entryTerms.headMap(index, true).clear();
            appliedState.encodeSnapshot().forEach(part -> parts.accept(new Operation.SnapshotPart(part)));
        }

        @Override
        public void installSnapshot(long index, List<Object> parts) {
            snapshotIndex = index;
            entryTerms.headMap(index, true).clear();
            List<byte[]> bytes = new ArrayList<>();
            parts.forEach(p -> bytes.add(((Operation.SnapshotPart) p).bytes()));
            try {
                appliedState = ConfigStateMachine.decodeSnapshot(bytes);
            } catch (IllegalArgumentException e) {
                stop("the snapshot at entry " + index + " can't be read: " + e.getMessage());
                throw e;
            }
            publishCommitted(index);
        }

        @Override
        public Object getNewTermOperation() {
            return new Operation.TermStart();
        }
    }

    /** Stops this replica at the first write error, after which the library alone would continue. */
    private final class FailStopStore implements RaftStore {
        /** A write to the log that may fail. */
        private interface StoreWrite {
            void run() throws IOException;
        }

        private void runOrStop(StoreWrite write) throws IOException {
            if (fault != null) {
                // No further message is sent, so nothing needs to be durable.
                return;
            }
            try {
                write.run();
            } catch (IOException e) {
                stop(e.getMessage());
                throw e;
            }
        }

        @Override
        public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState endpoint) throws IOException {
            runOrStop(() -> log.persistAndFlushLocalEndpoint(endpoint));
        }

        @Override
        public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
            runOrStop(() -> log.persistAndFlushInitialGroupMembers(members));
        }

        @Override
        public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
            runOrStop(() -> log.persistAndFlushTerm(term));
        }

        @Override
        public void persistLogEntries(List<LogEntry> entries) throws IOException {
            runOrStop(() -> log.persistLogEntries(entries));
            entries.forEach(e -> entryTerms.put(e.getIndex(), e.getTerm()));
        }

        @Override
        public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
            runOrStop(() -> log.persistSnapshotChunk(chunk));
        }

        @Override
        public void truncateLogEntriesFrom(long index) throws IOException {
            runOrStop(() -> log.truncateLogEntriesFrom(index));
            entryTerms.tailMap(index, true).clear();
        }

        @Override
        public void truncateLogEntriesUntil(long index) throws IOException {
            runOrStop(() -> log.truncateLogEntriesUntil(index));
        }

        @Override
        public void deleteSnapshotChunks(long index, int count) throws IOException {
            runOrStop(() -> log.deleteSnapshotChunks(index, count));
        }

        @Override
        public void flush() throws IOException {
            runOrStop(log::flush);
        }
    }

    /** Sends messages to the peers until this replica has stopped. */
    private final class PeerTransport implements Transport {
        @Override
        public void send(RaftEndpoint target, RaftMessage message) {
            if (fault == null) {
                peers.send((String) target.getId(), message);
            }
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            return fault == null && peers.reachable((String) endpoint.getId());
        }
    }

    /**
     * Runs the library's tasks on the scheduler, with delays divided by {@link #TIME_SCALE}; drops the tasks of an
     * earlier node.
     */
    private final class ScaledExecutor implements RaftNodeExecutor {
        private final int ownGeneration;

        ScaledExecutor(int ownGeneration) {
            this.ownGeneration = ownGeneration;
        }

        @Override
        public void execute(Runnable task) {
            if (closing) {
                task.run();
            } else {
                scheduler.execute(unlessRebuilt(task));
            }
        }

        @Override
        public void submit(Runnable task) {
            scheduler.execute(unlessRebuilt(task));
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            scheduler.schedule(unlessRebuilt(task), unit.toNanos(delay) / TIME_SCALE);
        }

        private Runnable unlessRebuilt(Runnable task) {
            return () -> {
                if (ownGeneration == nodeGeneration) {
                    task.run();
                }
            };
        }
    }

    /** The library's clock: monotonic, and {@link #TIME_SCALE} times as fast as real time. */
    private final class ScaledClock extends Clock {
        /** Start value, far from 0 because the library takes timestamp 0 as "never heard". */
        private static final long START_TIME_MS = 1_000_000_000L;

        private final long startNanos = scheduler.nanoTime();

        @Override
        public long millis() {
            return START_TIME_MS + TimeUnit.NANOSECONDS.toMillis((scheduler.nanoTime() - startNanos) * TIME_SCALE);
        }

        @Override
        public Instant instant() {
            return Instant.ofEpochMilli(millis());
        }

        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }
    }
}
