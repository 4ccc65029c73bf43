package mulleinfront.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
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
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import mulleinfront.Balancer;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.Balancer.Source;
import mulleinfront.core.AgentBackoff;
import mulleinfront.core.Core;
import mulleinfront.core.LifecycleState;
import mulleinfront.core.MemoryAccount;
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
import mulleinfront.settings.EndpointList;
import mulleinfront.settings.FleetFile;

/**
 * A client proxy on sockets: a {@link Core} with an event loop's timers and real connections. The event-loop thread
 * owns all of it, so nothing here is locked and nothing may block.
 */
public final class ClientProxy {
    /**
     * Descriptors reserved for the process itself: about 20 for the JVM, selector, listener and watch, and as many
     * again for connections accepted or closed but not counted yet. Clients get half of the rest. Connections to
     * endpoints get the other half, which suffices, since a request uses at most one.
     */
    static final int RESERVED_SOCKETS = 48;
    /**
     * Descriptors reserved for each further event loop: selector, wake-up, listener, watch, and uncounted connections.
     */
    static final int RESERVED_SOCKETS_PER_LOOP = 16;
    /** Limit of the time that requests get after SIGTERM; the longest request deadline if that is shorter. */
    private static final long MAX_SHUTDOWN_US = 3_000_000;
    /** Margin added to the time that requests get after SIGTERM. */
    private static final long SHUTDOWN_MARGIN_US = 600_000;
    /** Time for which binding is retried while the address is in use. */
    private static final long BIND_TIMEOUT_MS = 3_000;

    private static final long BIND_RETRY_MS = 20;
    /** Metrics are logged at this interval if they have changed. */
    private static final long METRICS_INTERVAL_S = 10;

    static final Upstream.Answer EMPTY_ANSWER = new Upstream.Answer(new byte[0], null, null);

    private final Config config;
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final Clock clock = new Clock();
    private final Upstream upstream;
    private final Discovery discovery;
    private final Frontend frontend;
    private final Core<RequestMessage, Upstream.Answer> core;
    private final Map<String, Integer> classIndexes = new HashMap<>();
    private final LifecycleState lifecycle;
    private final Metrics metrics = new Metrics();
    private final AgentBackoff agentBackoff = new AgentBackoff();
    private final EventLog log;
    private final MemoryAccount memory;
    private String loggedMetrics = metrics.summary();
    /** The listening socket that the process inherited, until the proxy accepts on it; else null. */
    private ServerSocketChannel inheritedSocket;

    private Channel management;
    private UnservedCounts unservedCounts;
    /** The fleet membership; null if the proxy is in no fleet, which also keeps its classes from being loaded. */
    private Membership membership;
    /** The configuration watch; null if there is none, which also keeps its classes from being loaded. */
    private ConfigWatcher configWatcher;
    /** The address of discovery in this process's own configuration. */
    private InetSocketAddress configuredDiscovery;

    /**
     * @param processes number of processes that share the platform's memory limit
     */
    private ClientProxy(Config config, EventLoopGroup group, int processes) {
        this.config = config;
        this.configuredDiscovery = config.discovery();
        this.group = group;
        this.loop = group.next();
        this.log = new EventLog(config.settings().instanceNumber());
        this.lifecycle = new LifecycleState(log::stateChanged);
        int socketsPerSide = Math.max(1, (config.maxSockets() - RESERVED_SOCKETS) / 2);
        this.memory = new MemoryAccount(
                MemoryAccount.limitBytes(config.memoryMb(), config.maxSockets(), processes) / config.loops());
        this.upstream = new Upstream(
                loop,
                config.dialTimeoutUs(),
                config.settings().limits().connIdleUs(),
                socketsPerSide,
                this::maxIdleConnections,
                memory,
                metrics);
        this.core = new Core<>(
                config.settings(), new LoopTime(), new SocketWire(), ClientProxy::logUnexpectedException, metrics);
        this.discovery = new Discovery(config, loop, upstream, log, metrics.discovery, new Discovery.Listener() {
            @Override
            public void onList(Source source, List<Endpoint> endpoints) {
                core.onEndpointList(source, endpoints);
                lifecycle.endpointsListed(discovery.hasEndpoints());
                acceptOnInherited();
            }

            @Override
            public void onCallFailed(boolean unreachable) {
                retryDiscovery(() -> core.discoveryFailed(unreachable), agentBackoff.delayAfterCallUs());
            }

            @Override
            public void onWatchLost(long quietUs) {
                retryDiscovery(() -> core.watchLost(quietUs), agentBackoff.delayAfterWatchUs());
            }

            @Override
            public void onWatchEnded() {
                retryDiscovery(core::watchEnded, agentBackoff.delayAfterWatchUs());
            }

            /** The balancer knows of the calls that it decides on. */
            @Override
            public void onCallStarted() {
                if (!config.settings().subscribe()) {
                    core.discoveryCalled();
                }
            }

            @Override
            public void onMoved(long movedAgoUs, long quietUs) {
                core.discoveryMoved(movedAgoUs, quietUs);
            }

            @Override
            public void onTimedOutCallAnswered(long startedAgoUs) {
                core.timedOutCallAnswered(startedAgoUs);
            }
        });
        this.frontend = new Frontend(this, lifecycle, loop, socketsPerSide, memory, metrics);
        List<RequestClass> requestClasses = config.settings().classes();
        for (int i = 0; i < requestClasses.size(); i++) {
            classIndexes.put(requestClasses.get(i).name(), i);
        }
    }

    /** The event loop's timers, on the balancer's clock. */
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

    /** Sends attempts and probes on connections, and takes lists from the discovery watch. */
    private final class SocketWire implements Wire<RequestMessage, Upstream.Answer> {
        @Override
        public Attempt prepareAttempt(
                String requestId,
                int number,
                String hostId,
                RequestMessage message,
                long timeoutUs,
                BooleanSupplier maySend,
                AttemptListener<Upstream.Answer> listener) {
            Upstream.Host host = discovery.host(hostId);
            return host == null ? null : upstream.attempt(host, message, timeoutUs, maySend, listener);
        }

        @Override
        public long requestBytes(RequestMessage message) {
            return message.bytes();
        }

        @Override
        public void probe(String hostId, AttemptListener<Upstream.Answer> listener) {
            Upstream.Host host = discovery.host(hostId);
            if (host == null) {
                listener.ended(Outcome.IGNORED, null);
            } else {
                upstream.attempt(host, RequestMessage.healthProbe(), config.dialTimeoutUs(), () -> true, listener)
                        .start();
            }
        }

        @Override
        public void subscribe(long timeoutUs) {
            discovery.ensureWatch(timeoutUs);
        }

        @Override
        public void onListExpiryChanged(long validForUs, Balancer.ListExpiryReason reason) {
            log.listExpiryChanged(validForUs, reason);
        }

        @Override
        public void onListExpired(Balancer.ListExpiryReason reason) {
            log.listExpired(reason);
        }
    }

    private int maxIdleConnections() {
        return core.maxIdleConnections();
    }

    private static void logUnexpectedException(Throwable exception) {
        FatalErrors.endProcessIfFatal(exception);
        // The JVM omits the stack trace of an exception that is thrown often.
        System.err.println("mulleinfront: " + exception
                + Arrays.stream(exception.getStackTrace())
                        .limit(1)
                        .map(frame -> " at " + frame)
                        .collect(Collectors.joining()));
    }

    /** Starts a client proxy; returns once it listens. */
    public static ClientProxy start(Config config) throws Exception {
        return start(config, null, onCreated -> {});
    }

    /**
     * Starts a client proxy; returns once it listens.
     *
     * @param inheritedSocket the inherited listening socket for the configured address, which other processes may hold
     *     too: nothing is accepted on it before there is an endpoint list; null to open a new socket
     * @param onCreated called with the client proxy before clients can connect to it; from then on it may be drained
     */
    public static ClientProxy start(Config config, ServerSocketChannel inheritedSocket, Consumer<ClientProxy> onCreated)
            throws Exception {
        warmUp(config, inheritedSocket != null);
        return start(config, Balancer::create, false, inheritedSocket, onCreated);
    }

    /**
     * Starts one client proxy for each configuration, all on the address of the first. They share nothing but the port:
     * the operating system assigns each new connection to one of them. Each is an instance of its own to the balancer.
     *
     * @param onCreated called with each client proxy before clients can connect to it; from then on it may be drained
     */
    public static List<ClientProxy> startAll(List<Config> configs, Consumer<ClientProxy> onCreated) throws Exception {
        warmUp(configs.get(0), false);
        List<ClientProxy> proxies = new ArrayList<>();
        try {
            for (Config config : configs) {
                proxies.add(start(
                        proxies.isEmpty()
                                ? config
                                : config.withPort(proxies.get(0).port()),
                        Balancer::create,
                        true,
                        null,
                        onCreated));
            }
            return proxies;
        } catch (Exception e) {
            proxies.forEach(ClientProxy::drain);
            throw e;
        }
    }

    /**
     * Runs the warm-up with a temporary client proxy that is its own only endpoint and not ready. It ends before the
     * real proxy starts.
     *
     * @param addressInUse whether other processes may serve the clients' address: the temporary proxy then listens on
     *     the management address, where it reports that it is starting
     */
    private static void warmUp(Config config, boolean addressInUse) throws Exception {
        if (!WarmUp.isWorthwhile(config)) {
            return;
        }
        WarmUp.exerciseBalancer(config.settings());
        InetSocketAddress address = addressInUse ? config.management() : config.listen();
        if (address == null) {
            return;
        }
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Channel listener = null;
        ClientProxy proxy = new ClientProxy(config, group, 1);
        try {
            proxy.core.createBalancer((settings, seed, now, actions) -> WarmUp.loopbackBalancer(actions), 0);
            listener = proxy.bindWithRetry(
                    () -> proxy.frontend.listen(
                            address, false, addressInUse ? proxy.new ManagedProcess(List.of(proxy)) : null),
                    address);
            proxy.loop
                    .submit(() -> {
                        proxy.discovery.apply(WarmUp.selfListing(address.getAddress(), proxy.port()), Source.FULL);
                        // The temporary proxy must not be ready for clients, although its list has an endpoint.
                        proxy.lifecycle.endpointsListed(false);
                        return new WarmUp.LoopbackRequests(
                                        proxy.loop,
                                        proxy.upstream,
                                        proxy.discovery.host(WarmUp.SELF_ENDPOINT_ID),
                                        config.settings().classes().get(0))
                                .sendNext();
                    })
                    .get()
                    .await();
        } finally {
            if (listener != null) {
                // Closed before the event loop ends, since the real proxy needs the address at once.
                listener.close().await();
            }
            proxy.shutDown().await();
        }
    }

    static ClientProxy start(Config config, Core.BalancerFactory balancerFactory) throws Exception {
        return start(config, balancerFactory, false, null, onCreated -> {});
    }

    /** Starts one of many client proxies that share event loops: see {@link SimulatedMembers}. */
    static ClientProxy startSimulated(Config config, EventLoopGroup sharedGroup) throws Exception {
        return start(config, Balancer::create, false, null, onCreated -> {}, sharedGroup);
    }

    private static ClientProxy start(
            Config config,
            Core.BalancerFactory balancerFactory,
            boolean reusePort,
            ServerSocketChannel inheritedSocket,
            Consumer<ClientProxy> onCreated)
            throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        FatalErrors.endProcessWithLoop(group);
        try {
            return start(config, balancerFactory, reusePort, inheritedSocket, onCreated, group);
        } catch (Exception e) {
            FatalErrors.loopMayEnd(group);
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw e;
        }
    }

    private static ClientProxy start(
            Config config,
            Core.BalancerFactory balancerFactory,
            boolean reusePort,
            ServerSocketChannel inheritedSocket,
            Consumer<ClientProxy> onCreated,
            EventLoopGroup group)
            throws Exception {
        // A listening socket is inherited where the platform upgrades: two processes run under one limit for a while.
        ClientProxy proxy = new ClientProxy(config, group, inheritedSocket == null ? 1 : 2);
        onCreated.accept(proxy);
        proxy.loop.submit(() -> proxy.begin(balancerFactory, inheritedSocket)).get();
        if (inheritedSocket == null) {
            proxy.bindWithRetry(() -> proxy.frontend.listen(config.listen(), reusePort, null), config.listen());
            proxy.lifecycle.listening();
        }
        System.err.println("mulleinfront: listening on " + NetUtil.toSocketAddressString(config.listen()));
        return proxy;
    }

    /**
     * Binds a listener, with retries while the address is in use: at a restart the previous process may hold it for a
     * moment longer, and an exit would count as a crash.
     */
    private Channel bindWithRetry(Supplier<ChannelFuture> bind, InetSocketAddress address) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BIND_TIMEOUT_MS);
        for (boolean first = true; ; first = false) {
            ChannelFuture binding = loop.submit(bind::get).get().await();
            if (binding.isSuccess()) {
                return binding.channel();
            }
            String message = "can't listen on " + NetUtil.toSocketAddressString(address) + ": "
                    + binding.cause().getMessage();
            if (!(binding.cause() instanceof BindException) || System.nanoTime() > endNanos) {
                throw new IOException(message);
            }
            if (first) {
                System.err.println("mulleinfront: " + message + "; retrying");
            }
            Thread.sleep(BIND_RETRY_MS);
        }
    }

    /**
     * Accepts on the inherited socket once there is a list; until then other processes that hold it may serve its
     * clients.
     */
    private void acceptOnInherited() {
        if (inheritedSocket != null && lifecycle.ready()) {
            frontend.acceptOn(inheritedSocket);
            inheritedSocket = null;
            lifecycle.listening();
        }
    }

    /**
     * Opens the management endpoint of a process at the first proxy's {@code management} address, if it has one.
     *
     * @param proxies all client proxies of the process, which are managed as one
     */
    public static void openManagement(List<ClientProxy> proxies) throws Exception {
        ClientProxy first = proxies.get(0);
        InetSocketAddress address = first.config.management();
        if (address != null) {
            proxies.forEach(ClientProxy::countUnserved);
            ManagedProcess process = first.new ManagedProcess(proxies);
            first.management = first.bindWithRetry(
                    () -> ManagementServer.listen(first.loop, address, Upstream.ALLOCATOR, new CommandHandler(process)),
                    address);
        }
    }

    /** Makes the proxy a member of a fleet; the other members learn of it once its address is bound. */
    public void joinFleet(FleetFile file) throws IOException {
        membership = Membership.join(loop, Upstream.ALLOCATOR, clock::now, config.seed(), file, core::setLiveInstances);
    }

    /** Announces to the fleet that this member leaves, if the proxy is in one. */
    void leaveFleet() {
        if (membership != null) {
            loop.execute(membership::leave);
        }
    }

    /**
     * Watches the fleet's configuration for all client proxies of a process. Only its key {@code discovery} has an
     * effect: it moves the discovery watch, as a reload of the process's own configuration does. The latest change of
     * the two applies.
     */
    public void watchConfiguration(ControlFile file, String name, List<ClientProxy> proxies) throws IOException {
        String[] previousDiscovery = {null};
        configWatcher = new ConfigWatcher(loop, Upstream.ALLOCATOR, file, name, config.seed(), (version, origin) -> {
            System.err.println("mulleinfront: configuration version " + version.number() + " in force, " + origin);
            String currentDiscovery = version.entries().get("discovery");
            if (!Objects.equals(currentDiscovery, previousDiscovery[0])) {
                previousDiscovery[0] = currentDiscovery;
                proxies.forEach(proxy -> proxy.moveDiscovery(currentDiscovery));
            }
        });
        configWatcher.start();
    }

    /** Moves to another discovery address; null moves back to the address of the process's own configuration. */
    private void moveDiscovery(String newAddress) {
        loop.execute(() -> {
            try {
                InetSocketAddress address =
                        newAddress == null ? configuredDiscovery : EndpointList.parseAddress(newAddress);
                moveDiscoveryTo(address);
            } catch (IOException invalid) {
                System.err.println("mulleinfront: keeping the current discovery address: " + invalid.getMessage());
            }
        });
    }

    /** Counts unserved requests by reason. Called only where there is a management endpoint to report them. */
    private void countUnserved() {
        unservedCounts = new UnservedCounts(config.settings().classes());
        loop.execute(() -> core.setObserver(unservedCounts));
    }

    /** Handles operators' commands for all client proxies of a process. */
    private final class ManagedProcess implements CommandHandler.Process {
        private final List<ClientProxy> proxies;

        ManagedProcess(List<ClientProxy> proxies) {
            this.proxies = proxies;
        }

        @Override
        public boolean acceptsClients() {
            return proxies.stream().allMatch(proxy -> proxy.lifecycle.acceptsClients());
        }

        @Override
        public String stateName() {
            return lifecycle.stateName();
        }

        @Override
        public String metricsSummary() {
            return proxies.stream().map(proxy -> proxy.metrics.summary()).collect(Collectors.joining("; "));
        }

        /** Counters of other event loops are read without synchronization and may be slightly behind. */
        @Override
        public String unservedSummary() {
            UnservedCounts sum = new UnservedCounts(config.settings().classes());
            proxies.stream()
                    .filter(proxy -> proxy.unservedCounts != null)
                    .forEach(proxy -> sum.add(proxy.unservedCounts));
            return sum.summary();
        }

        @Override
        public void quiesce() {
            forEachProxy(proxy -> proxy.lifecycle.quiesce());
        }

        @Override
        public void resume() {
            forEachProxy(proxy -> proxy.lifecycle.resume());
            if (membership != null) {
                membership.rejoin();
            }
        }

        @Override
        public String fleetMembers() {
            return membership == null ? null : membership.membersJson();
        }

        @Override
        public boolean leaveFleet() {
            boolean allowed = lifecycle.closesConnections();
            if (allowed) {
                membership.leave();
            }
            return allowed;
        }

        @Override
        public boolean subscribe(Consumer<String> lines) {
            return membership != null && membership.watch(lines);
        }

        @Override
        public void unsubscribe(Consumer<String> lines) {
            membership.unwatch(lines);
        }

        /** Acts at once on the proxy of the calling event loop, so that the reply shows the new state. */
        private void forEachProxy(Consumer<ClientProxy> action) {
            for (ClientProxy proxy : proxies) {
                if (proxy.loop.inEventLoop()) {
                    action.accept(proxy);
                } else {
                    proxy.loop.execute(() -> action.accept(proxy));
                }
            }
        }
    }

    private void begin(Core.BalancerFactory balancerFactory, ServerSocketChannel handedOverSocket) {
        inheritedSocket = handedOverSocket;
        log.started(config.settings());
        metrics.ruleGuard.setListener(log::violation);
        upstream.startSweeping();
        core.createBalancer(balancerFactory, config.seed());
        loop.scheduleWithFixedDelay(this::logMetrics, METRICS_INTERVAL_S, METRICS_INTERVAL_S, TimeUnit.SECONDS);
        if (config.settings().subscribe()) {
            applyConfiguredList();
        } else {
            // An agent's list counts as known to the proxy from the start, and the configured list may be older. The
            // configured list is for an agent that does not respond; it expires counted from the start of the process.
            discovery.ensureWatch(Wire.CALL_TIMEOUT_US);
            loop.schedule(this::applyConfiguredList, Wire.AGENT_START_TIMEOUT_US, TimeUnit.MICROSECONDS);
        }
        core.processQueue();
    }

    /** Logs the metrics if they have changed since the last line. */
    private void logMetrics() {
        String current = metrics.summary();
        if (!current.equals(loggedMetrics)) {
            loggedMetrics = current;
            log.metrics(current, memory.peakBytes());
        }
    }

    private void applyConfiguredList() {
        if (config.lastKnownList() != null && !discovery.hasAppliedList()) {
            discovery.apply(config.lastKnownList(), Source.CACHED);
        }
    }

    /** Answers the requests that clients have sent or are about to send, and ends; returns the future of the end. */
    public Future<?> drain() {
        System.err.println("mulleinfront: shutting down; finishing open requests");
        leaveFleet();
        loop.execute(() -> frontend.drain(() -> {
            discovery.stop();
            if (management != null) {
                management.close();
            }
            shutDown();
        }));
        return group.terminationFuture();
    }

    /**
     * Closes everything and ends the event loop. An event loop that is shut down while it runs a task does not close
     * the channels registered with it: such connections would stay open, and unread, until the process ends.
     */
    private Future<?> shutDown() {
        FatalErrors.loopMayEnd(group);
        loop.execute(() -> {
            logMetrics();
            frontend.close();
            upstream.close();
            if (membership != null) {
                membership.close();
            }
            if (configWatcher != null) {
                configWatcher.close();
            }
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        });
        return group.terminationFuture();
    }

    /**
     * Applies the one setting that may change at run time: the address of discovery. All other settings are fixed at
     * the start.
     */
    public void reload(Config changed) {
        loop.execute(() -> {
            configuredDiscovery = changed.discovery();
            moveDiscoveryTo(configuredDiscovery);
        });
    }

    private void moveDiscoveryTo(InetSocketAddress address) {
        core.run(() -> discovery.move(address, config.settings().subscribe() ? core.moveDelayUs() : 0));
    }

    /** The port for clients. */
    public int port() {
        return frontend.port();
    }

    /** The port of the management endpoint, which must have been opened. */
    int managementPort() {
        return ((InetSocketAddress) management.localAddress()).getPort();
    }

    long now() {
        return clock.now();
    }

    /** The bytes that are held for clients and endpoints; called on the event loop. */
    Future<Long> heldBytes() {
        return loop.submit(memory::usedBytes);
    }

    /** Sets how long ago the process started, microseconds. */
    void processStarted(long agoUs) {
        loop.execute(() -> core.processStarted(agoUs));
    }

    /**
     * After a failed call or watch: the balancer decides until when the list may be used and, where it makes the calls,
     * when to call again; an agent is called again after a delay.
     */
    private void retryDiscovery(Runnable reportFailure, long agentDelayUs) {
        reportFailure.run();
        if (!config.settings().subscribe()) {
            loop.schedule(() -> discovery.ensureWatch(Wire.CALL_TIMEOUT_US), agentDelayUs, TimeUnit.MICROSECONDS);
        }
    }

    // ---- clients -------------------------------------------------------------------------------------

    /**
     * Passes a valid request to the core, and answers an invalid one at once.
     *
     * @param body the whole body, or its first part if the rest is streamed
     * @param remainingBody the rest of the body, streamed as it arrives; null if there is none
     * @param receivedAtUs when the request arrived, microseconds on the clock of {@link #now}
     */
    void accept(Frontend.Client client, RequestHead head, byte[] body, BodyStream remainingBody, long receivedAtUs) {
        Integer classIndex = classIndexes.get(head.requestClass());
        int tenant = head.tenant() == null ? -1 : config.tenants().indexOf(head.tenant());
        boolean tenantKnown = !head.tenantStated() || config.tenants().isEmpty() || tenant >= 0;
        if (head.id() == null
                || head.id().isEmpty()
                || classIndex == null
                || core.isTaken(head.id(), classIndex)
                || head.deadlineMs() < 1
                || !tenantKnown
                || config.settings().classes().get(classIndex).effect() != head.effect(body.length)) {
            client.answer(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        RequestMessage message = RequestMessage.of(head, body);
        core.accept(
                client,
                head.id(),
                classIndex,
                head.key(),
                head.deadlineMs(),
                receivedAtUs,
                head.expectedUs(),
                tenant,
                head.repeat(),
                remainingBody == null ? message : message.withRemainingBody(remainingBody, head.deadlineMs()),
                remainingBody != null);
    }

    /** The last byte of a request with a streamed body has been read. */
    void requestComplete(Core.RequestHandle<RequestMessage, Upstream.Answer> handle) {
        core.requestComplete(handle);
    }

    /**
     * Limits the time of open requests at shutdown: the process is killed after the longest deadline and a margin, and
     * all requests must be answered by then.
     *
     * @return the time until then, microseconds
     */
    long beginShutdown() {
        long longestDeadlineUs = config.settings().classes().stream()
                .mapToLong(RequestClass::deadlineUs)
                .max()
                .orElse(0);
        long remainingUs = Math.min(MAX_SHUTDOWN_US, longestDeadlineUs) + SHUTDOWN_MARGIN_US;
        core.setShutdownDeadline(clock.now() + remainingUs);
        return remainingUs;
    }

    /** Reading a request's streamed body pauses: bytes of it may have arrived that are not read. */
    void readingPaused(Core.RequestHandle<RequestMessage, Upstream.Answer> handle) {
        core.readingPaused(handle);
    }

    /** All bytes that have arrived of a request's streamed body have been read. */
    void readingCaughtUp(Core.RequestHandle<RequestMessage, Upstream.Answer> handle) {
        core.readingCaughtUp(handle);
    }

    /** When the client must have taken a streamed response that has just ended, microseconds on the clock of {@link #now}. */
    long streamedResponseTakenBy(Core.RequestHandle<RequestMessage, Upstream.Answer> handle) {
        return core.streamedResponseTakenBy(handle);
    }

    /** The retry delay for a client that is refused because it pipelined too much, microseconds; 0 for no advice. */
    long retryAfterUs() {
        return config.settings().limits().maxRetryAfterUs();
    }

    /** The request's client has disconnected. */
    void abandoned(Core.RequestHandle<RequestMessage, Upstream.Answer> handle) {
        core.abandoned(handle);
    }
}
