package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mulleinfront.Balancer.Availability;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Source;
import mulleinfront.core.AgentBackoff;
import mulleinfront.core.Core;
import mulleinfront.core.ListVersionFilter;
import mulleinfront.core.Time;
import mulleinfront.core.Wire;

/** A client proxy's side of discovery: its watch and its list, by the same steps as the socket implementation. */
final class DiscoveryClient {
    private final World world;
    private final Time time;
    private final int proxy;
    private final int zone;
    private final Map<String, Integer> addresses = new HashMap<>();
    private Core<Call, Answer> core;
    private EmulatedWire wire;
    private final ListVersionFilter order = new ListVersionFilter();
    private final AgentBackoff agent = new AgentBackoff();
    private long version = -1;
    private Watch watch;

    DiscoveryClient(World world, Time time, int proxy, int zone) {
        this.world = world;
        this.time = time;
        this.proxy = proxy;
        this.zone = zone;
    }

    void join(Core<Call, Answer> core, EmulatedWire wire) {
        this.core = core;
        this.wire = wire;
    }

    Integer address(String hostId) {
        return addresses.get(hostId);
    }

    /** Opens a watch for changes since the current version, unless one is open. */
    void watch(long patienceUs) {
        if (watch == null) {
            watch = new Watch(patienceUs);
            watch.waits();
            world.audit.asked(proxy, time.now());
            world.registry.call(watch);
        }
    }

    void stop() {
        if (watch != null) {
            world.registry.leave(watch);
            watch.end();
            watch = null;
        }
    }

    /** Switches to a discovery service at a new address and calls it at once. */
    void move() {
        if (watch != null) {
            stop();
            world.audit.watchFailed(proxy, time.now(), false);
        }
        core.discoveryMoved(0);
        watch(Wire.movedCallTimeoutUs(world.scenario.rules().askWithinUs()));
    }

    /** Applies a list update, first to the wire and then to the balancer. */
    void take(Registry.News news, Source source) {
        world.audit.told(proxy, news.version(), source, news.entries(), time.now());
        boolean whole = source != Source.DELTA;
        version = whole ? news.version() : Math.max(version, news.version());
        Set<String> left = whole ? new HashSet<>(addresses.keySet()) : new HashSet<>();
        List<Endpoint> endpoints = new ArrayList<>();
        for (Registry.Entry e : order.newEntries(
                news.version(), whole, news.entries(), e -> e.endpoint().id())) {
            Endpoint endpoint = e.endpoint();
            endpoints.add(endpoint);
            left.remove(endpoint.id());
            Integer before = endpoint.availability() == Availability.GONE
                    ? addresses.remove(endpoint.id())
                    : addresses.put(endpoint.id(), e.address());
            if (before != null && (before != e.address() || endpoint.availability() != Availability.READY)) {
                wire.hangUp(before);
            }
        }
        left.stream().sorted().forEach(id -> wire.hangUp(addresses.remove(id)));
        world.fitting.listed(core, source, endpoints, time);
    }

    /** A watch, or the call that opens it. */
    final class Watch extends Watcher {
        private Time.Timer patience;
        private boolean over;
        /** Whether this side ended the watch by a timeout. */
        private boolean givenUp;

        private boolean heard;
        private boolean listed;
        /** When the last data or heartbeat came, if the watch has become unresponsive since; otherwise 0. */
        private long heardAt;

        private final long patienceUs;
        private final long calledAt;

        private Watch(long patienceUs) {
            this.patienceUs = patienceUs;
            this.calledAt = time.now();
            toldTo = version;
        }

        @Override
        int zone() {
            return zone;
        }

        @Override
        int proxy() {
            return proxy;
        }

        @Override
        boolean over() {
            return over;
        }

        void waits() {
            patience = time.after(patienceUs, this::giveUp);
        }

        @Override
        void begin() {
            boolean first = !heard;
            heard = true;
            quiet();
            if (first) {
                patience = time.after(Wire.LIST_TIMEOUT_US, this::giveUp);
            }
        }

        private void quiet() {
            heardAt = 0;
            if (patience != null) {
                patience.cancel();
                patience = null;
            }
        }

        @Override
        void silence(long agoUs) {
            quiet();
            heardAt = time.now() - agoUs;
            patience = time.after(Wire.WATCH_TIMEOUT_US - agoUs, this::giveUp);
        }

        @Override
        void hear(Registry.News news) {
            if (!over && watch == this) {
                if (!listed) {
                    quiet();
                    listed = true;
                }
                take(news, news.full() ? Source.FULL : Source.DELTA);
                world.audit.watching(proxy);
            }
        }

        void end() {
            over = true;
            if (patience != null) {
                patience.cancel();
            }
        }

        private void giveUp() {
            givenUp = true;
            fail();
        }

        @Override
        void cutShort(Registry.News news) {
            fail();
        }

        @Override
        void fail() {
            if (over || watch != this) {
                return;
            }
            end();
            watch = null;
            world.registry.leave(this);
            world.audit.watchFailed(proxy, time.now(), !reset && !givenUp);
            if (!world.scenario.discovery().asked()) {
                time.after(
                        heard ? agent.delayAfterWatchUs() : agent.delayAfterCallUs(),
                        () -> DiscoveryClient.this.watch(Wire.CALL_TIMEOUT_US));
            } else if (!heard) {
                boolean silent = givenUp && time.now() - calledAt >= 1_000 * Wire.MAX_DISCOVERY_WAIT_MS;
                core.discoveryFailed(unreachable || silent);
            } else if (givenUp || reset) {
                core.watchLost(heardAt == 0 ? 0 : time.now() - heardAt);
            } else {
                core.watchEnded();
            }
        }
    }
}
