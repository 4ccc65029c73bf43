package mulleinfront.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
    private static final long LIVE_MEMBERS_POLL_US = 1_000_000;

    private final World world;
    private final int number;
    private final int zone;
    private final Core.BalancerFactory factory;
    private final RandomStream chance;
    private ProxyProcess process;

    Proxy(World world, int number, int zone, Core.BalancerFactory factory) {
        this.world = world;
        this.number = number;
        this.zone = zone;
        this.factory = factory;
        this.chance = world.chance("proxy " + number);
    }

    @Override
    boolean running() {
        return process != null && process.listening;
    }

    @Override
    boolean hasReadyServers() {
        return process != null && process.core.hasReadyEndpoints();
    }

    int openRequests() {
        return process == null ? 0 : process.core.openRequests();
    }

    int connections() {
        return process == null ? 0 : process.wire.connections();
    }

    /** Starts a process, which accepts requests at once. */
    void start(Registry.ListUpdate known) {
        if (process == null) {
            starts++;
            readyAt = world.queue.now();
            if (starts > 1) {
                world.statistics.proxyRestarted(readyAt);
            }
            world.auditor.proxyStarted(number, world.queue.now());
            process = new ProxyProcess();
            process.begin(known);
            if (world.fleet != null) {
                world.fleet.start(number);
                world.fleet.member(number).addListener(process);
                process.updateLiveInstances();
            }
        }
    }

    /**
     * SIGKILL: clients must retry the requests that were open. The proxy restarts after its start time and {@code
     * awayUs}.
     */
    @Override
    void kill(long awayUs) {
        if (process != null) {
            ProxyProcess killed = process;
            process = null;
            world.auditor.proxyKilled(number);
            killed.terminate();
            scheduleRestart(awayUs);
        }
    }

    private void scheduleRestart(long awayUs) {
        if (world.fleet != null) {
            world.fleet.kill(number);
        }
        world.queue.after(world.scenario.proxies().startUs() + awayUs, () -> start(world.initialList()));
    }

    /** SIGSTOP: no input is read and no timer fires until the process resumes. */
    @Override
    void pause(long durationUs) {
        if (process == null || process.paused) {
            return;
        }
        ProxyProcess stopped = process;
        stopped.paused = true;
        world.auditor.proxyPaused(number, true, world.queue.now());
        if (world.fleet != null) {
            world.fleet.pause(number);
        }
        world.queue.after(durationUs, () -> {
            if (process == stopped) {
                stopped.resume();
                if (world.fleet != null) {
                    world.fleet.resume(number);
                }
            }
            world.auditor.proxyPaused(number, false, world.queue.now());
        });
    }

    /** SIGTERM: the process accepts late requests for a short time, finishes its open requests and ends. */
    @Override
    void terminate() {
        if (process == null || process.ending) {
            return;
        }
        ProxyProcess ending = process;
        if (ending.paused) {
            ending.deferred.add(this::terminate);
            return;
        }
        ending.ending = true;
        if (world.fleet != null) {
            world.fleet.leave(number);
        }
        world.queue.after(world.scenario.proxies().lateRequestsUs(), () -> {
            ending.listening = false;
            ending.endIfDone();
        });
        world.queue.after(world.scenario.proxies().killAfterUs(), () -> {
            if (process == ending) {
                world.auditor.proxyEnded(number, world.queue.now());
                kill(0);
            }
        });
    }

    /** Discovery has no address in the simulation, so a move only makes the proxy open a new watch. */
    @Override
    void reload() {
        if (process != null && !process.ending) {
            ProxyProcess reloading = process;
            reloading.runOrDefer(reloading.discovery::discoveryMoved);
        }
    }

    /**
     * Accepts a try whose last byte has arrived. The client is notified of the result, or of a broken connection if
     * the process dies.
     */
    @Override
    void accept(Clients.Try clientTry) {
        process.accept(clientTry);
    }

    @Override
    void clientDisconnected(Clients.Try clientTry) {
        if (process != null && process.isOpen(clientTry)) {
            process.clientDisconnected(clientTry);
        }
    }

    /** One process of the client proxy. */
    private final class ProxyProcess implements Time, EmulatedWire.PausableProcess, Fleet.Listener {
        private final DiscoveryClient discovery = new DiscoveryClient(world, this, number, zone);
        private final EmulatedWire wire =
                new EmulatedWire(world, this, this, number, zone, discovery, this::maxIdleConnections);
        private final Core<Call, Answer> core = new Core<>(
                world.settings.forInstance(number, world.settings.instances()),
                this,
                world.wiring.wire(wire, this),
                world.auditor::unexpectedException);
        private final Map<Clients.Try, Core.RequestHandle<Call, Answer>> open = new LinkedHashMap<>();
        /** Tries that wait for CPU time before they reach the core. */
        private final Set<Clients.Try> waitingForCpu = new LinkedHashSet<>();
        /** Tries whose responses wait for CPU time. */
        private final Set<Clients.Try> responding = new LinkedHashSet<>();

        private final Scenario.Cpu cpu = world.scenario.proxies().cpu();
        private long cpuFreeAt;
        private long requests;
        /** Input and timers that become due while the process is paused. */
        private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();

        private boolean paused;
        private boolean alive = true;
        private boolean listening = true;
        private boolean ending;

        private int maxIdleConnections() {
            return core.maxIdleConnections();
        }

        void begin(Registry.ListUpdate known) {
            discovery.connect(core, wire);
            core.createBalancer(factory, chance.nextLong());
            core.setObserver((now, why) -> world.requestUnserved(number, now, why));
            if (world.settings.subscribe()) {
                discovery.applyCachedList(known);
            } else {
                discovery.watch(Wire.CALL_TIMEOUT_US);
                after(Wire.AGENT_START_TIMEOUT_US, () -> discovery.applyCachedList(known));
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
            if (!world.pausesProxies) {
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
                    () -> runOrDefer(() -> {
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
        public void runOrDefer(Runnable task) {
            if (paused) {
                deferred.add(task);
            } else if (alive) {
                task.run();
            }
        }

        private void resume() {
            paused = false;
            while (alive && !paused && !deferred.isEmpty()) {
                deferred.poll().run();
            }
        }

        /** Reports the number of live members, among which the servers' sustainable load is divided. */
        private void updateLiveInstances() {
            core.setLiveInstances(world.fleet.member(number).liveMembers(now()));
            after(LIVE_MEMBERS_POLL_US, this::updateLiveInstances);
        }

        @Override
        public void changed(Change change) {
            core.setLiveInstances(world.fleet.member(number).liveMembers(now()));
        }

        private void accept(Clients.Try clientTry) {
            long now = now();
            runOrDefer(() -> accepted(clientTry, now));
        }

        private void accepted(Clients.Try clientTry, long now) {
            world.auditor.requestAccepted(
                    number, clientTry.call.id(), clientTry.call.classIndex(), now, clientTry.deadlineAt);
            world.lossAttribution.tryAccepted(clientTry.call.id());
            if (clientTry.call.graphCall() != null) {
                clientTry.call.graphCall().accepted(now());
            }
            waitingForCpu.add(clientTry);
            runOnCpu(cpu.halfUs(requests++), () -> {
                if (waitingForCpu.remove(clientTry)) {
                    passToCore(clientTry, now);
                }
            });
        }

        /** Runs a task after {@code us} of CPU time on the single thread, behind earlier work. */
        private void runOnCpu(long us, Runnable then) {
            if (us == 0) {
                then.run();
                return;
            }
            cpuFreeAt = Math.max(cpuFreeAt, now()) + us;
            after(cpuFreeAt - now(), then);
        }

        private void passToCore(Clients.Try clientTry, long now) {
            core.accept(
                    world.wiring.responseHandler(
                            new ResponseHandler<Call, Answer>() {
                                @Override
                                public void opened(Core.RequestHandle<Call, Answer> handle) {
                                    open.put(clientTry, handle);
                                }

                                @Override
                                public void served(Answer answer) {
                                    open.remove(clientTry);
                                    responding.add(clientTry);
                                    runOnCpu(cpu.halfUs(requests), () -> {
                                        if (responding.remove(clientTry)) {
                                            world.auditor.served(
                                                    number, clientTry.call.id(), answer.requestId(), now());
                                            if (clientTry.call.graphCall() != null) {
                                                clientTry.call.graphCall().answered(now());
                                            }
                                            finish(clientTry, Clients.TryResult.SERVED, 0);
                                        }
                                    });
                                }

                                @Override
                                public void refused(long retryAfterUs) {
                                    world.auditor.refused(number, clientTry.call.id(), now());
                                    world.lossAttribution.tryRefused(clientTry.call.id());
                                    finish(clientTry, Clients.TryResult.REFUSED, retryAfterUs);
                                }

                                @Override
                                public void failed(boolean timeUp) {
                                    world.auditor.failed(number, clientTry.call.id(), now());
                                    finish(clientTry, Clients.TryResult.FAILED, 0);
                                }
                            },
                            this),
                    clientTry.call.id(),
                    clientTry.call.classIndex(),
                    clientTry.call.key(),
                    Math.max(1, (clientTry.deadlineAt - clientTry.sentAt) / 1000),
                    now,
                    0,
                    clientTry.request.tenant,
                    false,
                    clientTry.call);
        }

        private void finish(Clients.Try clientTry, Clients.TryResult result, long retryAfterUs) {
            open.remove(clientTry);
            world.clients.deliverResult(clientTry, result, retryAfterUs);
            endIfDone();
        }

        private boolean isOpen(Clients.Try clientTry) {
            return open.containsKey(clientTry) || waitingForCpu.contains(clientTry) || responding.contains(clientTry);
        }

        private void clientDisconnected(Clients.Try clientTry) {
            if (paused) {
                deferred.add(() -> clientDisconnected(clientTry));
                return;
            }
            world.auditor.clientDisconnected(number, clientTry.call.id(), now());
            Core.RequestHandle<Call, Answer> handle = open.remove(clientTry);
            if (handle != null) {
                core.abandoned(handle);
            }
            waitingForCpu.remove(clientTry);
            responding.remove(clientTry);
            endIfDone();
        }

        private void endIfDone() {
            if (alive
                    && ending
                    && !listening
                    && open.isEmpty()
                    && waitingForCpu.isEmpty()
                    && responding.isEmpty()
                    && process == this) {
                process = null;
                world.auditor.proxyEnded(number, now());
                terminate();
                scheduleRestart(0);
            }
        }

        private void terminate() {
            alive = false;
            listening = false;
            discovery.stop();
            wire.resetAll();
            List<Clients.Try> unanswered = new ArrayList<>(open.keySet());
            unanswered.addAll(waitingForCpu);
            unanswered.addAll(responding);
            open.clear();
            waitingForCpu.clear();
            responding.clear();
            unanswered.forEach(clientTry -> world.clients.deliverResult(clientTry, Clients.TryResult.BROKEN, 0));
        }
    }
}
