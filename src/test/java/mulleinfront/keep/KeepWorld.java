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
 * Three keepers on virtual time, with messages lost, late, twice and out of order, keepers that crash and
 * come back, and cuts between them, all drawn from a seed; and a judge of what they say.
 */
final class KeepWorld {
    /** What the keepers are, beside right ones. */
    enum Variant {
        RIGHT(MemoryLog.Fault.NONE),
        SAYS_BEFORE_DURABLE(MemoryLog.Fault.SAVES_LATER),
        FORGETS_VOTE(MemoryLog.Fault.FORGETS_VOTE),
        FORGETS_ALL_WITHOUT_VOTE(MemoryLog.Fault.FORGETS_ALL_WITHOUT_VOTE),
        /** Each is a group of its own. */
        ONE_WORD_IS_ENOUGH(MemoryLog.Fault.NONE),
        /** A repeated proposal loses its id on the way. */
        DECIDES_TWICE(MemoryLog.Fault.NONE),
        /** After a restart its owner is told the oldest version held as the newest. */
        GOES_BACK(MemoryLog.Fault.NONE);

        private final MemoryLog.Fault fault;

        Variant(MemoryLog.Fault fault) {
            this.fault = fault;
        }
    }

    /** A task scheduled on the virtual clock, ordered by time and then by order of scheduling. */
    private record Task(long at, long order, Runnable run) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** A proposer that repeats one proposal until it knows. */
    private final class Proposer {
        final Proposal proposal;
        int asked;
        VersionLog.ProposalResult last;

        Proposer(Proposal proposal) {
            this.proposal = proposal;
        }

        void ask() {
            Machine machine = machines.get(random.nextInt(machines.size()));
            if (!machine.up) {
                after(millis(200), this::ask);
                return;
            }
            long begun = now;
            int run = machine.run;
            boolean[] answered = {false};
            asked++;
            Proposal mine = variant == Variant.DECIDES_TWICE && asked > 1
                    ? new Proposal(proposal.id() + "." + asked, -1, proposal.entries(), proposal.why(), 0)
                    : proposal;
            machine.keeper.propose(mine, answer -> {
                judge(!answered[0], "answered twice");
                answered[0] = true;
                judge(now - begun <= Keeper.PROPOSAL_NANOS, "an answer took " + (now - begun) / 1_000_000 + " ms");
                settle(answer);
            });
            // Whoever asked a keeper that has crashed since asks another one.
            after(Keeper.PROPOSAL_NANOS + millis(1), () -> {
                if (!answered[0]) {
                    judge(!machine.up || machine.run != run, "no answer in bounded time");
                    answered[0] = true;
                    settle(new VersionLog.ProposalResult(ProposalOutcome.UNKNOWN, 0, ""));
                }
            });
        }

        private void settle(VersionLog.ProposalResult answer) {
            if (answer.what() == ProposalOutcome.UNKNOWN) {
                after(millis(10 + random.nextInt(500)), this::ask);
                return;
            }
            last = answer;
            open--;
            if (answer.what() == ProposalOutcome.DECIDED) {
                decided++;
                Version version = truth.get(answer.number());
                judge(
                        version == null || version.entries().get("id").equals(proposal.id()),
                        proposal.id() + " was said to be version " + answer.number() + ", which is another");
            }
        }
    }

    /** The simulated process of one keeper, with its log, timers and connections, which can crash and restart. */
    private final class Machine implements Timers, Peers {
        final String name;
        final MemoryLog log;
        boolean up;
        int run;
        Keeper keeper;
        long told;

        Machine(String name) {
            this.name = name;
            this.log = new MemoryLog(variant.fault);
        }

        void start() {
            up = true;
            run++;
            try {
                keeper = new Keeper(
                        name,
                        variant == Variant.ONE_WORD_IS_ENOUGH ? List.of(name) : names,
                        this,
                        new Random(random.nextLong()),
                        log,
                        this,
                        SNAPSHOT_ENTRIES);
            } catch (IOException e) {
                judge(false, name + " can't start: " + e.getMessage());
                return;
            }
            Keeper mine = keeper;
            Version newest = variant == Variant.GOES_BACK && mine.newest().number() > 0
                    ? mine.at(Math.max(1, mine.newest().number() - 1))
                    : mine.newest();
            judge(newest.number() >= told, name + " is back at version " + newest.number() + ", had told of " + told);
            told = Math.max(told, newest.number());
            mine.listen(version -> {
                judge(version.number() == told + 1, name + " told of " + version.number() + " after " + told);
                told = Math.max(told, version.number());
                judge(mine.newest().number() >= version.number(), name + " tells what it doesn't know");
                Version other = truth.putIfAbsent(version.number(), version);
                judge(other == null || other.equals(version), "two versions have number " + version.number());
                Long number = numbers.putIfAbsent(version.entries().get("id"), version.number());
                judge(number == null || number == version.number(), "one proposal is two versions");
            });
            mine.start();
        }

        void crash() {
            up = false;
            run++;
            log.crash();
        }

        @Override
        public void execute(Runnable task) {
            schedule(task, 0);
        }

        @Override
        public void schedule(Runnable task, long nanos) {
            int mine = run;
            after(nanos, () -> {
                if (up && run == mine) {
                    task.run();
                }
            });
        }

        @Override
        public long nanoTime() {
            return now;
        }

        @Override
        public void send(String to, RaftMessage message) {
            byte[] bytes = Codec.message(message);
            carry(this, machine(to), target -> target.keeper.handle(Codec.message(bytes)));
        }

        @Override
        public void propose(String to, Proposal proposal, Consumer<VersionLog.ProposalResult> reply) {
            int mine = run;
            boolean[] replied = {false};
            Consumer<VersionLog.ProposalResult> once = answer -> {
                if (!replied[0] && run == mine) {
                    replied[0] = true;
                    reply.accept(answer);
                }
            };
            schedule(() -> once.accept(null), TimeUnit.SECONDS.toNanos(1));
            byte[] bytes = Codec.proposal(proposal);
            carry(
                    this,
                    machine(to),
                    target -> target.keeper.proposeHere(
                            Codec.proposal(bytes), answer -> carry(target, this, back -> once.accept(answer))));
        }

        @Override
        public boolean reachable(String keeper) {
            return true;
        }
    }

    /** Few, so that what goes on around snapshots goes on often. */
    private static final int SNAPSHOT_ENTRIES = 16;

    private final Variant variant;
    private final Random random;
    private final List<String> names = List.of("k1", "k2", "k3");
    private final List<Machine> machines = new ArrayList<>();
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private final Map<Long, Version> truth = new TreeMap<>();
    private final Map<String, Long> numbers = new HashMap<>();
    private final List<Proposer> proposers = new ArrayList<>();
    /** What the judge found, in order, with its time. */
    final List<String> found = new ArrayList<>();

    private long now;
    private long order;
    private int open;
    private int decided;
    private boolean faults = true;
    /** Who is cut off from the two others, or null. */
    private String cut;

    KeepWorld(Variant variant, long seed) {
        this.variant = variant;
        this.random = new Random(seed);
        names.forEach(name -> machines.add(new Machine(name)));
    }

    private static long millis(long n) {
        return TimeUnit.MILLISECONDS.toNanos(n);
    }

    private void judge(boolean right, String otherwise) {
        if (!right) {
            found.add(now / 1_000_000 + " ms: " + otherwise);
        }
    }

    private void after(long nanos, Runnable run) {
        tasks.add(new Task(now + nanos, order++, run));
    }

    private Machine machine(String name) {
        return machines.get(names.indexOf(name));
    }

    /** One message on its way, to whatever runs there when it comes. */
    private void carry(Machine from, Machine to, Consumer<Machine> deliver) {
        boolean apart = cut != null && (from.name.equals(cut) || to.name.equals(cut));
        if (apart || faults && random.nextInt(100) < 5) {
            return;
        }
        int copies = faults && random.nextInt(100) < 3 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long delay = faults && random.nextInt(100) < 5
                    ? millis(random.nextInt(1500))
                    : 100_000 + random.nextInt(5_000_000);
            after(delay, () -> {
                if (to.up) {
                    deliver.accept(to);
                }
            });
        }
    }

    private void propose(int number) {
        Machine at = machines.get(random.nextInt(machines.size()));
        long basedOn = random.nextInt(3) > 0 || !at.up ? -1 : at.keeper.newest().number();
        TreeMap<String, String> entries = new TreeMap<>(Map.of("id", "p" + number));
        Proposer proposer = new Proposer(new Proposal("p" + number, basedOn, entries, "", 0));
        proposers.add(proposer);
        open++;
        proposer.ask();
    }

    private void fail() {
        if (!faults) {
            return;
        }
        Machine one = machines.get(random.nextInt(machines.size()));
        switch (random.nextInt(3)) {
            case 0 -> {
                cut = one.name;
                after(millis(random.nextInt(4000)), () -> cut = null);
            }
            default -> {
                if (one.up) {
                    one.crash();
                    after(millis(1 + random.nextInt(3000)), () -> {
                        if (!one.up) {
                            one.start();
                        }
                    });
                }
            }
        }
        after(millis(300 + random.nextInt(3000)), this::fail);
    }

    /**
     * Plays it: proposals and faults for some seconds, then none of both until all is quiet.
     *
     * @return the number of the newest version in the end
     */
    long play(int seconds) {
        machines.forEach(Machine::start);
        int proposals = seconds * 2;
        for (int i = 0; i < proposals; i++) {
            int number = i;
            after(millis(random.nextInt(seconds * 1000)), () -> propose(number));
        }
        after(millis(1000), this::fail);
        run(TimeUnit.SECONDS.toNanos(seconds));
        faults = false;
        cut = null;
        machines.forEach(m -> {
            if (!m.up) {
                m.start();
            }
        });
        run(now + TimeUnit.SECONDS.toNanos(15));
        judge(open == 0, open + " proposals are not settled");
        long newest = truth.size();
        machines.forEach(m -> judge(m.told == newest, m.name + " is at " + m.told + " of " + newest));
        for (Proposer p : proposers) {
            Long number = numbers.get(p.proposal.id());
            boolean is = number != null;
            judge(
                    p.last == null || is == (p.last.what() == ProposalOutcome.DECIDED),
                    p.proposal.id() + " was said to be " + p.last + ", and is version " + number);
        }
        return newest;
    }

    int decided() {
        return decided;
    }

    private void run(long until) {
        while (!tasks.isEmpty() && tasks.peek().at <= until) {
            Task task = tasks.poll();
            now = task.at;
            task.run.run();
        }
        now = until;
    }
}
