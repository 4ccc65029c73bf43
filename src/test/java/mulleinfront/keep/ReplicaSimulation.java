package mulleinfront.keep;

import io.microraft.model.message.RaftMessage;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import mulleinfront.config.Proposal;
import mulleinfront.config.Version;
import mulleinfront.config.VersionLog;
import mulleinfront.config.VersionLog.ProposalOutcome;

/**
 * Simulates three replicas in virtual time. Lost, delayed, duplicated and reordered messages, crashes with
 * restarts, and network partitions are drawn from a seed. Checks everything that the replicas report.
 */
final class ReplicaSimulation {
    /** The correct implementation, and faults built into the replicas. */
    enum Variant {
        CORRECT(MemoryLog.Fault.NONE),
        ACKNOWLEDGES_BEFORE_DURABLE(MemoryLog.Fault.SKIPS_SAVES),
        LOSES_VOTE(MemoryLog.Fault.LOSES_VOTE),
        LOSES_STATE_WITHOUT_VOTE(MemoryLog.Fault.LOSES_STATE_WITHOUT_VOTE),
        /** Each replica is a Raft group of its own. */
        SINGLE_VOTE_QUORUM(MemoryLog.Fault.NONE),
        /** A repeated proposal gets a new id. */
        LOSES_PROPOSAL_ID(MemoryLog.Fault.NONE),
        /** After a restart a replica reports the version before the newest as the newest. */
        REPORTS_OLDER_VERSION(MemoryLog.Fault.NONE);

        private final MemoryLog.Fault fault;

        Variant(MemoryLog.Fault fault) {
            this.fault = fault;
        }
    }

    /** A task scheduled on the virtual clock, ordered by time and then by order of scheduling. */
    private record Task(long atNanos, long order, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            return atNanos != other.atNanos ? Long.compare(atNanos, other.atNanos) : Long.compare(order, other.order);
        }
    }

    /** Repeats one proposal until the result is known. */
    private final class Proposer {
        final Proposal proposal;
        int attempts;
        VersionLog.ProposalResult result;

        Proposer(Proposal proposal) {
            this.proposal = proposal;
        }

        void attempt() {
            SimulatedReplica target = replicas.get(random.nextInt(replicas.size()));
            if (!target.up) {
                scheduleAfter(millis(200), this::attempt);
                return;
            }
            long startedAt = now;
            int incarnation = target.incarnation;
            boolean[] answered = {false};
            attempts++;
            Proposal sent = variant == Variant.LOSES_PROPOSAL_ID && attempts > 1
                    ? new Proposal(proposal.id() + "." + attempts, -1, proposal.entries(), proposal.description(), 0)
                    : proposal;
            target.replica.propose(sent, outcome -> {
                verify(!answered[0], "got two results");
                answered[0] = true;
                verify(
                        now - startedAt <= Replica.PROPOSAL_TIMEOUT_NS,
                        "a result took " + (now - startedAt) / 1_000_000 + " ms");
                onResult(outcome);
            });
            // If the replica has crashed since, the proposer tries again, at any replica.
            scheduleAfter(Replica.PROPOSAL_TIMEOUT_NS + millis(1), () -> {
                if (!answered[0]) {
                    verify(!target.up || target.incarnation != incarnation, "no result within the time limit");
                    answered[0] = true;
                    onResult(new VersionLog.ProposalResult(ProposalOutcome.UNKNOWN, 0, ""));
                }
            });
        }

        private void onResult(VersionLog.ProposalResult received) {
            if (received.outcome() == ProposalOutcome.UNKNOWN) {
                scheduleAfter(millis(10 + random.nextInt(500)), this::attempt);
                return;
            }
            result = received;
            openProposals--;
            if (received.outcome() == ProposalOutcome.DECIDED) {
                committedProposals++;
                Version version = committedVersions.get(received.version());
                verify(
                        version == null || version.entries().get("id").equals(proposal.id()),
                        proposal.id() + " was reported as version " + received.version()
                                + ", which is another proposal");
            }
        }
    }

    /** The simulated process of one replica, with its log, timers and connections; can crash and restart. */
    private final class SimulatedReplica implements Scheduler, Peers {
        final String name;
        final MemoryLog log;
        boolean up;
        int incarnation;
        Replica replica;
        long reportedVersion;

        SimulatedReplica(String name) {
            this.name = name;
            this.log = new MemoryLog(variant.fault);
        }

        void start() {
            up = true;
            incarnation++;
            try {
                replica = new Replica(
                        name,
                        variant == Variant.SINGLE_VOTE_QUORUM ? List.of(name) : names,
                        this,
                        new Random(random.nextLong()),
                        log,
                        this,
                        SNAPSHOT_INTERVAL_ENTRIES);
            } catch (IOException e) {
                verify(false, name + " can't start: " + e.getMessage());
                return;
            }
            Replica started = replica;
            Version newest =
                    variant == Variant.REPORTS_OLDER_VERSION && started.newest().number() > 0
                            ? started.find(Math.max(1, started.newest().number() - 1))
                            : started.newest();
            verify(
                    newest.number() >= reportedVersion,
                    name + " restarted at version " + newest.number() + ", had reported " + reportedVersion);
            reportedVersion = Math.max(reportedVersion, newest.number());
            started.addListener(version -> {
                verify(
                        version.number() == reportedVersion + 1,
                        name + " reported " + version.number() + " after " + reportedVersion);
                reportedVersion = Math.max(reportedVersion, version.number());
                verify(
                        started.newest().number() >= version.number(),
                        name + " reported a version newer than its newest");
                Version other = committedVersions.putIfAbsent(version.number(), version);
                verify(other == null || other.equals(version), "two versions have number " + version.number());
                Long number = versionNumbersById.putIfAbsent(version.entries().get("id"), version.number());
                verify(number == null || number == version.number(), "one proposal became two versions");
            });
            started.start();
        }

        void crash() {
            up = false;
            incarnation++;
            log.crash();
        }

        @Override
        public void execute(Runnable task) {
            schedule(task, 0);
        }

        @Override
        public void schedule(Runnable task, long nanos) {
            int scheduledBy = incarnation;
            scheduleAfter(nanos, () -> {
                if (up && incarnation == scheduledBy) {
                    task.run();
                }
            });
        }

        @Override
        public long nanoTime() {
            return now;
        }

        @Override
        public void send(String peer, RaftMessage message) {
            byte[] bytes = Codec.encodeMessage(message);
            transmit(this, replicaNamed(peer), target -> target.replica.handle(Codec.decodeMessage(bytes)));
        }

        @Override
        public void propose(String peer, Proposal proposal, Consumer<VersionLog.ProposalResult> reply) {
            int proposedBy = incarnation;
            boolean[] replied = {false};
            Consumer<VersionLog.ProposalResult> once = result -> {
                if (!replied[0] && incarnation == proposedBy) {
                    replied[0] = true;
                    reply.accept(result);
                }
            };
            schedule(() -> once.accept(null), TimeUnit.SECONDS.toNanos(1));
            byte[] bytes = Codec.encodeProposal(proposal);
            transmit(
                    this,
                    replicaNamed(peer),
                    target -> target.replica.proposeLocally(
                            Codec.decodeProposal(bytes),
                            result -> transmit(target, this, back -> once.accept(result))));
        }

        @Override
        public boolean reachable(String peer) {
            return true;
        }
    }

    /** Small, so that snapshots and the cases around them are frequent. */
    private static final int SNAPSHOT_INTERVAL_ENTRIES = 16;

    private final Variant variant;
    private final Random random;
    private final List<String> names = List.of("k1", "k2", "k3");
    private final List<SimulatedReplica> replicas = new ArrayList<>();
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private final Map<Long, Version> committedVersions = new TreeMap<>();
    private final Map<String, Long> versionNumbersById = new HashMap<>();
    private final List<Proposer> proposers = new ArrayList<>();
    /** The violations found, in order, each with its virtual time. */
    final List<String> violations = new ArrayList<>();

    private long now;
    private long nextOrder;
    private int openProposals;
    private int committedProposals;
    private boolean faults = true;
    /** Name of the replica that is partitioned from the other two, or null. */
    private String partitioned;

    ReplicaSimulation(Variant variant, long seed) {
        this.variant = variant;
        this.random = new Random(seed);
        names.forEach(name -> replicas.add(new SimulatedReplica(name)));
    }

    private static long millis(long n) {
        return TimeUnit.MILLISECONDS.toNanos(n);
    }

    private void verify(boolean satisfied, String violation) {
        if (!satisfied) {
            violations.add(now / 1_000_000 + " ms: " + violation);
        }
    }

    private void scheduleAfter(long nanos, Runnable action) {
        tasks.add(new Task(now + nanos, nextOrder++, action));
    }

    private SimulatedReplica replicaNamed(String name) {
        return replicas.get(names.indexOf(name));
    }

    /** Sends one message over the simulated network; it reaches the process that runs at the target on arrival. */
    private void transmit(SimulatedReplica from, SimulatedReplica to, Consumer<SimulatedReplica> deliver) {
        boolean separated = partitioned != null && (from.name.equals(partitioned) || to.name.equals(partitioned));
        if (separated || faults && random.nextInt(100) < 5) {
            return;
        }
        int copies = faults && random.nextInt(100) < 3 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long delay = faults && random.nextInt(100) < 5
                    ? millis(random.nextInt(1500))
                    : 100_000 + random.nextInt(5_000_000);
            scheduleAfter(delay, () -> {
                if (to.up) {
                    deliver.accept(to);
                }
            });
        }
    }

    private void propose(int number) {
        SimulatedReplica target = replicas.get(random.nextInt(replicas.size()));
        long basedOn = random.nextInt(3) > 0 || !target.up
                ? -1
                : target.replica.newest().number();
        TreeMap<String, String> entries = new TreeMap<>(Map.of("id", "p" + number));
        Proposer proposer = new Proposer(new Proposal("p" + number, basedOn, entries, "", 0));
        proposers.add(proposer);
        openProposals++;
        proposer.attempt();
    }

    private void injectFault() {
        if (!faults) {
            return;
        }
        SimulatedReplica affected = replicas.get(random.nextInt(replicas.size()));
        switch (random.nextInt(3)) {
            case 0 -> {
                partitioned = affected.name;
                scheduleAfter(millis(random.nextInt(4000)), () -> partitioned = null);
            }
            default -> {
                if (affected.up) {
                    affected.crash();
                    scheduleAfter(millis(1 + random.nextInt(3000)), () -> {
                        if (!affected.up) {
                            affected.start();
                        }
                    });
                }
            }
        }
        scheduleAfter(millis(300 + random.nextInt(3000)), this::injectFault);
    }

    /**
     * Runs the simulation: proposals and faults for the given time, then 15 s without new proposals or faults, after
     * which all replicas must have converged.
     *
     * @return the number of the newest version at the end
     */
    long runScenario(int seconds) {
        replicas.forEach(SimulatedReplica::start);
        int proposals = seconds * 2;
        for (int i = 0; i < proposals; i++) {
            int number = i;
            scheduleAfter(millis(random.nextInt(seconds * 1000)), () -> propose(number));
        }
        scheduleAfter(millis(1000), this::injectFault);
        runUntil(TimeUnit.SECONDS.toNanos(seconds));
        faults = false;
        partitioned = null;
        replicas.forEach(replica -> {
            if (!replica.up) {
                replica.start();
            }
        });
        runUntil(now + TimeUnit.SECONDS.toNanos(15));
        verify(openProposals == 0, openProposals + " proposals have no result");
        long newest = committedVersions.size();
        replicas.forEach(replica -> verify(
                replica.reportedVersion == newest,
                replica.name + " is at " + replica.reportedVersion + " of " + newest));
        for (Proposer proposer : proposers) {
            Long number = versionNumbersById.get(proposer.proposal.id());
            boolean committed = number != null;
            verify(
                    proposer.result == null || committed == (proposer.result.outcome() == ProposalOutcome.DECIDED),
                    proposer.proposal.id() + " has the result " + proposer.result + ", but is version " + number);
        }
        return newest;
    }

    int committedProposals() {
        return committedProposals;
    }

    private void runUntil(long until) {
        while (!tasks.isEmpty() && tasks.peek().atNanos <= until) {
            Task task = tasks.poll();
            now = task.atNanos;
            task.action.run();
        }
        now = until;
    }
}
