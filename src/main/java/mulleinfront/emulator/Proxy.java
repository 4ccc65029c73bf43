package mulleinfront.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mulleinfront.Balancer.Source;
import mulleinfront.core.Core;
import mulleinfront.core.ResponseHandler;
import mulleinfront.core.Time;
import mulleinfront.core.Wire;
import mulleinfront.fleet.Change;
import mulleinfront.fleet.Fleet;

/**
 * The machine of a simulated client proxy. It runs one process after another, each with a new core, balancer and set
 * of connections.
 */
final class Proxy extends Instance {
    /** Interval at which a proxy reads the number of live members, in addition to every membership change. */
    private static final long SHARE_US = 1_000_000;

    private final World world;
    private final int number;
    private final int zone;
    private final Core.BalancerFactory maker;
    private final Chance chance;
    private Life life;

    Proxy(World world, int number, int zone, Core.BalancerFactory maker) {
        this.world = world;
        this.number = number;
        this.zone = zone;
        this.maker = maker;
        this.chance = world.chance("proxy " + number);
    }

    @Override
    boolean running() {
        return life != null && life.listening;
    }

    @Override
    boolean knowsServers() {
        return life != null && life.core.hasReadyEndpoints();
    }

    int held() {
        return life == null ? 0 : life.core.openRequests();
    }

    int connections() {
        return life == null ? 0 : life.wire.connections();
    }

    /** Starts a process, which accepts requests at once. */
    void start(Registry.News known) {
        if (life == null) {
            starts++;
            readyAt = world.queue.now();
            if (starts > 1) {
                world.tally.startedAgain(readyAt);
            }
            world.audit.proxyStarted(number, world.queue.now());
            life = new Life();
            life.begin(known);
            if (world.fleet != null) {
                world.fleet.start(number);
                world.fleet.member(number).listen(life);
                life.share();
            }
        }
    }

    /**
     * SIGKILL: clients must retry the requests that were open. The proxy restarts after its start time and {@code
     * awayUs}.
     */
    @Override
    void kill(long awayUs) {
        if (life != null) {
            Life killed = life;
            life = null;
            world.audit.proxyKilled(number);
            killed.end();
            startAgain(awayUs);
        }
    }

    private void startAgain(long awayUs) {
        if (world.fleet != null) {
            world.fleet.kill(number);
        }
        world.queue.after(world.scenario.proxies().startUs() + awayUs, () -> start(world.known()));
    }

    /** SIGSTOP: no input is read and no timer fires until the process resumes. */
    @Override
    void pause(long us) {
        if (life == null || life.still) {
            return;
        }
        Life stopped = life;
        stopped.still = true;
        world.audit.stands(number, true, world.queue.now());
        if (world.fleet != null) {
            world.fleet.stop(number);
        }
        world.queue.after(us, () -> {
            if (life == stopped) {
                stopped.goOn();
                if (world.fleet != null) {
                    world.fleet.go(number);
                }
            }
            world.audit.stands(number, false, world.queue.now());
        });
    }

    /** SIGTERM: the process accepts late requests for a short time, finishes its open requests and ends. */
    @Override
    void end() {
        if (life == null || life.ending) {
            return;
        }
        Life ending = life;
        if (ending.still) {
            ending.unread.add(this::end);
            return;
        }
        ending.ending = true;
        if (world.fleet != null) {
            world.fleet.leave(number);
        }
        world.queue.after(world.scenario.proxies().lateCallsUs(), () -> {
            ending.listening = false;
            ending.endIfDone();
        });
        world.queue.after(world.scenario.proxies().killAfterUs(), () -> {
            if (life == ending) {
                world.audit.proxyEnded(number, world.queue.now());
                kill(0);
            }
        });
    }

    /** Discovery has no address in the simulation, so a move only makes the proxy open a new watch. */
    @Override
    void reload() {
        if (life != null && !life.ending && world.scenario.discovery().asked()) {
            Life reloads = life;
            reloads.reads(reloads.discovery::move);
        }
    }

    /**
     * Accepts a try whose last byte has arrived. The client is notified of the result, or of a broken connection if
     * the process dies.
     */
    @Override
    void take(Clients.Try t) {
        life.take(t);
    }

    @Override
    void gone(Clients.Try t) {
        if (life != null && life.has(t)) {
            life.gone(t);
        }
    }

    /** One process of the client proxy. */
    private final class Life implements Time, EmulatedWire.Reader, Fleet.Listener {
        private final DiscoveryClient discovery = new DiscoveryClient(world, this, number, zone);
        private final EmulatedWire wire = new EmulatedWire(world, this, this, number, zone, discovery, this::mostIdle);
        private final Core<Call, Answer> core = new Core<>(
                world.settings.forInstance(number, world.settings.instances()),
                this,
                world.fitting.wire(wire, this),
                world.audit::defect);
        private final Map<Clients.Try, Core.RequestHandle<Call, Answer>> open = new LinkedHashMap<>();
        /** Tries that wait for CPU time before they reach the core. */
        private final Set<Clients.Try> waiting = new LinkedHashSet<>();
        /** Tries whose responses wait for CPU time. */
        private final Set<Clients.Try> answering = new LinkedHashSet<>();

        private final Scenario.Cpu cpu = world.scenario.proxies().cpu();
        private long cpuFreeAt;
        private long requests;
        /** Input and timers that become due while the process is paused. */
        private final ArrayDeque<Runnable> unread = new ArrayDeque<>();

        private boolean still;
        private boolean alive = true;
        private boolean listening = true;
        private boolean ending;

        private int mostIdle() {
            return core.maxIdleConnections();
        }

        void begin(Registry.News known) {
            discovery.join(core, wire);
            core.begin(maker, chance.nextLong());
            core.observe((now, why) -> world.unserved(number, now, why));
            discovery.take(known, Source.CACHED);
            if (!world.scenario.discovery().asked()) {
                discovery.watch(Wire.CALL_TIMEOUT_US);
            }
            core.processQueue();
        }

        @Override
        public long now() {
            return world.queue.now();
        }

        /** Schedules a timer that is dropped when the process ends. */
        @Override
        public Timer after(long delayUs, Runnable task) {
            if (!world.pauses) {
                return world.queue.after(delayUs, () -> {
                    if (alive) {
                        task.run();
                    }
                });
            }
            // A timer that becomes due during a pause may still be cancelled by input that is read first on resume.
            boolean[] cancelled = {false};
            Timer timer = world.queue.after(
                    delayUs,
                    () -> reads(() -> {
                        if (!cancelled[0]) {
                            task.run();
                        }
                    }));
            return () -> {
                cancelled[0] = true;
                timer.cancel();
            };
        }

        @Override
        public void reads(Runnable what) {
            if (still) {
                unread.add(what);
            } else if (alive) {
                what.run();
            }
        }

        private void goOn() {
            still = false;
            while (alive && !still && !unread.isEmpty()) {
                unread.poll().run();
            }
        }

        /** Reports the number of live members, among which the servers' sustainable load is divided. */
        private void share() {
            core.setLiveInstances(world.fleet.member(number).liveMembers(now()));
            after(SHARE_US, this::share);
        }

        @Override
        public void changed(Change change) {
            core.setLiveInstances(world.fleet.member(number).liveMembers(now()));
        }

        private void take(Clients.Try t) {
            long now = now();
            reads(() -> taken(t, now));
        }

        private void taken(Clients.Try t, long now) {
            world.audit.taken(number, t.call.id(), t.call.classIndex(), now, t.deadlineAt);
            world.account.taken(t.call.id());
            if (t.call.hop() != null) {
                t.call.hop().taken(now());
            }
            waiting.add(t);
            onCpu(cpu.halfUs(requests++), () -> {
                if (waiting.remove(t)) {
                    toCore(t, now);
                }
            });
        }

        /** Runs a task after {@code us} of CPU time on the single thread, behind earlier work. */
        private void onCpu(long us, Runnable then) {
            if (us == 0) {
                then.run();
                return;
            }
            cpuFreeAt = Math.max(cpuFreeAt, now()) + us;
            after(cpuFreeAt - now(), then);
        }

        private void toCore(Clients.Try t, long now) {
            core.accept(
                    world.fitting.caller(
                            new ResponseHandler<Call, Answer>() {
                                @Override
                                public void opened(Core.RequestHandle<Call, Answer> exchange) {
                                    open.put(t, exchange);
                                }

                                @Override
                                public void served(Answer answer) {
                                    open.remove(t);
                                    answering.add(t);
                                    onCpu(cpu.halfUs(requests), () -> {
                                        if (answering.remove(t)) {
                                            world.audit.served(number, t.call.id(), answer.requestId(), now());
                                            if (t.call.hop() != null) {
                                                t.call.hop().answered(now());
                                            }
                                            over(t, Clients.How.SERVED, 0);
                                        }
                                    });
                                }

                                @Override
                                public void refused(long retryAfterUs) {
                                    world.audit.refused(number, t.call.id(), now());
                                    world.account.refused(t.call.id());
                                    over(t, Clients.How.REFUSED, retryAfterUs);
                                }

                                @Override
                                public void failed(boolean timeUp) {
                                    world.audit.failed(number, t.call.id(), now());
                                    over(t, Clients.How.FAILED, 0);
                                }
                            },
                            this),
                    t.call.id(),
                    t.call.classIndex(),
                    t.call.key(),
                    Math.max(1, (t.deadlineAt - t.sentAt) / 1000),
                    now,
                    0,
                    t.ask.tenant,
                    false,
                    t.call);
        }

        private void over(Clients.Try t, Clients.How how, long retryAfterUs) {
            open.remove(t);
            world.clients.answered(t, how, retryAfterUs);
            endIfDone();
        }

        private boolean has(Clients.Try t) {
            return open.containsKey(t) || waiting.contains(t) || answering.contains(t);
        }

        private void gone(Clients.Try t) {
            if (still) {
                unread.add(() -> gone(t));
                return;
            }
            world.audit.left(number, t.call.id(), now());
            Core.RequestHandle<Call, Answer> exchange = open.remove(t);
            if (exchange != null) {
                core.abandoned(exchange);
            }
            waiting.remove(t);
            answering.remove(t);
            endIfDone();
        }

        private void endIfDone() {
            if (alive
                    && ending
                    && !listening
                    && open.isEmpty()
                    && waiting.isEmpty()
                    && answering.isEmpty()
                    && life == this) {
                life = null;
                world.audit.proxyEnded(number, now());
                end();
                startAgain(0);
            }
        }

        private void end() {
            alive = false;
            listening = false;
            discovery.stop();
            wire.die();
            List<Clients.Try> left = new ArrayList<>(open.keySet());
            left.addAll(waiting);
            left.addAll(answering);
            open.clear();
            waiting.clear();
            answering.clear();
            left.forEach(t -> world.clients.answered(t, Clients.How.BROKEN, 0));
        }
    }
}
