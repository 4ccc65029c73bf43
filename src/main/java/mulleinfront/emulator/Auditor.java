package mulleinfront.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import mulleinfront.Balancer.Availability;
import mulleinfront.Balancer.DedupScope;
import mulleinfront.Balancer.Effect;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.Balancer.Outcome;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.Balancer.Source;

/**
 * Checks the four invariants from observed events: requests accepted and answered, first bytes to servers, ends of
 * attempts on the wire, effects run and list updates. It never reads the state of a balancer or a core, so a defect
 * there cannot hide itself here.
 */
public final class Auditor {
    /** Violations that are recorded in full; all are counted. */
    private static final int MOST_KEPT = 100;

    private final Scenario scenario;
    private final Map<String, Taken> requests = new HashMap<>();
    /** Accepted requests in the order in which they arrived, to be checked after their deadline. */
    private final ArrayDeque<Taken> oldest = new ArrayDeque<>();

    private final Map<Integer, Told> proxies = new HashMap<>();
    private final ToldDeadlines deadlines;
    private final Set<Integer> standing = new HashSet<>();
    private final Map<String, Place> places = new HashMap<>();
    private final Map<String, Cold> cold = new HashMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    private int breachCount;
    /** Entries of all lists and deltas sent to client proxies. */
    long entriesTold;

    private long leaveSlackUs;

    /** The four invariants. */
    public enum Rule {
        LOST("no request is lost"),
        TWICE("no effect happens twice"),
        DRAINS("drains are kept"),
        COLD("a cold host is not pushed over");

        private final String words;

        Rule(String words) {
            this.words = words;
        }

        /** Description of the invariant. */
        public String words() {
            return words;
        }
    }

    /**
     * A violation of an invariant.
     *
     * @param rule the violated invariant
     * @param atUs when it was violated
     * @param proxy number of the client proxy at fault, -1 if no single proxy is
     * @param request id of the request, or null
     * @param what description of the violation
     */
    public record Breach(Rule rule, long atUs, int proxy, String request, String what) {
        @Override
        public String toString() {
            return "rule broken: " + rule.words() + ": " + what + (request == null ? "" : ", request " + request)
                    + (proxy < 0 ? "" : ", client proxy " + proxy) + ", at "
                    + String.format(Locale.ROOT, "%.6f", atUs / 1e6) + " s";
        }
    }

    /** Location of a server, which determines its deduplication group. */
    private record Place(int zone, int cell) {}

    /** A request that a client proxy has accepted, with its attempts so far. */
    private static final class Taken {
        final String id;
        final int proxy;
        final RequestClass type;
        final long deadlineAt;
        final List<Sent> attempts = new ArrayList<>(1);
        boolean ended;
        /** The client proxy was paused while the request was open, so it could not answer in time. */
        boolean excused;

        long endedAt;
        int ran;

        Taken(String id, int proxy, RequestClass type, long deadlineAt) {
            this.id = id;
            this.proxy = proxy;
            this.type = type;
            this.deadlineAt = deadlineAt;
        }
    }

    /** One attempt of a request, and its outcome once known. */
    private static final class Sent {
        final int number;
        final String host;
        final long at;
        Outcome outcome;

        Sent(int number, String host, long at) {
            this.number = number;
            this.host = host;
            this.at = at;
        }

        boolean mayHaveRun() {
            return outcome == null || !outcome.neverRan();
        }
    }

    /** What discovery has sent to one process of a client proxy about one server. */
    private static final class Heard {
        long version;
        long drainedAt = -1;
        long startedAt;
    }

    /** What discovery has sent to one process of a client proxy. */
    private static final class Told {
        final Map<String, Heard> servers = new HashMap<>();
    }

    /** A server that started during the run. */
    private static final class Cold {
        final long startedAt;
        final Host.Budget budget;
        boolean fell;

        Cold(long startedAt, Host.Budget budget) {
            this.startedAt = startedAt;
            this.budget = budget;
        }
    }

    /** By server, since when discovery lists it as draining or removed. */
    private final Map<String, Long> drainListedAt = new HashMap<>();

    Auditor(Scenario scenario) {
        this.scenario = scenario;
        this.deadlines = new ToldDeadlines(scenario.rules().askWithinUs());
    }

    /** The first 100 violations, in the order in which they were detected. */
    public List<Breach> breaches() {
        return List.copyOf(breaches);
    }

    public int breachCount() {
        return breachCount;
    }

    /** Records an exception that a core caught. */
    void defect(Throwable e) {
        breach(Rule.LOST, 0, -1, null, "an event or action threw " + e);
    }

    private void breach(Rule rule, long at, int proxy, String request, String what) {
        breachCount++;
        if (breaches.size() < MOST_KEPT) {
            breaches.add(new Breach(rule, at, proxy, request, what));
        }
    }

    // ---- requests ------------------------------------------------------------------------------------

    void taken(int proxy, String id, int classIndex, long now, long deadlineAt) {
        Taken t = new Taken(id, proxy, scenario.classes().get(classIndex).type(), deadlineAt);
        t.excused = standing.contains(proxy);
        requests.put(id, t);
        oldest.add(t);
        long over = now - scenario.rules().answerSlackUs() - 60_000_000;
        while (oldest.peek().deadlineAt < over) {
            judge(oldest.poll());
        }
    }

    /**
     * Sets how long a proxy may take to notice that a client has disconnected: on sockets the close may cross data
     * that the proxy sends.
     */
    void leaveSlack(long us) {
        leaveSlackUs = us;
    }

    /** Forgets a request that was never accepted: its connection closed before the proxy read it. */
    void untaken(String id) {
        Taken t = requests.remove(id);
        if (t != null) {
            t.ended = true;
        }
    }

    /** Makes the final check of a request and forgets it. */
    private void judge(Taken t) {
        if (!t.ended && !t.excused) {
            breach(Rule.LOST, t.deadlineAt, t.proxy, t.id, "never answered");
        }
        requests.remove(t.id);
    }

    /** Records the final answer of a request. Returns the request, or null if it is unknown. */
    private Taken end(int proxy, String id, long now, String how) {
        Taken t = requests.get(id);
        if (t == null) {
            breach(Rule.LOST, now, proxy, id, how + " what was not asked");
        } else if (t.ended) {
            breach(Rule.LOST, now, proxy, id, "answered twice (" + how + ")");
        } else {
            t.ended = true;
            t.endedAt = now;
            if (now > t.deadlineAt + scenario.rules().answerSlackUs() && !t.excused) {
                breach(Rule.LOST, now, proxy, id, how + " " + (now - t.deadlineAt) + " us after its deadline");
            }
        }
        return t;
    }

    void served(int proxy, String id, String answerOf, long now) {
        end(proxy, id, now, "served");
        if (!id.equals(answerOf)) {
            breach(Rule.LOST, now, proxy, id, "served with the answer to " + answerOf);
        }
    }

    void refused(int proxy, String id, long now) {
        Taken t = end(proxy, id, now, "refused");
        if (t == null || Scenario.refusable(t.type)) {
            return;
        }
        for (Sent a : t.attempts) {
            if (a.mayHaveRun()) {
                breach(
                        Rule.TWICE,
                        now,
                        proxy,
                        id,
                        "refused though attempt " + a.number + " at " + a.host + " may have run ("
                                + (a.outcome == null ? "still out" : a.outcome) + ")");
                return;
            }
        }
        if (t.ran > 0) {
            breach(Rule.TWICE, now, proxy, id, "refused though it ran");
        }
    }

    void failed(int proxy, String id, long now) {
        end(proxy, id, now, "failed");
    }

    /** Records that a request's client disconnected. */
    void left(int proxy, String id, long now) {
        Taken t = requests.get(id);
        if (t != null && !t.ended) {
            t.ended = true;
            t.endedAt = now + leaveSlackUs;
            if (now > t.deadlineAt + scenario.rules().answerSlackUs() - 1 && !t.excused) {
                breach(Rule.LOST, now, proxy, id, "not answered in its client's time");
            }
        }
    }

    // ---- attempts ------------------------------------------------------------------------------------

    /** Checks an attempt when its first byte is sent; the same attempt may start again on a new connection. */
    void sent(int proxy, String id, int number, String host, long now) {
        drains(proxy, id, host, now);
        Taken t = requests.get(id);
        if (t == null) {
            breach(Rule.LOST, now, proxy, id, "sent though nobody asked for it");
            return;
        }
        if (t.ended && now >= t.endedAt) {
            breach(Rule.LOST, now, proxy, id, "sent to " + host + " after its end");
        }
        Sent bond = null;
        for (Sent a : t.attempts) {
            if (a.number == number) {
                continue;
            }
            if (a.outcome == null) {
                breach(Rule.TWICE, now, proxy, id, "attempt " + number + " while " + a.number + " is out");
            }
            bond = bond == null && a.mayHaveRun() ? a : bond;
        }
        if (bond != null && t.type.effect() == Effect.FRAGILE) {
            breach(
                    Rule.TWICE,
                    now,
                    proxy,
                    id,
                    "sent again though attempt " + bond.number + " at " + bond.host + " may have run");
        } else if (bond != null && t.type.effect() == Effect.DEDUP) {
            if (!sameGroup(t.type.scope(), bond.host, host)) {
                breach(
                        Rule.TWICE,
                        now,
                        proxy,
                        id,
                        "sent again to " + host + ", outside the group of " + bond.host + ", which may have run it");
            }
            if (now > bond.at + t.type.dedupWindowUs()) {
                breach(
                        Rule.TWICE,
                        now,
                        proxy,
                        id,
                        "sent again " + (now - bond.at) + " us after an attempt that may have run");
            }
        }
        if (t.attempts.isEmpty() || t.attempts.get(t.attempts.size() - 1).number != number) {
            t.attempts.add(new Sent(number, host, now));
        }
    }

    void attemptEnded(int proxy, String id, int number, Outcome outcome, long now) {
        Taken t = requests.get(id);
        if (t != null) {
            for (Sent a : t.attempts) {
                if (a.number == number) {
                    a.outcome = outcome;
                }
            }
        }
    }

    private boolean sameGroup(DedupScope scope, String a, String b) {
        Place p = places.get(a);
        Place q = places.get(b);
        return scope == DedupScope.ALL
                || p != null && q != null && (scope == DedupScope.ZONE ? p.zone() == q.zone() : p.cell() == q.cell());
    }

    /**
     * Records that a server begins to run a request; {@code dropped} if it knows the effect and does not apply it.
     */
    void ran(String id, String host, boolean dropped, long now) {
        Taken t = requests.get(id);
        if (t == null || dropped) {
            return;
        }
        t.ran++;
        if (t.ran > 1 && t.type.effect() != Effect.RETRYABLE) {
            breach(Rule.TWICE, now, t.proxy, id, "its effect ran " + t.ran + " times, the last at " + host);
        }
    }

    // ---- lists ---------------------------------------------------------------------------------------

    void proxyStarted(int proxy, long now) {
        proxies.put(proxy, new Told());
        deadlines.started(proxy, now);
    }

    /** Records that a proxy was killed; its clients must retry the requests it had accepted. */
    void proxyKilled(int proxy) {
        for (Taken t : requests.values()) {
            if (t.proxy == proxy) {
                t.ended = true;
            }
        }
    }

    /**
     * Records that a proxy is paused or resumes; requests that are open during a pause need not be answered in time.
     */
    void stands(int proxy, boolean still, long now) {
        deadlines.reaches(proxy, !still, now);
        if (still ? standing.add(proxy) : standing.remove(proxy)) {
            requests.values().stream().filter(t -> t.proxy == proxy && !t.ended).forEach(t -> t.excused = true);
        }
    }

    /** Records that a proxy ended after SIGTERM; accepted requests that it had not answered are lost. */
    void proxyEnded(int proxy, long now) {
        List<Taken> lost = new ArrayList<>();
        for (Taken t : requests.values()) {
            if (t.proxy == proxy && !t.ended) {
                lost.add(t);
            }
        }
        lost.sort(Comparator.comparing(t -> t.id));
        for (Taken t : lost) {
            t.ended = true;
            breach(Rule.LOST, now, proxy, t.id, "not answered when its client proxy ended");
        }
    }

    void asked(int proxy, long now) {
        deadlines.called(proxy, now);
    }

    void watching(int proxy) {
        deadlines.watching(proxy);
    }

    /** Records that a watch ended, or that a discovery call failed before it became a watch. */
    void watchFailed(int proxy, long now, boolean inOrder) {
        deadlines.ended(proxy, now, inOrder);
    }

    /** Propagation deadlines of list changes. */
    ToldDeadlines deadlines() {
        return deadlines;
    }

    void told(int proxy, long version, Source source, List<Registry.Entry> entries, long now) {
        entriesTold += entries.size();
        Map<String, Heard> servers = proxies.get(proxy).servers;
        if (source != Source.DELTA) {
            for (Heard h : servers.values()) {
                h.drainedAt = h.drainedAt < 0 ? now : h.drainedAt;
                h.version = Math.min(h.version, version);
            }
        }
        for (Registry.Entry entry : entries) {
            Endpoint e = entry.endpoint();
            Heard h = servers.computeIfAbsent(e.id(), id -> new Heard());
            if (version < h.version) {
                continue;
            }
            h.version = version;
            h.startedAt = e.startedAtUs();
            if (e.availability() == Availability.READY) {
                h.drainedAt = -1;
            } else if (h.drainedAt < 0) {
                h.drainedAt = now;
            }
        }
    }

    /** Records what discovery lists from now on. */
    void listedByDiscovery(Endpoint e, long now) {
        places.put(e.id(), new Place(e.zone(), e.cell()));
        if (e.availability() == Availability.READY) {
            drainListedAt.remove(e.id());
        } else {
            drainListedAt.putIfAbsent(e.id(), now);
        }
    }

    private void drains(int proxy, String id, String host, long now) {
        Told told = proxies.get(proxy);
        Heard h = told.servers.get(host);
        if (h == null) {
            breach(Rule.DRAINS, now, proxy, id, "sent to " + host + ", which no list has named");
            return;
        }
        long grace = scenario.rules().drainUs();
        if (h.drainedAt >= 0 && now > h.drainedAt + grace) {
            breach(
                    Rule.DRAINS,
                    now,
                    proxy,
                    id,
                    "sent to " + host + " " + (now - h.drainedAt) + " us after being told that it drains or is gone");
            return;
        }
        Long listed = drainListedAt.get(host);
        if (scenario.discovery().asked() && listed != null) {
            long toldAt = deadlines.toldAt(proxy, listed);
            if (toldAt < now - grace) {
                breach(
                        Rule.DRAINS,
                        now,
                        proxy,
                        id,
                        "sent to " + host + " " + (now - toldAt) + " us after it counts as"
                                + " told to be gone: discovery has it for " + (now - listed)
                                + " us, and was last asked "
                                + (now - deadlines.calledAt(proxy)) + " us ago");
            }
        }
    }

    // ---- cold servers --------------------------------------------------------------------------------

    /** Records that a server's process has started cold. */
    void started(String host, long now) {
        cold.put(
                host,
                new Cold(
                        now,
                        new Host.Budget(
                                scenario.rules().coldForUs(), scenario.rules().coldMultiple())));
    }

    /** Records work that reached a cold server; {@code capacity} is the work that it can do per microsecond now. */
    void arrivedCold(String host, int proxy, String id, double work, double capacity, long now) {
        Cold c = cold.get(host);
        if (c == null) {
            return;
        }
        Heard h = proxies.containsKey(proxy) ? proxies.get(proxy).servers.get(host) : null;
        boolean told = h != null && h.startedAt == c.startedAt;
        if (!c.budget.over(now, work, told, capacity) || c.fell) {
            return;
        }
        c.fell = true;
        if (c.budget.markedPart() >= 2.0 / 3) {
            breach(
                    Rule.COLD,
                    now,
                    proxy,
                    id,
                    host + " was sent more than "
                            + scenario.rules().coldMultiple() + " times what it can do while cold, "
                            + Math.round(100 * c.budget.markedPart()) + "% of it by those who were told of its start");
        }
    }

    /** Ends the run: accepted requests that are past their deadline and unanswered are lost. */
    void finish(long now) {
        while (!oldest.isEmpty()) {
            Taken t = oldest.poll();
            if (t.deadlineAt + scenario.rules().answerSlackUs() < now || t.ended) {
                judge(t);
            }
        }
    }
}
