package mulleinfront.config;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import mulleinfront.emulator.EventQueue;
import mulleinfront.settings.DifferenceLine;

/**
 * Three control machines and many client proxies on virtual time: the product's {@link ConfigPublisher} and
 * {@link ConfigSubscriber}, and models of what lies between them. Regions have zones; a message takes its time, now
 * and then a lost segment's too; what is cut off hears nothing and is told nothing of it.
 *
 * <p>The ledger is modelled by its times: a proposal is decided when a majority has it, the others learn of
 * that later, and after the leader's end nobody does for the time of an election.
 */
final class HandoutWorld {
    /** Client proxies that do what they must not, to see that it is found. */
    enum Broken {
        NONE,
        TAKES_PARTS,
        GOES_BACK,
        SAYS_WHAT_IT_HAS_NOT
    }

    static final int MACHINES = 3;
    static final int ZONES = 10;
    private static final long S = 1_000_000;
    /** Versions that a machine goes on holding. */
    static final int HELD = 50;

    final EventQueue time = new EventQueue();
    final SplittableRandom chance;
    final List<Machine> machines = new ArrayList<>();
    final List<Proxy> proxies = new ArrayList<>();
    /** Every version decided, and when it was proposed. */
    final List<Version> decided = new ArrayList<>();

    final List<Long> proposedUs = new ArrayList<>();
    final PublisherSettings settings;
    boolean regionsApart;
    Broken broken = Broken.NONE;
    /** Lines of differences that were written for readers, each for all who stand at one place. */
    int written;

    int wholes;
    int leader;
    private boolean electing;
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private long connections;
    /** Lines that were read by somebody: to read each again would be most of the work. */
    private final Map<String, Difference> parsed = new HashMap<>();
    /** Bytes that a proxy read, in windows of a second, the worst of all. */
    long worstSecond;

    long bytes;
    /** What was seen that must not be. */
    final List<String> faults = new ArrayList<>();

    HandoutWorld(long seed, int count) {
        this(seed, count, PublisherSettings.DEFAULTS);
    }

    HandoutWorld(long seed, int count, PublisherSettings settings) {
        chance = new SplittableRandom(seed);
        this.settings = settings;
        decided.add(Version.NONE);
        proposedUs.add(0L);
        for (int m = 0; m < MACHINES; m++) {
            // Two in one region, one in the other, each in a zone of its own.
            machines.add(new Machine(m, m == 2 ? ZONES / 2 : m));
        }
        for (int p = 0; p < count; p++) {
            proxies.add(new Proxy(p, p * ZONES / count));
        }
    }

    static int region(int zone) {
        return zone / (ZONES / 2);
    }

    private boolean cut(int zoneA, int zoneB) {
        return regionsApart && region(zoneA) != region(zoneB);
    }

    /** One way, microseconds. */
    private long way(int zoneA, int zoneB) {
        long us = region(zoneA) == region(zoneB) ? chance.nextLong(200, 1_500) : chance.nextLong(18_000, 40_000);
        return chance.nextInt(200) == 0 ? us + chance.nextLong(200_000, 400_000) : us;
    }

    // ---- the ledger ----------------------------------------------------------------------------------

    private boolean majority(Machine of) {
        int others = 0;
        for (Machine m : machines) {
            if (m != of && m.alive && !cut(m.zone, of.zone)) {
                others++;
            }
        }
        return of.alive && 2 * (others + 1) > MACHINES;
    }

    /** Proposes a whole configuration; it is decided as soon as there is a leader for it. */
    void propose(Map<String, String> entries) {
        long at = time.now();
        ask(() -> {
            Version v = new Version(decided.size(), new TreeMap<>(entries), "change " + decided.size(), at / 1_000);
            decided.add(v);
            proposedUs.add(at);
            Machine by = machines.get(leader);
            by.learn(v.number());
            for (Machine m : machines) {
                if (m != by && m.alive && !cut(m.zone, by.zone)) {
                    time.after(way(m.zone, by.zone), () -> m.learn(v.number()));
                }
            }
        });
    }

    private void ask(Runnable decide) {
        Machine by = machines.get(leader);
        if (electing || !majority(by)) {
            waiting.add(decide);
            elect();
            return;
        }
        // To the nearest other and back, and on both disks.
        time.after(2 * way(0, 0) + chance.nextLong(4_000, 30_000), () -> {
            if (electing || !majority(machines.get(leader))) {
                waiting.add(decide);
                elect();
            } else {
                decide.run();
            }
        });
    }

    /**
     * A leader that has no majority is replaced after the time of an election, if there is anybody to elect.
     */
    void elect() {
        if (electing || majority(machines.get(leader))) {
            return;
        }
        electing = true;
        time.after(chance.nextLong(S, 2 * S), () -> {
            electing = false;
            for (Machine m : machines) {
                if (majority(m)) {
                    leader = m.number;
                    catchUp();
                    List<Runnable> again = new ArrayList<>(waiting);
                    waiting.clear();
                    again.forEach(this::ask);
                    return;
                }
            }
            if (!waiting.isEmpty()) {
                elect();
            }
        });
    }

    /** What a majority has is the next leader's too, and from it all that it reaches. */
    void catchUp() {
        Machine by = machines.get(leader);
        for (Machine m : machines) {
            if (m.alive && !cut(m.zone, by.zone)) {
                time.after(way(m.zone, by.zone), () -> m.learn(decided.size() - 1));
            }
        }
    }

    // ---- control machines ----------------------------------------------------------------------------

    /**
     * A simulated control machine: it has a replica of the ledger and distributes its versions to the client
     * proxies.
     */
    final class Machine implements VersionLog, ConfigPublisher.Wire {
        final int number;
        final int zone;
        boolean alive = true;
        /** Its whole zone is gone: nobody says that it is. */
        boolean dark;

        long newest;
        /** Since when it has had no majority; below 0: it has one. */
        private long alone = -1;

        private ConfigPublisher handout = new ConfigPublisher(settings, this, this);
        private final Map<Long, Connection> open = new HashMap<>();
        private long wake = Long.MAX_VALUE;
        private EventQueue.Timer timer;

        Machine(int number, int zone) {
            this.number = number;
            this.zone = zone;
        }

        void learn(long number) {
            if (alive && number > newest) {
                newest = number;
                handout.decided(time.now());
            }
        }

        /** The process ends; its connections are reset. */
        void kill() {
            alive = false;
            for (Connection c : List.copyOf(open.values())) {
                c.end(false);
            }
            open.clear();
            elect();
        }

        void start() {
            alive = true;
            dark = false;
            handout = new ConfigPublisher(settings, this, this);
            time.after(500_000, () -> {
                if (majority(machines.get(leader))) {
                    catchUp();
                }
            });
        }

        ConfigPublisher handout() {
            return handout;
        }

        @Override
        public Version newest() {
            return decided.get((int) newest);
        }

        @Override
        public Version at(long n) {
            return n > newest || n <= newest - HELD || n < 1 ? null : decided.get((int) n);
        }

        @Override
        public boolean hasQuorumContact() {
            if (majority(this)) {
                alone = -1;
            } else if (alone < 0) {
                alone = time.now();
            }
            return alone < 0 || time.now() - alone < S;
        }

        @Override
        public void propose(Proposal proposal, Consumer<ProposalResult> answer) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void listen(Consumer<Version> told) {
            throw new UnsupportedOperationException();
        }

        @Override
        public byte[] line(Difference difference) {
            written++;
            wholes += difference.isWhole() ? 1 : 0;
            return DifferenceLine.write(difference);
        }

        @Override
        public byte[] heartbeat(long number, boolean inTouch) {
            return ("{\"newest\":" + number + ",\"in_touch\":" + inTouch + "}\n").getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public void send(long reader, byte[] line, int from, int to) {
            Connection c = open.get(reader);
            if (c != null) {
                c.down(Arrays.copyOfRange(line, from, to));
            }
        }

        @Override
        public void close(long reader, String reason) {
            Connection c = open.remove(reader);
            if (c != null) {
                c.end(false);
            }
        }

        @Override
        public void wakeAt(long us) {
            if (timer != null) {
                timer.cancel();
            }
            ConfigPublisher asked = handout;
            timer = time.after(us - time.now(), () -> {
                if (alive && handout == asked) {
                    handout.onTimer(time.now());
                }
            });
        }
    }

    // ---- between -------------------------------------------------------------------------------------

    /** In order both ways. While the ends are cut off from each other all waits. */
    final class Connection {
        final long id = ++connections;
        final Proxy proxy;
        final Machine machine;
        private long lastDown;
        private long lastUp;
        private final ArrayDeque<Runnable> stuck = new ArrayDeque<>();

        Connection(Proxy proxy, Machine machine) {
            this.proxy = proxy;
            this.machine = machine;
        }

        private boolean blocked() {
            return cut(proxy.zone, machine.zone) || machine.dark;
        }

        private void arrive(boolean down, long at, Runnable what) {
            time.after(at - time.now(), () -> {
                if (!blocked()) {
                    while (!stuck.isEmpty()) {
                        stuck.poll().run();
                    }
                    what.run();
                } else {
                    if (stuck.isEmpty()) {
                        again();
                    }
                    stuck.add(what);
                }
            });
        }

        /** What was sent is sent again until it comes through, though its sender may be gone by then. */
        private void again() {
            time.after(chance.nextLong(200_000, 2 * S), () -> {
                if (!blocked()) {
                    while (!stuck.isEmpty()) {
                        stuck.poll().run();
                    }
                } else if (proxy.connection == this) {
                    again();
                }
            });
        }

        void down(byte[] piece) {
            lastDown = Math.max(lastDown, time.now() + way(proxy.zone, machine.zone));
            arrive(true, lastDown, () -> proxy.read(this, piece));
        }

        void up(Runnable what) {
            lastUp = Math.max(lastUp, time.now() + way(proxy.zone, machine.zone));
            arrive(false, lastUp, () -> {
                if (machine.alive) {
                    what.run();
                }
            });
        }

        /** One end closes it; the other hears of that if it can. */
        void end(boolean byProxy) {
            if (byProxy) {
                up(() -> {
                    machine.open.remove(id);
                    machine.handout.closed(id);
                });
            } else {
                lastDown = Math.max(lastDown, time.now() + way(proxy.zone, machine.zone));
                arrive(true, lastDown, () -> proxy.lost(this));
            }
        }
    }

    // ---- client proxies ------------------------------------------------------------------------------

    /** A simulated client proxy that watches a control machine and applies the versions it receives. */
    final class Proxy implements ConfigSubscriber.Actions {
        final int number;
        final int zone;
        boolean alive;
        /** Stands still: nothing is read and no timer runs. */
        private boolean stopped;

        private final List<Runnable> missed = new ArrayList<>();
        ConfigSubscriber follower;
        private Connection connection;
        private EventQueue.Timer timer;
        /** What it keeps on its disk. */
        Version kept = Version.NONE;
        /** All numbers that were in force, in their order. */
        final List<Long> history = new ArrayList<>();
        /** When each was. */
        final List<Long> historyUs = new ArrayList<>();

        private byte[] partial = new byte[0];
        private long second;
        private long inSecond;
        long read;

        Proxy(int number, int zone) {
            this.number = number;
            this.zone = zone;
        }

        void start() {
            alive = true;
            follower = new ConfigSubscriber(SubscriberSettings.defaults(MACHINES), kept, chance.split(), this);
            if (kept.number() > 0) {
                onActiveVersion(kept);
            }
            follower.start(time.now());
        }

        /** The process ends at once. */
        void kill(boolean silently) {
            alive = false;
            if (connection != null && !silently) {
                connection.end(true);
            }
            connection = null;
            if (timer != null) {
                timer.cancel();
            }
        }

        void stop() {
            stopped = true;
        }

        void goOn() {
            stopped = false;
            List<Runnable> all = List.copyOf(missed);
            missed.clear();
            all.forEach(Runnable::run);
        }

        private void run(Runnable what) {
            if (stopped) {
                missed.add(what);
            } else if (alive) {
                what.run();
            }
        }

        @Override
        public void ask(int machine, long after, long checksum) {
            Machine m = machines.get(machine);
            Connection c = new Connection(this, m);
            connection = c;
            partial = new byte[0];
            // There and back for the connection, and there for the words.
            long on = 2 * way(zone, m.zone);
            time.after(on, () -> {
                if (m.dark || cut(zone, m.zone)) {
                    return;
                }
                if (!m.alive) {
                    lost(c);
                    return;
                }
                c.up(() -> {
                    m.open.put(c.id, c);
                    if (!m.handout.open(time.now(), c.id, "n" + number, after, checksum)) {
                        m.open.remove(c.id);
                        c.end(false);
                    }
                });
            });
        }

        @Override
        public void closeWatch() {
            if (connection != null) {
                connection.end(true);
                connection = null;
            }
        }

        void lost(Connection c) {
            run(() -> {
                if (connection == c) {
                    connection = null;
                    follower.lost(time.now());
                }
            });
        }

        void read(Connection c, byte[] piece) {
            run(() -> {
                if (connection == c) {
                    count(piece.length + 60);
                    follower.heard(time.now());
                    byte[] all = Arrays.copyOf(partial, partial.length + piece.length);
                    System.arraycopy(piece, 0, all, partial.length, piece.length);
                    partial = all;
                    if (all[all.length - 1] == '\n') {
                        partial = new byte[0];
                        lines(c, all);
                    } else if (broken == Broken.SAYS_WHAT_IT_HAS_NOT) {
                        long newest = c.machine.newest;
                        report(newest, Checksum.of(decided.get((int) newest)));
                    }
                }
            });
        }

        private void count(int n) {
            read += n;
            bytes += n;
            if (time.now() / S != second) {
                second = time.now() / S;
                inSecond = 0;
            }
            inSecond += n;
            worstSecond = Math.max(worstSecond, inSecond);
        }

        private void lines(Connection c, byte[] line) {
            try {
                String text = new String(line, StandardCharsets.UTF_8);
                if (text.startsWith("{\"newest\":")) {
                    int comma = text.indexOf(',');
                    long newest = Long.parseLong(text.substring(10, comma));
                    if (broken == Broken.GOES_BACK
                            && newest < follower.activeVersion().number()) {
                        onActiveVersion(decided.get((int) newest));
                    }
                    follower.heartbeat(time.now(), newest, text.contains("true"));
                } else {
                    Difference d = parsed.get(text);
                    if (d == null) {
                        d = DifferenceLine.read(line);
                        parsed.put(text, d);
                    }
                    follower.difference(time.now(), broken == Broken.TAKES_PARTS ? part(d) : d);
                }
            } catch (IOException e) {
                throw new AssertionError("a line that nobody wrote", e);
            }
        }

        /** What has come of a difference so far, as if it were all. */
        private Difference part(Difference d) throws IOException {
            TreeMap<String, String> half = new TreeMap<>(d.changed());
            while (half.size() > d.changed().size() / 2) {
                half.pollLastEntry();
            }
            Difference part = new Difference(d.from(), d.to(), half, d.removed(), d.why(), d.decidedAtMillis(), 0);
            TreeMap<String, String> entries = new TreeMap<>(
                    d.isWhole() ? Map.of() : follower.activeVersion().entries());
            entries.keySet().removeAll(part.removed());
            entries.putAll(half);
            return new Difference(
                    d.from(),
                    d.to(),
                    half,
                    d.removed(),
                    d.why(),
                    d.decidedAtMillis(),
                    Checksum.of(new Version(d.to(), entries, d.why(), d.decidedAtMillis())));
        }

        @Override
        public void onActiveVersion(Version version) {
            kept = version;
            history.add(version.number());
            historyUs.add(time.now());
        }

        @Override
        public void report(long number, long checksum) {
            Connection c = connection;
            long has = history.isEmpty() ? 0 : history.get(history.size() - 1);
            if (number != has) {
                faults.add("client proxy " + this.number + " says version " + number + " and has " + has);
            }
            if (c != null) {
                c.up(() -> c.machine.handout.reported(time.now(), c.id, number, checksum));
            }
        }

        @Override
        public void wakeAt(long us) {
            if (timer != null) {
                timer.cancel();
            }
            ConfigSubscriber asked = follower;
            timer = time.after(
                    us - time.now(),
                    () -> run(() -> {
                        if (follower == asked) {
                            follower.onTimer(time.now());
                        }
                    }));
        }

        /** When a version or a later one was in force; {@code Long.MAX_VALUE}: not yet. */
        long at(long version) {
            for (int i = 0; i < history.size(); i++) {
                if (history.get(i) >= version) {
                    return historyUs.get(i);
                }
            }
            return Long.MAX_VALUE;
        }
    }

    // ---- what is asked of it -------------------------------------------------------------------------

    void startAll() {
        proxies.forEach(Proxy::start);
    }

    void run(long us) {
        time.runUntil(time.now() + us);
    }

    /** Nobody ever went back or said what it has not, and who says a version has that very version. */
    void check() {
        for (Proxy p : proxies) {
            for (int i = 1; i < p.history.size(); i++) {
                if (p.history.get(i) < p.history.get(i - 1)) {
                    throw new AssertionError("client proxy " + p.number + " went back: " + p.history);
                }
            }
            if (p.follower != null) {
                Version v = p.follower.activeVersion();
                if (!v.equals(decided.get((int) v.number()))) {
                    throw new AssertionError(
                            "client proxy " + p.number + " has a version " + v.number() + " of its own");
                }
            }
        }
        if (!faults.isEmpty()) {
            throw new AssertionError(faults.get(0));
        }
    }

    /** Times from proposed to in force of one version at all that live. */
    List<Long> times(long version) {
        List<Long> all = new ArrayList<>();
        for (Proxy p : proxies) {
            if (p.alive) {
                long at = p.at(version);
                all.add(at == Long.MAX_VALUE ? Long.MAX_VALUE : at - proposedUs.get((int) version));
            }
        }
        return all;
    }

    /** A configuration of so many keys, drawn. */
    Map<String, String> drawn(int keys) {
        Map<String, String> entries = new TreeMap<>();
        for (int i = 0; i < keys; i++) {
            entries.put("service-" + i / 10 + ".setting-" + i % 10, Long.toHexString(chance.nextLong()));
        }
        return entries;
    }

    /** The newest with some keys changed. */
    Map<String, String> changed(int keys) {
        Map<String, String> entries =
                new TreeMap<>(decided.get(decided.size() - 1).entries());
        List<String> names = new ArrayList<>(entries.keySet());
        for (int i = 0; i < keys && !names.isEmpty(); i++) {
            entries.put(names.get(chance.nextInt(names.size())), Long.toHexString(chance.nextLong()));
        }
        return entries;
    }
}
