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
 * A world whose client proxies are elsewhere, as processes say, and whose time is somebody else's clock: the
 * same servers, clients, discovery, faults, auditor and report, with {@link ExternalProxies} carrying messages in and
 * out. One thread calls it, and before each call it is brought up to date by {@link #runUntil}. What passes
 * the network here is delayed as the scenario says, beside what the real way takes.
 *
 * <p>It sees what the stand-ins see: an attempt counts when its last byte has come, and how an attempt that
 * the client proxy gave up ended is not known, so it may have run.
 */
public final class HybridSimulation {
    /**
     * How long an id is remembered after its try was made: attempts come no later than the longest patience.
     */
    private static final long REMEMBERED_US = 30_000_000;
    /**
     * What was sent, or closed, may not have been read yet. An attempt beside an earlier one that seems out,
     * and the death of a client proxy, are looked at so much later.
     */
    private static final long CLOSING_US = 20_000;

    /** What carries messages between the world and the client proxies. */
    public interface ExternalProxies {
        /** SIGKILL, and a start so long after it. */
        void kill(int proxy, long awayUs);

        /** SIGSTOP, and SIGCONT after so long. */
        void pause(int proxy, long us);

        /** What makes things happen between client proxies; null: nothing can. */
        PeerFaults peerFaults();

        /** SIGTERM, and a start when it has ended. */
        void end(int proxy);

        /** So many clients connect to it and say nothing, for so long. */
        void floodConnections(int proxy, int connections, long forUs);

        /** SIGHUP, with a configuration that names another address of discovery. */
        void reload(int proxy);

        /** Whether clients send to this client proxy: they begin when it has said that it is ready. */
        boolean running(int proxy);

        /** A client sends a try. */
        void send(Outgoing request);

        /** The client of a try has gone. */
        void leave(int proxy, String id);

        /** What {@link HybridSimulation#connectBehaviour} says of a server may have changed. */
        void changed(int address);

        /** All connections to an address are reset. */
        void reset(int address);
    }

    /** What a new connection to a server meets. */
    public enum ConnectBehaviour {
        OPEN,
        REFUSED,
        SILENT
    }

    /** A server as a list names it; the address is a number of the world's, and times are the world's. */
    public record Listed(Endpoint endpoint, int address) {}

    /** A list, or what changed. */
    public record ListUpdate(long version, boolean full, List<Listed> servers) {}

    /** A try on its way to a client proxy. */
    public record Outgoing(
            int proxy, String id, int classIndex, String key, String effect, int tenant, long deadlineUs) {}

    private final World world;
    private final ExternalProxies outside;
    private final Map<String, Sent> tries = new HashMap<>();
    /** Client proxies that began with a list of no version that discovery still knows. */
    private final boolean[] ancient;

    /** A try and the attempts at it that have come to servers. */
    private static final class Sent {
        private final Clients.Try t;
        private final int proxy;
        private int attempts;
        private boolean left;
        private Request out;

        Sent(Clients.Try t, int proxy) {
            this.t = t;
            this.proxy = proxy;
        }
    }

    /** Runs something at an instant, or at once where that has been. */
    private void at(long instant, Runnable what) {
        if (instant <= world.queue.now()) {
            what.run();
        } else {
            world.queue.after(instant - world.queue.now(), what);
        }
    }

    /**
     * A world at its instant 0; nothing has happened yet.
     *
     * @param slackUs what is granted beyond each time limit of the rules, for the way over real sockets
     */
    public HybridSimulation(Scenario scenario, long seed, long slackUs, ExternalProxies outside) {
        this.outside = outside;
        this.ancient = new boolean[scenario.proxies().count()];
        this.world = new World(
                scenario.withSlack(slackUs), seed, new Trace(null), (w, zone) -> Balancer::create, Fitting.PLAIN, this);
        this.world.audit.leaveSlack(slackUs);
    }

    // ---- time ----------------------------------------------------------------------------------------

    /** Runs what is due up to an instant, microseconds since the start. */
    public void runUntil(long instant) {
        world.playUntil(instant);
    }

    /** When something is due next. */
    public long nextAt() {
        return world.queue.nextAt();
    }

    /** When the world is over, microseconds since its start. */
    public long endsAt() {
        return world.scenario.lengthUs() + world.scenario.settleUs();
    }

    /** Judges and counts what has been. */
    public World.Result finish() {
        return world.finish();
    }

    PeerFaults peerFaults() {
        return outside.peerFaults();
    }

    // ---- client proxies ------------------------------------------------------------------------------

    /** The list that a client proxy that starts now finds, which is from now on what it was told. */
    public ListUpdate begin(int proxy) {
        Registry.News known = world.known();
        world.audit.proxyStarted(proxy, world.queue.now());
        world.audit.told(proxy, known.version(), Source.CACHED, known.entries(), world.queue.now());
        world.proxies.get(proxy).starts++;
        // A list so old that discovery no longer tells of changes since has no version that it knows.
        ancient[proxy] = known.version() < 0;
        ListUpdate told = told(known);
        return ancient[proxy] ? new ListUpdate(0, told.full(), told.servers()) : told;
    }

    private static ListUpdate told(Registry.News news) {
        List<Listed> servers = new ArrayList<>();
        news.entries().forEach(e -> servers.add(new Listed(e.endpoint(), e.address())));
        return new ListUpdate(news.version(), news.full(), servers);
    }

    /**
     * A process has ended. What it had sent until then may still be on its way, and no new one is up that
     * soon.
     *
     * @param killed whether it had no time to answer what it had taken
     */
    public void ended(int proxy, boolean killed, Runnable then) {
        world.queue.after(CLOSING_US, () -> {
            if (killed) {
                world.audit.proxyKilled(proxy);
            } else {
                world.audit.proxyEnded(proxy, world.queue.now());
            }
            then.run();
        });
    }

    /** A client proxy outside. */
    Instance instance(int number) {
        return new Instance() {
            @Override
            boolean running() {
                return outside.running(number);
            }

            @Override
            void kill(long awayUs) {
                outside.kill(number, awayUs);
            }

            @Override
            void pause(long us) {
                world.audit.stands(number, true, world.queue.now());
                outside.pause(number, us);
                world.queue.after(us, () -> world.audit.stands(number, false, world.queue.now()));
            }

            @Override
            void end() {
                outside.end(number);
            }

            @Override
            void crowd(int connections, long forUs) {
                outside.floodConnections(number, connections, forUs);
            }

            @Override
            void reload() {
                outside.reload(number);
            }

            @Override
            void take(Clients.Try t) {
                tries.put(t.call.id(), new Sent(t, number));
                world.queue.after(REMEMBERED_US, () -> tries.remove(t.call.id()));
                outside.send(new Outgoing(
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
                Sent s = tries.get(t.call.id());
                if (s != null) {
                    s.left = true;
                    world.audit.left(number, t.call.id(), world.queue.now());
                    outside.leave(number, t.call.id());
                }
            }
        };
    }

    // ---- clients -------------------------------------------------------------------------------------

    /** A try's last byte was written to its client proxy. */
    public void taken(String id) {
        Sent s = tries.get(id);
        if (s != null) {
            world.audit.taken(s.proxy, id, s.t.call.classIndex(), world.queue.now(), s.t.deadlineAt);
            world.account.taken(id);
            if (s.left) {
                // The word that it was written comes behind what was due while that was being done.
                world.audit.left(s.proxy, id, world.queue.now());
            }
        }
    }

    /**
     * A client has its final answer.
     *
     * @param answerOf the request that a served answer was made for, as its body says
     */
    public void answered(String id, int status, long retryAfterUs, String answerOf) {
        Sent s = tries.get(id);
        // The client left before this was looked at: nobody has the answer, and its leaving has been judged.
        if (s == null || s.left) {
            return;
        }
        long now = world.queue.now();
        if (status == 200) {
            world.audit.served(s.proxy, id, answerOf, now);
            world.clients.answered(s.t, Clients.How.SERVED, 0);
        } else if (status == 429 || status == 503) {
            world.audit.refused(s.proxy, id, now);
            world.account.refused(id);
            world.clients.answered(s.t, Clients.How.REFUSED, retryAfterUs);
        } else {
            world.audit.failed(s.proxy, id, now);
            world.clients.answered(s.t, Clients.How.FAILED, 0);
        }
    }

    /**
     * A connection that had carried others closed as this try was written to it: if nothing came of it,
     * nobody took it.
     */
    public void crossed(String id) {
        Sent s = tries.get(id);
        if (s != null && s.attempts == 0) {
            world.audit.untaken(id);
        }
    }

    /**
     * An answer came on a connection that waits for none, after the one to this request, or to nothing at all
     * (null).
     */
    public void answeredAgain(int proxy, String id) {
        world.audit.failed(proxy, String.valueOf(id), world.queue.now());
    }

    /** A client could not connect, or its connection ended before it had a whole answer. */
    public void unanswered(String id, boolean connected) {
        Sent s = tries.get(id);
        if (s != null) {
            world.clients.answered(s.t, connected ? Clients.How.BROKEN : Clients.How.UNREACHABLE, 0);
        }
    }

    // ---- servers -------------------------------------------------------------------------------------

    void changed(Host host) {
        outside.changed(host.address);
    }

    void reset(Host host) {
        outside.reset(host.address);
    }

    /** What a client proxy's new connection to an address meets now. */
    public ConnectBehaviour connectBehaviour(int proxy, int address) {
        Host host = world.at(address);
        if (host == null || !world.network.passes(proxy, world.zoneOf(proxy), host)) {
            return ConnectBehaviour.SILENT;
        }
        return host.alive() && host.address == address ? ConnectBehaviour.OPEN : ConnectBehaviour.REFUSED;
    }

    /** A connection came up; null if the server takes no more, or resets it. */
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
        private final ServerModel life;
        private boolean fresh = true;
        private boolean open = true;
        private long servedAt = world.queue.now();
        private Request current;

        private Connection(int proxy, Host host) {
            this.proxy = proxy;
            this.host = host;
            this.life = host.life;
        }

        private long delay() {
            return world.network.delay(world.zoneOf(proxy), host.zone);
        }

        private boolean passes() {
            return open && world.network.passes(proxy, world.zoneOf(proxy), host) && !life.stopped();
        }

        /** It is closed, by either side: what it carried was given up, and may have run. */
        public void closed() {
            if (!open) {
                return;
            }
            open = false;
            life.disconnect();
            if (current != null) {
                current.givenUp();
                current = null;
            }
        }

        /** A probe came; the answer is whether it is well, or none at all. */
        public void probe(Reply reply) {
            world.tally.probes++;
            world.queue.after(delay(), () -> {
                if (passes()) {
                    life.probe((end, inflight) -> world.queue.after(delay(), () -> {
                        if (passes()) {
                            reply.answer(end == ServerModel.End.SERVED ? 200 : 503, false);
                        }
                    }));
                }
            });
        }

        /**
         * A request's last byte came.
         *
         * @param effect its idempotency key, or null
         * @param firstByteAt when its first byte came
         */
        public void request(String id, String effect, long firstByteAt, Reply reply) {
            Sent s = tries.get(id);
            if (s == null) {
                world.audit.sent(proxy, id, 0, host.id, firstByteAt);
                reply.answer(400, false);
                return;
            }
            Request r = new Request(this, s, s.attempts++, reply);
            world.account.sent(id, r.number, host);
            Request before = s.out;
            s.out = r;
            current = r;
            // In the order of attempts: what came after one that is still to be judged is judged after it.
            long closing = before == null || before.over ? 0 : CLOSING_US;
            r.judgedAt = Math.max(world.queue.now() + closing, before == null ? 0 : before.judgedAt);
            at(r.judgedAt, () -> world.audit.sent(proxy, id, r.number, host.id, firstByteAt));
            world.tally.sent(world.zoneOf(proxy) == host.zone);
            if (world.queue.now() - servedAt > life.machine().idleCloseUs()) {
                r.reset();
                return;
            }
            // A new connection has its handshake first, as in the emulated world.
            int ways = fresh ? 2 * EmulatedWire.HANDSHAKE_TRIPS + 1 : 1;
            long us = 0;
            for (int i = 0; i < ways; i++) {
                us += delay();
            }
            world.queue.after(us, r::arrive);
        }
    }

    /** Whoever brings a server's answer back. */
    public interface Reply {
        /** An HTTP status, and whether it surely did not run. */
        void answer(int status, boolean notRun);

        /** Nothing is answered and the connection is reset. */
        default void reset() {}
    }

    /** An attempt at a server. */
    private final class Request {
        private final Connection connection;
        private final Sent sent;
        private final int number;
        private final Reply reply;
        private ServerModel.Job job;
        private boolean over;
        /** When the auditor hears that it was sent. */
        private long judgedAt;

        private Request(Connection connection, Sent sent, int number, Reply reply) {
            this.connection = connection;
            this.sent = sent;
            this.number = number;
            this.reply = reply;
        }

        private void arrive() {
            Connection c = connection;
            if (!world.network.passes(c.proxy, world.zoneOf(c.proxy), c.host) || c.life.stopped()) {
                return;
            }
            Call call = sent.t.call;
            double work = call.work() + (c.fresh ? c.life.handshakeWork() : 0);
            c.fresh = false;
            job = new ServerModel.Job(
                    call.id(),
                    work,
                    call.key(),
                    call.effect(),
                    call.windowUs(),
                    sent.t.deadlineAt,
                    (end, inflight) -> done(end));
            world.arrived(c.host, c.proxy, call.id(), work);
            if (c.life.stopped()) {
                return;
            }
            c.life.offer(job);
            if (over) {
                c.life.cancel(job);
            }
        }

        private void done(ServerModel.End end) {
            Connection c = connection;
            c.servedAt = world.queue.now();
            if (c.host.chance.happens(c.host.resetAfter)) {
                reset();
                return;
            }
            world.queue.after(c.delay(), () -> {
                if (!over && c.passes()) {
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
                connection.life.cancel(job);
            }
        }

        private void ended(Outcome outcome) {
            if (!over) {
                over = true;
                at(
                        judgedAt,
                        () -> world.audit.attemptEnded(
                                connection.proxy, sent.t.call.id(), number, outcome, world.queue.now()));
                world.account.attemptEnded(sent.t.call.id(), number, connection.host, outcome);
                world.tally.outcome(outcome);
            }
        }
    }

    // ---- discovery -----------------------------------------------------------------------------------

    /** Whoever carries a watch's news to a client proxy. */
    public interface Lines {
        /** The call is answered: from here on there are heartbeats. */
        void begin();

        void told(ListUpdate news);

        /** Heartbeats stop, or go on. */
        void silent(boolean on);

        /** The first half of a list comes; the whole of it is told later. */
        void begins(ListUpdate news);

        /** A list breaks off in its midst, and the connection with it. */
        void cutShort(ListUpdate news);

        /**
         * The call or the watch has failed.
         *
         * @param reset whether its connection breaks; else it ends in order
         */
        void fail(boolean reset);
    }

    /** A client proxy's call of discovery. */
    public final class Watch extends Watcher {
        private final int proxy;
        private final Lines lines;
        private boolean over;
        private boolean begun;

        private Watch(int proxy, long after, Lines lines) {
            this.proxy = proxy;
            this.lines = lines;
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
            if (begun) {
                lines.silent(false);
            } else {
                begun = true;
                lines.begin();
            }
        }

        @Override
        void silence(long agoUs) {
            lines.silent(true);
        }

        @Override
        void hear(Registry.News news) {
            if (!over) {
                lines.told(HybridSimulation.told(news));
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
                lines.begins(HybridSimulation.told(news));
            }
        }

        @Override
        void fail() {
            if (end()) {
                world.audit.watchFailed(proxy, world.queue.now(), !reset);
                lines.fail(reset);
            }
        }

        @Override
        void cutShort(Registry.News news) {
            if (!over) {
                lines.cutShort(HybridSimulation.told(news));
                end();
                world.audit.watchFailed(proxy, world.queue.now(), true);
            }
        }

        /** The client proxy has ended its connection. */
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
     * @param after the version that it holds; -1: none
     */
    public Watch watch(int proxy, long after, Lines lines) {
        Watch watch = new Watch(proxy, ancient[proxy] && after == 0 ? -1 : after, lines);
        world.audit.asked(proxy, world.queue.now());
        world.registry.call(watch);
        return watch;
    }
}
