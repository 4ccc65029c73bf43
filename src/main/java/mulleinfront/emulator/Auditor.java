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
 * Judges the four rules by what passed: requests taken and answered, first bytes to servers and how attempts
 * ended on the wire, effects run, lists told. It never sees a module's or a core's state, so a defect there
 * can't hide itself here.
 */
public final class Auditor {
    /** Breaches that are kept with their stories; all are counted. */
    private static final int MOST_KEPT = 100;

    private final Scenario scenario;
    private final Map<String, Taken> requests = new HashMap<>();
    /** By the time after which nothing more can be said of them. */
    private final ArrayDeque<Taken> oldest = new ArrayDeque<>();

    private final Map<Integer, Told> proxies = new HashMap<>();
    private final ToldDeadlines deadlines;
    private final Set<Integer> standing = new HashSet<>();
    private final Map<String, Place> places = new HashMap<>();
    private final Map<String, Cold> cold = new HashMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    private int breachCount;
    /** Entries of all lists and changes told to client proxies. */
    long entriesTold;

    private long leaveSlackUs;

    /** The four rules, by the names that the operators use. */
    public enum Rule {
        LOST("no request is lost"),
        TWICE("no effect happens twice"),
        DRAINS("drains are kept"),
        COLD("a cold host is not pushed over");

        private final String words;

        Rule(String words) {
            this.words = words;
        }

        /** The rule in words. */
        public String words() {
            return words;
        }
    }

    /**
     * A broken rule.
     *
     * @param atUs when it was broken
     * @param proxy number of the client proxy that broke it, -1 if it is no single one's doing
     * @param request the request, or null
     * @param what what happened
     */
    public record Breach(Rule rule, long atUs, int proxy, String request, String what) {
        @Override
        public String toString() {
            return "rule broken: " + rule.words() + ": " + what + (request == null ? "" : ", request " + request)
                    + (proxy < 0 ? "" : ", client proxy " + proxy) + ", at "
                    + String.format(Locale.ROOT, "%.6f", atUs / 1e6) + " s";
        }
    }

    /** Where a server stands: what decides who drops repeats. */
    private record Place(int zone, int cell) {}

    /** A request that a client proxy has accepted, with its attempts so far. */
    private static final class Taken {
        final String id;
        final int proxy;
        final RequestClass type;
        final long deadlineAt;
        final List<Sent> attempts = new ArrayList<>(1);
        boolean ended;
        /** Its client proxy stood still while it was open: nobody can answer then. */
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

    /** One attempt of a request, and its outcome once it is known. */
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

    /** What one process of a client proxy was told of one server. */
    private static final class Heard {
        long version;
        long drainedAt = -1;
        long startedAt;
    }

    /** What one process of a client proxy was told. */
    private static final class Told {
        final Map<String, Heard> servers = new HashMap<>();
    }

    /** A server that started during the day. */
    private static final class Cold {
        final long startedAt;
        final Host.Budget budget;
        boolean fell;

        Cold(long startedAt, Host.Budget budget) {
            this.startedAt = startedAt;
            this.budget = budget;
        }
    }

    /** What discovery has to tell of a server that is not to be sent to. */
    private final Map<String, Long> drainListedAt = new HashMap<>();

    Auditor(Scenario scenario) {
        this.scenario = scenario;
        this.deadlines = new ToldDeadlines(scenario.rules().askWithinUs());
    }

    /** The broken rules, the first hundred of them in the order in which they were seen. */
    public List<Breach> breaches() {
        return List.copyOf(breaches);
    }

    public int breachCount() {
        return breachCount;
    }

    /** A core caught an exception. */
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

    /** How long a client proxy may take to learn that a client has gone: on sockets the word crosses what it sends. */
    void leaveSlack(long us) {
        leaveSlackUs = us;
    }

    /** It was not taken after all: its connection closed before anybody read it. */
    void untaken(String id) {
        Taken t = requests.remove(id);
        if (t != null) {
            t.ended = true;
        }
    }

    /** The last that is said of a request. */
    private void judge(Taken t) {
        if (!t.ended && !t.excused) {
            breach(Rule.LOST, t.deadlineAt, t.proxy, t.id, "never answered");
        }
        requests.remove(t.id);
    }

    /** The request's final answer, or its end without one; null if nothing more is owed and it is known. */
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

    /** Its client has gone. */
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

    /** The first byte of an attempt leaves; the same attempt may begin anew on a fresh connection. */
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

    /** A server begins to run a request; {@code dropped} if it knows that effect and does nothing. */
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

    /** Killed outright: what it held is its clients' to retry. */
    void proxyKilled(int proxy) {
        for (Taken t : requests.values()) {
            if (t.proxy == proxy) {
                t.ended = true;
            }
        }
    }

    /** It stands still, or goes on: what is open meanwhile can't be answered in time by anybody. */
    void stands(int proxy, boolean still, long now) {
        deadlines.reaches(proxy, !still, now);
        if (still ? standing.add(proxy) : standing.remove(proxy)) {
            requests.values().stream().filter(t -> t.proxy == proxy && !t.ended).forEach(t -> t.excused = true);
        }
    }

    /** It ended by itself, after it was told to: what it had taken is lost if it was not answered. */
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

    /** A watch has ended, or a call before it became one. */
    void watchFailed(int proxy, long now, boolean inOrder) {
        deadlines.ended(proxy, now, inOrder);
    }

    /** When changes count as told to who has not been told them. */
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

    /** What discovery has to tell from now on, to whoever asks. */
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

    /** A server's process has started, cold. */
    void started(String host, long now) {
        cold.put(
                host,
                new Cold(
                        now,
                        new Host.Budget(
                                scenario.rules().coldForUs(), scenario.rules().coldMultiple())));
    }

    /** Work has come to a cold server that can do {@code capacity} in a microsecond now. */
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

    /** The world is over: whatever is owed by now is lost. */
    void finish(long now) {
        while (!oldest.isEmpty()) {
            Taken t = oldest.poll();
            if (t.deadlineAt + scenario.rules().answerSlackUs() < now || t.ended) {
                judge(t);
            }
        }
    }
}
