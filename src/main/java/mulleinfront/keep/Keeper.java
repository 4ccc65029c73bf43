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
 * One keeper's part in the consensus, without sockets, files, threads or a clock of its own: those are handed
 * to it, so that the same code runs on an event loop and on virtual time.
 *
 * <p>The library counts heartbeats in whole seconds. Its clock and timers here run {@value #PACE} times as
 * fast as real ones: a leader is heard every quarter of a second, and given up after one without.
 */
final class Keeper implements VersionLog {
    /** How many of the library's seconds pass in one. */
    static final int PACE = 4;
    /** After how long a proposal is given up as {@link VersionLog.ProposalOutcome#UNKNOWN}, nanoseconds. */
    static final long PROPOSAL_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** Until a proposal that found no leader is tried again, nanoseconds. */
    private static final long AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    /** Proposals that wait for an answer here at most. */
    private static final int MOST_OPEN = 64;
    /** Proposals in the log that aren't decided at most, while this keeper leads. */
    private static final int MOST_REPLICATING = 128;
    /**
     * Entries after which the library makes a snapshot and drops the log before it, but for a tenth of as
     * many: more than a request holds, since an answer may be lost.
     */
    static final int SNAPSHOT_ENTRIES = 128;

    private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();

    private final String name;
    private final Timers timers;
    private final KeepLog log;
    private final Peers peers;
    private final Collection<String> members;
    private final Random random;
    private final int snapshotEntries;
    private RaftNode node;
    /** Counts the library's nodes made here; tasks of an earlier one are dropped. */
    private int generation;
    /** The snapshot at which the library's log begins, and the terms of the entries it has from there on. */
    private long snapshotIndex;

    private final TreeMap<Long, Integer> terms = new TreeMap<>();
    private final List<Consumer<Version>> listeners = new ArrayList<>();
    /** What the library has applied so far; at a start it begins at the snapshot again. */
    private Register applied = new Register();
    /** What was decided before the start, until the library has come as far again; then null. */
    private Register before;
    /** The newest version that is decided and durable here: what owners and listeners know. */
    private Version newest = Version.NONE;

    private int open;
    private int replicating;
    private String fault;
    private boolean started;
    /** Whether the library's tasks run at once, so that its end is over when it returns. */
    private boolean closing;

    /**
     * @param keepers names of all keepers, this one among them
     * @param random decides whose election comes first
     * @param snapshotEntries entries between two snapshots, {@link #SNAPSHOT_ENTRIES} but in tests
     * @throws IOException one line, if what was restored can't be read
     */
    Keeper(
            String name,
            Collection<String> keepers,
            Timers timers,
            Random random,
            KeepLog log,
            Peers peers,
            int snapshotEntries)
            throws IOException {
        this.name = name;
        this.snapshotEntries = snapshotEntries;
        this.timers = timers;
        this.log = log;
        this.peers = peers;
        this.members = List.copyOf(keepers);
        this.random = random;
        build();
        newest = register().newest();
    }

    /**
     * Makes the library's node out of what is in the log; the one before, if any, is heard no more.
     *
     * @throws IOException one line, if what was restored can't be read
     */
    private void build() throws IOException {
        generation++;
        applied = new Register();
        terms.clear();
        snapshotIndex = 0;
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder().setGroupId(Codec.GROUP);
        try {
            RestoredRaftState restored = log.restored();
            if (restored == null) {
                List<RaftEndpoint> endpoints = new ArrayList<>();
                members.forEach(m -> endpoints.add(new Member(m)));
                builder.setLocalEndpoint(new Member(name)).setInitialGroupMembers(endpoints);
            } else {
                before = decidedBefore(restored, log.committed());
                snapshotIndex = restored.getSnapshotEntry() == null
                        ? 0
                        : restored.getSnapshotEntry().getIndex();
                restored.getLogEntries().forEach(e -> terms.put(e.getIndex(), e.getTerm()));
                builder.setRestoredState(restored);
            }
        } catch (IllegalArgumentException e) {
            throw new IOException("keeper " + name + ": its log can't be read: " + e.getMessage(), e);
        }
        node = builder.setConfig(config(snapshotEntries))
                .setExecutor(new Paced(generation))
                .setClock(new PacedClock())
                .setRandom(random)
                .setTransport(new Sending())
                .setStateMachine(new Applying())
                .setStore(new Guarded())
                .build();
    }

    private static RaftConfig config(int snapshotEntries) {
        return RaftConfig.newBuilder()
                .setLeaderHeartbeatPeriodSecs(1)
                .setLeaderHeartbeatTimeoutSecs(PACE)
                .setLeaderElectionTimeoutMillis(300 * PACE)
                .setAppendEntriesRequestBatchSize(8)
                .setCommitCountToTakeSnapshot(snapshotEntries)
                // Room in memory for all that a start may bring back: two snapshots' entries, and those not
                // decided.
                .setMaxPendingLogEntryCount(2 * snapshotEntries + 2 * MOST_REPLICATING)
                // A register's parts are the same everywhere only at the same entry; the leader alone sends
                // them.
                .setTransferSnapshotsFromFollowersEnabled(false)
                .setRaftNodeReportPublishPeriodSecs(3600)
                .build();
    }

    /** The register as it was when this keeper last told its owner of a decision. */
    private static Register decidedBefore(RestoredRaftState restored, long committed) {
        Register register = new Register();
        SnapshotEntry snapshot = restored.getSnapshotEntry();
        if (snapshot != null) {
            List<byte[]> parts = new ArrayList<>();
            for (Object chunk : (List<?>) snapshot.getOperation()) {
                parts.add(((Operation.Part) ((SnapshotChunk) chunk).getOperation()).bytes());
            }
            register = Register.load(parts);
        }
        for (LogEntry entry : restored.getLogEntries()) {
            if (entry.getIndex() <= committed && entry.getOperation() instanceof Operation.Change c) {
                register.apply(c.proposal());
            }
        }
        return register;
    }

    void start() {
        started = true;
        node.start().whenComplete((ok, failure) -> {
            if (failure != null) {
                stop("could not start: " + failure.getMessage());
            }
        });
    }

    /** Takes part no longer; messages that come are dropped. When this returns the log is needed no more. */
    void close() {
        if (fault == null) {
            fault = "closed";
        }
        closing = true;
        node.terminate();
    }

    /** Stops for good: nothing more is said from here on. */
    void stop(String why) {
        if (fault == null) {
            fault = why;
            timers.execute(node::terminate);
        }
    }

    /** A message from another keeper. */
    void handle(RaftMessage message) {
        if (started && fault == null) {
            node.handle(message instanceof AppendEntriesRequest request ? fitted(request) : message);
        }
    }

    /**
     * The same request, where the library would take it wrongly.
     *
     * <p>It holds a request's commit index against its own before it bounds it by the request's last entry,
     * and so goes back by a request that comes late: bounded here, as Raft has it (min(leaderCommit, index of
     * last new entry)).
     *
     * <p>It knows no entry at or before its snapshot, and refuses a request that builds on one if it has
     * entries after. If the answer to those was lost, its leader asks the same for ever. What is decided is
     * the same in both: the request is begun at the first entry after the snapshot. If that is another one
     * here, ours and all after are no leader's any more and go, which the library would do if it had come so
     * far.
     */
    private RaftMessage fitted(AppendEntriesRequest request) {
        long previous = request.getPreviousLogIndex();
        int previousTerm = request.getPreviousLogTerm();
        List<LogEntry> entries = request.getLogEntries();
        long last = previous + entries.size();
        long first = snapshotIndex + 1;
        if (request.getTerm() >= node.getTerm().getTerm()
                && previous < first
                && last >= first
                && terms.containsKey(first)) {
            int skipped = (int) (first - previous);
            int term = entries.get(skipped - 1).getTerm();
            if (terms.get(first) == term) {
                previous = first;
                previousTerm = term;
                entries = entries.subList(skipped, entries.size());
            } else {
                cut(first);
            }
        }
        return MODEL.createAppendEntriesRequestBuilder()
                .setGroupId(request.getGroupId())
                .setSender(request.getSender())
                .setTerm(request.getTerm())
                .setPreviousLogTerm(previousTerm)
                .setPreviousLogIndex(previous)
                .setCommitIndex(Math.min(request.getCommitIndex(), last))
                .setLogEntries(entries)
                .setQuerySequenceNumber(request.getQuerySequenceNumber())
                .setFlowControlSequenceNumber(request.getFlowControlSequenceNumber())
                .build();
    }

    /** Drops the log from an entry on, none of which is decided, and goes on as after a restart. */
    private void cut(long index) {
        try {
            log.truncateLogEntriesFrom(index);
            log.flush();
            build();
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
                        ? ReplicaStatus.Role.SEEKING
                        : leader.equals(name) ? ReplicaStatus.Role.LEADER : ReplicaStatus.Role.FOLLOWER;
        return new ReplicaStatus(name, role, node.getTerm().getTerm(), leader, newest().number(), fault);
    }

    private String leader() {
        RaftEndpoint leader = fault == null ? node.getTerm().getLeaderEndpoint() : null;
        return leader == null ? null : (String) leader.getId();
    }

    // ---- the ledger

    /** The register that knows more: after a start the library begins again behind what was told before. */
    private Register register() {
        if (before != null && applied.newest().number() >= before.newest().number()) {
            before = null;
        }
        return before != null ? before : applied;
    }

    @Override
    public Version newest() {
        return newest;
    }

    @Override
    public Version at(long number) {
        return number > newest.number() ? null : register().at(number);
    }

    @Override
    public void listen(Consumer<Version> decided) {
        listeners.add(decided);
    }

    @Override
    public void propose(Proposal asked, Consumer<ProposalResult> answer) {
        Proposal proposal;
        String wrong = Register.check(asked);
        if (wrong != null) {
            timers.execute(() -> answer.accept(new ProposalResult(ProposalOutcome.REFUSED, newest().number(), wrong)));
            return;
        }
        // As the others will read it: this keeper must not apply anything else than they do.
        proposal = Codec.proposal(Codec.proposal(asked));
        if (open >= MOST_OPEN) {
            timers.execute(() -> answer.accept(unknown("too many proposals wait")));
            return;
        }
        new Attempts(proposal, answer).begin();
    }

    /**
     * Decides on what another keeper sent on; if this one doesn't lead, it says who does and no more.
     *
     * @param answer called once
     */
    void proposeHere(Proposal proposal, Consumer<ProposalResult> answer) {
        String wrong = Register.check(proposal);
        if (wrong != null) {
            answer.accept(new ProposalResult(ProposalOutcome.REFUSED, newest().number(), wrong));
        } else if (!name.equals(leader())) {
            answer.accept(unknown("keeper " + name + " doesn't lead, " + leader() + " may"));
        } else {
            replicate(proposal, result -> answer.accept(result != null ? result : unknown("the leader changed")));
        }
    }

    private ProposalResult unknown(String why) {
        return new ProposalResult(ProposalOutcome.UNKNOWN, newest().number(), why);
    }

    /** @param result called once, or never: what was decided, or null if that isn't known */
    private void replicate(Proposal proposal, Consumer<ProposalResult> result) {
        if (replicating >= MOST_REPLICATING) {
            result.accept(null);
            return;
        }
        replicating++;
        node.<ProposalResult>replicate(new Operation.Change(proposal)).whenComplete((done, failure) -> {
            replicating--;
            result.accept(failure == null && fault == null ? done.getResult() : null);
        });
    }

    /**
     * One proposal until its one answer: again under its id, wherever a leader is, until its time is over.
     */
    private final class Attempts {
        private final Proposal proposal;
        private final Consumer<ProposalResult> answer;
        private boolean answered;

        Attempts(Proposal proposal, Consumer<ProposalResult> answer) {
            this.proposal = proposal;
            this.answer = answer;
        }

        void begin() {
            open++;
            long seconds = TimeUnit.NANOSECONDS.toSeconds(PROPOSAL_NANOS);
            timers.schedule(
                    () -> finish(unknown("not decided within " + seconds + " s: " + hindrance())), PROPOSAL_NANOS);
            attempt();
        }

        private String hindrance() {
            return fault != null
                    ? fault
                    : leader() == null
                            ? "no leader is known"
                            : "leader " + leader() + " has no majority or doesn't answer";
        }

        private void attempt() {
            if (answered) {
                return;
            }
            String leader = leader();
            if (fault != null) {
                finish(unknown(fault));
            } else if (leader == null) {
                again(null);
            } else if (leader.equals(name)) {
                replicate(proposal, this::again);
            } else {
                peers.propose(leader, proposal, this::again);
            }
        }

        private void again(ProposalResult result) {
            if (result != null && result.what() != ProposalOutcome.UNKNOWN) {
                finish(result);
            } else if (!answered) {
                timers.schedule(this::attempt, AGAIN_NANOS);
            }
        }

        private void finish(ProposalResult last) {
            if (!answered) {
                answered = true;
                open--;
                timers.execute(() -> answer.accept(last));
            }
        }
    }

    /** Tells of what is new, after it is durable here. */
    private void decided(long index) {
        if (applied.newest().number() <= newest.number()) {
            return;
        }
        try {
            log.persistAndFlushCommitted(index);
        } catch (IOException e) {
            // The library would go on to the next entry: what isn't durable must not be told, here or there.
            stop(e.getMessage());
            return;
        }
        for (Version version : applied.after(newest.number())) {
            newest = version;
            for (Consumer<Version> listener : listeners) {
                timers.execute(() -> listener.accept(version));
            }
        }
    }

    // ---- what the library asks for

    /**
     * The replicated state machine: applies committed operations to the register and saves and loads its
     * snapshots.
     */
    private final class Applying implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            if (!(operation instanceof Operation.Change change)) {
                return null;
            }
            ProposalResult answer = applied.apply(change.proposal());
            decided(index);
            return answer;
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> parts) {
            try {
                log.taking(index);
            } catch (IOException e) {
                stop(e.getMessage());
                throw new UncheckedIOException(e);
            }
            snapshotIndex = index;
            terms.headMap(index, true).clear();
            applied.save().forEach(part -> parts.accept(new Operation.Part(part)));
        }

        @Override
        public void installSnapshot(long index, List<Object> parts) {
            snapshotIndex = index;
            terms.headMap(index, true).clear();
            List<byte[]> bytes = new ArrayList<>();
            parts.forEach(p -> bytes.add(((Operation.Part) p).bytes()));
            try {
                applied = Register.load(bytes);
            } catch (IllegalArgumentException e) {
                stop("the snapshot at entry " + index + " can't be read: " + e.getMessage());
                throw e;
            }
            decided(index);
        }

        @Override
        public Object getNewTermOperation() {
            return new Operation.TermStart();
        }
    }

    /** The log, with the end of this keeper's part at its first error: the library would go on. */
    private final class Guarded implements RaftStore {
        /** A write to the Raft log that may fail. */
        private interface Write {
            void run() throws IOException;
        }

        private void guard(Write write) throws IOException {
            if (fault != null) {
                // Nothing is said any more, so nothing has to be durable.
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
            guard(() -> log.persistAndFlushLocalEndpoint(endpoint));
        }

        @Override
        public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
            guard(() -> log.persistAndFlushInitialGroupMembers(members));
        }

        @Override
        public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
            guard(() -> log.persistAndFlushTerm(term));
        }

        @Override
        public void persistLogEntries(List<LogEntry> entries) throws IOException {
            guard(() -> log.persistLogEntries(entries));
            entries.forEach(e -> terms.put(e.getIndex(), e.getTerm()));
        }

        @Override
        public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
            guard(() -> log.persistSnapshotChunk(chunk));
        }

        @Override
        public void truncateLogEntriesFrom(long index) throws IOException {
            guard(() -> log.truncateLogEntriesFrom(index));
            terms.tailMap(index, true).clear();
        }

        @Override
        public void truncateLogEntriesUntil(long index) throws IOException {
            guard(() -> log.truncateLogEntriesUntil(index));
        }

        @Override
        public void deleteSnapshotChunks(long index, int count) throws IOException {
            guard(() -> log.deleteSnapshotChunks(index, count));
        }

        @Override
        public void flush() throws IOException {
            guard(log::flush);
        }
    }

    /** The Raft transport: sends messages to the peers until this keeper has stopped with a fault. */
    private final class Sending implements Transport {
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
     * The Raft node's executor: runs tasks on the timers, with delays divided by {@link #PACE}, and drops those of an
     * earlier generation.
     */
    private final class Paced implements RaftNodeExecutor {
        private final int mine;

        Paced(int mine) {
            this.mine = mine;
        }

        @Override
        public void execute(Runnable task) {
            if (closing) {
                task.run();
            } else {
                timers.execute(only(task));
            }
        }

        @Override
        public void submit(Runnable task) {
            timers.execute(only(task));
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            timers.schedule(only(task), unit.toNanos(delay) / PACE);
        }

        private Runnable only(Runnable task) {
            return () -> {
                if (mine == generation) {
                    task.run();
                }
            };
        }
    }

    /** The Raft node's clock: a monotonic one that runs {@link #PACE} times as fast as real time. */
    private final class PacedClock extends Clock {
        /** Far from 0, which the library takes for "never heard". */
        private static final long BASE_MILLIS = 1_000_000_000L;

        private final long begin = timers.nanoTime();

        @Override
        public long millis() {
            return BASE_MILLIS + TimeUnit.NANOSECONDS.toMillis((timers.nanoTime() - begin) * PACE);
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
