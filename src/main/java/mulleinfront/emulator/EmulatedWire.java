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
 * The connections of one client proxy to servers, and its attempts, on the emulated network. They follow the steps of
 * the socket implementation: an attempt uses an idle connection after its cool-down or opens a new one, a request that
 * did not arrive completely was not executed, and each attempt ends exactly once. Delays and connection resets are
 * drawn at random.
 */
final class EmulatedWire implements Wire<Call, Answer> {
    /** Round trips of a connection handshake before a request can be sent. */
    static final int HANDSHAKE_ROUND_TRIPS = 2;

    private final World world;
    private final Time time;
    private final PausableProcess process;
    private final int proxy;
    private final int zone;
    private final long idleUs;
    private final DiscoveryClient discovery;
    private final Map<Integer, ArrayDeque<Link>> idleByAddress = new HashMap<>();
    /** Idle connections, the longest idle first. */
    private final LinkedHashSet<Link> idleLinks = new LinkedHashSet<>();

    private final LinkedHashSet<Link> openLinks = new LinkedHashSet<>();
    private final IntSupplier maxIdle;
    private boolean sweepScheduled;

    /** The process that reads incoming data; it may be paused. */
    interface PausableProcess {
        /** Runs a task at once or when the process resumes; never if the process ends first. */
        void runOrDefer(Runnable task);
    }

    /**
     * @param process the process that reads incoming data
     * @param maxIdle maximum number of idle connections
     */
    EmulatedWire(
            World world,
            Time time,
            PausableProcess process,
            int proxy,
            int zone,
            DiscoveryClient discovery,
            IntSupplier maxIdle) {
        this.maxIdle = maxIdle;
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
        return openLinks.size();
    }

    @Override
    public Wire.Attempt prepareAttempt(
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
        world.statistics.probes++;
        new Attempt(null, 0, address, null, world.scenario.limits().dialTimeoutUs(), () -> true, end).start();
    }

    @Override
    public void subscribe(long timeoutUs) {
        discovery.watch(timeoutUs);
    }

    /** Closes the idle connections to an address that is no longer listed. */
    void closeIdle(int address) {
        ArrayDeque<Link> links = idleByAddress.remove(address);
        if (links != null) {
            links.forEach(this::close);
        }
    }

    /** Resets all connections after the process has died. */
    void resetAll() {
        for (Link link : List.copyOf(openLinks)) {
            if (link.current != null) {
                link.current.drop();
            }
            close(link);
        }
    }

    /**
     * Closes the proxy's end of a connection; after the network delay the server notices and cancels the request on
     * it.
     */
    private void close(Link link) {
        if (!link.open) {
            return;
        }
        link.open = false;
        removeIdle(link);
        openLinks.remove(link);
        ServerModel.Job job = link.current == null ? null : link.current.job;
        Attempt endedAttempt = link.current != null && link.current.over ? link.current : null;
        link.current = null;
        if (world.network.delivers(proxy, zone, link.host)) {
            world.queue.after(world.network.delay(zone, link.host.zone), () -> {
                world.release(link);
                if (job != null) {
                    link.process.cancel(job);
                }
                if (endedAttempt != null) {
                    endedAttempt.cancelFurtherCalls();
                }
            });
        }
    }

    private void removeIdle(Link link) {
        if (idleLinks.remove(link)) {
            ArrayDeque<Link> links = idleByAddress.get(link.address);
            if (links != null) {
                links.remove(link);
            }
        }
    }

    /** Processes a reset from the server's side. */
    void connectionReset(Link link) {
        process.runOrDefer(() -> reset(link));
    }

    private void reset(Link link) {
        if (!link.open) {
            return;
        }
        Attempt current = link.current;
        link.open = false;
        removeIdle(link);
        openLinks.remove(link);
        if (current != null) {
            current.broken();
        }
    }

    private Link takeIdle(int address) {
        ArrayDeque<Link> links = idleByAddress.get(address);
        if (links == null) {
            return null;
        }
        for (Link link : links) {
            if (time.now() - link.idleSince > CONNECTION_COOL_DOWN_US) {
                removeIdle(link);
                return link;
            }
        }
        return null;
    }

    private void addIdle(Link link) {
        link.current = null;
        link.idleSince = time.now();
        idleLinks.add(link);
        idleByAddress.computeIfAbsent(link.address, a -> new ArrayDeque<>()).push(link);
        if (idleLinks.size() > maxIdle.getAsInt()) {
            close(idleLinks.iterator().next());
        }
        scheduleSweep();
    }

    /** Closes connections past the idle timeout, when the first of them reaches it. */
    private void scheduleSweep() {
        if (!sweepScheduled && !idleLinks.isEmpty()) {
            sweepScheduled = true;
            time.after(idleLinks.iterator().next().idleSince + idleUs - time.now(), () -> {
                sweepScheduled = false;
                for (Link link;
                        !idleLinks.isEmpty()
                                && (link = idleLinks.iterator().next()).idleSince + idleUs <= time.now(); ) {
                    close(link);
                }
                scheduleSweep();
            });
        }
    }

    /** One attempt. It ends exactly once, with an outcome that is certain. */
    final class Attempt implements Wire.Attempt {
        private final String requestId;
        private final int number;
        private final int address;
        private final Call call;
        /** The call of a call graph that the attempt is for; null: none. */
        private final GraphCall graphCall;

        private final BooleanSupplier wanted;
        private final AttemptListener<Answer> end;
        private final long endsAt;
        private final Time.Timer timer;
        private Time.Timer dial;
        private Link link;
        private ServerModel.Job job;
        /** The server's handling of the request with its further calls; null: not started. */
        private Handling handling;
        /** The server has noticed that the caller no longer waits. */
        private boolean callerStoppedWaiting;

        private int newConnections;
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
            this.graphCall = call == null ? null : call.graphCall();
            this.wanted = wanted;
            this.end = end;
            this.endsAt = time.now() + timeoutUs;
            this.timer = time.after(timeoutUs, () -> abandon(Outcome.TIMED_OUT));
        }

        @Override
        public void start() {
            if (graphCall != null) {
                graphCall.attemptStarted(number, time.now());
            }
            Link reused = takeIdle(address);
            if (reused != null) {
                write(reused);
            } else {
                connect();
            }
        }

        private void connect() {
            if (openLinks.size() >= world.scenario.proxies().maxConnections() && !idleLinks.isEmpty()) {
                close(idleLinks.iterator().next());
            }
            newConnections++;
            dial = time.after(world.scenario.limits().dialTimeoutUs(), () -> finish(Outcome.CONNECT_ERROR, null));
            Host host = world.hostAt(address);
            // An unused or unreachable address gives no response, so the dial times out; a reachable machine without
            // a process refuses the connection.
            if (host == null || !world.network.delivers(proxy, zone, host)) {
                return;
            }
            time.after(roundTripsUs(host, 1), () -> accept(host));
        }

        private long roundTripsUs(Host host, int trips) {
            long totalUs = 0;
            for (int i = 0; i < 2 * trips; i++) {
                totalUs += world.network.delay(zone, host.zone);
            }
            return totalUs;
        }

        private void accept(Host host) {
            if (over || !world.network.delivers(proxy, zone, host)) {
                return;
            }
            if (!host.alive() || host.address != address || !host.process.connect()) {
                finish(Outcome.CONNECT_ERROR, null);
                return;
            }
            Link made = new Link(host, host.process, EmulatedWire.this, time.now());
            host.links.add(made);
            openLinks.add(made);
            world.statistics.connectionOpened(openLinks.size());
            made.current = this;
            link = made;
            time.after(roundTripsUs(host, HANDSHAKE_ROUND_TRIPS - 1), () -> {
                if (!over && made.open && made.process == host.process && world.network.delivers(proxy, zone, host)) {
                    write(made);
                }
            });
        }

        /**
         * Sends the request, unless the core no longer wants the attempt. No other method sends a request.
         */
        private void write(Link connection) {
            cancel(dial);
            link = connection;
            connection.current = this;
            if (!wanted.getAsBoolean()) {
                finish(Outcome.IGNORED, null);
                return;
            }
            Host host = connection.host;
            if (requestId != null) {
                world.auditor.attemptSent(proxy, requestId, number, host.id, time.now());
                world.lossAttribution.attemptSent(requestId, number, host);
                world.statistics.attemptSent(zone == host.zone);
            }
            if (graphCall != null) {
                graphCall.attemptWritten(number, newConnections > 0, zone, host.zone, time.now());
            }
            if (host.chance.happens(host.resetBeforeProbability)) {
                // The server accepted the connection and reset it before the whole request arrived, so the request
                // did not run.
                close(connection);
                link = null;
                if (newConnections < MAX_NEW_CONNECTIONS) {
                    connect();
                } else {
                    finish(Outcome.CONNECT_ERROR, null);
                }
                return;
            }
            written = true;
            if (world.network.delivers(proxy, zone, host)) {
                world.queue.after(world.network.delay(zone, host.zone), () -> arrive(connection));
            }
        }

        /** Delivers the request to the server, if its process still has the connection. */
        private void arrive(Link connection) {
            Host host = connection.host;
            if (!world.network.delivers(proxy, zone, host) || connection.process.stopped() || !connection.accepted) {
                return;
            }
            if (time.now() - connection.lastResponseAt
                    > connection.process.spec().idleCloseUs()) {
                world.reset(connection);
                return;
            }
            if (requestId == null) {
                connection.process.probe((result, inflight) -> respond(connection, result, inflight));
                return;
            }
            double work = call.work() + (connection.unused ? connection.process.handshakeWork() : 0);
            connection.unused = false;
            ServerModel.Job made = new ServerModel.Job(
                    requestId,
                    work,
                    call.key(),
                    call.effect(),
                    call.windowUs(),
                    endsAt,
                    (result, inflight) -> ownWorkDone(connection, result, inflight));
            if (graphCall != null) {
                graphCall.attemptArrived(number, world.queue.now());
            }
            if (!over) {
                job = made;
            }
            world.workArrived(host, proxy, requestId, work);
            if (connection.process.stopped()) {
                return;
            }
            connection.process.offer(made);
            if (over) {
                connection.process.cancel(made);
            }
        }

        /**
         * Continues when the server's own work is done: in a call graph its further calls come before its response.
         */
        private void ownWorkDone(Link connection, ServerModel.End result, int inflight) {
            if (graphCall == null || result != ServerModel.End.SERVED) {
                respond(connection, result, inflight);
            } else if (!callerStoppedWaiting) {
                handling = graphCall.serve(connection.host, endsAt, end -> respond(connection, end, inflight));
                handling.begin();
            }
        }

        /** Cancels the server's further calls once it notices that the caller no longer waits. */
        private void cancelFurtherCalls() {
            callerStoppedWaiting = true;
            if (handling != null) {
                handling.cancel();
            }
        }

        /** Sends the server's response. */
        private void respond(Link connection, ServerModel.End result, int inflight) {
            Host host = connection.host;
            connection.lastResponseAt = world.queue.now();
            if (graphCall != null) {
                graphCall.responseSent(number, world.queue.now());
            }
            if (requestId != null && host.chance.happens(host.resetAfterProbability)) {
                world.reset(connection);
                return;
            }
            if (!world.network.delivers(proxy, zone, host)) {
                return;
            }
            world.queue.after(world.network.delay(zone, host.zone), () -> {
                if (world.network.delivers(proxy, zone, host)) {
                    process.runOrDefer(() -> {
                        if (connection.open && connection.current == this) {
                            answered(connection, result, inflight);
                        }
                    });
                }
            });
        }

        private void answered(Link connection, ServerModel.End result, int inflight) {
            link = null;
            if (connection.host.chance.happens(world.scenario.limits().reports())) {
                end.loadReported(inflight);
            }
            if (connection.host.address == address
                    && connection.host.process == connection.process
                    && !connection.process.draining()) {
                addIdle(connection);
            } else {
                connection.current = null;
                close(connection);
            }
            switch (result) {
                case SERVED -> finish(Outcome.OK, new Answer(requestId, connection.host.id));
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

        /** Drops the attempt without calling its listener, because the client proxy's process has died. */
        private void drop() {
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
                world.auditor.attemptEnded(proxy, requestId, number, outcome, time.now());
                world.lossAttribution.attemptEnded(requestId, number, world.hostAt(address), outcome);
                world.statistics.attemptEnded(outcome);
            }
            end.ended(outcome, answer);
        }
    }
}
