package mulleinfront.emulator;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import mulleinfront.Balancer.Outcome;
import mulleinfront.core.Time;
import mulleinfront.core.Wire;

/**
 * Connections of one client proxy to servers, and the attempts made on them, on the emulated network: the
 * same steps as on sockets (an idle connection that has rested, or a new one; the whole request or surely
 * not; one end), with every delay and break drawn.
 */
final class EmulatedWire implements Wire<Call, Answer> {
    /** Messages of a handshake, each way, before a request may be sent. */
    static final int HANDSHAKE_TRIPS = 2;

    private final World world;
    private final Time time;
    private final Reader process;
    private final int proxy;
    private final int zone;
    private final long idleUs;
    private final DiscoveryClient discovery;
    private final Map<Integer, ArrayDeque<Link>> idleAt = new HashMap<>();
    /** Idle connections, the longest idle first. */
    private final LinkedHashSet<Link> idle = new LinkedHashSet<>();

    private final LinkedHashSet<Link> all = new LinkedHashSet<>();
    private final IntSupplier mostIdle;
    private boolean sweeping;

    /** The process that reads what comes to it, which may stand still. */
    interface Reader {
        /** Runs at once, or when the process goes on; not at all if it ends. */
        void reads(Runnable what);
    }

    /**
     * @param process when it reads what comes
     * @param mostIdle idle connections to keep at most
     */
    EmulatedWire(
            World world,
            Time time,
            Reader process,
            int proxy,
            int zone,
            DiscoveryClient discovery,
            IntSupplier mostIdle) {
        this.mostIdle = mostIdle;
        this.world = world;
        this.time = time;
        this.process = process;
        this.proxy = proxy;
        this.zone = zone;
        this.discovery = discovery;
        this.idleUs = (long) (world.scenario.limits().connIdleUs() * IDLE_CLOSE_FRACTION);
    }

    int zone() {
        return zone;
    }

    int proxy() {
        return proxy;
    }

    int connections() {
        return all.size();
    }

    @Override
    public Wire.Attempt attempt(
            String requestId,
            int number,
            String hostId,
            Call call,
            long timeoutUs,
            BooleanSupplier wanted,
            AttemptListener<Answer> end) {
        Integer address = discovery.address(hostId);
        return address == null ? null : new Attempt(requestId, number, address, call, timeoutUs, wanted, end);
    }

    @Override
    public void probe(String hostId, AttemptListener<Answer> end) {
        Integer address = discovery.address(hostId);
        if (address == null) {
            end.ended(Outcome.IGNORED, null);
            return;
        }
        world.tally.probes++;
        new Attempt(null, 0, address, null, world.scenario.limits().dialTimeoutUs(), () -> true, end).start();
    }

    @Override
    public void subscribe(long patienceUs) {
        discovery.watch(patienceUs);
    }

    /** Closes the idle connections to an address that is listed no more. */
    void hangUp(int address) {
        ArrayDeque<Link> links = idleAt.remove(address);
        if (links != null) {
            links.forEach(this::close);
        }
    }

    /** The process is gone: its machine resets all its connections. */
    void die() {
        for (Link link : List.copyOf(all)) {
            if (link.current != null) {
                link.current.forget();
            }
            close(link);
        }
    }

    /** Closes our end; the server learns of it a moment later, and stops what it did for us. */
    private void close(Link link) {
        if (!link.open) {
            return;
        }
        link.open = false;
        leaveIdle(link);
        all.remove(link);
        ServerModel.Job job = link.current == null ? null : link.current.job;
        Attempt carried = link.current != null && link.current.over ? link.current : null;
        link.current = null;
        if (world.network.passes(proxy, zone, link.host)) {
            world.queue.after(world.network.delay(zone, link.host.zone), () -> {
                world.release(link);
                if (job != null) {
                    link.life.cancel(job);
                }
                if (carried != null) {
                    carried.stopBelow();
                }
            });
        }
    }

    private void leaveIdle(Link link) {
        if (idle.remove(link)) {
            ArrayDeque<Link> links = idleAt.get(link.address);
            if (links != null) {
                links.remove(link);
            }
        }
    }

    /** A reset has come from the server's side. */
    void broken(Link link) {
        process.reads(() -> reset(link));
    }

    private void reset(Link link) {
        if (!link.open) {
            return;
        }
        Attempt current = link.current;
        link.open = false;
        leaveIdle(link);
        all.remove(link);
        if (current != null) {
            current.broken();
        }
    }

    private Link rested(int address) {
        ArrayDeque<Link> links = idleAt.get(address);
        if (links == null) {
            return null;
        }
        for (Link link : links) {
            if (time.now() - link.idleAt > CONNECTION_COOL_DOWN_US) {
                leaveIdle(link);
                return link;
            }
        }
        return null;
    }

    private void rest(Link link) {
        link.current = null;
        link.idleAt = time.now();
        idle.add(link);
        idleAt.computeIfAbsent(link.address, a -> new ArrayDeque<>()).push(link);
        if (idle.size() > mostIdle.getAsInt()) {
            close(idle.iterator().next());
        }
        sweep();
    }

    /** Closes what has been idle for long, when the first of them has. */
    private void sweep() {
        if (!sweeping && !idle.isEmpty()) {
            sweeping = true;
            time.after(idle.iterator().next().idleAt + idleUs - time.now(), () -> {
                sweeping = false;
                for (Link l; !idle.isEmpty() && (l = idle.iterator().next()).idleAt + idleUs <= time.now(); ) {
                    close(l);
                }
                sweep();
            });
        }
    }

    /** One attempt; ends exactly once, with what can be vouched for. */
    final class Attempt implements Wire.Attempt {
        private final String requestId;
        private final int number;
        private final int address;
        private final Call call;
        /** The call of a graph that it is for; null: none. */
        private final Hop hop;

        private final BooleanSupplier wanted;
        private final AttemptListener<Answer> end;
        private final long endsAt;
        private final Time.Timer timer;
        private Time.Timer dial;
        private Link link;
        private ServerModel.Job job;
        /** The further calls that the server makes for it; null: none yet. */
        private Handling handling;
        /** The server knows that nobody waits for it. */
        private boolean unwanted;

        private int fresh;
        private boolean written;
        private boolean over;

        Attempt(
                String requestId,
                int number,
                int address,
                Call call,
                long timeoutUs,
                BooleanSupplier wanted,
                AttemptListener<Answer> end) {
            this.requestId = requestId;
            this.number = number;
            this.address = address;
            this.call = call;
            this.hop = call == null ? null : call.hop();
            this.wanted = wanted;
            this.end = end;
            this.endsAt = time.now() + timeoutUs;
            this.timer = time.after(timeoutUs, () -> abandon(Outcome.TIMED_OUT));
        }

        @Override
        public void start() {
            if (hop != null) {
                hop.begins(number, time.now());
            }
            Link reused = rested(address);
            if (reused != null) {
                write(reused);
            } else {
                connect();
            }
        }

        private void connect() {
            if (all.size() >= world.scenario.proxies().connections() && !idle.isEmpty()) {
                close(idle.iterator().next());
            }
            fresh++;
            dial = time.after(world.scenario.limits().dialTimeoutUs(), () -> finish(Outcome.CONNECT_ERROR, null));
            Host host = world.at(address);
            // An address without a machine, or none on the way to it, is silence; one without a process
            // refuses.
            if (host == null || !world.network.passes(proxy, zone, host)) {
                return;
            }
            time.after(trips(host, 1), () -> accept(host));
        }

        private long trips(Host host, int trips) {
            long us = 0;
            for (int i = 0; i < 2 * trips; i++) {
                us += world.network.delay(zone, host.zone);
            }
            return us;
        }

        private void accept(Host host) {
            if (over || !world.network.passes(proxy, zone, host)) {
                return;
            }
            if (!host.alive() || host.address != address || !host.life.connect()) {
                finish(Outcome.CONNECT_ERROR, null);
                return;
            }
            Link made = new Link(host, host.life, EmulatedWire.this, time.now());
            host.links.add(made);
            all.add(made);
            world.tally.opened(all.size());
            made.current = this;
            link = made;
            time.after(trips(host, HANDSHAKE_TRIPS - 1), () -> {
                if (!over && made.open && made.life == host.life && world.network.passes(proxy, zone, host)) {
                    write(made);
                }
            });
        }

        /** The one place where a request goes out: not if it is no longer wanted, whatever was decided. */
        private void write(Link to) {
            cancel(dial);
            link = to;
            to.current = this;
            if (!wanted.getAsBoolean()) {
                finish(Outcome.IGNORED, null);
                return;
            }
            Host host = to.host;
            if (requestId != null) {
                world.audit.sent(proxy, requestId, number, host.id, time.now());
                world.account.sent(requestId, number, host);
                world.tally.sent(zone == host.zone);
            }
            if (hop != null) {
                hop.written(number, fresh > 0, zone, host.zone, time.now());
            }
            if (host.chance.happens(host.resetBefore)) {
                // The host took the connection and not the whole request: that surely did not run.
                close(to);
                link = null;
                if (fresh < MAX_NEW_CONNECTIONS) {
                    connect();
                } else {
                    finish(Outcome.CONNECT_ERROR, null);
                }
                return;
            }
            written = true;
            if (world.network.passes(proxy, zone, host)) {
                world.queue.after(world.network.delay(zone, host.zone), () -> arrive(to));
            }
        }

        /** The last byte is at the server, if that still has the connection. */
        private void arrive(Link to) {
            Host host = to.host;
            if (!world.network.passes(proxy, zone, host) || to.life.stopped() || !to.accepted) {
                return;
            }
            if (time.now() - to.servedAt > to.life.machine().idleCloseUs()) {
                world.reset(to);
                return;
            }
            if (requestId == null) {
                to.life.probe((how, inflight) -> back(to, how, inflight));
                return;
            }
            double work = call.work() + (to.fresh ? to.life.handshakeWork() : 0);
            to.fresh = false;
            ServerModel.Job made = new ServerModel.Job(
                    requestId,
                    work,
                    call.key(),
                    call.effect(),
                    call.windowUs(),
                    endsAt,
                    (how, inflight) -> worked(to, how, inflight));
            if (hop != null) {
                hop.arrived(number, world.queue.now());
            }
            if (!over) {
                job = made;
            }
            world.arrived(host, proxy, requestId, work);
            if (to.life.stopped()) {
                return;
            }
            to.life.offer(made);
            if (over) {
                to.life.cancel(made);
            }
        }

        /** The server's own work is done: where it is a part of a graph, its further calls come before its answer. */
        private void worked(Link to, ServerModel.End how, int inflight) {
            if (hop == null || how != ServerModel.End.SERVED) {
                back(to, how, inflight);
            } else if (!unwanted) {
                handling = hop.serve(to.host, endsAt, end -> back(to, end, inflight));
                handling.begin();
            }
        }

        /** Word has come to the server that nobody waits any more. */
        private void stopBelow() {
            unwanted = true;
            if (handling != null) {
                handling.cancel();
            }
        }

        /** The server answers. */
        private void back(Link to, ServerModel.End how, int inflight) {
            Host host = to.host;
            to.servedAt = world.queue.now();
            if (hop != null) {
                hop.left(number, world.queue.now());
            }
            if (requestId != null && host.chance.happens(host.resetAfter)) {
                world.reset(to);
                return;
            }
            if (!world.network.passes(proxy, zone, host)) {
                return;
            }
            world.queue.after(world.network.delay(zone, host.zone), () -> {
                if (world.network.passes(proxy, zone, host)) {
                    process.reads(() -> {
                        if (to.open && to.current == this) {
                            answered(to, how, inflight);
                        }
                    });
                }
            });
        }

        private void answered(Link to, ServerModel.End how, int inflight) {
            link = null;
            if (to.host.chance.happens(world.scenario.limits().reports())) {
                end.loadReported(inflight);
            }
            if (to.host.address == address && to.host.life == to.life && !to.life.draining()) {
                rest(to);
            } else {
                to.current = null;
                close(to);
            }
            switch (how) {
                case SERVED -> finish(Outcome.OK, new Answer(requestId, to.host.id));
                case ERROR -> finish(Outcome.FAILED, null);
                case NOT_RUN -> finish(Outcome.QUEUE_FULL, null);
            }
        }

        @Override
        public void cancel() {
            abandon(Outcome.CANCELED);
        }

        private void abandon(Outcome outcome) {
            finish(outcome == Outcome.TIMED_OUT && !written ? Outcome.CONNECT_ERROR : outcome, null);
        }

        private void broken() {
            link = null;
            finish(written ? Outcome.RESET : Outcome.CONNECT_ERROR, null);
        }

        /** The client proxy is no more: nobody is told. */
        private void forget() {
            over = true;
            cancel(timer);
            cancel(dial);
        }

        private void cancel(Time.Timer pending) {
            if (pending != null) {
                pending.cancel();
            }
        }

        private void finish(Outcome outcome, Answer answer) {
            if (over) {
                return;
            }
            over = true;
            cancel(timer);
            cancel(dial);
            if (link != null) {
                close(link);
                link = null;
            }
            if (requestId != null) {
                world.audit.attemptEnded(proxy, requestId, number, outcome, time.now());
                world.account.attemptEnded(requestId, number, world.at(address), outcome);
                world.tally.outcome(outcome);
            }
            end.ended(outcome, answer);
        }
    }
}
