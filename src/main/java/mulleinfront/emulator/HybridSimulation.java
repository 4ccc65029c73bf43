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
 * <p>It sees what the stand-ins see: an attempt counts once its last byte has arrived. The result of an attempt that
 * the client proxy gave up is unknown, so the attempt counts as possibly executed.
 */
public final class HybridSimulation {
    /**
     * How long a request id is kept after its try was made: attempts arrive no later than the longest client timeout.
     */
    private static final long REQUEST_ID_RETENTION_US = 30_000_000;
    /**
     * Data that was sent, or a close, may not have been read yet. An attempt that arrives while an earlier one seems to
     * be in flight, and the end of a client proxy, are therefore checked after this delay.
     */
    private static final long CHECK_DELAY_US = 20_000;

    /** Carries messages between the simulation and the client proxies. */
    public interface ExternalProxies {
        /** Sends SIGKILL, and starts the proxy again after a delay. */
        void kill(int proxy, long awayUs);

        /** Sends SIGSTOP, and SIGCONT after a delay. */
        void pause(int proxy, long us);

        /** Injects faults between client proxies; null: not supported. */
        PeerFaults peerFaults();

        /** Sends SIGTERM, and starts the proxy again when it has ended. */
        void end(int proxy);

        /** Opens idle client connections to the proxy for a time. */
        void floodConnections(int proxy, int connections, long forUs);

        /** Sends SIGHUP, with a configuration that names another address of discovery. */
        void reload(int proxy);

        /** Whether clients send to this client proxy: they begin when it has reported that it is ready. */
        boolean running(int proxy);

        /** A client sends a try. */
        void send(Outgoing request);

        /** The client of a try disconnects. */
        void leave(int proxy, String id);

        /** The result of {@link HybridSimulation#connectBehaviour} for an address may have changed. */
        void changed(int address);

        /** Resets all connections to an address. */
        void reset(int address);
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

        PendingTry(Clients.Try t, int proxy) {
            this.clientTry = t;
            this.proxy = proxy;
        }
    }

    /** Runs a task at an instant, or at once if the instant has passed. */
    private void at(long instant, Runnable task) {
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
                scenario.withSlack(slackUs), seed, new Trace(null), (w, zone) -> Balancer::create, Fitting.PLAIN, this);
        this.world.audit.leaveSlack(slackUs);
    }

    // ---- time ----------------------------------------------------------------------------------------

    /** Runs all events that are due up to an instant, in microseconds since the start. */
    public void runUntil(long instant) {
        world.playUntil(instant);
    }

    /** The instant of the next event. */
    public long nextAt() {
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
    public ListUpdate begin(int proxy) {
        Registry.News known = world.known();
        world.audit.proxyStarted(proxy, world.queue.now());
        world.audit.told(proxy, known.version(), Source.CACHED, known.entries(), world.queue.now());
        world.proxies.get(proxy).starts++;
        // Version -1: the list is so old that discovery no longer has the changes since.
        initialListUnknown[proxy] = known.version() < 0;
        ListUpdate update = toListUpdate(known);
        return initialListUnknown[proxy] ? new ListUpdate(0, update.full(), update.servers()) : update;
    }

    private static ListUpdate toListUpdate(Registry.News news) {
        List<Listed> servers = new ArrayList<>();
        news.entries().forEach(e -> servers.add(new Listed(e.endpoint(), e.address())));
        return new ListUpdate(news.version(), news.full(), servers);
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
                world.audit.proxyKilled(proxy);
            } else {
                world.audit.proxyEnded(proxy, world.queue.now());
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
            void pause(long us) {
                world.audit.stands(number, true, world.queue.now());
                externalProxies.pause(number, us);
                world.queue.after(us, () -> world.audit.stands(number, false, world.queue.now()));
            }

            @Override
            void end() {
                externalProxies.end(number);
            }

            @Override
            void crowd(int connections, long forUs) {
                externalProxies.floodConnections(number, connections, forUs);
            }

            @Override
            void reload() {
                externalProxies.reload(number);
            }

            @Override
            void take(Clients.Try t) {
                tries.put(t.call.id(), new PendingTry(t, number));
                world.queue.after(REQUEST_ID_RETENTION_US, () -> tries.remove(t.call.id()));
                externalProxies.send(new Outgoing(
                        number,
                        t.call.id(),
                        t.call.classIndex(),
                        t.call.key(),
                        t.call.effect(),
                        t.ask.tenant,
                        t.deadlineAt - t.sentAt));
            }

            @Override
            void gone(Clients.Try t) {
                PendingTry pending = tries.get(t.call.id());
                if (pending != null) {
                    pending.left = true;
                    world.audit.left(number, t.call.id(), world.queue.now());
                    externalProxies.leave(number, t.call.id());
                }
            }
        };
    }

    // ---- clients -------------------------------------------------------------------------------------

    /** A try's last byte was written to its client proxy. */
    public void taken(String id) {
        PendingTry pending = tries.get(id);
        if (pending != null) {
            world.audit.taken(
                    pending.proxy,
                    id,
                    pending.clientTry.call.classIndex(),
                    world.queue.now(),
                    pending.clientTry.deadlineAt);
            world.account.taken(id);
            if (pending.left) {
                // The client left while the try was being written, before the auditor knew of the try.
                world.audit.left(pending.proxy, id, world.queue.now());
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
            world.audit.served(pending.proxy, id, answerOf, now);
            world.clients.answered(pending.clientTry, Clients.How.SERVED, 0);
        } else if (status == 429 || status == 503) {
            world.audit.refused(pending.proxy, id, now);
            world.account.refused(id);
            world.clients.answered(pending.clientTry, Clients.How.REFUSED, retryAfterUs);
        } else {
            world.audit.failed(pending.proxy, id, now);
            world.clients.answered(pending.clientTry, Clients.How.FAILED, 0);
        }
    }

    /**
     * A reused connection closed while this try was written to it: if no attempt followed, the proxy did not accept
     * the try.
     */
    public void crossed(String id) {
        PendingTry pending = tries.get(id);
        if (pending != null && pending.attempts == 0) {
            world.audit.untaken(id);
        }
    }

    /**
     * An unexpected response arrived on a client connection.
     *
     * @param id the request whose answer came before on the connection; null: none
     */
    public void answeredAgain(int proxy, String id) {
        world.audit.failed(proxy, String.valueOf(id), world.queue.now());
    }

    /** A client could not connect, or its connection ended before it had a complete response. */
    public void unanswered(String id, boolean connected) {
        PendingTry pending = tries.get(id);
        if (pending != null) {
            world.clients.answered(pending.clientTry, connected ? Clients.How.BROKEN : Clients.How.UNREACHABLE, 0);
        }
    }

    // ---- servers -------------------------------------------------------------------------------------

    void changed(Host host) {
        externalProxies.changed(host.address);
    }

    void reset(Host host) {
        externalProxies.reset(host.address);
    }

    /** How an address reacts now to a new connection from a client proxy. */
    public ConnectBehaviour connectBehaviour(int proxy, int address) {
        Host host = world.at(address);
        if (host == null || !world.network.passes(proxy, world.zoneOf(proxy), host)) {
            return ConnectBehaviour.SILENT;
        }
        return host.alive() && host.address == address ? ConnectBehaviour.OPEN : ConnectBehaviour.REFUSED;
    }

    /** Opens a connection; null if the server accepts no more or resets it. */
    public Connection connect(int proxy, int address) {
        Host host = world.at(address);
        if (connectBehaviour(proxy, address) != ConnectBehaviour.OPEN
                || host.chance.happens(host.resetBefore)
                || !host.life.connect()) {
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
            this.process = host.life;
        }

        private long delay() {
            return world.network.delay(world.zoneOf(proxy), host.zone);
        }

        private boolean passes() {
            return open && world.network.passes(proxy, world.zoneOf(proxy), host) && !process.stopped();
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
            world.tally.probes++;
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
                world.audit.sent(proxy, id, 0, host.id, firstByteAt);
                reply.answer(400, false);
                return;
            }
            Attempt attempt = new Attempt(this, pending, pending.attempts++, reply);
            world.account.sent(id, attempt.number, host);
            Attempt before = pending.lastAttempt;
            pending.lastAttempt = attempt;
            current = attempt;
            // Attempts are checked in order: an attempt is checked after an earlier one that is still to be checked.
            long closing = before == null || before.ended ? 0 : CHECK_DELAY_US;
            attempt.checkedAt = Math.max(world.queue.now() + closing, before == null ? 0 : before.checkedAt);
            at(attempt.checkedAt, () -> world.audit.sent(proxy, id, attempt.number, host.id, firstByteAt));
            world.tally.sent(world.zoneOf(proxy) == host.zone);
            if (world.queue.now() - lastResponseAt > process.machine().idleCloseUs()) {
                attempt.reset();
                return;
            }
            // A new connection first has its handshake, as in the emulated network.
            int ways = unused ? 2 * EmulatedWire.HANDSHAKE_TRIPS + 1 : 1;
            long us = 0;
            for (int i = 0; i < ways; i++) {
                us += delay();
            }
            world.queue.after(us, attempt::arrive);
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

        private Attempt(Connection connection, PendingTry sent, int number, Reply reply) {
            this.connection = connection;
            this.pending = sent;
            this.number = number;
            this.reply = reply;
        }

        private void arrive() {
            Connection c = connection;
            if (!world.network.passes(c.proxy, world.zoneOf(c.proxy), c.host) || c.process.stopped()) {
                return;
            }
            Call call = pending.clientTry.call;
            double work = call.work() + (c.unused ? c.process.handshakeWork() : 0);
            c.unused = false;
            job = new ServerModel.Job(
                    call.id(),
                    work,
                    call.key(),
                    call.effect(),
                    call.windowUs(),
                    pending.clientTry.deadlineAt,
                    (end, inflight) -> done(end));
            world.arrived(c.host, c.proxy, call.id(), work);
            if (c.process.stopped()) {
                return;
            }
            c.process.offer(job);
            if (ended) {
                c.process.cancel(job);
            }
        }

        private void done(ServerModel.End end) {
            Connection c = connection;
            c.lastResponseAt = world.queue.now();
            if (c.host.chance.happens(c.host.resetAfter)) {
                reset();
                return;
            }
            world.queue.after(c.delay(), () -> {
                if (!ended && c.passes()) {
                    c.current = null;
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
                at(
                        checkedAt,
                        () -> world.audit.attemptEnded(
                                connection.proxy, pending.clientTry.call.id(), number, outcome, world.queue.now()));
                world.account.attemptEnded(pending.clientTry.call.id(), number, connection.host, outcome);
                world.tally.outcome(outcome);
            }
        }
    }

    // ---- discovery -----------------------------------------------------------------------------------

    /** Sends the output of a discovery watch to a client proxy. */
    public interface Lines {
        /** The call is accepted: heartbeats start. */
        void begin();

        void told(ListUpdate news);

        /** Heartbeats stop or resume. */
        void silent(boolean on);

        /** Sends the first half of a list; the full list follows later. */
        void begins(ListUpdate news);

        /** Sends a truncated list and breaks the connection. */
        void cutShort(ListUpdate news);

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
        private final Lines output;
        private boolean over;
        private boolean accepted;

        private Watch(int proxy, long after, Lines output) {
            this.proxy = proxy;
            this.output = output;
            this.toldTo = after;
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
        boolean over() {
            return over;
        }

        @Override
        void begin() {
            if (accepted) {
                output.silent(false);
            } else {
                accepted = true;
                output.begin();
            }
        }

        @Override
        void silence(long agoUs) {
            output.silent(true);
        }

        @Override
        void hear(Registry.News news) {
            if (!over) {
                output.told(HybridSimulation.toListUpdate(news));
                world.audit.told(
                        proxy,
                        news.version(),
                        news.full() ? Source.FULL : Source.DELTA,
                        news.entries(),
                        world.queue.now());
                world.audit.watching(proxy);
            }
        }

        @Override
        void begins(Registry.News news) {
            if (!over) {
                output.begins(HybridSimulation.toListUpdate(news));
            }
        }

        @Override
        void fail() {
            if (end()) {
                world.audit.watchFailed(proxy, world.queue.now(), !reset);
                output.fail(reset);
            }
        }

        @Override
        void cutShort(Registry.News news) {
            if (!over) {
                output.cutShort(HybridSimulation.toListUpdate(news));
                end();
                world.audit.watchFailed(proxy, world.queue.now(), true);
            }
        }

        /** The client proxy closed its connection. */
        public void closed() {
            if (end()) {
                world.audit.watchFailed(proxy, world.queue.now(), false);
            }
        }

        private boolean end() {
            boolean ends = !over;
            over = true;
            world.registry.leave(this);
            return ends;
        }
    }

    /**
     * A client proxy calls discovery.
     *
     * @param after the proxy's current version; -1: none
     */
    public Watch watch(int proxy, long after, Lines output) {
        Watch watch = new Watch(proxy, initialListUnknown[proxy] && after == 0 ? -1 : after, output);
        world.audit.asked(proxy, world.queue.now());
        world.registry.call(watch);
        return watch;
    }
}
