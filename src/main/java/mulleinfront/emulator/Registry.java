package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mulleinfront.Balancer.Availability;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.core.Wire;
import mulleinfront.settings.Range;

/**
 * The discovery service: its list of servers, which lags behind the servers' real state, and the watches on it. Calls
 * are processed one after another; a call that would wait longer than the timeout fails, as does any call while
 * discovery is down.
 */
final class Registry {
    /** A server as discovery lists it. */
    record Entry(Endpoint endpoint, int address) {}

    /** A list update: the full list or a delta. */
    record ListUpdate(long version, boolean full, List<Entry> entries) {}

    private static final Range NO_EXTRA_DELAY = Range.of(0);

    private final World world;
    private final Scenario.Discovery spec;
    private final RandomStream chance;
    /** All changes in order; an entry's index is its version minus one. */
    private final List<Entry> changes = new ArrayList<>();

    private final List<Long> changeTimes = new ArrayList<>();
    private final Map<String, Entry> listed = new LinkedHashMap<>();
    /** The full list, cached after the first request following a change, since thousands of watches may need it. */
    private ListUpdate fullList;

    private final Set<Watcher> watches = new LinkedHashSet<>();
    private boolean sendScheduled;
    /** When the changes since the last update are sent, if that is scheduled. */
    private long nextSendAt;

    private long busyUntil;
    private double otherCallsPerS;
    private boolean down;
    private boolean unresponsive;
    /** Client proxies that are individually partitioned from discovery. */
    private final Set<Integer> partitionedProxies = new HashSet<>();
    /**
     * Remaining faults by client proxy: calls to refuse, lists to truncate, and watches to end instead of sending an
     * update.
     */
    private final Map<Integer, Integer> remainingRefusals = new HashMap<>();

    private final Map<Integer, Integer> remainingTruncations = new HashMap<>();
    private final Map<Integer, Integer> remainingEndings = new HashMap<>();
    /** Calls that an agent has not answered yet, because it is silent. */
    private final List<Watcher> heldCalls = new ArrayList<>();
    /** Remaining lists to stop halfway, by client proxy; {@link #pauseRange} is how long they stop. */
    private final Map<Integer, Integer> remainingPauses = new HashMap<>();

    private Range pauseRange = Range.of(0);
    private Range extraUpdateDelay = NO_EXTRA_DELAY;
    private int shuffleBatchSize;
    private final List<Runnable> shuffledDeliveries = new ArrayList<>();
    long calls;
    long failedCalls;

    Registry(World world, RandomStream chance) {
        this.world = world;
        this.spec = world.scenario.discovery();
        this.chance = chance;
    }

    /** Reports a change of a server's state; discovery notices it after a drawn delay. */
    void serverChanged(Host host, Availability availability, boolean silently) {
        Entry entry = new Entry(host.listed(availability), host.address);
        Range notice = silently
                ? spec.silentNoticeDelay()
                : availability == Availability.READY ? spec.updateDelay() : spec.noticeDelay();
        world.queue.after((long) notice.draw(chance::uniformBetween), () -> recordChange(entry));
    }

    /** Records a change at once, as for the state at the start of the run. */
    void recordChange(Entry entry) {
        // A change of an earlier incarnation of the server is ignored.
        Entry current = listed.get(entry.endpoint().id());
        if (current != null
                && entry.endpoint().startedAtUs() < current.endpoint().startedAtUs()) {
            return;
        }
        changes.add(entry);
        changeTimes.add(world.queue.now());
        fullList = null;
        if (entry.endpoint().availability() == Availability.GONE) {
            listed.remove(entry.endpoint().id());
        } else {
            listed.put(entry.endpoint().id(), entry);
        }
        scheduleSend();
        // An agent has a change once it has been sent.
        world.auditor.listedByDiscovery(
                entry.endpoint(), !spec.polled() && sendScheduled ? nextSendAt : world.queue.now());
    }

    private void scheduleSend() {
        if (!sendScheduled && !watches.isEmpty()) {
            sendScheduled = true;
            long delayUs = (long) spec.updateDelay().draw(chance::uniformBetween);
            nextSendAt = world.queue.now() + delayUs;
            world.queue.after(delayUs, () -> {
                sendScheduled = false;
                for (Watcher watcher : List.copyOf(watches)) {
                    sendUpdate(watcher, extraUpdateDelay);
                }
            });
        }
    }

    long version() {
        return changes.size();
    }

    /** The current full list. */
    ListUpdate fullList() {
        if (fullList == null) {
            fullList = new ListUpdate(version(), true, List.copyOf(listed.values()));
        }
        return fullList;
    }

    /** The full list as it was at an instant. */
    ListUpdate listAt(long instant) {
        Map<String, Entry> listedThen = new LinkedHashMap<>();
        long version = 0;
        for (int i = 0; i < changes.size() && changeTimes.get(i) <= instant; i++) {
            Entry entry = changes.get(i);
            version = i + 1;
            if (entry.endpoint().availability() == Availability.GONE) {
                listedThen.remove(entry.endpoint().id());
            } else {
                listedThen.put(entry.endpoint().id(), entry);
            }
        }
        return new ListUpdate(version, true, List.copyOf(listedThen.values()));
    }

    /**
     * Sends a watch the changes after the version it has.
     *
     * @param extraDelay additional time that they take to arrive, microseconds
     */
    private void sendUpdate(Watcher watcher, Range extraDelay) {
        long from = watcher.sentVersion;
        if (down
                || unresponsive
                || partitionedProxies.contains(watcher.proxy())
                || watcher.pausing
                || from >= version() && from >= 0) {
            return;
        }
        if (consume(remainingEndings, watcher.proxy())) {
            watches.remove(watcher);
            world.queue.after(world.network.delay(watcher.zone(), 0), watcher::fail);
            return;
        }
        ListUpdate update = from < 0 || version() - from > 2L * listed.size() + 16
                ? fullList()
                : new ListUpdate(version(), false, List.copyOf(changes.subList((int) from, changes.size())));
        watcher.sentVersion = version();
        if (consume(remainingTruncations, watcher.proxy())) {
            watches.remove(watcher);
            world.queue.after(delayTo(watcher, extraDelay), () -> watcher.receiveTruncated(update));
            return;
        }
        if (consume(remainingPauses, watcher.proxy())) {
            long beginsIn = delayTo(watcher, extraDelay);
            watcher.pausing = true;
            world.queue.after(beginsIn, () -> watcher.receiveFirstHalf(update));
            world.queue.after(
                    beginsIn + (long) pauseRange.draw(chance::uniformBetween), () -> resumeList(watcher, update));
            return;
        }
        Runnable delivery = () -> watcher.receive(update);
        if (shuffleBatchSize > 0) {
            shuffledDeliveries.add(delivery);
            if (shuffledDeliveries.size() >= shuffleBatchSize) {
                deliverShuffled();
            }
        } else {
            world.queue.after(delayTo(watcher, extraDelay), delivery);
        }
    }

    /** Sends the rest of a list that had stopped halfway, and then later changes. */
    private void resumeList(Watcher watcher, ListUpdate update) {
        watcher.pausing = false;
        if (!watcher.ended()) {
            watcher.receive(update);
            sendUpdate(watcher, extraUpdateDelay);
        }
    }

    private long delayTo(Watcher watcher, Range extraDelay) {
        return world.network.delay(watcher.zone(), 0) + (long) extraDelay.draw(chance::uniformBetween);
    }

    private void deliverShuffled() {
        for (int i = shuffledDeliveries.size() - 1; i > 0; i--) {
            Collections.swap(shuffledDeliveries, i, chance.uniformBelow(i + 1));
        }
        shuffledDeliveries.forEach(Runnable::run);
        shuffledDeliveries.clear();
    }

    /** Adds load from other callers, in calls per second; queued callers do not give up. */
    void otherCallsPerS(double perSecond) {
        boolean begins = otherCallsPerS == 0 && perSecond > 0;
        otherCallsPerS = perSecond;
        if (begins) {
            scheduleOtherCall();
        }
    }

    private void scheduleOtherCall() {
        if (otherCallsPerS > 0) {
            if (busyUntil - world.queue.now() <= spec.timeoutUs()) {
                busyUntil = Math.max(busyUntil, world.queue.now()) + spec.callUs();
            }
            world.queue.after((long) chance.exponential(1e6 / otherCallsPerS), this::scheduleOtherCall);
        }
    }

    /** Processes a discovery call that opens a watch. */
    void call(Watcher watcher) {
        calls++;
        answer(watcher);
    }

    private void answer(Watcher watcher) {
        long now = world.queue.now();
        if (down || consume(remainingRefusals, watcher.proxy())) {
            failedCalls++;
            watcher.unreachable = down;
            watcher.reset = down;
            world.queue.after(world.network.delay(watcher.zone(), 0), watcher::fail);
            return;
        }
        if (unresponsive || partitionedProxies.contains(watcher.proxy())) {
            failedCalls++;
            if (!spec.polled()) {
                heldCalls.add(watcher);
            }
            return;
        }
        long cost = spec.polled() ? spec.callUs() : 0;
        busyUntil = Math.max(busyUntil, now);
        if (busyUntil - now > spec.timeoutUs()) {
            failedCalls++;
            world.queue.after(world.network.delay(watcher.zone(), 0), watcher::fail);
            return;
        }
        // A call that has begun takes its processing time even if the caller has given up.
        busyUntil += cost;
        if (busyUntil - now > spec.timeoutUs()) {
            failedCalls++;
            world.queue.after(spec.timeoutUs(), watcher::fail);
            return;
        }
        world.queue.after(busyUntil - now + delayTo(watcher, extraUpdateDelay), () -> {
            if (down) {
                watcher.fail();
            } else if (!unresponsive && !watcher.ended() && !partitionedProxies.contains(watcher.proxy())) {
                watches.add(watcher);
                watcher.begin();
                if (watcher.sentVersion >= version()) {
                    // Nothing changed since the caller's version, so the response is an empty delta.
                    watcher.receive(new ListUpdate(version(), false, List.of()));
                } else {
                    // The whole answer has been delayed already.
                    sendUpdate(watcher, NO_EXTRA_DELAY);
                }
            }
        });
    }

    void closeWatch(Watcher watcher) {
        watches.remove(watcher);
    }

    /** Consumes one remaining fault of a client proxy; false if none is left. */
    private static boolean consume(Map<Integer, Integer> remaining, int proxy) {
        int count = remaining.getOrDefault(proxy, 0);
        if (count > 0) {
            remaining.put(proxy, count - 1);
        }
        return count > 0;
    }

    private void setForAll(Map<Integer, Integer> remaining, int each) {
        for (int i = 0; i < world.scenario.proxies().count(); i++) {
            remaining.put(i, each);
        }
    }

    /** Refuses the next {@code each} calls of each client proxy at once. */
    void refuseCalls(int each) {
        setForAll(remainingRefusals, each);
    }

    /** Truncates the next {@code each} lists to each client proxy and ends the watch with them. */
    void truncateLists(int each) {
        setForAll(remainingTruncations, each);
    }

    /** Stops the next {@code each} lists to each client proxy halfway for a drawn time, then sends the rest. */
    void pauseLists(int each, Range forUs) {
        pauseRange = forUs;
        setForAll(remainingPauses, each);
    }

    /** Ends each client proxy's watch instead of sending an update, for its next {@code each} updates. */
    void endInsteadOfUpdating(int each) {
        setForAll(remainingEndings, each);
    }

    /**
     * Sets whether discovery is down: watches end and calls fail. An agent that pushes lists is silent meanwhile.
     */
    void down(boolean isDown) {
        if (!spec.polled()) {
            unresponsive(isDown);
            return;
        }
        down = isDown;
        world.auditor.deadlines().discoveryReachable(!down && !unresponsive, world.queue.now());
        if (isDown) {
            resetWatches();
        }
    }

    /** Resets all open watches; new calls are answered as before. */
    void resetWatches() {
        for (Watcher watcher : List.copyOf(watches)) {
            watcher.reset = true;
            world.queue.after(world.network.delay(watcher.zone(), 0), watcher::fail);
        }
        watches.clear();
    }

    /** Stops sending on all open watches without closing them; new calls are answered as before. */
    void stallWatches() {
        List.copyOf(watches).forEach(watcher -> unresponsive(watcher, true));
        watches.clear();
    }

    /**
     * Sets whether discovery is unresponsive: watches stay open without data or heartbeats, and calls get no
     * response; an agent that pushes lists answers them later, when it is responsive again.
     */
    void unresponsive(boolean on) {
        unresponsive = on;
        world.auditor.deadlines().discoveryReachable(!down && !unresponsive, world.queue.now());
        List.copyOf(watches).forEach(watcher -> unresponsive(watcher, on));
        if (!on) {
            answerHeldCalls();
        }
    }

    /** Answers the calls that an agent has held while it was silent; those of an agent that still is are held on. */
    private void answerHeldCalls() {
        List<Watcher> held = List.copyOf(heldCalls);
        heldCalls.clear();
        held.stream().filter(watcher -> !watcher.ended()).forEach(this::answer);
    }

    private void unresponsive(Watcher watcher, boolean on) {
        if (on) {
            world.auditor.deadlines().watchUnresponsive(watcher.proxy(), world.queue.now());
            watcher.stopReceiving((long) (Wire.HEARTBEAT_US * chance.uniform()));
        } else {
            world.auditor.watching(watcher.proxy());
            watcher.begin();
            sendUpdate(watcher, extraUpdateDelay);
        }
    }

    /** Partitions one client proxy from discovery: its watch gets no data and its calls get no response. */
    void partition(int proxy, boolean on) {
        if (on ? partitionedProxies.add(proxy) : partitionedProxies.remove(proxy)) {
            world.auditor.deadlines().proxyConnected(proxy, !on, world.queue.now());
            watches.stream()
                    .filter(watcher -> watcher.proxy() == proxy)
                    .toList()
                    .forEach(watcher -> unresponsive(watcher, on));
            if (!on) {
                answerHeldCalls();
            }
        }
    }

    /** Delays list updates by an additional drawn time. */
    void delayUpdates(Range by) {
        extraUpdateDelay = by;
    }

    /** Delivers list updates in random order, in batches of this size; 0 ends the fault. */
    void shuffleLists(int lists) {
        shuffleBatchSize = lists;
        if (lists == 0) {
            deliverShuffled();
        }
    }
}
