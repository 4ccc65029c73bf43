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
    private final ListVersionFilter versionFilter = new ListVersionFilter();
    private final AgentBackoff agentBackoff = new AgentBackoff();
    private long version = -1;
    private boolean listApplied;
    /** The latest call, or the watch that it opened; null if it has failed. */
    private Watch watch;
    /** The last call that timed out. It stays open, since its answer may still come; null if there is none. */
    private Watch timedOutCall;

    DiscoveryClient(World world, Time time, int proxy, int zone) {
        this.world = world;
        this.time = time;
        this.proxy = proxy;
        this.zone = zone;
    }

    void connect(Core<Call, Answer> core, EmulatedWire wire) {
        this.core = core;
        this.wire = wire;
    }

    Integer address(String hostId) {
        return addresses.get(hostId);
    }

    /** Opens a watch for changes since the current version, unless one is open. */
    void watch(long timeoutUs) {
        if (watch == null) {
            watch = new Watch(timeoutUs);
            watch.startTimeout();
            if (!world.settings.subscribe()) {
                core.discoveryCalled();
            }
            world.auditor.discoveryCalled(proxy, time.now());
            world.registry.call(watch);
        }
    }

    void stop() {
        giveUp(watch);
        watch = null;
        giveUp(timedOutCall);
        timedOutCall = null;
    }

    private void giveUp(Watch call) {
        if (call != null) {
            world.registry.closeWatch(call);
            call.end();
        }
    }

    /** Switches to a discovery service at a new address and calls it at once. */
    void discoveryMoved() {
        boolean callOpen = watch != null;
        long quietUs = callOpen ? watch.quietUs() : 0;
        stop();
        if (callOpen) {
            world.auditor.watchFailed(proxy, time.now(), false);
        }
        core.discoveryMoved(0, quietUs);
        watch(Wire.movedCallTimeoutUs(world.settings));
    }

    /** Applies the list that the process has from before its start, unless another one has come. */
    void applyCachedList(Registry.ListUpdate cachedList) {
        if (!listApplied) {
            applyUpdate(cachedList, Source.CACHED);
        }
    }

    /** Applies a list update, first to the wire and then to the balancer. */
    void applyUpdate(Registry.ListUpdate update, Source source) {
        world.auditor.listReceived(proxy, update.version(), source, update.entries(), time.now());
        boolean full = source != Source.DELTA;
        listApplied = true;
        version = full ? update.version() : Math.max(version, update.version());
        Set<String> removed = full ? new HashSet<>(addresses.keySet()) : new HashSet<>();
        List<Endpoint> endpoints = new ArrayList<>();
        for (Registry.Entry entry : versionFilter.newEntries(
                update.version(),
                full,
                update.entries(),
                entry -> entry.endpoint().id())) {
            Endpoint endpoint = entry.endpoint();
            endpoints.add(endpoint);
            removed.remove(endpoint.id());
            Integer oldAddress = endpoint.availability() == Availability.GONE
                    ? addresses.remove(endpoint.id())
                    : addresses.put(endpoint.id(), entry.address());
            if (oldAddress != null
                    && (oldAddress != entry.address() || endpoint.availability() != Availability.READY)) {
                wire.closeIdle(oldAddress);
            }
        }
        removed.stream().sorted().forEach(id -> wire.closeIdle(addresses.remove(id)));
        world.wiring.deliverList(core, source, endpoints, time);
    }

    /** A watch, or the call that opens it. */
    final class Watch extends Watcher {
        private Time.Timer timeout;
        private boolean over;
        /** Whether this side ended the watch by a timeout. */
        private boolean timedOut;

        private boolean begun;
        private boolean listReceived;
        /** When the last list came, or the response began. */
        private long lastListAt;
        /** When the last data or heartbeat came, if the watch has become unresponsive since; otherwise 0. */
        private long lastDataAt;

        private final long timeoutUs;
        private final long calledAt;

        private Watch(long timeoutUs) {
            this.timeoutUs = timeoutUs;
            this.calledAt = time.now();
            sentVersion = version;
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
        boolean ended() {
            return over;
        }

        void startTimeout() {
            timeout = time.after(timeoutUs, this::onCallTimeout);
        }

        /** As in the socket implementation, the call stays open beside the next one if the settings permit it. */
        private void onCallTimeout() {
            if (world.settings.unansweredCallsStayOpen()) {
                giveUp(timedOutCall);
                timedOutCall = this;
                watch = null;
                reportFailure();
            } else {
                onTimeout();
            }
        }

        @Override
        void begin() {
            boolean first = !begun;
            begun = true;
            cancelTimeout();
            lastListAt = time.now();
            if (first) {
                timeout = time.after(Wire.LIST_TIMEOUT_US, this::onTimeout);
            }
        }

        private void cancelTimeout() {
            lastDataAt = 0;
            if (timeout != null) {
                timeout.cancel();
                timeout = null;
            }
        }

        @Override
        void stopReceiving(long agoUs) {
            if (lastDataAt != 0) {
                return;
            }
            cancelTimeout();
            lastDataAt = time.now() - agoUs;
            timeout = time.after(Wire.WATCH_TIMEOUT_US - agoUs, this::onTimeout);
        }

        @Override
        void receive(Registry.ListUpdate update) {
            if (!over) {
                lastListAt = time.now();
                if (!listReceived) {
                    cancelTimeout();
                    listReceived = true;
                    onFirstList();
                }
                applyUpdate(update, update.full() ? Source.FULL : Source.DELTA);
                world.auditor.watching(proxy);
            }
        }

        /** A list has come: this is the watch from now on, and the only call. */
        private void onFirstList() {
            if (watch == this) {
                giveUp(timedOutCall);
            } else {
                giveUp(watch);
                watch = this;
                core.timedOutCallAnswered(time.now() - calledAt);
            }
            timedOutCall = null;
        }

        void end() {
            over = true;
            if (timeout != null) {
                timeout.cancel();
            }
        }

        private void onTimeout() {
            timedOut = true;
            fail();
        }

        @Override
        void receiveTruncated(Registry.ListUpdate update) {
            fail();
        }

        @Override
        void fail() {
            if (over) {
                return;
            }
            giveUp(this);
            if (watch == this) {
                watch = null;
                reportFailure();
            } else {
                timedOutCall = null;
            }
        }

        /** Time since the last list or heartbeat, microseconds. */
        private long quietUs() {
            return lastDataAt == 0 ? (time.now() - lastListAt) % Wire.HEARTBEAT_US : time.now() - lastDataAt;
        }

        private void reportFailure() {
            world.auditor.watchFailed(proxy, time.now(), !reset && !timedOut);
            if (!world.settings.subscribe()) {
                time.after(
                        begun ? agentBackoff.delayAfterWatchUs() : agentBackoff.delayAfterCallUs(),
                        () -> DiscoveryClient.this.watch(Wire.CALL_TIMEOUT_US));
            }
            if (!begun) {
                core.discoveryFailed(unreachable);
            } else if (timedOut || reset) {
                core.watchLost(quietUs());
            } else {
                core.watchEnded();
            }
        }
    }
}
