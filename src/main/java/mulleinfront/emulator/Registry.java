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
    record News(long version, boolean full, List<Entry> entries) {}

    /** Interval of heartbeats on a watch. */
    static final long HEARTBEAT_US = 2_000_000;

    private final World world;
    private final Scenario.Discovery spec;
    private final Chance chance;
    /** All changes in order; an entry's index is its version minus one. */
    private final List<Entry> log = new ArrayList<>();

    private final List<Long> loggedAt = new ArrayList<>();
    private final Map<String, Entry> present = new LinkedHashMap<>();
    /** The full list, cached after the first request following a change, since thousands of watches may need it. */
    private News whole;

    private final Set<Watcher> watches = new LinkedHashSet<>();
    private boolean announcing;
    private long busyUntil;
    private double crowd;
    private boolean down;
    private boolean silent;
    /** Client proxies that are individually partitioned from discovery. */
    private final Set<Integer> cut = new HashSet<>();
    /**
     * Remaining faults by client proxy: calls to refuse, lists to truncate, and watches to end instead of sending an
     * update.
     */
    private final Map<Integer, Integer> refusals = new HashMap<>();

    private final Map<Integer, Integer> cutShort = new HashMap<>();
    private final Map<Integer, Integer> endings = new HashMap<>();
    /** Remaining lists to stop halfway, by client proxy; {@code pause} is how long they stop. */
    private final Map<Integer, Integer> pauses = new HashMap<>();

    private Range pause = Range.of(0);
    private Range late = Range.of(0);
    private int shuffle;
    private final List<Runnable> shuffled = new ArrayList<>();
    long calls;
    long failedCalls;

    Registry(World world, Chance chance) {
        this.world = world;
        this.spec = world.scenario.discovery();
        this.chance = chance;
    }

    /** Reports a change of a server's state; discovery notices it after a drawn delay. */
    void happened(Host host, Availability availability, boolean silently) {
        Entry entry = new Entry(host.listed(availability), host.address);
        Range notice =
                silently ? spec.silentNotice() : availability == Availability.READY ? spec.period() : spec.notice();
        world.queue.after((long) notice.draw(chance::between), () -> know(entry));
    }

    /** Records a change at once, as for the state at the start of the run. */
    void know(Entry entry) {
        // A change of an earlier incarnation of the server is ignored.
        Entry held = present.get(entry.endpoint().id());
        if (held != null && entry.endpoint().startedAtUs() < held.endpoint().startedAtUs()) {
            return;
        }
        log.add(entry);
        loggedAt.add(world.queue.now());
        whole = null;
        if (entry.endpoint().availability() == Availability.GONE) {
            present.remove(entry.endpoint().id());
        } else {
            present.put(entry.endpoint().id(), entry);
        }
        world.audit.listedByDiscovery(entry.endpoint(), world.queue.now());
        announce();
    }

    private void announce() {
        if (!announcing && !watches.isEmpty()) {
            announcing = true;
            world.queue.after((long) spec.period().draw(chance::between), () -> {
                announcing = false;
                for (Watcher w : List.copyOf(watches)) {
                    tell(w);
                }
            });
        }
    }

    long version() {
        return log.size();
    }

    /** The current full list. */
    News whole() {
        if (whole == null) {
            whole = new News(version(), true, List.copyOf(present.values()));
        }
        return whole;
    }

    /** The full list as it was at an instant. */
    News at(long instant) {
        Map<String, Entry> then = new LinkedHashMap<>();
        long version = 0;
        for (int i = 0; i < log.size() && loggedAt.get(i) <= instant; i++) {
            Entry e = log.get(i);
            version = i + 1;
            if (e.endpoint().availability() == Availability.GONE) {
                then.remove(e.endpoint().id());
            } else {
                then.put(e.endpoint().id(), e);
            }
        }
        return new News(version, true, List.copyOf(then.values()));
    }

    /** Sends a watch the changes after the version it has. */
    private void tell(Watcher w) {
        long from = w.toldTo;
        if (down || silent || cut.contains(w.proxy()) || w.pausing || from >= version() && from >= 0) {
            return;
        }
        if (due(endings, w.proxy())) {
            watches.remove(w);
            world.queue.after(world.network.delay(w.zone(), 0), w::fail);
            return;
        }
        News news = from < 0 || version() - from > 2L * present.size() + 16
                ? whole()
                : new News(version(), false, List.copyOf(log.subList((int) from, log.size())));
        w.toldTo = version();
        if (due(cutShort, w.proxy())) {
            watches.remove(w);
            world.queue.after(way(w), () -> w.cutShort(news));
            return;
        }
        if (due(pauses, w.proxy())) {
            long beginsIn = way(w);
            w.pausing = true;
            world.queue.after(beginsIn, () -> w.begins(news));
            world.queue.after(beginsIn + (long) pause.draw(chance::between), () -> goesOn(w, news));
            return;
        }
        Runnable delivery = () -> w.hear(news);
        if (shuffle > 0) {
            shuffled.add(delivery);
            if (shuffled.size() >= shuffle) {
                deliverShuffled();
            }
        } else {
            world.queue.after(way(w), delivery);
        }
    }

    /** Sends the rest of a list that had stopped halfway, and then later changes. */
    private void goesOn(Watcher w, News news) {
        w.pausing = false;
        if (!w.over()) {
            w.hear(news);
            tell(w);
        }
    }

    private long way(Watcher w) {
        return world.network.delay(w.zone(), 0) + (long) late.draw(chance::between);
    }

    private void deliverShuffled() {
        for (int i = shuffled.size() - 1; i > 0; i--) {
            Collections.swap(shuffled, i, chance.below(i + 1));
        }
        shuffled.forEach(Runnable::run);
        shuffled.clear();
    }

    /** Adds load from other callers, in calls per second; queued callers do not give up. */
    void crowd(double perSecond) {
        boolean begins = crowd == 0 && perSecond > 0;
        crowd = perSecond;
        if (begins) {
            crowdCalls();
        }
    }

    private void crowdCalls() {
        if (crowd > 0) {
            if (busyUntil - world.queue.now() <= spec.timeoutUs()) {
                busyUntil = Math.max(busyUntil, world.queue.now()) + spec.callUs();
            }
            world.queue.after((long) chance.exponential(1e6 / crowd), this::crowdCalls);
        }
    }

    /** Processes a discovery call that opens a watch. */
    void call(Watcher w) {
        calls++;
        long now = world.queue.now();
        if (down || due(refusals, w.proxy())) {
            failedCalls++;
            w.unreachable = down;
            w.reset = down;
            world.queue.after(world.network.delay(w.zone(), 0), w::fail);
            return;
        }
        if (silent || cut.contains(w.proxy())) {
            failedCalls++;
            return;
        }
        long cost = spec.asked() ? spec.callUs() : 0;
        busyUntil = Math.max(busyUntil, now);
        if (busyUntil - now > spec.timeoutUs()) {
            failedCalls++;
            world.queue.after(world.network.delay(w.zone(), 0), w::fail);
            return;
        }
        // A call that has begun takes its processing time even if the caller has given up.
        busyUntil += cost;
        if (busyUntil - now > spec.timeoutUs()) {
            failedCalls++;
            world.queue.after(spec.timeoutUs(), w::fail);
            return;
        }
        world.queue.after(busyUntil - now + way(w), () -> {
            if (down) {
                w.fail();
            } else if (!silent && !w.over() && !cut.contains(w.proxy())) {
                watches.add(w);
                w.begin();
                if (w.toldTo >= version()) {
                    // Nothing changed since the caller's version, so the response is an empty delta.
                    w.hear(new News(version(), false, List.of()));
                } else {
                    tell(w);
                }
            }
        });
    }

    void leave(Watcher w) {
        watches.remove(w);
    }

    /** Consumes one remaining fault of a client proxy; false if none is left. */
    private static boolean due(Map<Integer, Integer> left, int proxy) {
        int n = left.getOrDefault(proxy, 0);
        if (n > 0) {
            left.put(proxy, n - 1);
        }
        return n > 0;
    }

    private void setForAll(Map<Integer, Integer> left, int each) {
        for (int i = 0; i < world.scenario.proxies().count(); i++) {
            left.put(i, each);
        }
    }

    /** Refuses the next {@code each} calls of each client proxy at once. */
    void refuseCalls(int each) {
        setForAll(refusals, each);
    }

    /** Truncates the next {@code each} lists to each client proxy and ends the watch with them. */
    void cutLists(int each) {
        setForAll(cutShort, each);
    }

    /** Stops the next {@code each} lists to each client proxy halfway for a drawn time, then sends the rest. */
    void pauseLists(int each, Range forUs) {
        pause = forUs;
        setForAll(pauses, each);
    }

    /** Ends each client proxy's watch instead of sending an update, for its next {@code each} updates. */
    void endInsteadOfTelling(int each) {
        setForAll(endings, each);
    }

    /** Sets whether discovery is down: watches end and calls fail. */
    void down(boolean on) {
        down = on;
        world.audit.deadlines().reachable(!down && !silent, world.queue.now());
        if (on) {
            watchesEnd();
        }
    }

    /** Resets all open watches; new calls are answered as before. */
    void watchesEnd() {
        for (Watcher w : List.copyOf(watches)) {
            w.reset = true;
            world.queue.after(world.network.delay(w.zone(), 0), w::fail);
        }
        watches.clear();
    }

    /** Stops sending on all open watches without closing them; new calls are answered as before. */
    void watchesFallSilent() {
        List.copyOf(watches).forEach(w -> silent(w, true));
        watches.clear();
    }

    /**
     * Sets whether discovery is unresponsive: watches stay open without data or heartbeats, and calls get no
     * response.
     */
    void silent(boolean on) {
        silent = on;
        world.audit.deadlines().reachable(!down && !silent, world.queue.now());
        List.copyOf(watches).forEach(w -> silent(w, on));
    }

    private void silent(Watcher w, boolean on) {
        if (on) {
            world.audit.deadlines().silent(w.proxy(), world.queue.now());
            w.silence((long) (HEARTBEAT_US * chance.unit()));
        } else {
            world.audit.watching(w.proxy());
            w.begin();
            tell(w);
        }
    }

    /** Partitions one client proxy from discovery: its watch gets no data and its calls get no response. */
    void cut(int proxy, boolean on) {
        if (on ? cut.add(proxy) : cut.remove(proxy)) {
            world.audit.deadlines().reaches(proxy, !on, world.queue.now());
            watches.stream().filter(w -> w.proxy() == proxy).toList().forEach(w -> silent(w, on));
        }
    }

    /** Delays list updates by an additional drawn time. */
    void late(Range by) {
        late = by;
    }

    /** Delivers list updates in random order, in batches of this size; 0 ends the fault. */
    void shuffle(int lists) {
        shuffle = lists;
        if (lists == 0) {
            deliverShuffled();
        }
    }
}
