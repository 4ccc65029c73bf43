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
 * Discovery: what it knows of the servers, later than it happens, and those who watch it. A call takes its time
 * and waits for those before it; one that would wait too long fails, and so does any while discovery is down.
 */
final class Registry {
    /** A server as listed. */
    record Entry(Endpoint endpoint, int address) {}

    /** A list on its way: all of it, or what changed. */
    record News(long version, boolean full, List<Entry> entries) {}

    /** Heartbeats on a watch come this often. */
    static final long HEARTBEAT_US = 2_000_000;

    private final World world;
    private final Scenario.Discovery spec;
    private final Chance chance;
    /** Every change, in order; an entry's place is its version less one. */
    private final List<Entry> log = new ArrayList<>();

    private final List<Long> loggedAt = new ArrayList<>();
    private final Map<String, Entry> present = new LinkedHashMap<>();
    /** All of that as it is told, made when first asked for after a change: thousands may ask. */
    private News whole;

    private final Set<Watcher> watches = new LinkedHashSet<>();
    private boolean announcing;
    private long busyUntil;
    private double crowd;
    private boolean down;
    private boolean silent;
    /** Client proxies that are cut off from it, each for itself. */
    private final Set<Integer> cut = new HashSet<>();
    /** Calls that are still to be refused, lists to be cut short, and watches to end instead of telling. */
    private final Map<Integer, Integer> refusals = new HashMap<>();

    private final Map<Integer, Integer> cutShort = new HashMap<>();
    private final Map<Integer, Integer> endings = new HashMap<>();
    /** Lists that are still to stop halfway, and for how long. */
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

    /** Something happened to a server; discovery will know after a while. */
    void happened(Host host, Availability availability, boolean silently) {
        Entry entry = new Entry(host.listed(availability), host.address);
        Range notice =
                silently ? spec.silentNotice() : availability == Availability.READY ? spec.period() : spec.notice();
        world.queue.after((long) notice.draw(chance::between), () -> know(entry));
    }

    /** Known at once: how the world is at its start. */
    void know(Entry entry) {
        // What is told of an older life of a server comes too late.
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

    /** The whole list as it is. */
    News whole() {
        if (whole == null) {
            whole = new News(version(), true, List.copyOf(present.values()));
        }
        return whole;
    }

    /** The whole list as it was at an instant. */
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

    /** Tells a watch what it has not been told. */
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

    /** The rest of a list that had stopped halfway is told, and then what has changed meanwhile. */
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

    /** Others call too, so many a second; they have patience to the end. */
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

    /** A call that asks for a watch. */
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
        // What was begun is worked through, also for one who has given up meanwhile.
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
                    // Nothing changed: the answer says so.
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

    /** Whether there is one left for a client proxy; takes it. */
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

    /** The next so many calls of each client proxy are refused at once. */
    void refuseCalls(int each) {
        setForAll(refusals, each);
    }

    /** The next so many lists to each client proxy break off before their end, and the watch with them. */
    void cutLists(int each) {
        setForAll(cutShort, each);
    }

    /** The next so many lists to each client proxy stop halfway for a while and go on. */
    void pauseLists(int each, Range forUs) {
        pause = forUs;
        setForAll(pauses, each);
    }

    /** The next so many times that there is something to tell to a client proxy its watch ends instead. */
    void endInsteadOfTelling(int each) {
        setForAll(endings, each);
    }

    /** Down: watches end, calls fail. */
    void down(boolean on) {
        down = on;
        world.audit.deadlines().reachable(!down && !silent, world.queue.now());
        if (on) {
            watchesEnd();
        }
    }

    /** What is open is reset; new calls are answered as before. */
    void watchesEnd() {
        for (Watcher w : List.copyOf(watches)) {
            w.reset = true;
            world.queue.after(world.network.delay(w.zone(), 0), w::fail);
        }
        watches.clear();
    }

    /** What is open stays open and never says anything again; new calls are answered as before. */
    void watchesFallSilent() {
        List.copyOf(watches).forEach(w -> silent(w, true));
        watches.clear();
    }

    /** Silent: what is open stays open and says nothing, not even that it is there. */
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

    /** The same for one client proxy alone: what it calls is not answered. */
    void cut(int proxy, boolean on) {
        if (on ? cut.add(proxy) : cut.remove(proxy)) {
            world.audit.deadlines().reaches(proxy, !on, world.queue.now());
            watches.stream().filter(w -> w.proxy() == proxy).toList().forEach(w -> silent(w, on));
        }
    }

    /** What is told takes this much longer. */
    void late(Range by) {
        late = by;
    }

    /** The next so many lists are told in any order; 0 ends it. */
    void shuffle(int lists) {
        shuffle = lists;
        if (lists == 0) {
            deliverShuffled();
        }
    }
}
