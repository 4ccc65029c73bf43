package mulleinfront.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import mulleinfront.Balancer;
import mulleinfront.Balancer.Effect;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.Balancer.Source;
import mulleinfront.core.AgentBackoff;
import mulleinfront.core.Core;
import mulleinfront.core.LifecycleState;
import mulleinfront.core.Metrics;
import mulleinfront.core.Time;
import mulleinfront.core.UnservedCounts;
import mulleinfront.core.Wire;
import mulleinfront.follow.ConfigWatcher;
import mulleinfront.gossip.Membership;
import mulleinfront.manage.CommandHandler;
import mulleinfront.manage.ManagementServer;
import mulleinfront.settings.Config;
import mulleinfront.settings.ControlFile;
import mulleinfront.settings.FleetFile;
import mulleinfront.settings.Listing;

/**
 * A client proxy on sockets: a {@link Core} whose time is an event loop's and whose wire are connections.
 * The one event-loop thread owns all of it, so nothing here is locked and nothing may block.
 */
public final class ClientProxy {
    /**
     * Descriptors that the process needs for itself: some 20 for the JVM, selector, listener and watch, and
     * as many that have been accepted or closed but not counted yet. Of the rest clients have one half and
     * connections to hosts, of which a client's request has one at most, the other.
     */
    static final int OWN_SOCKETS = 48;
    /** And for each further event loop: its selector and wake-up, listener, watch, and what is not counted yet. */
    static final int LOOP_SOCKETS = 16;
    /** After SIGTERM there is time for the longest deadline, this at most, and a little more. */
    private static final long MOST_END_US = 3_000_000;

    private static final long LAST_US = 600_000;
    /** How long an address may be in use by another before that is an error, and how often it is tried. */
    private static final long BIND_MS = 3_000;

    private static final long BIND_AGAIN_MS = 20;
    /** How long a start waits for the agent that pushes lists before it goes by the list of its configuration. */
    private static final long AGENT_WAIT_MS = 1_500;
    /** Metrics go into the log this often at most, seconds. */
    private static final long METRICS_S = 10;

    static final Upstream.Answer NO_BODY = new Upstream.Answer(new byte[0], null, null);

    private final Config config;
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final Clock clock = new Clock();
    private final Upstream upstream;
    private final Discovery discovery;
    private final Frontend frontend;
    private final Core<Call, Upstream.Answer> core;
    private final Map<String, Integer> classes = new HashMap<>();
    private final LifecycleState standing;
    private final Metrics metrics = new Metrics();
    private final AgentBackoff agent = new AgentBackoff();
    private final EventLog log;
    private String loggedMetrics = metrics.summary();
    /** A listening socket that the platform handed over, until it is taken up. */
    private ServerSocketChannel inherited;

    private Channel management;
    private UnservedCounts refusals;
    /** What it is in a fleet; null while it is in none, and then nothing of that is loaded. */
    private Membership membership;
    /** The fleet's configuration; null while it is not watched, and then nothing of that is loaded. */
    private ConfigWatcher following;
    /** Where discovery is by this process's own configuration. */
    private InetSocketAddress ownDiscovery;

    private ClientProxy(Config config, EventLoopGroup group) {
        this.config = config;
        this.ownDiscovery = config.discovery();
        this.group = group;
        this.loop = group.next();
        this.log = new EventLog(config.settings().instanceNumber());
        this.standing = new LifecycleState(log::state);
        int half = Math.max(1, (config.sockets() - OWN_SOCKETS) / 2);
        this.upstream = new Upstream(
                loop, config.dialTimeoutUs(), config.settings().limits().connIdleUs(), half, this::mostIdle, metrics);
        this.core = new Core<>(config.settings(), new LoopTime(), new Sockets(), ClientProxy::defect, metrics);
        this.discovery = new Discovery(config, loop, upstream, log, metrics.discovery, new Discovery.Listener() {
            @Override
            public void listed(Source source, List<Endpoint> endpoints) {
                core.onEndpointList(source, endpoints);
                standing.endpointsListed(discovery.holdsList());
                adopt();
            }

            @Override
            public void failed(boolean unreachable) {
                askAgain(() -> core.discoveryFailed(unreachable), agent.delayAfterCallUs());
            }

            @Override
            public void lost(long silentUs) {
                askAgain(() -> core.watchLost(silentUs), agent.delayAfterWatchUs());
            }

            @Override
            public void ended() {
                askAgain(core::watchEnded, agent.delayAfterWatchUs());
            }

            @Override
            public void calledElsewhere(long movedAgoUs) {
                core.discoveryMoved(movedAgoUs);
            }
        });
        this.frontend = new Frontend(this, standing, loop, half, metrics);
        List<RequestClass> all = config.settings().classes();
        for (int i = 0; i < all.size(); i++) {
            classes.put(all.get(i).name(), i);
        }
    }

    /** The event loop's timers, on the module's clock. */
    private final class LoopTime implements Time {
        @Override
        public long now() {
            return clock.now();
        }

        @Override
        public Timer after(long delayUs, Runnable task) {
            ScheduledFuture<?> timer = loop.schedule(task, delayUs, TimeUnit.MICROSECONDS);
            return () -> timer.cancel(false);
        }
    }

    /** Attempts and probes on connections, lists from the watch. */
    private final class Sockets implements Wire<Call, Upstream.Answer> {
        @Override
        public Attempt attempt(
                String requestId,
                int number,
                String hostId,
                Call call,
                long timeoutUs,
                BooleanSupplier wanted,
                AttemptListener<Upstream.Answer> end) {
            Upstream.Host host = discovery.host(hostId);
            return host == null ? null : upstream.attempt(host, call, timeoutUs, wanted, end);
        }

        @Override
        public void probe(String hostId, AttemptListener<Upstream.Answer> end) {
            Upstream.Host host = discovery.host(hostId);
            if (host == null) {
                end.ended(Outcome.IGNORED, null);
            } else {
                upstream.attempt(host, Call.health(), config.dialTimeoutUs(), () -> true, end)
                        .start();
            }
        }

        @Override
        public void subscribe(long patienceUs) {
            discovery.watch(patienceUs);
        }

        @Override
        public void onListExpired(Balancer.ListExpiryReason bound) {
            log.listOverdue(bound);
        }
    }

    private int mostIdle() {
        return core.maxIdleConnections();
    }

    private static void defect(Throwable e) {
        // Exceptions thrown often come without a trace.
        System.err.println("mulleinfront: " + e
                + Arrays.stream(e.getStackTrace())
                        .limit(1)
                        .map(at -> " at " + at)
                        .collect(Collectors.joining()));
    }

    /** Starts to serve; returns once it listens. */
    public static ClientProxy start(Config config) throws Exception {
        return start(config, null, begun -> {});
    }

    /**
     * Starts to serve; returns once it listens.
     *
     * @param inherited the listening socket of the configuration's address, which others may have too: nothing is
     *        accepted on it before there is a list to serve by; null to listen there anew
     * @param begun told of the client proxy before anybody can connect to it: from then on it may be drained
     */
    public static ClientProxy start(Config config, ServerSocketChannel inherited, Consumer<ClientProxy> begun)
            throws Exception {
        rehearse(config, inherited != null);
        return start(config, Balancer::create, false, inherited, begun);
    }

    /**
     * Starts one client proxy for each configuration, all on the address of the first, which share nothing but the
     * port: the system gives each new connection to one of them. Each counts as an instance to its module.
     *
     * @param begun as for one
     */
    public static List<ClientProxy> startAll(List<Config> configs, Consumer<ClientProxy> begun) throws Exception {
        rehearse(configs.get(0), false);
        List<ClientProxy> all = new ArrayList<>();
        try {
            for (Config config : configs) {
                all.add(start(
                        all.isEmpty() ? config : config.on(all.get(0).port()), Balancer::create, true, null, begun));
            }
            return all;
        } catch (Exception e) {
            all.forEach(ClientProxy::drain);
            throw e;
        }
    }

    /**
     * Is its own host for a moment, and not ready; ends before the real one begins.
     *
     * @param held whether others serve at the clients' address now: then it is at the operators', where they are told
     *        that it starts
     */
    private static void rehearse(Config config, boolean held) throws Exception {
        if (!Rehearsal.pays(config)) {
            return;
        }
        Rehearsal.decide(config.settings());
        InetSocketAddress at = held ? config.management() : config.listen();
        if (at == null) {
            return;
        }
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Channel listener = null;
        ClientProxy proxy = new ClientProxy(config, group);
        try {
            proxy.core.begin((settings, seed, now, actions) -> Rehearsal.module(actions), 0);
            listener = proxy.bound(
                    () -> proxy.frontend.listen(at, false, held ? proxy.new Operated(List.of(proxy)) : null), at);
            proxy.loop
                    .submit(() -> {
                        proxy.discovery.take(Rehearsal.self(at.getAddress(), proxy.port()), Source.FULL);
                        // What listens is no client proxy, whatever its list says.
                        proxy.standing.endpointsListed(false);
                        return new Rehearsal.Rounds(
                                        proxy.loop,
                                        proxy.upstream,
                                        proxy.discovery.host(Rehearsal.SELF),
                                        config.settings().classes().get(0))
                                .next();
                    })
                    .get()
                    .await();
        } finally {
            if (listener != null) {
                // By the loop while it runs: the address is wanted at once.
                listener.close().await();
            }
            proxy.end().await();
        }
    }

    static ClientProxy start(Config config, Core.BalancerFactory maker) throws Exception {
        return start(config, maker, false, null, begun -> {});
    }

    /** One of many in a process, on event loops that they share: {@link SimulatedMembers}. */
    static ClientProxy hollow(Config config, EventLoopGroup shared) throws Exception {
        return start(config, Balancer::create, false, null, begun -> {}, shared);
    }

    private static ClientProxy start(
            Config config,
            Core.BalancerFactory maker,
            boolean shared,
            ServerSocketChannel inherited,
            Consumer<ClientProxy> begun)
            throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            return start(config, maker, shared, inherited, begun, group);
        } catch (Exception e) {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw e;
        }
    }

    private static ClientProxy start(
            Config config,
            Core.BalancerFactory maker,
            boolean shared,
            ServerSocketChannel inherited,
            Consumer<ClientProxy> begun,
            EventLoopGroup group)
            throws Exception {
        ClientProxy proxy = new ClientProxy(config, group);
        begun.accept(proxy);
        proxy.loop.submit(() -> proxy.begin(maker, inherited)).get();
        if (inherited == null) {
            proxy.bound(() -> proxy.frontend.listen(config.listen(), shared, null), config.listen());
            proxy.standing.listening();
        }
        System.err.println("mulleinfront: listening on " + NetUtil.toSocketAddressString(config.listen()));
        return proxy;
    }

    /**
     * Listens, also where the address is in use for another moment: at a restart by the process before, say. One that
     * ended because of it would be a crash.
     */
    private Channel bound(Supplier<ChannelFuture> listen, InetSocketAddress address) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BIND_MS);
        for (boolean first = true; ; first = false) {
            ChannelFuture binding = loop.submit(listen::get).get().await();
            if (binding.isSuccess()) {
                return binding.channel();
            }
            String why = "can't listen on " + NetUtil.toSocketAddressString(address) + ": "
                    + binding.cause().getMessage();
            if (!(binding.cause() instanceof BindException) || System.nanoTime() > end) {
                throw new IOException(why);
            }
            if (first) {
                System.err.println("mulleinfront: " + why + "; trying on");
            }
            Thread.sleep(BIND_AGAIN_MS);
        }
    }

    /** Takes up the inherited socket once there is a list: until then its clients wait for whoever else has it. */
    private void adopt() {
        if (inherited != null && standing.ready()) {
            frontend.adopt(inherited);
            inherited = null;
            standing.listening();
        }
    }

    /**
     * Opens the operators' door of a process at the first one's {@code management} address, if it has one.
     *
     * @param proxies all of the process, which are operated as one
     */
    public static void operate(List<ClientProxy> proxies) throws Exception {
        ClientProxy first = proxies.get(0);
        InetSocketAddress at = first.config.management();
        if (at != null) {
            proxies.forEach(ClientProxy::countRefusals);
            Operated process = first.new Operated(proxies);
            first.management = first.bound(
                    () -> ManagementServer.listen(first.loop, at, Upstream.BUFFERS, new CommandHandler(process)), at);
        }
    }

    /** Makes it a member of a fleet; others hear of it as soon as its address can be had. */
    public void join(FleetFile file) throws IOException {
        membership = Membership.join(loop, Upstream.BUFFERS, clock::now, config.seed(), file, core::setLiveInstances);
    }

    /** Says to the fleet that it goes, if it is in one. */
    void leaveFleet() {
        if (membership != null) {
            loop.execute(membership::leave);
        }
    }

    /**
     * Watches the fleet's configuration for all client proxies of a process. Of its keys one has an effect: {@code
     * discovery} moves the watch of hosts, as a change of the process's own configuration does; the last word counts.
     */
    public void follow(ControlFile file, String name, List<ClientProxy> all) throws IOException {
        String[] before = {null};
        following = new ConfigWatcher(loop, Upstream.BUFFERS, file, name, config.seed(), (version, how) -> {
            System.err.println("mulleinfront: configuration version " + version.number() + " in force, " + how);
            String now = version.entries().get("discovery");
            if (!Objects.equals(now, before[0])) {
                before[0] = now;
                all.forEach(p -> p.move(now));
            }
        });
        following.start();
    }

    /** Told no place, it goes back to the one of its own configuration. */
    private void move(String to) {
        loop.execute(() -> {
            try {
                InetSocketAddress address = to == null ? ownDiscovery : Listing.address(to);
                moveTo(address);
            } catch (IOException e) {
                System.err.println("mulleinfront: discovery stays where it is: " + e.getMessage());
            }
        });
    }

    /** Only where somebody may ask: nothing of it is loaded elsewhere. */
    private void countRefusals() {
        refusals = new UnservedCounts(config.settings().classes());
        loop.execute(() -> core.observe(refusals));
    }

    /** What operators call, for all client proxies of a process. */
    private final class Operated implements CommandHandler.Process {
        private final List<ClientProxy> all;

        Operated(List<ClientProxy> all) {
            this.all = all;
        }

        @Override
        public boolean takesClients() {
            return all.stream().allMatch(p -> p.standing.acceptsClients());
        }

        @Override
        public String standing() {
            return standing.stateName();
        }

        @Override
        public String metrics() {
            return all.stream().map(p -> p.metrics.summary()).collect(Collectors.joining("; "));
        }

        /** Counters of other event loops are read as they are at some moment of late. */
        @Override
        public String refusals() {
            UnservedCounts sum = new UnservedCounts(config.settings().classes());
            all.stream().filter(p -> p.refusals != null).forEach(p -> sum.add(p.refusals));
            return sum.summary();
        }

        @Override
        public void quiesce() {
            each(p -> p.standing.quiesce());
        }

        @Override
        public void resume() {
            each(p -> p.standing.resume());
            if (membership != null) {
                membership.rejoin();
            }
        }

        @Override
        public String members() {
            return membership == null ? null : membership.members();
        }

        @Override
        public boolean leave() {
            boolean may = standing.closesConnections();
            if (may) {
                membership.leave();
            }
            return may;
        }

        @Override
        public boolean watch(Consumer<String> lines) {
            return membership != null && membership.watch(lines);
        }

        @Override
        public void unwatch(Consumer<String> lines) {
            membership.unwatch(lines);
        }

        /** At once for the one that owns the door, so that its answer tells what holds. */
        private void each(Consumer<ClientProxy> what) {
            for (ClientProxy p : all) {
                if (p.loop.inEventLoop()) {
                    what.accept(p);
                } else {
                    p.loop.execute(() -> what.accept(p));
                }
            }
        }
    }

    private void begin(Core.BalancerFactory maker, ServerSocketChannel handedOver) {
        inherited = handedOver;
        log.started(config.settings());
        metrics.guard.listen(log::violation);
        upstream.begin();
        core.begin(maker, config.seed());
        loop.scheduleWithFixedDelay(this::logMetrics, METRICS_S, METRICS_S, TimeUnit.SECONDS);
        if (config.settings().subscribe()) {
            goByKnown();
        } else {
            // What the agent has counts as told from the first moment on, and the list of the configuration may be old:
            // that one is for an agent that is silent, since it has learnt nothing then.
            discovery.watch(Wire.CALL_TIMEOUT_US);
            loop.schedule(this::goByKnown, AGENT_WAIT_MS, TimeUnit.MILLISECONDS);
        }
        core.processQueue();
    }

    /** Only what has changed since the last line. */
    private void logMetrics() {
        String now = metrics.summary();
        if (!now.equals(loggedMetrics)) {
            loggedMetrics = now;
            log.metrics(now);
        }
    }

    private void goByKnown() {
        if (config.known() != null && !discovery.hasHeard()) {
            discovery.take(config.known(), Source.CACHED);
        }
    }

    /** Serves to the end what clients have sent or are about to; the future is done when all has ended. */
    public Future<?> drain() {
        System.err.println("mulleinfront: told to end; finishing what is open");
        leaveFleet();
        loop.execute(() -> frontend.drain(() -> {
            discovery.stop();
            if (management != null) {
                management.close();
            }
            end();
        }));
        return group.terminationFuture();
    }

    /**
     * Closes everything and ends the event loop. An event loop that is told to end while it runs a task does
     * not close what is registered with it: those connections would stay open, with nobody at this end, as
     * long as the process.
     */
    private Future<?> end() {
        loop.execute(() -> {
            logMetrics();
            frontend.close();
            upstream.close();
            if (membership != null) {
                membership.close();
            }
            if (following != null) {
                following.close();
            }
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        });
        return group.terminationFuture();
    }

    /**
     * Takes up what may change while it serves: where discovery is. The rest of a configuration holds from
     * start to end.
     */
    public void reload(Config changed) {
        loop.execute(() -> {
            ownDiscovery = changed.discovery();
            moveTo(ownDiscovery);
        });
    }

    private void moveTo(InetSocketAddress address) {
        core.run(() -> discovery.move(address, config.settings().subscribe() ? core.moveDelayUs() : 0));
    }

    /** The port it listens on. */
    public int port() {
        return frontend.port();
    }

    /** The port at which operators call it; only where there is a door. */
    int managementPort() {
        return ((InetSocketAddress) management.localAddress()).getPort();
    }

    long now() {
        return clock.now();
    }

    /** The process that it is in started so long ago, microseconds. */
    void processStarted(long agoUs) {
        loop.execute(() -> core.processStarted(agoUs));
    }

    /** Where discovery is asked, by the module's word. */
    private void askAgain(Runnable tell, long agentDelayUs) {
        if (config.settings().subscribe()) {
            tell.run();
        } else {
            loop.schedule(() -> discovery.watch(Wire.CALL_TIMEOUT_US), agentDelayUs, TimeUnit.MICROSECONDS);
        }
    }

    // ---- clients -------------------------------------------------------------------------------------

    /**
     * Takes a request that is as the protocol says, and answers for it at once if it is not.
     *
     * @param body all of it, or its beginning
     * @param rest what follows the beginning while it comes; null if nothing does
     */
    void take(Frontend.Client client, HttpRequest in, byte[] body, Flow rest, long at) {
        HttpHeaders h = in.headers();
        String id = single(h, "X-Request-Id");
        Integer classIndex = classes.get(single(h, "X-Class"));
        long deadlineMs = Framing.number(single(h, Call.DEADLINE));
        String tenantName = single(h, "X-Tenant");
        int tenant = tenantName == null ? -1 : config.tenants().indexOf(tenantName);
        boolean known = !h.contains("X-Tenant") || config.tenants().isEmpty() || tenant >= 0;
        boolean fresh = id != null && !id.isEmpty() && !core.isOpen(id);
        if (!fresh
                || classIndex == null
                || deadlineMs < 1
                || !known
                || config.settings().classes().get(classIndex).effect() != shown(in, body)) {
            client.answer(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        String key = single(h, "X-Key");
        if (key == null && h.contains("X-Key")) {
            key = String.join(",", h.getAll("X-Key"));
        }
        Call call = Call.of(in, body);
        core.accept(
                client,
                id,
                classIndex,
                key,
                deadlineMs,
                at,
                Math.max(0, Framing.number(h.get("X-Cost-Hint"))),
                tenant,
                "1".equals(h.get("X-Retry")),
                rest == null ? call : call.with(rest, deadlineMs),
                rest != null);
    }

    /** The last byte of a request that went on while it came has been read. */
    void whole(Core.RequestHandle<Call, Upstream.Answer> x) {
        core.requestComplete(x);
    }

    /**
     * The process is killed when the longest deadline and a little more is over: by then all is answered.
     *
     * @return the time until then, microseconds
     */
    long ending() {
        long longest = config.settings().classes().stream()
                .mapToLong(RequestClass::deadlineUs)
                .max()
                .orElse(0);
        long left = Math.min(MOST_END_US, longest) + LAST_US;
        core.setShutdownDeadline(clock.now() + left);
        return left;
    }

    /** When the time of a request's client is up, microseconds on the clock of {@link #now}. */
    long timeOf(Core.RequestHandle<Call, Upstream.Answer> x) {
        return core.timeLimitOf(x);
    }

    /** When whoever is refused for what it sent ahead may come again, microseconds; 0: no advice. */
    long comeBackUs() {
        return config.settings().limits().maxRetryAfterUs();
    }

    /** The client closed its connection. */
    void gone(Core.RequestHandle<Call, Upstream.Answer> x) {
        core.abandoned(x);
    }

    /** What the method and its headers say of a repeat; null if they say nothing that the protocol knows. */
    private static Effect shown(HttpRequest in, byte[] body) {
        Iterator<String> given = in.headers().valueStringIterator("Idempotency-Key");
        boolean keyed = given.hasNext() && given.next() != null;
        if (given.hasNext() || !printable(in.uri())) {
            return null;
        }
        return switch (in.method().name()) {
            case "GET" -> body.length == 0 && !keyed ? Effect.RETRYABLE : null;
            case "POST" -> keyed ? Effect.DEDUP : Effect.FRAGILE;
            default -> null;
        };
    }

    private static boolean printable(String uri) {
        for (int i = 0; i < uri.length(); i++) {
            if (uri.charAt(i) <= ' ' || uri.charAt(i) >= 0x7f) {
                return false;
            }
        }
        return true;
    }

    /** The value of a header that comes once; null if it is missing or repeated: no reader is to choose. */
    private static String single(HttpHeaders headers, CharSequence name) {
        Iterator<String> values = headers.valueStringIterator(name);
        String first = values.hasNext() ? values.next() : null;
        return values.hasNext() ? null : first;
    }
}
