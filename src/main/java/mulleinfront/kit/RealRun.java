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
import mulleinfront.emulator.Chance;
import mulleinfront.emulator.DatagramFaults;
import mulleinfront.emulator.FleetAuditor;
import mulleinfront.emulator.FleetReport;
import mulleinfront.emulator.HybridSimulation;
import mulleinfront.emulator.PeerFaults;
import mulleinfront.emulator.Scenario;
import mulleinfront.emulator.World;
import mulleinfront.fleet.FleetSettings;
import mulleinfront.settings.BadFileException;
import mulleinfront.settings.Range;
import mulleinfront.settings.Version;

/** One scenario on real sockets against client proxies that run as processes. Played once. */
public final class RealRun implements HybridSimulation.ExternalProxies {
    /** Protocol: each time limit is 50 ms longer on sockets. */
    private static final long SLACK_US = 50_000;
    /** What the judge of the fleet grants for processes that wait for a core, microseconds. */
    private static final long JUDGE_SLACK_US = 2_000_000;

    private static final long READY_MS = 60_000;
    private static final long READY_POLL_MS = 20;
    private static final long END_MS = 10_000;
    /** Growth of descriptors from quarter to quarter, in all of the first three, that is a leak. */
    private static final double LEAK = 1.15;

    private static final int LEAK_LEAST = 16;
    private static final long SAMPLE_MS = 250;
    private static final int QUARTERS = 4;
    /** Memory that one client proxy may come to need. */
    private static final long PROXY_KB = 192 * 1024;

    private final Scenario scenario;
    private final long seed;
    private final String command;
    private final Path root;
    private final Path folder;
    private final Consumer<String> progress;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HybridSimulation stage;
    private final WorldClock clock;
    private final Places places;
    private final StandInServers servers;
    private final StandInDiscovery discovery;
    private final ClientDriver clients;
    /** What stands between client proxies, and what was done and said there; null where they do not know each other. */
    private final PeerRelay relay;

    private final FleetTimeline timeline;
    private final Path fleetFile;
    /** The present process of each client proxy; set on the event loop, or before that runs. */
    private final DaemonProcess[] daemons;
    /** Whether clients send to it; on the event loop. */
    private final boolean[] up;
    /** Whether it is ending and takes no new connections, while those that are open are used on; on the event loop. */
    private final boolean[] openOnly;
    /** Whether its discovery is at the second address; on the event loop. */
    private final boolean[] moved;
    /** How long one that was killed stays away; on the event loop. */
    private final long[] away;

    private final List<String> failures = Collections.synchronizedList(new ArrayList<>());
    private final List<List<DaemonProcess.Sample>> samples = new ArrayList<>();
    private volatile boolean interrupted;
    /** When what follows is no longer judged, milliseconds since 1970. */
    private volatile long endedAtMs;

    private boolean playing;
    private volatile boolean ending;
    private long readyMs = READY_MS;
    private long endMs = END_MS;
    private boolean anyVersion;

    /**
     * @param command starts one client proxy, by {@code /bin/sh -c} from {@code root}; its last word should be an
     *        {@code exec}, or signals reach the shell
     * @param folder for configurations and logs
     * @param progress told of each step in a line
     * @throws BadFileException if the scenario needs more than this machine has
     */
    public RealRun(Scenario scenario, long seed, String command, Path root, Path folder, Consumer<String> progress)
            throws BadFileException, IOException {
        this.scenario = scenario;
        this.seed = seed;
        this.command = command;
        this.root = root;
        this.folder = folder;
        this.progress = progress;
        checkRoom(scenario);
        Files.createDirectories(folder);
        this.places = new Places();
        this.daemons = new DaemonProcess[scenario.proxies().count()];
        this.up = new boolean[daemons.length];
        this.openOnly = new boolean[daemons.length];
        this.away = new long[daemons.length];
        this.moved = new boolean[daemons.length];
        this.stage = new HybridSimulation(scenario, seed, SLACK_US, this);
        this.clock = new WorldClock(group.next(), stage);
        this.servers = new StandInServers(clock, stage, places, daemons.length);
        this.discovery = new StandInDiscovery(clock, stage, places, scenario);
        this.clients = new ClientDriver(clock, stage, places, scenario);
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
                    + JUDGE_SLACK_US;
            this.timeline = new FleetTimeline(daemons.length, bound);
            DatagramFaults troubles = new DatagramFaults(Chance.of(seed, "datagrams"));
            this.relay = new PeerRelay(group.next(), places, daemons.length, troubles, timeline::cut);
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

    private static void checkRoom(Scenario scenario) throws BadFileException {
        int proxies = scenario.proxies().count();
        long availableKb = availableKb();
        if (proxies > Places.MOST_PROXIES) {
            throw new BadFileException(
                    scenario.name() + ": needs " + proxies + " client proxies as processes, and a run"
                            + " on sockets has " + Places.MOST_PROXIES + " at most; emulate plays it on virtual time");
        }
        if (proxies * PROXY_KB > availableKb) {
            throw new BadFileException(scenario.name() + ": needs " + proxies * PROXY_KB / 1024 + " MB for " + proxies
                    + " client proxies, and this machine has " + availableKb / 1024 + " MB left");
        }
        if (scenario.faults().stream().anyMatch(f -> f.kind() == Scenario.Kind.CLOCK)) {
            throw new BadFileException(scenario.name()
                    + ": clocks of processes can't be made to jump; emulate plays it on" + " virtual time");
        }
        if (scenario.peers() != null && scenario.peers().plain()) {
            throw new BadFileException(scenario.name() + ": peers.detector: processes have the full one alone");
        }
        if (scenario.fleet() * proxies > Places.MOST_SERVERS / 4) {
            throw new BadFileException(scenario.name() + ": needs " + scenario.fleet() * proxies + " listeners, an"
                    + " address of each server for each client proxy; " + Places.MOST_SERVERS / 4 + " at most");
        }
    }

    private static long availableKb() {
        return memoryKb("MemAvailable:");
    }

    /** A figure of this machine's memory, kilobytes; the largest there is where it is not told. */
    static long memoryKb(String field) {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/meminfo"))) {
                if (line.startsWith(field)) {
                    return Long.parseLong(line.replaceAll("[^0-9]", ""));
                }
            }
        } catch (IOException e) {
            // Not told: then it is not bounded here.
        }
        return Long.MAX_VALUE;
    }

    /** Plays it to its end, or until {@link #interrupt}; no process is left when it returns. */
    public KitResult play() throws IOException, InterruptedException {
        String version = Version.OWN;
        World.Result result = null;
        try {
            version = begin();
            if (failures.isEmpty() && (anyVersion || version.equals(Version.OWN))) {
                onLoop(() -> {
                    playing = true;
                    Arrays.fill(up, true);
                    clock.start();
                    return null;
                });
                watch();
                endedAtMs = System.currentTimeMillis();
                result = onLoop(() -> {
                    World.Result r = stage.finish();
                    clock.stop();
                    ending = true;
                    return r;
                });
                RuntimeException defect = onLoop(clock::defect);
                if (defect != null) {
                    failures.add("the kit: " + defect + " at " + defect.getStackTrace()[0]);
                }
                if (servers.broken() != null) {
                    failures.add("the kit: " + servers.broken().getMessage());
                }
            }
        } finally {
            endAll(onLoop(() -> {
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
            result = result.withFleet(judged());
        }
        List<KitResult.Quarter> quarters = quarters();
        leaks(quarters);
        return new KitResult(
                result,
                null,
                List.copyOf(failures),
                quarters,
                new double[] {clock.lateMs(50), clock.lateMs(99), clock.lateMs(100)},
                version,
                Version.OWN);
    }

    private FleetReport judged() throws IOException {
        for (int i = 0; i < daemons.length; i++) {
            timeline.read(i, folder.resolve("fleet-n" + i + ".json"));
        }
        FleetAuditor judge = timeline.judged(endedAtMs);
        if (timeline.changes() == 0) {
            failures.add("client proxies kept no event log: is the command that starts them one that knows fleets?");
        }
        return new FleetReport(judge.breaches(), judge.breachCount(), null, daemons.length, stage.endsAt(), true);
    }

    /** Other bounds of the waits for a client proxy to be ready, and to end. */
    RealRun patience(long forReadyMs, long forEndMs) {
        readyMs = forReadyMs;
        endMs = forEndMs;
        return this;
    }

    /** Plays against client proxies of any version. */
    public RealRun anyVersion() {
        anyVersion = true;
        return this;
    }

    /** Ends it early; what was seen until then is reported. */
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

    /** Starts all and waits until they are ready; gives their version. */
    private String begin() throws IOException, InterruptedException {
        if (relay != null) {
            relay.open();
        }
        List<ChannelFuture> bound = new ArrayList<>();
        onLoop(() -> {
            for (int i = 0; i < daemons.length; i++) {
                bound.add(discovery.listen(i, places.discovery(i)));
                bound.add(discovery.listen(i, places.secondDiscovery(i)));
            }
            for (int a = 0; a < scenario.fleet(); a++) {
                servers.changed(a);
            }
            return null;
        });
        for (ChannelFuture f : bound) {
            if (!f.await().isSuccess()) {
                throw new IOException("discovery can't listen: " + f.cause().getMessage());
            }
        }
        for (int i = 0; i < daemons.length; i++) {
            int number = i;
            onLoop(() -> {
                launch(number, stage.begin(number));
                return null;
            });
        }
        progress.accept("waiting for " + daemons.length + " client proxies");
        String version = Version.OWN;
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(readyMs);
        for (DaemonProcess d : daemons) {
            String said = awaitReady(d, () -> System.nanoTime() < until && !interrupted);
            if (said == null) {
                failures.add("client proxy " + d.number() + " never got ready" + (d.alive() ? "" : ": it ended")
                        + (d.lastWords().isEmpty() ? "" : ": " + d.lastWords()));
                return version;
            }
            version = said.equals(Version.OWN) ? version : said;
        }
        return version;
    }

    /** Asks one until it is ready; the version that it says, or null if it ended before or there is no time left. */
    private static String awaitReady(DaemonProcess d, BooleanSupplier timeLeft) throws InterruptedException {
        String said = d.ready();
        while (said == null && d.alive() && timeLeft.getAsBoolean()) {
            Thread.sleep(READY_POLL_MS);
            said = d.ready();
        }
        return said;
    }

    private void watch() throws InterruptedException {
        long length = stage.endsAt();
        long said = 0;
        for (long now; (now = clock.now()) < length && !interrupted; ) {
            List<DaemonProcess.Sample> all = new ArrayList<>();
            for (DaemonProcess d : daemons) {
                all.add(d.sample());
            }
            samples.add(all);
            if (now / 10_000_000 > said) {
                said = now / 10_000_000;
                progress.accept(String.format(Locale.ROOT, "%d of %d s", now / 1_000_000, length / 1_000_000));
            }
            Thread.sleep(Math.min(SAMPLE_MS, Math.max(1, (length - now) / 1000)));
        }
    }

    private List<KitResult.Quarter> quarters() {
        List<KitResult.Quarter> all = new ArrayList<>();
        int each = samples.size() / QUARTERS;
        for (int q = 0; q < QUARTERS && each > 1; q++) {
            List<List<DaemonProcess.Sample>> part = samples.subList(q * each, (q + 1) * each);
            int descriptors = 0;
            long kb = 0;
            for (List<DaemonProcess.Sample> at : part) {
                for (DaemonProcess.Sample s : at) {
                    descriptors = s == null ? descriptors : Math.max(descriptors, s.descriptors());
                    kb = s == null ? kb : Math.max(kb, s.residentKb());
                }
            }
            double cpu = 0;
            int counted = 0;
            for (int i = 0; i < daemons.length; i++) {
                DaemonProcess.Sample from = part.get(0).get(i);
                DaemonProcess.Sample to = part.get(each - 1).get(i);
                if (from != null && to != null && to.cpuMs() >= from.cpuMs()) {
                    cpu += (to.cpuMs() - from.cpuMs()) / (double) (SAMPLE_MS * (each - 1));
                    counted++;
                }
            }
            all.add(new KitResult.Quarter(descriptors, kb, counted == 0 ? 0 : cpu / counted));
        }
        return all;
    }

    /** The last quarter holds the time after the load; growth in each of those before it is none of the load's doing. */
    private void leaks(List<KitResult.Quarter> q) {
        boolean grows = q.size() == QUARTERS;
        for (int i = 1; grows && i < QUARTERS - 1; i++) {
            grows = q.get(i).descriptors() > LEAK * q.get(i - 1).descriptors() + LEAK_LEAST;
        }
        if (grows) {
            failures.add("client proxies leak: at most " + q.get(0).descriptors() + ", "
                    + q.get(1).descriptors() + ", " + q.get(2).descriptors()
                    + " descriptors in the first three quarters of the run");
        }
    }

    private void endAll(List<DaemonProcess> all) throws InterruptedException {
        all.forEach(DaemonProcess::end);
        for (DaemonProcess d : all) {
            if (!d.ended(endMs)) {
                failures.add("client proxy " + d.number() + " did not end within " + endMs / 1000 + " s of SIGTERM");
            }
        }
        all.forEach(DaemonProcess::kill);
    }

    // ---- what the world does; on the event loop --------------------------------------------------------

    private void launch(int proxy, HybridSimulation.ListUpdate known) throws IOException {
        known.servers().forEach(s -> servers.changed(s.address()));
        DaemonProcess d = new DaemonProcess(proxy, command, root, folder, config(proxy, known), places.daemon(proxy));
        daemons[proxy] = d;
        openOnly[proxy] = false;
        d.onExit(code -> clock.loop.execute(() -> exited(d, code)));
    }

    private String config(int proxy, HybridSimulation.ListUpdate known) throws IOException {
        return DaemonProcess.config(
                scenario,
                proxy,
                seed * 1_000_003 + proxy,
                places.daemon(proxy),
                moved[proxy] ? places.secondDiscovery(proxy) : places.discovery(proxy),
                discovery.line(proxy, known),
                relay == null
                        ? null
                        : new DaemonProcess.Peering(
                                places.peerListen(proxy),
                                IntStream.range(0, daemons.length)
                                        .mapToObj(other -> places.peer(proxy, other))
                                        .toList(),
                                fleetFile));
    }

    private void exited(DaemonProcess d, int code) {
        // Before the world begins the one who waits for it to be ready says so.
        if (ending || !playing || daemons[d.number()] != d) {
            return;
        }
        if (!d.told()) {
            failures.add("client proxy " + d.number() + " ended by itself, exit code " + code
                    + (d.lastWords().isEmpty() ? "" : ": " + d.lastWords()));
        }
        up[d.number()] = false;
        if (timeline != null) {
            timeline.ended(d.number());
        }
        clock.run(() -> stage.ended(d.number(), d.killed(), () -> relaunch(d.number(), away[d.number()])));
    }

    private void relaunch(int proxy, long awayUs) {
        away[proxy] = 0;
        if (awayUs > 0) {
            clock.loop.schedule(() -> relaunch(proxy, 0), awayUs, TimeUnit.MICROSECONDS);
            return;
        }
        if (ending) {
            return;
        }
        try {
            launch(proxy, stage.begin(proxy));
            DaemonProcess d = daemons[proxy];
            Thread waits = new Thread(() -> becomeReady(d), "ready");
            waits.setDaemon(true);
            waits.start();
        } catch (IOException e) {
            failures.add("client proxy " + proxy + " could not be started again: " + e.getMessage());
        }
    }

    /** Protocol: the application begins to send once its client proxy has said that it is ready. */
    private void becomeReady(DaemonProcess d) {
        try {
            if (awaitReady(d, () -> !ending) != null) {
                clock.loop.execute(() -> up[d.number()] = daemons[d.number()] == d);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public boolean running(int proxy) {
        return up[proxy];
    }

    @Override
    public void kill(int proxy, long awayUs) {
        up[proxy] = false;
        away[proxy] = awayUs;
        daemons[proxy].kill();
    }

    @Override
    public void pause(int proxy, long us) {
        DaemonProcess d = daemons[proxy];
        stands(d, true);
        clock.loop.schedule(() -> stands(d, false), us, TimeUnit.MICROSECONDS);
    }

    private void stands(DaemonProcess d, boolean still) {
        try {
            if (!d.alive()) {
                return;
            }
            if (timeline != null) {
                timeline.stands(d.number(), still);
            }
            d.stands(still);
        } catch (IOException e) {
            failures.add("client proxy " + d.number() + " could not be stopped or set going again: " + e.getMessage());
        }
    }

    @Override
    public PeerFaults peerFaults() {
        return relay;
    }

    @Override
    public void end(int proxy) {
        DaemonProcess d = daemons[proxy];
        if (timeline != null) {
            timeline.leaves(proxy);
        }
        d.end();
        clock.loop.schedule(
                () -> {
                    openOnly[proxy] |= daemons[proxy] == d;
                },
                scenario.proxies().lateCallsUs(),
                TimeUnit.MICROSECONDS);
        clock.loop.schedule(
                () -> {
                    if (daemons[proxy] == d && d.alive() && !ending) {
                        failures.add("client proxy " + proxy + " was still there "
                                + scenario.proxies().killAfterUs() / 1000 + " ms after SIGTERM");
                        d.kill();
                    }
                },
                scenario.proxies().killAfterUs(),
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void floodConnections(int proxy, int connections, long forUs) {
        if (up[proxy]) {
            clients.crowd(proxy, connections, forUs);
        }
    }

    @Override
    public void reload(int proxy) {
        try {
            if (up[proxy]) {
                moved[proxy] = !moved[proxy];
                daemons[proxy].reload(config(proxy, new HybridSimulation.ListUpdate(0, true, List.of())));
            }
        } catch (IOException e) {
            failures.add("client proxy " + proxy + " could not be told of its configuration: " + e.getMessage());
        }
    }

    @Override
    public void send(HybridSimulation.Outgoing request) {
        clients.send(request, openOnly[request.proxy()]);
    }

    @Override
    public void leave(int proxy, String id) {
        clients.leave(id);
    }

    @Override
    public void changed(int address) {
        servers.changed(address);
    }

    @Override
    public void reset(int address) {
        servers.reset(address);
    }
}
