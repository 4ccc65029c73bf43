package mulleinfront.kit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import mulleinfront.emulator.Chance;
import mulleinfront.emulator.Scenario;
import mulleinfront.emulator.ScenarioReader;
import mulleinfront.fleet.FleetSettings;
import mulleinfront.settings.BadFileException;

/**
 * A fleet at its size on one machine: some real client proxies as processes, the rest hollow ones, many to a process,
 * all on real sockets, and faults between them and of them. What it measures is what control costs each of them, and how
 * long it takes until all know what happened. Views are those of the real ones, which keep event logs.
 */
public final class ScaleRun {
    /** The most processes that a run starts. */
    public static final int MOST_PROCESSES = 300;
    /** What control may cost a client proxy: part of a core, resident memory, bytes a second. */
    static final double MOST_CPU_PERCENT = 1.4;

    static final double MOST_MB = 256;
    static final double MOST_BYTES_PER_S = 12_000;
    private static final long REAL_KB = 130 * 1024;
    private static final long HOLLOW_KB = 300 * 1024;
    private static final long MACHINE_KB = 250 * 1024;
    /** Within this a version has to be in force everywhere, seconds. */
    static final double MOST_IN_FORCE_S = 6;
    /** And so long it is waited for before that counts as never. */
    private static final long IN_FORCE_MS = 20_000;

    private static final int VERSIONS = 5;
    private static final int RELEASE_S = 20;
    private static final int CUT_VERSIONS = 10;
    private static final long READY_MS = 60_000;
    private static final long END_MS = 10_000;
    private static final long POLL_MS = 100;
    /** Members to a service, as at the size that the fleet is planned for: 670 in 77. */
    private static final double EACH_SERVICE = 670 / 77.0;

    /** What is done to the fleet, in this order, each once the one before is over. */
    public enum Fault {
        /** A fifth of all is killed at once and started again. */
        KILL,
        /** Two sides are cut from each other for a while. */
        CUT,
        /** All are restarted, a tenth at a time. */
        RESTART,
        /** A control machine is killed and started again. */
        MACHINE,
        /** A version of the configuration every second. */
        RELEASE
    }

    /**
     * What to play.
     *
     * @param real client proxies as processes of their own
     * @param hollow further ones, many to a process
     * @param perProcess hollow ones in a process
     * @param restS seconds for which it is measured at rest
     * @param cutS seconds that a cut lasts
     * @param periodMs the members' period of pings
     * @param machines whether there are three control machines and all follow them
     */
    public record Plan(
            int real,
            int hollow,
            int perProcess,
            long seed,
            int restS,
            int cutS,
            int periodMs,
            boolean machines,
            Set<Fault> faults) {
        /** Rejects what can't be played. */
        public Plan {
            need(real >= 1 && real <= 64, "--real: 1 to 64, since they are who tells what all see");
            need(hollow >= 0 && real + hollow <= 5_000, "--hollow: 0 to " + (5_000 - real));
            need(perProcess >= 1 && perProcess <= 150, "--per-process: 1 to 150, for want of descriptors");
            need(restS >= 1 && cutS >= 1, "--rest, --cut: 1 second at least");
            faults = faults.isEmpty() ? EnumSet.noneOf(Fault.class) : EnumSet.copyOf(faults);
            if (!machines) {
                faults.removeAll(EnumSet.of(Fault.MACHINE, Fault.RELEASE));
            }
        }

        private static void need(boolean ok, String otherwise) {
            if (!ok) {
                throw new IllegalArgumentException(otherwise);
            }
        }

        int members() {
            return real + hollow;
        }

        int hollowProcesses() {
            return (hollow + perProcess - 1) / perProcess;
        }

        /** Processes in all. */
        public int processes() {
            return real + hollowProcesses() + (machines ? ScaleMachines.COUNT : 0);
        }

        /** Memory that all of them may come to need, kilobytes; a generous guess. */
        public long needsKb() {
            return real * REAL_KB + hollowProcesses() * HOLLOW_KB + (machines ? ScaleMachines.COUNT * MACHINE_KB : 0);
        }
    }

    /** A process and the members that it is. */
    private final class Unit {
        private final int number;
        private final List<Integer> members;
        private DaemonProcess process;
        /** Processor time of its earlier processes. */
        private long spentMs;

        Unit(int number, List<Integer> members) {
            this.number = number;
            this.members = members;
        }

        boolean real() {
            return number < plan.real();
        }

        void start() throws IOException {
            if (real()) {
                process = new DaemonProcess(
                        number, daemon + following(), root, folder, config(number), places.listen(number));
                return;
            }
            StringBuilder list = new StringBuilder();
            for (int m : members) {
                list.append(Files.writeString(folder.resolve("hollow-" + m + ".json"), config(m))
                                .toAbsolutePath())
                        .append('\n');
            }
            process = new DaemonProcess(
                    number,
                    hollow + following(),
                    root,
                    folder,
                    list.toString(),
                    places.listen(members.get(members.size() - 1)));
        }

        private String following() {
            return machines == null ? "" : " --config-watch '" + machines.followers(number % ScalePlaces.SIDES) + "'";
        }

        void awaitReady() throws InterruptedException, IOException {
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
            while (process.ready() == null) {
                if (!process.alive() || System.nanoTime() > until) {
                    throw new IOException("process " + number + " never got ready: " + process.lastWords());
                }
                Thread.sleep(POLL_MS);
            }
        }

        DaemonProcess.Sample sample() {
            DaemonProcess.Sample s = process.sample();
            return s == null ? new DaemonProcess.Sample(0, 0, 0) : s;
        }
    }

    private final Plan plan;
    private final Scenario scenario;
    private final String daemon;
    private final String hollow;
    private final Path root;
    private final Path folder;
    private final Consumer<String> progress;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
    private final ScalePlaces places = new ScalePlaces();
    private final SideRelay relay;
    private final ScaleLists lists;
    private final List<Unit> units = new ArrayList<>();
    private final Unit[] unitOf;
    private final List<Views> views = new ArrayList<>();
    private final ScaleReport report = new ScaleReport();
    /** Null: there are none. */
    private final ScaleMachines machines;

    private final Path observed;
    private final Path unobserved;
    private final long agreeMs;

    /**
     * @param daemon the shell command that starts one client proxy
     * @param program the shell command of this program, to which its words are added
     * @param root where those are run
     * @param folder for configurations and logs
     * @throws BadFileException if this machine has no room for it
     */
    public ScaleRun(
            Plan plan, Path world, String daemon, String program, Path root, Path folder, Consumer<String> progress)
            throws BadFileException, IOException {
        this.plan = plan;
        this.daemon = daemon;
        this.hollow = program + " hollow";
        this.root = root;
        this.folder = Files.createDirectories(folder);
        this.progress = progress;
        checkRoom(plan);
        this.scenario = ScenarioReader.read(Files.writeString(
                folder.resolve("world.toml"),
                "[scenario]\ntitle = \"a fleet at its size\"\nworld = \"" + world.toAbsolutePath()
                        + "\"\n[proxies]\ncount = " + plan.members() + "\n"));
        this.machines = plan.machines() ? new ScaleMachines(places, root, folder, program + " keep") : null;
        for (int p = 0; p < plan.real() + plan.hollowProcesses(); p++) {
            int first = p < plan.real() ? p : plan.real() + (p - plan.real()) * plan.perProcess();
            int end = p < plan.real() ? p + 1 : Math.min(plan.members(), first + plan.perProcess());
            units.add(new Unit(p, IntStream.range(first, end).boxed().toList()));
        }
        this.unitOf = new Unit[plan.members()];
        units.forEach(u -> u.members.forEach(m -> unitOf[m] = u));
        this.relay =
                new SideRelay(group, places, plan.members(), plan.machines() ? ScaleMachines.COUNT : 0, this::side);
        this.lists = new ScaleLists(group, places, plan.members(), Math.max(ScaleLists.CALLED + 1, (int)
                Math.round(plan.members() / EACH_SERVICE)));
        for (int r = 0; r < plan.real(); r++) {
            views.add(new Views(folder.resolve("fleet-n" + r + ".json"), plan.members()));
        }
        String file = String.format(
                Locale.ROOT,
                "fleet = \"scale-%x\"%nperiod = \"%dms\"%ngone-after = \"10m\"%n",
                plan.seed(),
                plan.periodMs());
        this.unobserved = Files.writeString(folder.resolve("fleet.toml"), file);
        this.observed = Files.writeString(
                folder.resolve("fleet-events.toml"),
                file + "events = \"" + folder.toAbsolutePath().resolve("fleet-%n.json") + "\"\n");
        this.agreeMs = FleetSettings.defaults("scale", "n", 0, plan.members(), plan.periodMs() * 1000L, 600_000_000L)
                        .convergenceBoundUs(plan.members())
                / 1000;
    }

    private static void checkRoom(Plan plan) throws BadFileException {
        if (plan.processes() > MOST_PROCESSES) {
            throw new BadFileException("kit scale: needs " + plan.processes() + " processes, and a run has "
                    + MOST_PROCESSES + " at most");
        }
        long half = RealRun.memoryKb("MemTotal:") / 2;
        if (plan.needsKb() > half || plan.needsKb() > RealRun.memoryKb("MemAvailable:")) {
            throw new BadFileException(
                    "kit scale: may need " + plan.needsKb() / 1024 + " MB, and half of this machine's"
                            + " memory is " + half / 1024 + " MB, of which " + RealRun.memoryKb("MemAvailable:") / 1024
                            + " MB is free");
        }
    }

    /** Processes are on the two sides in turn, so that real ones are on both. */
    private int side(int member) {
        return unitOf[member].number % ScalePlaces.SIDES;
    }

    private String config(int member) throws IOException {
        int side = side(member);
        List<java.net.InetSocketAddress> peers = IntStream.range(0, plan.members())
                .mapToObj(other -> other == member ? places.peer(member) : places.peerFrom(side, other))
                .toList();
        return DaemonProcess.config(
                scenario,
                member,
                Chance.of(plan.seed(), "member" + member).nextLong(),
                places.listen(member),
                places.discovery(lists.service(member)),
                "null",
                new DaemonProcess.Peering(places.peer(member), peers, member < plan.real() ? observed : unobserved));
    }

    /** Plays it; no process is left when it returns. */
    public ScaleReport play() throws InterruptedException {
        try {
            relay.open();
            lists.open();
            begin();
            rest("rest", plan.restS());
            if (machines != null) {
                progress.accept("versions");
                versions("versions at rest", VERSIONS, 1_000, Set.of());
            }
            for (Fault f : plan.faults()) {
                progress.accept(f.name().toLowerCase(Locale.ROOT));
                switch (f) {
                    case KILL -> kill();
                    case CUT -> cut();
                    case RESTART -> restart();
                    case MACHINE -> machine();
                    case RELEASE -> release();
                }
            }
        } catch (IOException e) {
            report.fail(e.getMessage());
        } finally {
            for (Unit u : units) {
                if (u.process != null) {
                    u.process.kill();
                }
            }
            for (Unit u : units) {
                if (u.process != null && !u.process.ended(END_MS)) {
                    report.fail("process " + u.number + " could not be ended");
                }
            }
            if (machines != null) {
                machines.close();
                machines.wentBack().forEach(w -> report.fail("went back to an older version: " + w));
            }
            relay.close();
            lists.close();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
        return report;
    }

    private void begin() throws IOException, InterruptedException {
        progress.accept(plan.members() + " members in " + plan.processes() + " processes, at most "
                + plan.needsKb() / 1024 + " MB");
        long version = 0;
        if (machines != null) {
            machines.open(relay);
            for (int m = 0; m < ScaleMachines.COUNT; m++) {
                machines.start(m);
            }
            version = machines.begin(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS));
        }
        long began = System.currentTimeMillis();
        for (Unit u : units) {
            u.start();
        }
        for (Unit u : units) {
            u.awaitReady();
        }
        report.add("start", "until all are ready", (System.currentTimeMillis() - began) / 1e3, "s");
        known("start", "until all know all", all(), "alive", began, Set.of());
        if (machines != null) {
            inForce("start", "until all have the version", version, began, all(), Double.NaN);
        }
    }

    /**
     * Waits until a version or a newer one is in force at all of these, and adds how long that took.
     *
     * @param budgetS the most that it may be; NaN if nothing is given
     */
    private void inForce(String phase, String what, long version, long sinceMs, Collection<Integer> at, double budgetS)
            throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(IN_FORCE_MS);
        for (; ; ) {
            machines.catchUp();
            long missing =
                    at.stream().filter(m -> !machines.isAt("n" + m, version)).count();
            if (missing == 0) {
                break;
            }
            if (System.nanoTime() > until) {
                report.fail(phase + ": " + what + ": after " + IN_FORCE_MS / 1000 + " s version " + version
                        + " is not in force at " + missing + " of " + at.size());
                return;
            }
            Thread.sleep(POLL_MS);
        }
        times(
                phase,
                what,
                at.stream()
                        .map(m -> Math.max(0, machines.inForceAt("n" + m, version, sinceMs) - sinceMs))
                        .toList(),
                budgetS);
    }

    private void times(String phase, String what, List<Long> tookMs, double budgetS) {
        List<Long> sorted = tookMs.stream().sorted().toList();
        if (!sorted.isEmpty()) {
            report.add(
                    phase,
                    what + ", mean",
                    sorted.stream().mapToLong(t -> t).average().orElse(0) / 1e3,
                    "s");
            report.add(phase, what + ", p99", sorted.get((int) (0.99 * (sorted.size() - 1))) / 1e3, "s");
            report.add(phase, what + ", worst", sorted.get(sorted.size() - 1) / 1e3, "s", budgetS);
        }
    }

    /** Some versions one after the other; each has to be in force at all but those away. */
    private void versions(String phase, int count, long everyMs, Set<Integer> away)
            throws IOException, InterruptedException {
        Counts before = counts();
        List<Integer> at = IntStream.range(0, plan.members())
                .filter(m -> !away.contains(m))
                .boxed()
                .toList();
        List<long[]> proposed = new ArrayList<>();
        for (int v = 0; v < count; v++) {
            long began = System.currentTimeMillis();
            proposed.add(new long[] {machines.propose(phase, true), began});
            Thread.sleep(Math.max(0, everyMs - (System.currentTimeMillis() - began)));
        }
        List<Long> took = new ArrayList<>();
        long[] newest = proposed.get(count - 1);
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(IN_FORCE_MS);
        do {
            Thread.sleep(POLL_MS);
            machines.catchUp();
        } while (System.nanoTime() < until && !at.stream().allMatch(m -> machines.isAt("n" + m, newest[0])));
        for (long[] p : proposed) {
            for (int m : at) {
                long inForce = machines.inForceAt("n" + m, p[0], p[1]);
                if (inForce < 0) {
                    report.fail(phase + ": version " + p[0] + " never was in force at n" + m);
                } else {
                    took.add(inForce - p[1]);
                }
            }
        }
        times(phase, "from proposed to in force, " + count + " versions", took, MOST_IN_FORCE_S);
        cost(phase, before);
    }

    private void machine() throws IOException, InterruptedException {
        machines.kill(0);
        versions("a control machine killed", VERSIONS, 1_000, Set.of());
        machines.start(0);
        versions("the control machine is back", VERSIONS, 1_000, Set.of());
    }

    private void release() throws IOException, InterruptedException {
        versions("a release: a version a second", RELEASE_S, 1_000, Set.of());
    }

    private Set<Integer> all() {
        return IntStream.range(0, plan.members()).boxed().collect(java.util.stream.Collectors.toSet());
    }

    /**
     * Waits until every real one that is not away believes so of each of these, and adds how long that took.
     *
     * @param away members that are not asked
     */
    private void known(String phase, String what, Collection<Integer> of, String state, long sinceMs, Set<Integer> away)
            throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(agreeMs);
        List<Integer> observers = IntStream.range(0, plan.real())
                .filter(r -> !away.contains(r))
                .boxed()
                .toList();
        for (; ; ) {
            int missing = 0;
            for (int r : observers) {
                Views v = views.get(r);
                v.catchUp();
                missing += (int) of.stream()
                        .filter(m -> m != r && !v.state(m).equals(state))
                        .count();
            }
            if (missing == 0 || observers.isEmpty()) {
                break;
            }
            if (System.nanoTime() > until) {
                report.fail(phase + ": " + what + ": after " + agreeMs / 1000 + " s, the bound, still " + missing
                        + " of " + observers.size() * of.size() + " views are otherwise");
                return;
            }
            Thread.sleep(POLL_MS);
        }
        List<Long> took = new ArrayList<>();
        for (int r : observers) {
            for (int m : of) {
                if (m != r) {
                    took.add(Math.max(0, views.get(r).sinceMs(m) - sinceMs));
                }
            }
        }
        if (!took.isEmpty()) {
            Collections.sort(took);
            report.add(
                    phase,
                    what + ", mean over views",
                    took.stream().mapToLong(t -> t).average().orElse(0) / 1e3,
                    "s");
            report.add(phase, what + ", worst", took.get(took.size() - 1) / 1e3, "s");
        }
    }

    /** Counters at a moment. */
    private record Counts(
            long atNanos,
            long[] cpuMs,
            long datagrams,
            long datagramBytes,
            long listBytes,
            long calls,
            long[] machineCpuMs,
            long[] machineBytes) {}

    private Counts counts() {
        return new Counts(
                System.nanoTime(),
                units.stream().mapToLong(u -> u.spentMs + u.sample().cpuMs()).toArray(),
                relay.datagrams(),
                relay.datagramBytes(),
                lists.bytes(),
                lists.calls(),
                IntStream.range(0, machines == null ? 0 : ScaleMachines.COUNT)
                        .mapToLong(machines::cpuMs)
                        .toArray(),
                IntStream.range(0, machines == null ? 0 : ScaleMachines.COUNT)
                        .mapToLong(relay::machineBytes)
                        .toArray());
    }

    private long controlBytes() {
        long all = relay.datagramBytes() + lists.bytes();
        for (int m = 0; m < (machines == null ? 0 : ScaleMachines.COUNT); m++) {
            all += relay.machineBytes(m);
        }
        return all;
    }

    private void rest(String phase, int seconds) throws InterruptedException {
        Counts before = counts();
        double worst = 0;
        long bytes = controlBytes();
        for (int s = 0; s < seconds; s++) {
            Thread.sleep(1_000);
            long now = controlBytes();
            worst = Math.max(worst, (now - bytes) / (double) plan.members());
            bytes = now;
        }
        cost(phase, before);
        report.add(phase, "bytes of a member in the worst second, mean of all", worst, "B/s", MOST_BYTES_PER_S);
    }

    /** What the time since then cost each of them. */
    private void cost(String phase, Counts before) {
        cost(phase, before, List.of());
    }

    /**
     * The same.
     *
     * @param started processes that were started meanwhile: what a start costs is not control's
     */
    private void cost(String phase, Counts before, List<Unit> started) {
        Counts after = counts();
        double s = (after.atNanos - before.atNanos) / 1e9;
        double allReal = 0;
        double worstReal = 0;
        double allHollow = 0;
        int real = 0;
        int hollow = 0;
        for (Unit u : units) {
            double percent = (after.cpuMs[u.number] - before.cpuMs[u.number]) / s / 10;
            if (started.contains(u)) {
                continue;
            }
            if (u.real()) {
                allReal += percent;
                worstReal = Math.max(worstReal, percent);
                real++;
            } else {
                allHollow += percent;
                hollow += u.members.size();
            }
        }
        if (real > 0) {
            report.add(
                    phase, "processor of a real one, mean of " + real, allReal / real, "% of a core", MOST_CPU_PERCENT);
        }
        report.add(phase, "processor of a real one, the most", worstReal, "% of a core");
        if (hollow > 0) {
            report.add(
                    phase,
                    "processor of a hollow one, mean of " + hollow,
                    allHollow / hollow,
                    "% of a core",
                    MOST_CPU_PERCENT);
        }
        double members = plan.members();
        report.add(phase, "datagrams sent by a member", (after.datagrams - before.datagrams) / members / s, "1/s");
        report.add(
                phase,
                "bytes of datagrams sent by a member",
                (after.datagramBytes - before.datagramBytes) / members / s,
                "B/s");
        report.add(phase, "bytes of lists to a member", (after.listBytes - before.listBytes) / members / s, "B/s");
        double control = 0;
        for (int m = 0; m < after.machineBytes.length; m++) {
            control += after.machineBytes[m] - before.machineBytes[m];
        }
        if (machines != null) {
            report.add(phase, "bytes of the configuration to and from a member", control / members / s, "B/s");
        }
        report.add(
                phase,
                "bytes of all control",
                (after.datagramBytes - before.datagramBytes + after.listBytes - before.listBytes + control)
                        / members
                        / s,
                "B/s",
                MOST_BYTES_PER_S);
        for (int m = 0; m < after.machineCpuMs.length; m++) {
            report.add(
                    phase,
                    "processor of control machine " + m,
                    (after.machineCpuMs[m] - before.machineCpuMs[m]) / s / 10,
                    "% of a core");
            report.add(
                    phase,
                    "bytes to and from client proxies at it",
                    (after.machineBytes[m] - before.machineBytes[m]) / s,
                    "B/s");
        }
        if (machines != null) {
            report.add(phase, "resident memory of a control machine, the most", machines.residentKb() / 1024.0, "MB");
        }
        report.add(phase, "calls to discovery by all", (after.calls - before.calls) / s, "1/s");
        report.add(
                phase,
                "resident memory of a real one, the most",
                units.stream()
                                .filter(Unit::real)
                                .mapToLong(u -> u.sample().residentKb())
                                .max()
                                .orElse(0)
                        / 1024.0,
                "MB",
                MOST_MB);
        report.add(
                phase,
                "resident memory of a hollow one's process over how many it is",
                units.stream()
                        .filter(u -> !u.real())
                        .mapToDouble(u -> u.sample().residentKb() / 1024.0 / u.members.size())
                        .max()
                        .orElse(0),
                "MB");
    }

    /** Of the processes, about one in so many, spread over both kinds; never the first real one, who goes on watching. */
    private List<Unit> part(int of, int number) {
        List<Unit> part = new ArrayList<>();
        int real = 0;
        int hollow = 0;
        for (Unit u : units) {
            int n = u.real() ? real++ : hollow++;
            if (n % of == number && u.number > 0) {
                part.add(u);
            }
        }
        return part;
    }

    private static Set<Integer> members(List<Unit> of) {
        Set<Integer> all = new TreeSet<>();
        of.forEach(u -> all.addAll(u.members));
        return all;
    }

    private void again(List<Unit> of) throws IOException, InterruptedException {
        for (Unit u : of) {
            u.start();
        }
        for (Unit u : of) {
            u.awaitReady();
            u.members.forEach(m -> lists.changed(m, "in_service", true));
        }
    }

    private void gone(Unit u) throws InterruptedException, IOException {
        u.spentMs += u.sample().cpuMs();
    }

    private void kill() throws IOException, InterruptedException {
        List<Unit> hit = part(5, 1);
        Set<Integer> away = members(hit);
        Counts before = counts();
        for (Unit u : hit) {
            gone(u);
        }
        long at = System.currentTimeMillis();
        for (Unit u : hit) {
            u.process.kill();
            u.members.forEach(m -> lists.changed(m, "terminated", false));
        }
        report.add("a fifth killed at once", "members killed", away.size(), "");
        if (machines != null) {
            versions("versions while a fifth is away", 2, 1_000, away);
        }
        known("a fifth killed at once", "until known to have failed", away, "failed", at, away);
        cost("a fifth killed at once", before, hit);
        long back = System.currentTimeMillis();
        again(hit);
        known("a fifth back", "until known to be alive, from their start", all(), "alive", back, Set.of());
        if (machines != null) {
            versions("versions after a fifth is back", 2, 1_000, Set.of());
        }
    }

    private void cut() throws IOException, InterruptedException {
        Counts before = counts();
        long at = System.currentTimeMillis();
        relay.cut(true);
        if (machines != null) {
            machines.late(true);
        }
        long newest = 0;
        long end = at + plan.cutS() * 1000L;
        for (int v = 0; machines != null && v < CUT_VERSIONS; v++) {
            // The machines of the majority's side go on deciding.
            newest = machines.propose("during the cut", true);
            Thread.sleep(Math.max(0, Math.min(1_000, end - System.currentTimeMillis())));
        }
        Thread.sleep(Math.max(0, end - System.currentTimeMillis()));
        cost("two sides cut", before);
        before = counts();
        at = System.currentTimeMillis();
        relay.cut(false);
        if (machines != null) {
            List<Integer> behind = IntStream.range(0, plan.members())
                    .filter(m -> side(m) == 1)
                    .boxed()
                    .toList();
            inForce(
                    "the cut heals",
                    "from then until the version is in force on the other side",
                    newest,
                    at,
                    behind,
                    MOST_IN_FORCE_S);
        }
        known("the cut heals", "until all know all again", all(), "alive", at, Set.of());
        cost("the cut heals", before);
        if (machines != null) {
            machines.late(false);
        }
    }

    private void restart() throws IOException, InterruptedException {
        Counts before = counts();
        long began = System.currentTimeMillis();
        long newest = 0;
        long proposed = began;
        for (int tenth = 0; tenth < 10; tenth++) {
            List<Unit> some = part(10, tenth);
            for (Unit u : some) {
                gone(u);
                u.members.forEach(m -> lists.changed(m, "terminating", false));
                u.process.end();
            }
            for (Unit u : some) {
                if (!u.process.ended(END_MS)) {
                    throw new IOException("process " + u.number + " did not end on SIGTERM");
                }
            }
            again(some);
            if (machines != null) {
                newest = machines.propose("restarted in tenths", true);
                proposed = System.currentTimeMillis();
            }
        }
        if (machines != null) {
            inForce(
                    "restarted in tenths",
                    "the last version, from proposed to in force",
                    newest,
                    proposed,
                    all(),
                    MOST_IN_FORCE_S);
        }
        report.add("restarted in tenths", "until the last is ready", (System.currentTimeMillis() - began) / 1e3, "s");
        known("restarted in tenths", "until all know all, from the begin", all(), "alive", began, Set.of());
        cost("restarted in tenths", before, units.subList(1, units.size()));
        int[] left = Arrays.stream(
                        units.stream().mapToInt(u -> u.process.alive() ? 0 : 1).toArray())
                .filter(x -> x > 0)
                .toArray();
        if (left.length > 0) {
            report.fail(left.length + " processes ended by themselves");
        }
    }
}
