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
import mulleinfront.emulator.RandomStream;
import mulleinfront.emulator.Scenario;
import mulleinfront.emulator.ScenarioReader;
import mulleinfront.fleet.FleetSettings;
import mulleinfront.settings.BadFileException;

/**
 * Scale test of a whole fleet on one machine: some real client proxies, each a process, and many simulated members that
 * share processes, all on real sockets and with injected faults. It measures what control traffic costs each member and
 * how long the views take to converge. Only the real client proxies keep event logs, so only their views are checked.
 */
public final class ScaleRun {
    /** Maximum number of processes in a run. */
    public static final int MAX_PROCESSES = 300;
    /** Budgets for the control overhead of a client proxy: percent of a core, resident memory, bytes per second. */
    static final double MAX_CPU_PERCENT = 1.4;

    static final double MAX_MEMORY_MB = 256;
    static final double MAX_BYTES_PER_S = 12_000;
    private static final long REAL_PROCESS_KB = 130 * 1024;
    private static final long SIMULATED_PROCESS_KB = 300 * 1024;
    private static final long NODE_KB = 250 * 1024;
    /** Budget for a configuration version to become active everywhere, seconds. */
    static final double MAX_ACTIVATION_S = 6;
    /** Timeout after which a version counts as never active. */
    private static final long ACTIVATION_TIMEOUT_MS = 20_000;

    private static final int VERSIONS_PER_PHASE = 5;
    private static final int RELEASE_VERSIONS = 20;
    private static final int PARTITION_VERSIONS = 10;
    private static final long READY_TIMEOUT_MS = 60_000;
    private static final long EXIT_TIMEOUT_MS = 10_000;
    private static final long POLL_INTERVAL_MS = 100;
    /** Members per service in the planned fleet: 670 members in 77 services. */
    private static final double MEMBERS_PER_SERVICE = 670 / 77.0;

    /** Faults to inject, one after the other in this order. */
    public enum Fault {
        /** A fifth of the processes is killed at once and started again. */
        KILL,
        /** A network partition between the two sides. */
        CUT,
        /** A rolling restart, a tenth of the processes at a time. */
        RESTART,
        /** A control-plane node is killed and started again. */
        MACHINE,
        /** A new configuration version every second. */
        RELEASE
    }

    /**
     * Parameters of a run.
     *
     * @param real number of client proxies that are processes of their own
     * @param simulated number of simulated members
     * @param perProcess simulated members per process
     * @param restS duration of the measurement without faults, seconds
     * @param partitionS duration of the network partition, seconds
     * @param periodMs ping period of the members
     * @param controlPlane whether to run three control-plane nodes, with all members as subscribers
     */
    public record Plan(
            int real,
            int simulated,
            int perProcess,
            long seed,
            int restS,
            int partitionS,
            int periodMs,
            boolean controlPlane,
            Set<Fault> faults) {
        /** Rejects parameters out of range. */
        public Plan {
            require(
                    real >= 1 && real <= 64,
                    "--real: must be from 1 to 64; at least one real client proxy has to observe the fleet");
            require(simulated >= 0 && real + simulated <= 5_000, "--hollow: must be from 0 to " + (5_000 - real));
            require(
                    perProcess >= 1 && perProcess <= 150,
                    "--per-process: must be from 1 to 150, to stay within the limit on file descriptors");
            require(restS >= 1 && partitionS >= 1, "--rest, --cut: must be at least 1 second");
            faults = faults.isEmpty() ? EnumSet.noneOf(Fault.class) : EnumSet.copyOf(faults);
            if (!controlPlane) {
                faults.removeAll(EnumSet.of(Fault.MACHINE, Fault.RELEASE));
            }
        }

        private static void require(boolean condition, String message) {
            if (!condition) {
                throw new IllegalArgumentException(message);
            }
        }

        int members() {
            return real + simulated;
        }

        int simulatedProcesses() {
            return (simulated + perProcess - 1) / perProcess;
        }

        /** Total number of processes. */
        public int processes() {
            return real + simulatedProcesses() + (controlPlane ? ScaleControlPlane.COUNT : 0);
        }

        /** Upper estimate of the memory that all processes need, kilobytes. */
        public long needsKb() {
            return real * REAL_PROCESS_KB
                    + simulatedProcesses() * SIMULATED_PROCESS_KB
                    + (controlPlane ? ScaleControlPlane.COUNT * NODE_KB : 0);
        }
    }

    /** A process and the members that it runs. */
    private final class MemberProcess {
        private final int number;
        private final List<Integer> members;
        private DaemonProcess process;
        /** CPU time of earlier processes that ran these members. */
        private long earlierCpuMs;

        MemberProcess(int number, List<Integer> members) {
            this.number = number;
            this.members = members;
        }

        boolean real() {
            return number < plan.real();
        }

        void start() throws IOException {
            if (real()) {
                process = new DaemonProcess(
                        number,
                        daemonCommand + watchArguments(),
                        root,
                        folder,
                        config(number),
                        addresses.listen(number));
                return;
            }
            StringBuilder list = new StringBuilder();
            for (int member : members) {
                list.append(Files.writeString(folder.resolve("hollow-" + member + ".json"), config(member))
                                .toAbsolutePath())
                        .append('\n');
            }
            process = new DaemonProcess(
                    number,
                    simulatedCommand + watchArguments(),
                    root,
                    folder,
                    list.toString(),
                    addresses.listen(members.get(members.size() - 1)));
        }

        private String watchArguments() {
            return controlPlane == null
                    ? ""
                    : " --config-watch '" + controlPlane.subscriberFile(number % ScaleAddressPlan.SIDES) + "'";
        }

        void awaitReady() throws InterruptedException, IOException {
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
            while (process.readyVersion() == null) {
                if (!process.alive() || System.nanoTime() > until) {
                    throw new IOException("process " + number + " never got ready: " + process.lastLogLines());
                }
                Thread.sleep(POLL_INTERVAL_MS);
            }
        }

        DaemonProcess.Sample sample() {
            DaemonProcess.Sample sample = process.sample();
            return sample == null ? new DaemonProcess.Sample(0, 0, 0) : sample;
        }
    }

    private final Plan plan;
    private final Scenario scenario;
    private final String daemonCommand;
    private final String simulatedCommand;
    private final Path root;
    private final Path folder;
    private final Consumer<String> progress;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
    private final ScaleAddressPlan addresses = new ScaleAddressPlan();
    private final PartitionRelay relay;
    private final ScaleDiscovery discovery;
    private final List<MemberProcess> memberProcesses = new ArrayList<>();
    private final MemberProcess[] processByMember;
    private final List<MemberView> views = new ArrayList<>();
    private final ScaleReport report = new ScaleReport();
    /** Null if the run has no control plane. */
    private final ScaleControlPlane controlPlane;

    private final Path loggingFleetFile;
    private final Path fleetFile;
    private final long convergenceBoundMs;

    /**
     * @param baseScenario scenario file with the settings of the client proxies
     * @param daemon the shell command that starts one client proxy
     * @param program the shell command of this program, to which command and arguments are added
     * @param root working directory of the processes
     * @param folder for configurations and logs
     * @throws BadFileException if the run needs more processes or memory than is available
     */
    public ScaleRun(
            Plan plan,
            Path baseScenario,
            String daemon,
            String program,
            Path root,
            Path folder,
            Consumer<String> progress)
            throws BadFileException, IOException {
        this.plan = plan;
        this.daemonCommand = daemon;
        this.simulatedCommand = program + " hollow";
        this.root = root;
        this.folder = Files.createDirectories(folder);
        this.progress = progress;
        checkResources(plan);
        this.scenario = ScenarioReader.read(Files.writeString(
                folder.resolve("world.toml"),
                "[scenario]\ntitle = \"a fleet at its size\"\nworld = \"" + baseScenario.toAbsolutePath()
                        + "\"\n[proxies]\ncount = " + plan.members() + "\n"));
        this.controlPlane =
                plan.controlPlane() ? new ScaleControlPlane(addresses, root, folder, program + " keep") : null;
        for (int number = 0; number < plan.real() + plan.simulatedProcesses(); number++) {
            int first = number < plan.real() ? number : plan.real() + (number - plan.real()) * plan.perProcess();
            int end = number < plan.real() ? number + 1 : Math.min(plan.members(), first + plan.perProcess());
            memberProcesses.add(new MemberProcess(
                    number, IntStream.range(first, end).boxed().toList()));
        }
        this.processByMember = new MemberProcess[plan.members()];
        memberProcesses.forEach(
                memberProcess -> memberProcess.members.forEach(m -> processByMember[m] = memberProcess));
        this.relay = new PartitionRelay(
                group, addresses, plan.members(), plan.controlPlane() ? ScaleControlPlane.COUNT : 0, this::side);
        this.discovery =
                new ScaleDiscovery(group, addresses, plan.members(), Math.max(ScaleDiscovery.CALLED_SERVICES + 1, (int)
                        Math.round(plan.members() / MEMBERS_PER_SERVICE)));
        for (int r = 0; r < plan.real(); r++) {
            views.add(new MemberView(folder.resolve("fleet-n" + r + ".json"), plan.members()));
        }
        String fleetText = String.format(
                Locale.ROOT,
                "fleet = \"scale-%x\"%nperiod = \"%dms\"%ngone-after = \"10m\"%n",
                plan.seed(),
                plan.periodMs());
        this.fleetFile = Files.writeString(folder.resolve("fleet.toml"), fleetText);
        this.loggingFleetFile = Files.writeString(
                folder.resolve("fleet-events.toml"),
                fleetText + "events = \"" + folder.toAbsolutePath().resolve("fleet-%n.json") + "\"\n");
        this.convergenceBoundMs =
                FleetSettings.defaults("scale", "n", 0, plan.members(), plan.periodMs() * 1000L, 600_000_000L)
                                .convergenceBoundUs(plan.members())
                        / 1000;
    }

    private static void checkResources(Plan plan) throws BadFileException {
        if (plan.processes() > MAX_PROCESSES) {
            throw new BadFileException(
                    "kit scale: needs " + plan.processes() + " processes; the maximum is " + MAX_PROCESSES);
        }
        long halfMemoryKb = RealRun.memoryKb("MemTotal:") / 2;
        if (plan.needsKb() > halfMemoryKb || plan.needsKb() > RealRun.memoryKb("MemAvailable:")) {
            throw new BadFileException(
                    "kit scale: may need " + plan.needsKb() / 1024 + " MB, which exceeds half of this machine's"
                            + " memory, " + halfMemoryKb / 1024 + " MB, or its available memory, "
                            + RealRun.memoryKb("MemAvailable:") / 1024
                            + " MB");
        }
    }

    /** Processes alternate between the two sides, so that real client proxies are on both. */
    private int side(int member) {
        return processByMember[member].number % ScaleAddressPlan.SIDES;
    }

    private String config(int member) throws IOException {
        int side = side(member);
        List<java.net.InetSocketAddress> peers = IntStream.range(0, plan.members())
                .mapToObj(other -> other == member ? addresses.peer(member) : addresses.peerFrom(side, other))
                .toList();
        return DaemonProcess.config(
                scenario,
                member,
                RandomStream.of(plan.seed(), "member" + member).nextLong(),
                addresses.listen(member),
                addresses.discovery(discovery.serviceOf(member)),
                "null",
                new DaemonProcess.FleetMembership(
                        addresses.peer(member), peers, member < plan.real() ? loggingFleetFile : fleetFile));
    }

    /** Runs the test. All started processes are ended before it returns. */
    public ScaleReport run() throws InterruptedException {
        try {
            relay.open();
            discovery.open();
            startAll();
            measureAtRest("rest", plan.restS());
            if (controlPlane != null) {
                progress.accept("versions");
                proposeVersions("versions at rest", VERSIONS_PER_PHASE, 1_000, Set.of());
            }
            for (Fault fault : plan.faults()) {
                progress.accept(fault.name().toLowerCase(Locale.ROOT));
                switch (fault) {
                    case KILL -> killFifth();
                    case CUT -> partition();
                    case RESTART -> rollingRestart();
                    case MACHINE -> killControlNode();
                    case RELEASE -> release();
                }
            }
        } catch (IOException e) {
            report.addFailure(e.getMessage());
        } finally {
            for (MemberProcess memberProcess : memberProcesses) {
                if (memberProcess.process != null) {
                    memberProcess.process.kill();
                }
            }
            for (MemberProcess memberProcess : memberProcesses) {
                if (memberProcess.process != null && !memberProcess.process.awaitExit(EXIT_TIMEOUT_MS)) {
                    report.addFailure("process " + memberProcess.number + " could not be ended");
                }
            }
            if (controlPlane != null) {
                controlPlane.close();
                controlPlane.regressions().forEach(w -> report.addFailure("went back to an older version: " + w));
            }
            relay.close();
            discovery.close();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
        return report;
    }

    private void startAll() throws IOException, InterruptedException {
        progress.accept(plan.members() + " members in " + plan.processes() + " processes, at most "
                + plan.needsKb() / 1024 + " MB");
        long version = 0;
        if (controlPlane != null) {
            controlPlane.open(relay);
            for (int node = 0; node < ScaleControlPlane.COUNT; node++) {
                controlPlane.start(node);
            }
            version =
                    controlPlane.awaitFirstVersion(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS));
        }
        long began = System.currentTimeMillis();
        for (MemberProcess memberProcess : memberProcesses) {
            memberProcess.start();
        }
        for (MemberProcess memberProcess : memberProcesses) {
            memberProcess.awaitReady();
        }
        report.add("start", "until all are ready", (System.currentTimeMillis() - began) / 1e3, "s");
        awaitViews("start", "until all know all", allMembers(), "alive", began, Set.of());
        if (controlPlane != null) {
            awaitActive("start", "until all have the version", version, began, allMembers(), Double.NaN);
        }
    }

    /**
     * Waits until a version or a newer one is active at all these members, and reports how long that took.
     *
     * @param budgetS upper limit of the duration; NaN if there is none
     */
    private void awaitActive(
            String phase, String metric, long version, long sinceMs, Collection<Integer> members, double budgetS)
            throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ACTIVATION_TIMEOUT_MS);
        for (; ; ) {
            controlPlane.catchUp();
            long missing = members.stream()
                    .filter(m -> !controlPlane.hasVersion("n" + m, version))
                    .count();
            if (missing == 0) {
                break;
            }
            if (System.nanoTime() > until) {
                report.addFailure(phase + ": " + metric + ": after " + ACTIVATION_TIMEOUT_MS / 1000 + " s version "
                        + version + " is not in force at " + missing + " of " + members.size());
                return;
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
        addDurations(
                phase,
                metric,
                members.stream()
                        .map(m -> Math.max(0, controlPlane.activeAtMs("n" + m, version, sinceMs) - sinceMs))
                        .toList(),
                budgetS);
    }

    private void addDurations(String phase, String metric, List<Long> durationsMs, double budgetS) {
        List<Long> sorted = durationsMs.stream().sorted().toList();
        if (!sorted.isEmpty()) {
            report.add(
                    phase,
                    metric + ", mean",
                    sorted.stream().mapToLong(t -> t).average().orElse(0) / 1e3,
                    "s");
            report.add(phase, metric + ", p99", sorted.get((int) (0.99 * (sorted.size() - 1))) / 1e3, "s");
            report.add(phase, metric + ", worst", sorted.get(sorted.size() - 1) / 1e3, "s", budgetS);
        }
    }

    /** Proposes versions one after the other; each has to become active at all members that are not away. */
    private void proposeVersions(String phase, int count, long everyMs, Set<Integer> away)
            throws IOException, InterruptedException {
        Counts before = counts();
        List<Integer> members = IntStream.range(0, plan.members())
                .filter(m -> !away.contains(m))
                .boxed()
                .toList();
        List<long[]> proposed = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            long began = System.currentTimeMillis();
            proposed.add(new long[] {controlPlane.propose(phase, true), began});
            Thread.sleep(Math.max(0, everyMs - (System.currentTimeMillis() - began)));
        }
        List<Long> durationsMs = new ArrayList<>();
        long[] newest = proposed.get(count - 1);
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ACTIVATION_TIMEOUT_MS);
        do {
            Thread.sleep(POLL_INTERVAL_MS);
            controlPlane.catchUp();
        } while (System.nanoTime() < until
                && !members.stream().allMatch(m -> controlPlane.hasVersion("n" + m, newest[0])));
        for (long[] proposal : proposed) {
            for (int member : members) {
                long activeAtMs = controlPlane.activeAtMs("n" + member, proposal[0], proposal[1]);
                if (activeAtMs < 0) {
                    report.addFailure(phase + ": version " + proposal[0] + " was never in force at n" + member);
                } else {
                    durationsMs.add(activeAtMs - proposal[1]);
                }
            }
        }
        addDurations(phase, "from proposed to in force, " + count + " versions", durationsMs, MAX_ACTIVATION_S);
        addCosts(phase, before);
    }

    private void killControlNode() throws IOException, InterruptedException {
        controlPlane.kill(0);
        proposeVersions("a control machine killed", VERSIONS_PER_PHASE, 1_000, Set.of());
        controlPlane.start(0);
        proposeVersions("the control machine is back", VERSIONS_PER_PHASE, 1_000, Set.of());
    }

    private void release() throws IOException, InterruptedException {
        proposeVersions("a release: a version a second", RELEASE_VERSIONS, 1_000, Set.of());
    }

    private Set<Integer> allMembers() {
        return IntStream.range(0, plan.members()).boxed().collect(java.util.stream.Collectors.toSet());
    }

    /**
     * Waits until every real client proxy that is not away records the state for each of these members, and reports how
     * long that took.
     *
     * @param away members without a view to check
     */
    private void awaitViews(
            String phase, String metric, Collection<Integer> members, String state, long sinceMs, Set<Integer> away)
            throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(convergenceBoundMs);
        List<Integer> observers = IntStream.range(0, plan.real())
                .filter(observer -> !away.contains(observer))
                .boxed()
                .toList();
        for (; ; ) {
            int missing = 0;
            for (int observer : observers) {
                MemberView view = views.get(observer);
                view.catchUp();
                missing += (int) members.stream()
                        .filter(m -> m != observer && !view.state(m).equals(state))
                        .count();
            }
            if (missing == 0 || observers.isEmpty()) {
                break;
            }
            if (System.nanoTime() > until) {
                report.addFailure(
                        phase + ": " + metric + ": after " + convergenceBoundMs / 1000 + " s, the convergence bound, "
                                + missing + " of " + observers.size() * members.size() + " views still differ");
                return;
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
        List<Long> durationsMs = new ArrayList<>();
        for (int observer : observers) {
            for (int member : members) {
                if (member != observer) {
                    durationsMs.add(Math.max(0, views.get(observer).sinceMs(member) - sinceMs));
                }
            }
        }
        if (!durationsMs.isEmpty()) {
            Collections.sort(durationsMs);
            report.add(
                    phase,
                    metric + ", mean over views",
                    durationsMs.stream().mapToLong(t -> t).average().orElse(0) / 1e3,
                    "s");
            report.add(phase, metric + ", worst", durationsMs.get(durationsMs.size() - 1) / 1e3, "s");
        }
    }

    /** Counter values at an instant. */
    private record Counts(
            long atNanos,
            long[] cpuMs,
            long datagrams,
            long datagramBytes,
            long listBytes,
            long discoveryCalls,
            long[] nodeCpuMs,
            long[] nodeBytes) {}

    private Counts counts() {
        return new Counts(
                System.nanoTime(),
                memberProcesses.stream()
                        .mapToLong(memberProcess -> memberProcess.earlierCpuMs
                                + memberProcess.sample().cpuMs())
                        .toArray(),
                relay.datagrams(),
                relay.datagramBytes(),
                discovery.bytes(),
                discovery.calls(),
                IntStream.range(0, controlPlane == null ? 0 : ScaleControlPlane.COUNT)
                        .mapToLong(controlPlane::cpuMs)
                        .toArray(),
                IntStream.range(0, controlPlane == null ? 0 : ScaleControlPlane.COUNT)
                        .mapToLong(relay::nodeBytes)
                        .toArray());
    }

    private long controlBytes() {
        long all = relay.datagramBytes() + discovery.bytes();
        for (int node = 0; node < (controlPlane == null ? 0 : ScaleControlPlane.COUNT); node++) {
            all += relay.nodeBytes(node);
        }
        return all;
    }

    private void measureAtRest(String phase, int seconds) throws InterruptedException {
        Counts before = counts();
        double worst = 0;
        long bytes = controlBytes();
        for (int second = 0; second < seconds; second++) {
            Thread.sleep(1_000);
            long now = controlBytes();
            worst = Math.max(worst, (now - bytes) / (double) plan.members());
            bytes = now;
        }
        addCosts(phase, before);
        report.add(phase, "bytes of a member in the worst second, mean of all", worst, "B/s", MAX_BYTES_PER_S);
    }

    /** Reports the cost per member since the given counts. */
    private void addCosts(String phase, Counts before) {
        addCosts(phase, before, List.of());
    }

    /**
     * Reports the cost per member since the given counts.
     *
     * @param started processes started meanwhile; they are left out because startup is not control overhead
     */
    private void addCosts(String phase, Counts before, List<MemberProcess> started) {
        Counts after = counts();
        double seconds = (after.atNanos - before.atNanos) / 1e9;
        double realPercent = 0;
        double maxRealPercent = 0;
        double simulatedPercent = 0;
        int real = 0;
        int simulated = 0;
        for (MemberProcess memberProcess : memberProcesses) {
            double percent = (after.cpuMs[memberProcess.number] - before.cpuMs[memberProcess.number]) / seconds / 10;
            if (started.contains(memberProcess)) {
                continue;
            }
            if (memberProcess.real()) {
                realPercent += percent;
                maxRealPercent = Math.max(maxRealPercent, percent);
                real++;
            } else {
                simulatedPercent += percent;
                simulated += memberProcess.members.size();
            }
        }
        if (real > 0) {
            report.add(
                    phase,
                    "processor of a real one, mean of " + real,
                    realPercent / real,
                    "% of a core",
                    MAX_CPU_PERCENT);
        }
        report.add(phase, "processor of a real one, the most", maxRealPercent, "% of a core");
        if (simulated > 0) {
            report.add(
                    phase,
                    "processor of a hollow one, mean of " + simulated,
                    simulatedPercent / simulated,
                    "% of a core",
                    MAX_CPU_PERCENT);
        }
        double members = plan.members();
        report.add(
                phase, "datagrams sent by a member", (after.datagrams - before.datagrams) / members / seconds, "1/s");
        report.add(
                phase,
                "bytes of datagrams sent by a member",
                (after.datagramBytes - before.datagramBytes) / members / seconds,
                "B/s");
        report.add(
                phase, "bytes of lists to a member", (after.listBytes - before.listBytes) / members / seconds, "B/s");
        double control = 0;
        for (int node = 0; node < after.nodeBytes.length; node++) {
            control += after.nodeBytes[node] - before.nodeBytes[node];
        }
        if (controlPlane != null) {
            report.add(phase, "bytes of the configuration to and from a member", control / members / seconds, "B/s");
        }
        report.add(
                phase,
                "bytes of all control",
                (after.datagramBytes - before.datagramBytes + after.listBytes - before.listBytes + control)
                        / members
                        / seconds,
                "B/s",
                MAX_BYTES_PER_S);
        for (int node = 0; node < after.nodeCpuMs.length; node++) {
            report.add(
                    phase,
                    "processor of control machine " + node,
                    (after.nodeCpuMs[node] - before.nodeCpuMs[node]) / seconds / 10,
                    "% of a core");
            report.add(
                    phase,
                    "bytes to and from client proxies at it",
                    (after.nodeBytes[node] - before.nodeBytes[node]) / seconds,
                    "B/s");
        }
        if (controlPlane != null) {
            report.add(
                    phase,
                    "resident memory of a control machine, the most",
                    controlPlane.maxResidentKb() / 1024.0,
                    "MB");
        }
        report.add(phase, "calls to discovery by all", (after.discoveryCalls - before.discoveryCalls) / seconds, "1/s");
        report.add(
                phase,
                "resident memory of a real one, the most",
                memberProcesses.stream()
                                .filter(MemberProcess::real)
                                .mapToLong(
                                        memberProcess -> memberProcess.sample().residentKb())
                                .max()
                                .orElse(0)
                        / 1024.0,
                "MB",
                MAX_MEMORY_MB);
        report.add(
                phase,
                "resident memory of a hollow one's process over how many it is",
                memberProcesses.stream()
                        .filter(memberProcess -> !memberProcess.real())
                        .mapToDouble(memberProcess ->
                                memberProcess.sample().residentKb() / 1024.0 / memberProcess.members.size())
                        .max()
                        .orElse(0),
                "MB");
    }

    /**
     * Every {@code divisor}-th real process and process of simulated members, but never the first, which keeps
     * observing.
     */
    private List<MemberProcess> selectProcesses(int divisor, int remainder) {
        List<MemberProcess> selected = new ArrayList<>();
        int real = 0;
        int simulated = 0;
        for (MemberProcess memberProcess : memberProcesses) {
            int index = memberProcess.real() ? real++ : simulated++;
            if (index % divisor == remainder && memberProcess.number > 0) {
                selected.add(memberProcess);
            }
        }
        return selected;
    }

    private static Set<Integer> members(List<MemberProcess> selected) {
        Set<Integer> all = new TreeSet<>();
        selected.forEach(memberProcess -> all.addAll(memberProcess.members));
        return all;
    }

    private void restartProcesses(List<MemberProcess> selected) throws IOException, InterruptedException {
        for (MemberProcess memberProcess : selected) {
            memberProcess.start();
        }
        for (MemberProcess memberProcess : selected) {
            memberProcess.awaitReady();
            memberProcess.members.forEach(m -> discovery.setServerState(m, "in_service", true));
        }
    }

    private void recordCpu(MemberProcess memberProcess) throws InterruptedException, IOException {
        memberProcess.earlierCpuMs += memberProcess.sample().cpuMs();
    }

    private void killFifth() throws IOException, InterruptedException {
        List<MemberProcess> killed = selectProcesses(5, 1);
        Set<Integer> away = members(killed);
        Counts before = counts();
        for (MemberProcess memberProcess : killed) {
            recordCpu(memberProcess);
        }
        long killedAtMs = System.currentTimeMillis();
        for (MemberProcess memberProcess : killed) {
            memberProcess.process.kill();
            memberProcess.members.forEach(m -> discovery.setServerState(m, "terminated", false));
        }
        report.add("a fifth killed at once", "members killed", away.size(), "");
        if (controlPlane != null) {
            proposeVersions("versions while a fifth is away", 2, 1_000, away);
        }
        awaitViews("a fifth killed at once", "until known to have failed", away, "failed", killedAtMs, away);
        addCosts("a fifth killed at once", before, killed);
        long restartedAtMs = System.currentTimeMillis();
        restartProcesses(killed);
        awaitViews(
                "a fifth back",
                "until known to be alive, from their start",
                allMembers(),
                "alive",
                restartedAtMs,
                Set.of());
        if (controlPlane != null) {
            proposeVersions("versions after a fifth is back", 2, 1_000, Set.of());
        }
    }

    private void partition() throws IOException, InterruptedException {
        Counts before = counts();
        long sinceMs = System.currentTimeMillis();
        relay.setPartitioned(true);
        if (controlPlane != null) {
            controlPlane.setDelayedReports(true);
        }
        long newest = 0;
        long end = sinceMs + plan.partitionS() * 1000L;
        for (int i = 0; controlPlane != null && i < PARTITION_VERSIONS; i++) {
            // The nodes on the majority side keep committing versions.
            newest = controlPlane.propose("during the cut", true);
            Thread.sleep(Math.max(0, Math.min(1_000, end - System.currentTimeMillis())));
        }
        Thread.sleep(Math.max(0, end - System.currentTimeMillis()));
        addCosts("two sides cut", before);
        before = counts();
        sinceMs = System.currentTimeMillis();
        relay.setPartitioned(false);
        if (controlPlane != null) {
            List<Integer> otherSide = IntStream.range(0, plan.members())
                    .filter(m -> side(m) == 1)
                    .boxed()
                    .toList();
            awaitActive(
                    "the cut heals",
                    "from then until the version is in force on the other side",
                    newest,
                    sinceMs,
                    otherSide,
                    MAX_ACTIVATION_S);
        }
        awaitViews("the cut heals", "until all know all again", allMembers(), "alive", sinceMs, Set.of());
        addCosts("the cut heals", before);
        if (controlPlane != null) {
            controlPlane.setDelayedReports(false);
        }
    }

    private void rollingRestart() throws IOException, InterruptedException {
        Counts before = counts();
        long began = System.currentTimeMillis();
        long newest = 0;
        long proposed = began;
        for (int tenth = 0; tenth < 10; tenth++) {
            List<MemberProcess> tenthProcesses = selectProcesses(10, tenth);
            for (MemberProcess memberProcess : tenthProcesses) {
                recordCpu(memberProcess);
                memberProcess.members.forEach(m -> discovery.setServerState(m, "terminating", false));
                memberProcess.process.terminate();
            }
            for (MemberProcess memberProcess : tenthProcesses) {
                if (!memberProcess.process.awaitExit(EXIT_TIMEOUT_MS)) {
                    throw new IOException("process " + memberProcess.number + " did not end on SIGTERM");
                }
            }
            restartProcesses(tenthProcesses);
            if (controlPlane != null) {
                newest = controlPlane.propose("restarted in tenths", true);
                proposed = System.currentTimeMillis();
            }
        }
        if (controlPlane != null) {
            awaitActive(
                    "restarted in tenths",
                    "the last version, from proposed to in force",
                    newest,
                    proposed,
                    allMembers(),
                    MAX_ACTIVATION_S);
        }
        report.add("restarted in tenths", "until the last is ready", (System.currentTimeMillis() - began) / 1e3, "s");
        awaitViews("restarted in tenths", "until all know all, from the begin", allMembers(), "alive", began, Set.of());
        addCosts("restarted in tenths", before, memberProcesses.subList(1, memberProcesses.size()));
        int[] exited = Arrays.stream(memberProcesses.stream()
                        .mapToInt(memberProcess -> memberProcess.process.alive() ? 0 : 1)
                        .toArray())
                .filter(x -> x > 0)
                .toArray();
        if (exited.length > 0) {
            report.addFailure(exited.length + " processes ended by themselves");
        }
    }
}
