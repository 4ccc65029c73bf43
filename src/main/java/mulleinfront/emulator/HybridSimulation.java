package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mulleinfront.Balancer;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.Source;

/**
 * A simulation whose client proxies are external, such as processes, and whose time follows an external clock. Servers,
 * clients, discovery, faults, auditor and report are the simulated ones; {@link ExternalProxies} carries messages in
 * and out. A single thread calls it and first advances it with {@link #runUntil}. Messages have the delays of the
 * scenario in addition to those of the real network.
 *
 * <p>It sees only what servers and discovery can see: an attempt counts once its last byte has arrived. The result of
 * an attempt that the client proxy gave up is unknown, so the attempt counts as possibly executed.
 */
public final class HybridSimulation {
    /**
     * How long a request id is kept after its try was made: attempts arrive no later than the longest client timeout.
     */
    private static final long REQUEST_ID_RETENTION_US = 30_000_000;
    /**
     * Delay of the checks that depend on data or a close that a socket may not have read yet: the check of an attempt
     * that arrives while an earlier attempt seems to be in flight, and the check of a client proxy that has ended.
     */
    private static final long CHECK_DELAY_US = 20_000;

    /** Carries messages between the simulation and the client proxies. */
    public interface ExternalProxies {
        /** Sends SIGKILL, and starts the proxy again after a delay. */
        void kill(int proxy, long awayUs);

        /** Sends SIGSTOP, and SIGCONT after a delay. */
        void pause(int proxy, long durationUs);

        /** Injects faults between client proxies; null: not supported. */
        PeerFaults peerFaults();

        /** Sends SIGTERM, and starts the proxy again when it has ended. */
        void terminate(int proxy);

        /** Opens idle client connections to the proxy for a time. */
        void floodConnections(int proxy, int connections, long forUs);

        /** Sends SIGHUP, with a configuration that names another address of discovery. */
        void reload(int proxy);

        /** Whether clients send to this client proxy: they begin when it has reported that it is ready. */
        boolean running(int proxy);

        /** A client sends a try. */
        void send(Outgoing request);

        /** The client of a try disconnects. */
        void disconnectClient(int proxy, String id);

        /** The result of {@link HybridSimulation#connectBehaviour} for an address may have changed. */
        void addressChanged(int address);

        /** Resets all connections to an address. */
        void resetConnections(int address);
    }

    /** How an address reacts to a new connection. */
    public enum ConnectBehaviour {
        OPEN,
        REFUSED,
        SILENT
    }

    /** A server as a list names it; its address is a number and its times are times of the simulation. */
    public record Listed(Endpoint endpoint, int address) {}

    /** A full list or a delta. */
    public record ListUpdate(long version, boolean full, List<Listed> servers) {}

    /** A try on its way to a client proxy. */
    public record Outgoing(
            int proxy, String id, int classIndex, String key, String effect, int tenant, long deadlineUs) {}

    private final World world;
    private final ExternalProxies externalProxies;
    private final Map<String, PendingTry> tries = new HashMap<>();
    /** Client proxies whose initial list has a version that discovery no longer knows. */
    private final boolean[] initialListUnknown;

    /** A try and the attempts for it that reached servers. */
    private static final class PendingTry {
        private final Clients.Try clientTry;
        private final int proxy;
        private int attempts;
        private boolean left;
        private Attempt lastAttempt;

        PendingTry(Clients.Try clientTry, int proxy) {
            this.clientTry = clientTry;
            this.proxy = proxy;
        }
    }

    /** Runs a task at an instant, or at once if the instant has passed. */
    private void runAt(long instant, Runnable task) {
        if (instant <= world.queue.now()) {
            task.run();
        } else {
            world.queue.after(instant - world.queue.now(), task);
        }
    }

    /**
     * Creates a simulation at its instant 0.
     *
     * @param slackUs extension of each time limit of the rules, for the delay of real sockets
     */
    public HybridSimulation(Scenario scenario, long seed, long slackUs, ExternalProxies externalProxies) {
        this.externalProxies = externalProxies;
        this.initialListUnknown = new boolean[scenario.proxies().count()];
        this.world = new World(
                scenario.withSlack(slackUs),
                seed,
                new Trace(null),
                (w, zone) -> Balancer::create,
                CoreWiring.UNCHANGED,
                this);
        this.world.auditor.setDisconnectSlack(slackUs);
    }

    // ---- time ----------------------------------------------------------------------------------------

    /** Runs all events that are due up to an instant, in microseconds since the start. */
    public void runUntil(long instant) {
        world.runUntil(instant);
    }

    /** The instant of the next event. */
    public long nextEventAt() {
        return world.queue.nextAt();
    }

    /** The end of the simulation, in microseconds since its start. */
    public long endsAt() {
        return world.scenario.lengthUs() + world.scenario.settleUs();
    }

    /** Finishes the audit and returns the result. */
    public World.Result finish() {
        return world.finish();
    }

    PeerFaults peerFaults() {
        return externalProxies.peerFaults();
    }

    // ---- client proxies ------------------------------------------------------------------------------

    /** The initial list of a client proxy that starts now; the auditor counts it as known to the proxy from now on. */
    public ListUpdate startProxy(int proxy) {
        Registry.ListUpdate known = world.initialList();
        world.auditor.proxyStarted(proxy, world.queue.now());
        world.auditor.listReceived(proxy, known.version(), Source.CACHED, known.entries(), world.queue.now());
        world.proxies.get(proxy).starts++;
        // Version -1: the list is so old that discovery no longer has the changes since.
        initialListUnknown[proxy] = known.version() < 0;
        ListUpdate update = toListUpdate(known);
        return initialListUnknown[proxy] ? new ListUpdate(0, update.full(), update.servers()) : update;
    }

    private static ListUpdate toListUpdate(Registry.ListUpdate update) {
        List<Listed> servers = new ArrayList<>();
        update.entries().forEach(e -> servers.add(new Listed(e.endpoint(), e.address())));
        return new ListUpdate(update.version(), update.full(), servers);
    }

    /**
     * A process has ended. Data that it sent before may still be in transit; it is read well before a new process is
     * up.
     *
     * @param killed whether it had no time to answer the requests it had accepted
     */
    public void ended(int proxy, boolean killed, Runnable then) {
        world.queue.after(CHECK_DELAY_US, () -> {
            if (killed) {
                world.auditor.proxyKilled(proxy);
            } else {
                world.auditor.proxyEnded(proxy, world.queue.now());
            }
            then.run();
        });
    }

    /** An external client proxy. */
    Instance instance(int number) {
        return new Instance() {
            @Override
            boolean running() {
                return externalProxies.running(number);
            }

            @Override
            void kill(long awayUs) {
                externalProxies.kill(number, awayUs);
            }

            @Override
            void pause(long durationUs) {
                world.auditor.proxyPaused(number, true, world.queue.now());
                externalProxies.pause(number, durationUs);
                world.queue.after(durationUs, () -> world.auditor.proxyPaused(number, false, world.queue.now()));
            }

            @Override
            void terminate() {
                externalProxies.terminate(number);
            }

            @Override
            void floodConnections(int connections, long forUs) {
                externalProxies.floodConnections(number, connections, forUs);
            }

            @Override
            void reload() {
                externalProxies.reload(number);
            }

            @Override
            void accept(Clients.Try clientTry) {
                tries.put(clientTry.call.id(), new PendingTry(clientTry, number));
                world.queue.after(REQUEST_ID_RETENTION_US, () -> tries.remove(clientTry.call.id()));
                externalProxies.send(new Outgoing(
                        number,
                        clientTry.call.id(),
                        clientTry.call.classIndex(),
                        clientTry.call.key(),
                        clientTry.call.effect(),
                        clientTry.request.tenant,
                        clientTry.deadlineAt - clientTry.sentAt));
            }

            @Override
            void clientDisconnected(Clients.Try clientTry) {
                PendingTry pending = tries.get(clientTry.call.id());
                if (pending != null) {
                    pending.left = true;
                    world.auditor.clientDisconnected(number, clientTry.call.id(), world.queue.now());
                    externalProxies.disconnectClient(number, clientTry.call.id());
                }
            }
        };
    }

    // ---- clients -------------------------------------------------------------------------------------

    /** A try's last byte was written to its client proxy. */
    public void tryWritten(String id) {
        PendingTry pending = tries.get(id);
        if (pending != null) {
            world.auditor.requestAccepted(
                    pending.proxy,
                    id,
                    pending.clientTry.call.classIndex(),
                    world.queue.now(),
                    pending.clientTry.deadlineAt);
            world.lossAttribution.tryAccepted(id);
            if (pending.left) {
                // The client left while the try was being written, before the auditor knew of the try.
                world.auditor.clientDisconnected(pending.proxy, id, world.queue.now());
            }
        }
    }

    /**
     * A client received its final answer.
     *
     * @param answerOf id of the request that a served answer belongs to, from the response body
     */
    public void answered(String id, int status, long retryAfterUs, String answerOf) {
        PendingTry pending = tries.get(id);
        // The client left before this was processed: no client has the answer, and the auditor has recorded the leave.
        if (pending == null || pending.left) {
            return;
        }
        long now = world.queue.now();
        if (status == 200) {
            world.auditor.served(pending.proxy, id, answerOf, now);
            world.clients.deliverResult(pending.clientTry, Clients.TryResult.SERVED, 0);
        } else if (status == 429 || status == 503) {
            world.auditor.refused(pending.proxy, id, now);
            world.lossAttribution.tryRefused(id);
            world.clients.deliverResult(pending.clientTry, Clients.TryResult.REFUSED, retryAfterUs);
        } else {
            world.auditor.failed(pending.proxy, id, now);
            world.clients.deliverResult(pending.clientTry, Clients.TryResult.FAILED, 0);
        }
    }

    /**
     * A reused connection closed while this try was written to it: if no attempt followed, the proxy did not accept
     * the try.
     */
    public void closedDuringWrite(String id) {
        PendingTry pending = tries.get(id);
        if (pending != null && pending.attempts == 0) {
            world.auditor.requestNotAccepted(id);
        }
    }

    /**
     * An unexpected response arrived on a client connection.
     *
     * @param id the request whose answer came before on the connection; null: none
     */
    public void unexpectedResponse(int proxy, String id) {
        world.auditor.failed(proxy, String.valueOf(id), world.queue.now());
    }

    /** A client could not connect, or its connection ended before it had a complete response. */
    public void unanswered(String id, boolean connected) {
        PendingTry pending = tries.get(id);
        if (pending != null) {
            world.clients.deliverResult(
                    pending.clientTry, connected ? Clients.TryResult.BROKEN : Clients.TryResult.UNREACHABLE, 0);
        }
    }

    // ---- servers -------------------------------------------------------------------------------------

    void changed(Host host) {
        externalProxies.addressChanged(host.address);
    }

    void reset(Host host) {
        externalProxies.resetConnections(host.address);
    }

    /** How an address reacts now to a new connection from a client proxy. */
    public ConnectBehaviour connectBehaviour(int proxy, int address) {
        Host host = world.hostAt(address);
        if (host == null || !world.network.delivers(proxy, world.zoneOf(proxy), host)) {
            return ConnectBehaviour.SILENT;
        }
        return host.alive() && host.address == address ? ConnectBehaviour.OPEN : ConnectBehaviour.REFUSED;
    }

    /** Opens a connection; null if the server accepts no more or resets it. */
    public Connection connect(int proxy, int address) {
        Host host = world.hostAt(address);
        if (connectBehaviour(proxy, address) != ConnectBehaviour.OPEN
                || host.chance.happens(host.resetBeforeProbability)
                || !host.process.connect()) {
            return null;
        }
        return new Connection(proxy, host);
    }

    /** A client proxy's connection to one process of a server; it carries one request at a time. */
    public final class Connection {
        private final int proxy;
        private final Host host;
        private final ServerModel process;
        private boolean unused = true;
        private boolean open = true;
        private long lastResponseAt = world.queue.now();
        private Attempt current;

        private Connection(int proxy, Host host) {
            this.proxy = proxy;
            this.host = host;
            this.process = host.process;
        }

        private long delay() {
            return world.network.delay(world.zoneOf(proxy), host.zone);
        }

        private boolean passes() {
            return open && world.network.delivers(proxy, world.zoneOf(proxy), host) && !process.stopped();
        }

        /** Either side closed the connection: its request was given up and may have run. */
        public void closed() {
            if (!open) {
                return;
            }
            open = false;
            process.disconnect();
            if (current != null) {
                current.givenUp();
                current = null;
            }
        }

        /** A probe arrived; the reply says whether the server is healthy; there may be no reply. */
        public void probe(Reply reply) {
            world.statistics.probes++;
            world.queue.after(delay(), () -> {
                if (passes()) {
                    process.probe((end, inflight) -> world.queue.after(delay(), () -> {
                        if (passes()) {
                            reply.answer(end == ServerModel.End.SERVED ? 200 : 503, false);
                        }
                    }));
                }
            });
        }

        /**
         * The last byte of a request arrived.
         *
         * @param effect its idempotency key, or null
         * @param firstByteAt when its first byte arrived
         */
        public void request(String id, String effect, long firstByteAt, Reply reply) {
            PendingTry pending = tries.get(id);
            if (pending == null) {
                world.auditor.attemptSent(proxy, id, 0, host.id, firstByteAt);
                reply.answer(400, false);
                return;
            }
            Attempt attempt = new Attempt(this, pending, pending.attempts++, reply);
            world.lossAttribution.attemptSent(id, attempt.number, host);
            Attempt previous = pending.lastAttempt;
            pending.lastAttempt = attempt;
            current = attempt;
            // Attempts are checked in order: an attempt is checked after an earlier one that is still to be checked.
            long checkDelayUs = previous == null || previous.ended ? 0 : CHECK_DELAY_US;
            attempt.checkedAt = Math.max(world.queue.now() + checkDelayUs, previous == null ? 0 : previous.checkedAt);
            runAt(attempt.checkedAt, () -> world.auditor.attemptSent(proxy, id, attempt.number, host.id, firstByteAt));
            world.statistics.attemptSent(world.zoneOf(proxy) == host.zone);
            if (world.queue.now() - lastResponseAt > process.spec().idleCloseUs()) {
                attempt.reset();
                return;
            }
            // A new connection first has its handshake, as in the emulated network.
            int oneWayTrips = unused ? 2 * EmulatedWire.HANDSHAKE_ROUND_TRIPS + 1 : 1;
            long delayUs = 0;
            for (int i = 0; i < oneWayTrips; i++) {
                delayUs += delay();
            }
            world.queue.after(delayUs, attempt::arrive);
        }
    }

    /** Sends a server's response back. */
    public interface Reply {
        /** Sends a response with an HTTP status, and whether the request certainly did not run. */
        void answer(int status, boolean notRun);

        /** Resets the connection without a response. */
        default void reset() {}
    }

    /** One attempt at a server. */
    private final class Attempt {
        private final Connection connection;
        private final PendingTry pending;
        private final int number;
        private final Reply reply;
        private ServerModel.Job job;
        private boolean ended;
        /** When the auditor is notified that the attempt was sent. */
        private long checkedAt;

        private Attempt(Connection connection, PendingTry pending, int number, Reply reply) {
            this.connection = connection;
            this.pending = pending;
            this.number = number;
            this.reply = reply;
        }

        private void arrive() {
            Connection connection = this.connection;
            if (!world.network.delivers(connection.proxy, world.zoneOf(connection.proxy), connection.host)
                    || connection.process.stopped()) {
                return;
            }
            Call call = pending.clientTry.call;
            double work = call.work() + (connection.unused ? connection.process.handshakeWork() : 0);
            connection.unused = false;
            job = new ServerModel.Job(
                    call.id(),
                    work,
                    call.key(),
                    call.effect(),
                    call.windowUs(),
                    pending.clientTry.deadlineAt,
                    (end, inflight) -> done(end));
            world.workArrived(connection.host, connection.proxy, call.id(), work);
            if (connection.process.stopped()) {
                return;
            }
            connection.process.offer(job);
            if (ended) {
                connection.process.cancel(job);
            }
        }

        private void done(ServerModel.End end) {
            Connection connection = this.connection;
            connection.lastResponseAt = world.queue.now();
            if (connection.host.chance.happens(connection.host.resetAfterProbability)) {
                reset();
                return;
            }
            world.queue.after(connection.delay(), () -> {
                if (!ended && connection.passes()) {
                    connection.current = null;
                    switch (end) {
                        case SERVED -> {
                            ended(Outcome.OK);
                            reply.answer(200, false);
                        }
                        case ERROR -> {
                            ended(Outcome.FAILED);
                            reply.answer(500, false);
                        }
                        case NOT_RUN -> {
                            ended(Outcome.QUEUE_FULL);
                            reply.answer(503, true);
                        }
                    }
                }
            });
        }

        private void reset() {
            ended(Outcome.RESET);
            reply.reset();
        }

        private void givenUp() {
            ended(Outcome.TIMED_OUT);
            if (job != null) {
                connection.process.cancel(job);
            }
        }

        private void ended(Outcome outcome) {
            if (!ended) {
                ended = true;
                runAt(
                        checkedAt,
                        () -> world.auditor.attemptEnded(
                                connection.proxy, pending.clientTry.call.id(), number, outcome, world.queue.now()));
                world.lossAttribution.attemptEnded(pending.clientTry.call.id(), number, connection.host, outcome);
                world.statistics.attemptEnded(outcome);
            }
        }
    }

    // ---- discovery -----------------------------------------------------------------------------------

    /** Sends the output of a discovery watch to a client proxy. */
    public interface WatchOutput {
        /** The call is accepted: heartbeats start. */
        void startHeartbeats();

        void sendUpdate(ListUpdate update);

        /** Heartbeats stop or resume. */
        void setSilent(boolean on);

        /** Sends the first half of a list; the full list follows later. */
        void sendFirstHalf(ListUpdate update);

        /** Sends a truncated list and breaks the connection. */
        void sendTruncated(ListUpdate update);

        /**
         * The call or the watch has failed.
         *
         * @param reset whether its connection is reset; otherwise it is closed normally
         */
        void fail(boolean reset);
    }

    /** A client proxy's discovery call and watch. */
    public final class Watch extends Watcher {
        private final int proxy;
        private final WatchOutput output;
        private boolean ended;
        private boolean accepted;

        private Watch(int proxy, long after, WatchOutput output) {
            this.proxy = proxy;
            this.output = output;
            this.sentVersion = after;
        }

        @Override
        int zone() {
            return world.zoneOf(proxy);
        }

        @Override
        int proxy() {
            return proxy;
        }

        @Override
        boolean ended() {
            return ended;
        }

        @Override
        void begin() {
            if (accepted) {
                output.setSilent(false);
            } else {
                accepted = true;
                output.startHeartbeats();
            }
        }

        @Override
        void stopReceiving(long agoUs) {
            output.setSilent(true);
        }

        @Override
        void receive(Registry.ListUpdate update) {
            if (!ended) {
                output.sendUpdate(HybridSimulation.toListUpdate(update));
                world.auditor.listReceived(
                        proxy,
                        update.version(),
                        update.full() ? Source.FULL : Source.DELTA,
                        update.entries(),
                        world.queue.now());
                world.auditor.watching(proxy);
            }
        }

        @Override
        void receiveFirstHalf(Registry.ListUpdate update) {
            if (!ended) {
                output.sendFirstHalf(HybridSimulation.toListUpdate(update));
            }
        }

        @Override
        void fail() {
            if (end()) {
                world.auditor.watchFailed(proxy, world.queue.now(), !reset);
                output.fail(reset);
            }
        }

        @Override
        void receiveTruncated(Registry.ListUpdate update) {
            if (!ended) {
                output.sendTruncated(HybridSimulation.toListUpdate(update));
                end();
                world.auditor.watchFailed(proxy, world.queue.now(), true);
            }
        }

        /** The client proxy closed its connection. */
        public void closed() {
            if (end()) {
                world.auditor.watchFailed(proxy, world.queue.now(), false);
            }
        }

        private boolean end() {
            boolean ends = !ended;
            ended = true;
            world.registry.closeWatch(this);
            return ends;
        }
    }

    /**
     * A client proxy calls discovery.
     *
     * @param after the proxy's current version; -1: none
     */
    public Watch watch(int proxy, long after, WatchOutput output) {
        Watch watch = new Watch(proxy, initialListUnknown[proxy] && after == 0 ? -1 : after, output);
        world.auditor.discoveryCalled(proxy, world.queue.now());
        world.registry.call(watch);
        return watch;
    }
}
