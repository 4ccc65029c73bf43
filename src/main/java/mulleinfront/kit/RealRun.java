package mulleinfront.kit;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import mulleinfront.emulator.DatagramFaults;
import mulleinfront.emulator.FleetAuditor;
import mulleinfront.emulator.FleetReport;
import mulleinfront.emulator.HybridSimulation;
import mulleinfront.emulator.PeerFaults;
import mulleinfront.emulator.RandomStream;
import mulleinfront.emulator.Scenario;
import mulleinfront.emulator.World;
import mulleinfront.fleet.FleetSettings;
import mulleinfront.settings.BadFileException;
import mulleinfront.settings.Range;
import mulleinfront.settings.Version;

/** Runs one scenario on real sockets against client proxies that run as processes. An instance runs once. */
public final class RealRun implements HybridSimulation.ExternalProxies {
    /** Added to each time limit on sockets, as the protocol states. */
    private static final long SOCKET_SLACK_US = 50_000;
    /** Added to the convergence bound for processes that wait for a CPU core, microseconds. */
    private static final long CONVERGENCE_SLACK_US = 2_000_000;

    private static final long READY_TIMEOUT_MS = 60_000;
    private static final long READY_POLL_MS = 20;
    private static final long EXIT_TIMEOUT_MS = 10_000;
    /** Growth factor of descriptors per quarter that counts as a leak if the first three quarters all show it. */
    private static final double LEAK_GROWTH = 1.15;

    private static final int LEAK_MIN_DESCRIPTORS = 16;
    private static final long SAMPLE_INTERVAL_MS = 250;
    private static final int QUARTERS = 4;
    /** Memory that one client proxy may need. */
    private static final long PROXY_KB = 192 * 1024;

    private final Scenario scenario;
    private final long seed;
    private final String command;
    private final Path root;
    private final Path folder;
    private final Consumer<String> progress;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HybridSimulation simulation;
    private final SimulationClock clock;
    private final AddressPlan addresses;
    private final StandInServers servers;
    private final StandInDiscovery discovery;
    private final ClientDriver clients;
    /**
     * Relays datagrams between client proxies; null if the scenario has no fleet, as are the timeline and the fleet
     * file.
     */
    private final PeerRelay relay;

    private final FleetTimeline timeline;
    private final Path fleetFile;
    /** The current process of each client proxy; set on the event loop. */
    private final DaemonProcess[] daemons;
    /** Whether clients send to a proxy; on the event loop. */
    private final boolean[] accepting;
    /** Whether a proxy is shutting down, so that clients use open connections only; on the event loop. */
    private final boolean[] openOnly;
    /** Whether a proxy's discovery is at the second address; on the event loop. */
    private final boolean[] discoveryMoved;
    /** Delay before a killed proxy is started again, microseconds; on the event loop. */
    private final long[] restartDelayUs;

    private final List<String> failures = Collections.synchronizedList(new ArrayList<>());
    private final List<List<DaemonProcess.Sample>> samples = new ArrayList<>();
    private volatile boolean interrupted;
    /** Unix time in milliseconds after which fleet events are no longer checked. */
    private volatile long auditUntilMs;

    private boolean running;
    private volatile boolean ending;
    private long readyTimeoutMs = READY_TIMEOUT_MS;
    private long exitTimeoutMs = EXIT_TIMEOUT_MS;
    private boolean anyVersion;

    /**
     * @param command shell command that starts one client proxy, run by {@code /bin/sh -c} in {@code root}; it should
     *        {@code exec} the proxy, or signals reach the shell instead
     * @param folder for configurations and logs
     * @param progress called with a line for each step
     * @throws BadFileException if the scenario needs more than this machine has or the kit supports
     */
    public RealRun(Scenario scenario, long seed, String command, Path root, Path folder, Consumer<String> progress)
            throws BadFileException, IOException {
        this.scenario = scenario;
        this.seed = seed;
        this.command = command;
        this.root = root;
        this.folder = folder;
        this.progress = progress;
        checkResources(scenario);
        Files.createDirectories(folder);
        this.addresses = new AddressPlan();
        this.daemons = new DaemonProcess[scenario.proxies().count()];
        this.accepting = new boolean[daemons.length];
        this.openOnly = new boolean[daemons.length];
        this.restartDelayUs = new long[daemons.length];
        this.discoveryMoved = new boolean[daemons.length];
        this.simulation = new HybridSimulation(scenario, seed, SOCKET_SLACK_US, this);
        this.clock = new SimulationClock(group.next(), simulation);
        this.servers = new StandInServers(clock, simulation, addresses, daemons.length);
        this.discovery = new StandInDiscovery(clock, simulation, addresses, scenario);
        this.clients = new ClientDriver(clock, simulation, addresses, scenario);
        if (scenario.peers() == null) {
            relay = null;
            timeline = null;
            fleetFile = null;
        } else {
            long period = scenario.peers().periodUs();
            long bound = FleetSettings.defaults(
                                    "kit",
                                    "n",
                                    0,
                                    daemons.length,
                                    period,
                                    scenario.peers().goneUs())
                            .convergenceBoundUs(daemons.length)
                    + CONVERGENCE_SLACK_US;
            this.timeline = new FleetTimeline(daemons.length, bound);
            DatagramFaults faults = new DatagramFaults(RandomStream.of(seed, "datagrams"));
            this.relay = new PeerRelay(group.next(), addresses, daemons.length, faults, timeline::faultChanged);
            this.fleetFile = Files.writeString(
                    folder.resolve("fleet.toml"),
                    String.format(
                            Locale.ROOT,
                            "fleet = \"%s\"%nperiod = \"%dus\"%ngone-after = \"%dus\"%nevents = \"%s\"%n",
                            "kit-" + Long.toHexString(seed),
                            period,
                            scenario.peers().goneUs(),
                            folder.toAbsolutePath().resolve("fleet-%n.json")));
            if (scenario.peers().loss() > 0) {
                relay.beginFault(null, null, scenario.peers().loss(), 0, 0, 0, Range.of(0));
            }
        }
    }

    private static void checkResources(Scenario scenario) throws BadFileException {
        int proxies = scenario.proxies().count();
        long availableKb = availableKb();
        if (proxies > AddressPlan.MAX_PROXIES) {
            throw new BadFileException(scenario.name() + ": needs " + proxies
                    + " client proxies as processes; a run" + " on sockets supports at most " + AddressPlan.MAX_PROXIES
                    + "; use emulate to run it on virtual time");
        }
        if (proxies * PROXY_KB > availableKb) {
            throw new BadFileException(scenario.name() + ": needs " + proxies * PROXY_KB / 1024 + " MB for " + proxies
                    + " client proxies; this machine has only " + availableKb / 1024 + " MB available");
        }
        if (scenario.faults().stream().anyMatch(f -> f.kind() == Scenario.Kind.CLOCK)) {
            throw new BadFileException(scenario.name()
                    + ": the clock of a process can't be changed; use emulate to run it on" + " virtual time");
        }
        if (scenario.peers() != null && scenario.peers().withoutSuspicion()) {
            throw new BadFileException(scenario.name() + ": peers.detector: processes support only the full detector");
        }
        if (scenario.serverCount() * proxies > AddressPlan.MAX_SERVERS / 4) {
            throw new BadFileException(scenario.name() + ": needs " + scenario.serverCount() * proxies
                    + " listeners, one" + " for each pair of server and client proxy; at most "
                    + AddressPlan.MAX_SERVERS / 4
                    + " are supported");
        }
    }

    private static long availableKb() {
        return memoryKb("MemAvailable:");
    }

    /** A field of {@code /proc/meminfo}, kilobytes; the largest long if it is not available. */
    static long memoryKb(String field) {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/meminfo"))) {
                if (line.startsWith(field)) {
                    return Long.parseLong(line.replaceAll("[^0-9]", ""));
                }
            }
        } catch (IOException e) {
            // Not available on this system: memory is not limited here.
        }
        return Long.MAX_VALUE;
    }

    /** Runs the scenario to its end, or until {@link #interrupt}. All started processes are ended before it returns. */
    public KitResult run() throws IOException, InterruptedException {
        String version = Version.CURRENT;
        World.Result result = null;
        try {
            version = startAll();
            if (failures.isEmpty() && (anyVersion || version.equals(Version.CURRENT))) {
                onLoop(() -> {
                    running = true;
                    Arrays.fill(accepting, true);
                    clock.start();
                    return null;
                });
                monitor();
                auditUntilMs = System.currentTimeMillis();
                result = onLoop(() -> {
                    World.Result finished = simulation.finish();
                    clock.stop();
                    ending = true;
                    return finished;
                });
                RuntimeException defect = onLoop(clock::unexpectedException);
                if (defect != null) {
                    failures.add("unexpected exception in the kit: " + defect + " at " + defect.getStackTrace()[0]);
                }
                if (servers.bindFailure() != null) {
                    failures.add("the kit: " + servers.bindFailure().getMessage());
                }
            }
        } finally {
            terminateAll(onLoop(() -> {
                clock.stop();
                ending = true;
                return Arrays.stream(daemons).filter(Objects::nonNull).toList();
            }));
            onLoop(() -> {
                servers.close();
                discovery.close();
                if (relay != null) {
                    relay.close();
                }
                return null;
            });
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
        if (result != null && timeline != null) {
            result = result.withFleet(auditFleet());
        }
        List<KitResult.Quarter> quarters = quarters();
        checkLeaks(quarters);
        return new KitResult(
                result,
                null,
                List.copyOf(failures),
                quarters,
                new double[] {clock.latenessMs(50), clock.latenessMs(99), clock.latenessMs(100)},
                version,
                Version.CURRENT);
    }

    private FleetReport auditFleet() throws IOException {
        for (int i = 0; i < daemons.length; i++) {
            timeline.read(i, folder.resolve("fleet-n" + i + ".json"));
        }
        FleetAuditor auditor = timeline.audit(auditUntilMs);
        if (timeline.changes() == 0) {
            failures.add("client proxies wrote no event log: does the command that starts them support fleets?");
        }
        return new FleetReport(
                auditor.breaches(), auditor.breachCount(), null, daemons.length, simulation.endsAt(), true);
    }

    /** Sets the timeouts for a client proxy to become ready and to exit. */
    RealRun withTimeouts(long readyMs, long exitMs) {
        readyTimeoutMs = readyMs;
        exitTimeoutMs = exitMs;
        return this;
    }

    /** Accepts client proxies of any version. */
    public RealRun anyVersion() {
        anyVersion = true;
        return this;
    }

    /** Ends the run early; the result covers the time until then. */
    public void interrupt() {
        interrupted = true;
    }

    private <T> T onLoop(Callable<T> task) throws IOException, InterruptedException {
        try {
            return clock.loop.submit(task).get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof IOException io ? io : new IOException(e.getCause());
        }
    }

    /** Starts the stand-ins and all client proxies, waits until the proxies are ready, and returns their version. */
    private String startAll() throws IOException, InterruptedException {
        if (relay != null) {
            relay.open();
        }
        List<ChannelFuture> bound = new ArrayList<>();
        onLoop(() -> {
            for (int i = 0; i < daemons.length; i++) {
                bound.add(discovery.listen(i, addresses.discovery(i)));
                bound.add(discovery.listen(i, addresses.secondDiscovery(i)));
            }
            for (int server = 0; server < scenario.serverCount(); server++) {
                servers.applyBehaviour(server);
            }
            return null;
        });
        for (ChannelFuture binding : bound) {
            if (!binding.await().isSuccess()) {
                throw new IOException(
                        "discovery failed to listen: " + binding.cause().getMessage());
            }
        }
        for (int i = 0; i < daemons.length; i++) {
            int number = i;
            onLoop(() -> {
                launch(number, simulation.startProxy(number));
                return null;
            });
        }
        progress.accept("waiting for " + daemons.length + " client proxies");
        String version = Version.CURRENT;
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(readyTimeoutMs);
        for (DaemonProcess daemon : daemons) {
            String reported = awaitReady(daemon, () -> System.nanoTime() < until && !interrupted);
            if (reported == null) {
                failures.add(
                        "client proxy " + daemon.number() + " never got ready" + (daemon.alive() ? "" : ": it ended")
                                + (daemon.lastLogLines().isEmpty() ? "" : ": " + daemon.lastLogLines()));
                return version;
            }
            version = reported.equals(Version.CURRENT) ? version : reported;
        }
        return version;
    }

    /** Polls a proxy until it is ready; returns its version, or null if it exited or no time is left. */
    private static String awaitReady(DaemonProcess daemon, BooleanSupplier timeLeft) throws InterruptedException {
        String version = daemon.readyVersion();
        while (version == null && daemon.alive() && timeLeft.getAsBoolean()) {
            Thread.sleep(READY_POLL_MS);
            version = daemon.readyVersion();
        }
        return version;
    }

    private void monitor() throws InterruptedException {
        long length = simulation.endsAt();
        long reportedTens = 0;
        for (long now; (now = clock.nowUs()) < length && !interrupted; ) {
            List<DaemonProcess.Sample> all = new ArrayList<>();
            for (DaemonProcess daemon : daemons) {
                all.add(daemon.sample());
            }
            samples.add(all);
            if (now / 10_000_000 > reportedTens) {
                reportedTens = now / 10_000_000;
                progress.accept(String.format(Locale.ROOT, "%d of %d s", now / 1_000_000, length / 1_000_000));
            }
            Thread.sleep(Math.min(SAMPLE_INTERVAL_MS, Math.max(1, (length - now) / 1000)));
        }
    }

    private List<KitResult.Quarter> quarters() {
        List<KitResult.Quarter> all = new ArrayList<>();
        int samplesPerQuarter = samples.size() / QUARTERS;
        for (int quarter = 0; quarter < QUARTERS && samplesPerQuarter > 1; quarter++) {
            List<List<DaemonProcess.Sample>> quarterSamples =
                    samples.subList(quarter * samplesPerQuarter, (quarter + 1) * samplesPerQuarter);
            int descriptors = 0;
            long kb = 0;
            for (List<DaemonProcess.Sample> sampled : quarterSamples) {
                for (DaemonProcess.Sample sample : sampled) {
                    descriptors = sample == null ? descriptors : Math.max(descriptors, sample.descriptors());
                    kb = sample == null ? kb : Math.max(kb, sample.residentKb());
                }
            }
            double cpu = 0;
            int counted = 0;
            for (int i = 0; i < daemons.length; i++) {
                DaemonProcess.Sample from = quarterSamples.get(0).get(i);
                DaemonProcess.Sample to =
                        quarterSamples.get(samplesPerQuarter - 1).get(i);
                if (from != null && to != null && to.cpuMs() >= from.cpuMs()) {
                    cpu += (to.cpuMs() - from.cpuMs()) / (double) (SAMPLE_INTERVAL_MS * (samplesPerQuarter - 1));
                    counted++;
                }
            }
            all.add(new KitResult.Quarter(descriptors, kb, counted == 0 ? 0 : cpu / counted));
        }
        return all;
    }

    /**
     * Reports a leak if descriptors grow in each of the first three quarters. The last one includes the time after the
     * load.
     */
    private void checkLeaks(List<KitResult.Quarter> quarters) {
        boolean grows = quarters.size() == QUARTERS;
        for (int i = 1; grows && i < QUARTERS - 1; i++) {
            grows = quarters.get(i).descriptors()
                    > LEAK_GROWTH * quarters.get(i - 1).descriptors() + LEAK_MIN_DESCRIPTORS;
        }
        if (grows) {
            failures.add("client proxies leak: at most " + quarters.get(0).descriptors() + ", "
                    + quarters.get(1).descriptors() + ", " + quarters.get(2).descriptors()
                    + " descriptors in the first three quarters of the run");
        }
    }

    private void terminateAll(List<DaemonProcess> all) throws InterruptedException {
        all.forEach(DaemonProcess::terminate);
        for (DaemonProcess daemon : all) {
            if (!daemon.awaitExit(exitTimeoutMs)) {
                failures.add("client proxy " + daemon.number() + " did not end within " + exitTimeoutMs / 1000
                        + " s of SIGTERM");
            }
        }
        all.forEach(DaemonProcess::kill);
    }

    // ---- callbacks of the simulation; on the event loop --------------------------------------------------------

    private void launch(int proxy, HybridSimulation.ListUpdate knownList) throws IOException {
        knownList.servers().forEach(s -> servers.applyBehaviour(s.address()));
        DaemonProcess daemon =
                new DaemonProcess(proxy, command, root, folder, config(proxy, knownList), addresses.daemon(proxy));
        daemons[proxy] = daemon;
        openOnly[proxy] = false;
        daemon.onExit(code -> clock.loop.execute(() -> exited(daemon, code)));
    }

    private String config(int proxy, HybridSimulation.ListUpdate knownList) throws IOException {
        return DaemonProcess.config(
                scenario,
                proxy,
                seed * 1_000_003 + proxy,
                addresses.daemon(proxy),
                discoveryMoved[proxy] ? addresses.secondDiscovery(proxy) : addresses.discovery(proxy),
                discovery.line(proxy, knownList),
                relay == null
                        ? null
                        : new DaemonProcess.FleetMembership(
                                addresses.peerListen(proxy),
                                IntStream.range(0, daemons.length)
                                        .mapToObj(other -> addresses.peer(proxy, other))
                                        .toList(),
                                fleetFile));
    }

    private void exited(DaemonProcess daemon, int code) {
        // Before the run starts, the code that waits for readiness reports the exit.
        if (ending || !running || daemons[daemon.number()] != daemon) {
            return;
        }
        if (!daemon.exitRequested()) {
            failures.add("client proxy " + daemon.number() + " ended by itself, exit code " + code
                    + (daemon.lastLogLines().isEmpty() ? "" : ": " + daemon.lastLogLines()));
        }
        accepting[daemon.number()] = false;
        if (timeline != null) {
            timeline.exited(daemon.number());
        }
        clock.run(() -> simulation.ended(
                daemon.number(), daemon.killed(), () -> relaunch(daemon.number(), restartDelayUs[daemon.number()])));
    }

    private void relaunch(int proxy, long delayUs) {
        restartDelayUs[proxy] = 0;
        if (delayUs > 0) {
            clock.loop.schedule(() -> relaunch(proxy, 0), delayUs, TimeUnit.MICROSECONDS);
            return;
        }
        if (ending) {
            return;
        }
        try {
            launch(proxy, simulation.startProxy(proxy));
            DaemonProcess daemon = daemons[proxy];
            Thread readinessPoll = new Thread(() -> acceptWhenReady(daemon), "ready");
            readinessPoll.setDaemon(true);
            readinessPoll.start();
        } catch (IOException e) {
            failures.add("client proxy " + proxy + " could not be started again: " + e.getMessage());
        }
    }

    /** Lets clients send once the restarted proxy reports ready, as the protocol requires. */
    private void acceptWhenReady(DaemonProcess daemon) {
        try {
            if (awaitReady(daemon, () -> !ending) != null) {
                clock.loop.execute(() -> accepting[daemon.number()] = daemons[daemon.number()] == daemon);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public boolean running(int proxy) {
        return accepting[proxy];
    }

    @Override
    public void kill(int proxy, long awayUs) {
        accepting[proxy] = false;
        restartDelayUs[proxy] = awayUs;
        daemons[proxy].kill();
    }

    @Override
    public void pause(int proxy, long durationUs) {
        DaemonProcess daemon = daemons[proxy];
        setPaused(daemon, true);
        clock.loop.schedule(() -> setPaused(daemon, false), durationUs, TimeUnit.MICROSECONDS);
    }

    private void setPaused(DaemonProcess daemon, boolean paused) {
        try {
            if (!daemon.alive()) {
                return;
            }
            if (timeline != null) {
                timeline.paused(daemon.number(), paused);
            }
            daemon.setPaused(paused);
        } catch (IOException e) {
            failures.add("client proxy " + daemon.number() + " could not be paused or resumed: " + e.getMessage());
        }
    }

    @Override
    public PeerFaults peerFaults() {
        return relay;
    }

    @Override
    public void terminate(int proxy) {
        DaemonProcess daemon = daemons[proxy];
        if (timeline != null) {
            timeline.terminated(proxy);
        }
        daemon.terminate();
        clock.loop.schedule(
                () -> {
                    openOnly[proxy] |= daemons[proxy] == daemon;
                },
                scenario.proxies().lateRequestsUs(),
                TimeUnit.MICROSECONDS);
        clock.loop.schedule(
                () -> {
                    if (daemons[proxy] == daemon && daemon.alive() && !ending) {
                        failures.add("client proxy " + proxy + " was still running "
                                + scenario.proxies().killAfterUs() / 1000 + " ms after SIGTERM");
                        daemon.kill();
                    }
                },
                scenario.proxies().killAfterUs(),
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void floodConnections(int proxy, int connections, long forUs) {
        if (accepting[proxy]) {
            clients.floodConnections(proxy, connections, forUs);
        }
    }

    @Override
    public void reload(int proxy) {
        try {
            if (accepting[proxy]) {
                discoveryMoved[proxy] = !discoveryMoved[proxy];
                daemons[proxy].reload(config(proxy, new HybridSimulation.ListUpdate(0, true, List.of())));
            }
        } catch (IOException e) {
            failures.add("client proxy " + proxy + " could not be sent its new configuration: " + e.getMessage());
        }
    }

    @Override
    public void send(HybridSimulation.Outgoing request) {
        clients.send(request, openOnly[request.proxy()]);
    }

    @Override
    public void disconnectClient(int proxy, String id) {
        clients.abandon(id);
    }

    @Override
    public void addressChanged(int address) {
        servers.applyBehaviour(address);
    }

    @Override
    public void resetConnections(int address) {
        servers.reset(address);
    }
}
