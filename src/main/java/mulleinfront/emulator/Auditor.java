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
    private static final int MAX_RECORDED = 100;

    private final Scenario scenario;
    private final Map<String, AcceptedRequest> requests = new HashMap<>();
    /** Accepted requests in the order in which they arrived, to be checked after their deadline. */
    private final ArrayDeque<AcceptedRequest> byArrival = new ArrayDeque<>();

    private final Map<Integer, ProxyView> views = new HashMap<>();
    private final PropagationDeadlines deadlines;
    private final Set<Integer> pausedProxies = new HashSet<>();
    private final Map<String, Location> locations = new HashMap<>();
    private final Map<String, ColdServer> coldServers = new HashMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    private int breachCount;
    /** Entries of all lists and deltas sent to client proxies. */
    long entriesSent;

    private long disconnectSlackUs;

    /** The four invariants. */
    public enum Rule {
        LOST("no request is lost"),
        TWICE("no effect happens twice"),
        DRAINS("drains are kept"),
        COLD("a cold host is not pushed over");

        private final String description;

        Rule(String description) {
            this.description = description;
        }

        /** Description of the invariant. */
        public String description() {
            return description;
        }
    }

    /**
     * A violation of an invariant.
     *
     * @param rule the violated invariant
     * @param atUs when it was violated
     * @param proxy number of the client proxy at fault, -1 if no single proxy is
     * @param request id of the request, or null
     * @param description description of the violation
     */
    public record Breach(Rule rule, long atUs, int proxy, String request, String description) {
        @Override
        public String toString() {
            return "rule broken: " + rule.description() + ": " + description
                    + (request == null ? "" : ", request " + request)
                    + (proxy < 0 ? "" : ", client proxy " + proxy) + ", at "
                    + String.format(Locale.ROOT, "%.6f", atUs / 1e6) + " s";
        }
    }

    /** Location of a server, which determines its deduplication group. */
    private record Location(int zone, int cell) {}

    /** A request that a client proxy has accepted, with its attempts so far. */
    private static final class AcceptedRequest {
        final String id;
        final int proxy;
        final RequestClass type;
        final long deadlineAt;
        final List<SentAttempt> attempts = new ArrayList<>(1);
        boolean ended;
        /** The client proxy was paused while the request was open, so it could not answer in time. */
        boolean excused;

        long endedAt;
        int ran;

        AcceptedRequest(String id, int proxy, RequestClass type, long deadlineAt) {
            this.id = id;
            this.proxy = proxy;
            this.type = type;
            this.deadlineAt = deadlineAt;
        }
    }

    /** One attempt of a request, and its outcome once known. */
    private static final class SentAttempt {
        final int number;
        final String host;
        final long at;
        Outcome outcome;

        SentAttempt(int number, String host, long at) {
            this.number = number;
            this.host = host;
            this.at = at;
        }

        boolean mayHaveRun() {
            return outcome == null || !outcome.neverRan();
        }
    }

    /** What discovery has sent to one process of a client proxy about one server. */
    private static final class ListedServer {
        long version;
        long drainedAt = -1;
        long startedAt;
    }

    /** What discovery has sent to one process of a client proxy. */
    private static final class ProxyView {
        final Map<String, ListedServer> servers = new HashMap<>();
    }

    /** A server that started during the run. */
    private static final class ColdServer {
        final long startedAt;
        final Host.LoadWindow budget;
        boolean overloaded;

        ColdServer(long startedAt, Host.LoadWindow budget) {
            this.startedAt = startedAt;
            this.budget = budget;
        }
    }

    /** By server, since when discovery lists it as draining or removed. */
    private final Map<String, Long> drainListedAt = new HashMap<>();

    Auditor(Scenario scenario) {
        this.scenario = scenario;
        this.deadlines = new PropagationDeadlines(
                scenario.discovery().polled() ? scenario.rules().askWithinUs() : PropagationDeadlines.NO_POLL_LIMIT_US);
    }

    /** The first 100 violations, in the order in which they were detected. */
    public List<Breach> breaches() {
        return List.copyOf(breaches);
    }

    public int breachCount() {
        return breachCount;
    }

    /** Records an exception that a core caught. */
    void unexpectedException(Throwable e) {
        addBreach(Rule.LOST, 0, -1, null, "an event or action threw " + e);
    }

    private void addBreach(Rule rule, long at, int proxy, String request, String description) {
        breachCount++;
        if (breaches.size() < MAX_RECORDED) {
            breaches.add(new Breach(rule, at, proxy, request, description));
        }
    }

    // ---- requests ------------------------------------------------------------------------------------

    void requestAccepted(int proxy, String id, int classIndex, long now, long deadlineAt) {
        AcceptedRequest request = new AcceptedRequest(
                id, proxy, scenario.classes().get(classIndex).type(), deadlineAt);
        request.excused = pausedProxies.contains(proxy);
        requests.put(id, request);
        byArrival.add(request);
        long expiredBefore = now - scenario.rules().answerSlackUs() - 60_000_000;
        while (byArrival.peek().deadlineAt < expiredBefore) {
            checkAnswered(byArrival.poll());
        }
    }

    /**
     * Sets how long a proxy may take to notice that a client has disconnected: on sockets the close may cross data
     * that the proxy sends.
     */
    void setDisconnectSlack(long slackUs) {
        disconnectSlackUs = slackUs;
    }

    /** Forgets a request that was never accepted: its connection closed before the proxy read it. */
    void requestNotAccepted(String id) {
        AcceptedRequest request = requests.remove(id);
        if (request != null) {
            request.ended = true;
        }
    }

    /** Makes the final check of a request and forgets it. */
    private void checkAnswered(AcceptedRequest request) {
        if (!request.ended && !request.excused) {
            addBreach(Rule.LOST, request.deadlineAt, request.proxy, request.id, "never answered");
        }
        requests.remove(request.id);
    }

    /** Records the final answer of a request. Returns the request, or null if it is unknown. */
    private AcceptedRequest recordFinalAnswer(int proxy, String id, long now, String how) {
        AcceptedRequest request = requests.get(id);
        if (request == null) {
            addBreach(Rule.LOST, now, proxy, id, how + " what was not asked");
        } else if (request.ended) {
            addBreach(Rule.LOST, now, proxy, id, "answered twice (" + how + ")");
        } else {
            request.ended = true;
            request.endedAt = now;
            if (now > request.deadlineAt + scenario.rules().answerSlackUs() && !request.excused) {
                addBreach(Rule.LOST, now, proxy, id, how + " " + (now - request.deadlineAt) + " us after its deadline");
            }
        }
        return request;
    }

    void served(int proxy, String id, String answerOf, long now) {
        recordFinalAnswer(proxy, id, now, "served");
        if (!id.equals(answerOf)) {
            addBreach(Rule.LOST, now, proxy, id, "served with the answer to " + answerOf);
        }
    }

    void refused(int proxy, String id, long now) {
        AcceptedRequest request = recordFinalAnswer(proxy, id, now, "refused");
        if (request == null || Scenario.refusalHarmless(request.type)) {
            return;
        }
        for (SentAttempt attempt : request.attempts) {
            if (attempt.mayHaveRun()) {
                addBreach(
                        Rule.TWICE,
                        now,
                        proxy,
                        id,
                        "refused though attempt " + attempt.number + " at " + attempt.host + " may have run ("
                                + (attempt.outcome == null ? "still out" : attempt.outcome) + ")");
                return;
            }
        }
        if (request.ran > 0) {
            addBreach(Rule.TWICE, now, proxy, id, "refused though it ran");
        }
    }

    void failed(int proxy, String id, long now) {
        recordFinalAnswer(proxy, id, now, "failed");
    }

    /** Records that a request's client disconnected. */
    void clientDisconnected(int proxy, String id, long now) {
        AcceptedRequest request = requests.get(id);
        if (request != null && !request.ended) {
            request.ended = true;
            request.endedAt = now + disconnectSlackUs;
            if (now > request.deadlineAt + scenario.rules().answerSlackUs() - 1 && !request.excused) {
                addBreach(Rule.LOST, now, proxy, id, "not answered in its client's time");
            }
        }
    }

    // ---- attempts ------------------------------------------------------------------------------------

    /** Checks an attempt when its first byte is sent; the same attempt may start again on a new connection. */
    void attemptSent(int proxy, String id, int number, String host, long now) {
        checkDrain(proxy, id, host, now);
        AcceptedRequest request = requests.get(id);
        if (request == null) {
            addBreach(Rule.LOST, now, proxy, id, "sent though nobody asked for it");
            return;
        }
        if (request.ended && now >= request.endedAt) {
            addBreach(Rule.LOST, now, proxy, id, "sent to " + host + " after its end");
        }
        SentAttempt possiblyRun = null;
        for (SentAttempt attempt : request.attempts) {
            if (attempt.number == number) {
                continue;
            }
            if (attempt.outcome == null) {
                addBreach(Rule.TWICE, now, proxy, id, "attempt " + number + " while " + attempt.number + " is out");
            }
            possiblyRun = possiblyRun == null && attempt.mayHaveRun() ? attempt : possiblyRun;
        }
        if (possiblyRun != null && request.type.effect() == Effect.FRAGILE) {
            addBreach(
                    Rule.TWICE,
                    now,
                    proxy,
                    id,
                    "sent again though attempt " + possiblyRun.number + " at " + possiblyRun.host + " may have run");
        } else if (possiblyRun != null && request.type.effect() == Effect.DEDUP) {
            if (!sameGroup(request.type.scope(), possiblyRun.host, host)) {
                addBreach(
                        Rule.TWICE,
                        now,
                        proxy,
                        id,
                        "sent again to " + host + ", outside the group of " + possiblyRun.host
                                + ", which may have run it");
            }
            if (now > possiblyRun.at + request.type.dedupWindowUs()) {
                addBreach(
                        Rule.TWICE,
                        now,
                        proxy,
                        id,
                        "sent again " + (now - possiblyRun.at) + " us after an attempt that may have run");
            }
        }
        if (request.attempts.isEmpty() || request.attempts.get(request.attempts.size() - 1).number != number) {
            request.attempts.add(new SentAttempt(number, host, now));
        }
    }

    void attemptEnded(int proxy, String id, int number, Outcome outcome, long now) {
        AcceptedRequest request = requests.get(id);
        if (request != null) {
            for (SentAttempt attempt : request.attempts) {
                if (attempt.number == number) {
                    attempt.outcome = outcome;
                }
            }
        }
    }

    private boolean sameGroup(DedupScope scope, String firstHost, String secondHost) {
        Location firstLocation = locations.get(firstHost);
        Location secondLocation = locations.get(secondHost);
        return scope == DedupScope.ALL
                || firstLocation != null
                        && secondLocation != null
                        && (scope == DedupScope.ZONE
                                ? firstLocation.zone() == secondLocation.zone()
                                : firstLocation.cell() == secondLocation.cell());
    }

    /**
     * Records that a server begins to run a request; {@code dropped} if it knows the effect and does not apply it.
     */
    void effectRan(String id, String host, boolean dropped, long now) {
        AcceptedRequest request = requests.get(id);
        if (request == null || dropped) {
            return;
        }
        request.ran++;
        if (request.ran > 1 && request.type.effect() != Effect.RETRYABLE) {
            addBreach(
                    Rule.TWICE,
                    now,
                    request.proxy,
                    id,
                    "its effect ran " + request.ran + " times, the last at " + host);
        }
    }

    // ---- lists ---------------------------------------------------------------------------------------

    void proxyStarted(int proxy, long now) {
        views.put(proxy, new ProxyView());
        deadlines.proxyStarted(proxy, now);
    }

    /** Records that a proxy was killed; its clients must retry the requests it had accepted. */
    void proxyKilled(int proxy) {
        for (AcceptedRequest request : requests.values()) {
            if (request.proxy == proxy) {
                request.ended = true;
            }
        }
    }

    /**
     * Records that a proxy is paused or resumes; requests that are open during a pause need not be answered in time.
     */
    void proxyPaused(int proxy, boolean paused, long now) {
        deadlines.proxyConnected(proxy, !paused, now);
        if (paused ? pausedProxies.add(proxy) : pausedProxies.remove(proxy)) {
            requests.values().stream()
                    .filter(request -> request.proxy == proxy && !request.ended)
                    .forEach(request -> request.excused = true);
        }
    }

    /** Records that a proxy ended after SIGTERM; accepted requests that it had not answered are lost. */
    void proxyEnded(int proxy, long now) {
        List<AcceptedRequest> lost = new ArrayList<>();
        for (AcceptedRequest request : requests.values()) {
            if (request.proxy == proxy && !request.ended) {
                lost.add(request);
            }
        }
        lost.sort(Comparator.comparing(request -> request.id));
        for (AcceptedRequest request : lost) {
            request.ended = true;
            addBreach(Rule.LOST, now, proxy, request.id, "not answered when its client proxy ended");
        }
    }

    void discoveryCalled(int proxy, long now) {
        deadlines.discoveryCalled(proxy, now);
    }

    void watching(int proxy) {
        deadlines.watching(proxy);
    }

    /** Records that a watch ended, or that a discovery call failed before it became a watch. */
    void watchFailed(int proxy, long now, boolean inOrder) {
        deadlines.watchEnded(proxy, now, inOrder);
    }

    /** Propagation deadlines of list changes. */
    PropagationDeadlines deadlines() {
        return deadlines;
    }

    void listReceived(int proxy, long version, Source source, List<Registry.Entry> entries, long now) {
        entriesSent += entries.size();
        Map<String, ListedServer> servers = views.get(proxy).servers;
        if (source != Source.DELTA) {
            for (ListedServer server : servers.values()) {
                server.drainedAt = server.drainedAt < 0 ? now : server.drainedAt;
                server.version = Math.min(server.version, version);
            }
        }
        for (Registry.Entry entry : entries) {
            Endpoint endpoint = entry.endpoint();
            ListedServer server = servers.computeIfAbsent(endpoint.id(), id -> new ListedServer());
            if (version < server.version) {
                continue;
            }
            server.version = version;
            server.startedAt = endpoint.startedAtUs();
            if (endpoint.availability() == Availability.READY) {
                server.drainedAt = -1;
            } else if (server.drainedAt < 0) {
                server.drainedAt = now;
            }
        }
    }

    /** Records what discovery, or the agent that pushes its lists, lists from the given time on. */
    void listedByDiscovery(Endpoint endpoint, long now) {
        locations.put(endpoint.id(), new Location(endpoint.zone(), endpoint.cell()));
        if (endpoint.availability() == Availability.READY) {
            drainListedAt.remove(endpoint.id());
        } else {
            drainListedAt.putIfAbsent(endpoint.id(), now);
        }
    }

    private void checkDrain(int proxy, String id, String host, long now) {
        ProxyView view = views.get(proxy);
        ListedServer server = view.servers.get(host);
        if (server == null) {
            addBreach(Rule.DRAINS, now, proxy, id, "sent to " + host + ", which no list has named");
            return;
        }
        long grace = scenario.rules().drainUs();
        if (server.drainedAt >= 0 && now > server.drainedAt + grace) {
            addBreach(
                    Rule.DRAINS,
                    now,
                    proxy,
                    id,
                    "sent to " + host + " " + (now - server.drainedAt)
                            + " us after being told that it drains or is gone");
            return;
        }
        Long listedAt = drainListedAt.get(host);
        if (listedAt != null) {
            long deadline = deadlines.deadline(proxy, listedAt);
            if (deadline < now - grace) {
                addBreach(
                        Rule.DRAINS,
                        now,
                        proxy,
                        id,
                        "sent to " + host + " " + (now - deadline) + " us after it counts as"
                                + " told to be gone: discovery has it for " + (now - listedAt)
                                + " us, and was last asked "
                                + (now - deadlines.calledAt(proxy)) + " us ago");
            }
        }
    }

    // ---- cold servers --------------------------------------------------------------------------------

    /** Records that a server's process has started cold. */
    void serverStarted(String host, long now) {
        coldServers.put(
                host,
                new ColdServer(
                        now,
                        new Host.LoadWindow(
                                scenario.rules().coldForUs(), scenario.rules().coldMultiple())));
    }

    /** Records work that reached a cold server; {@code capacity} is the work that it can do per microsecond now. */
    void workArrivedCold(String host, int proxy, String id, double work, double capacity, long now) {
        ColdServer coldServer = coldServers.get(host);
        if (coldServer == null) {
            return;
        }
        ListedServer server =
                views.containsKey(proxy) ? views.get(proxy).servers.get(host) : null;
        boolean startKnown = server != null && server.startedAt == coldServer.startedAt;
        if (!coldServer.budget.add(now, work, startKnown, capacity) || coldServer.overloaded) {
            return;
        }
        coldServer.overloaded = true;
        if (coldServer.budget.markedFraction() >= 2.0 / 3) {
            addBreach(
                    Rule.COLD,
                    now,
                    proxy,
                    id,
                    host + " was sent more than "
                            + scenario.rules().coldMultiple() + " times what it can do while cold, "
                            + Math.round(100 * coldServer.budget.markedFraction())
                            + "% of it by those who were told of its start");
        }
    }

    /** Ends the run: accepted requests that are past their deadline and unanswered are lost. */
    void finish(long now) {
        while (!byArrival.isEmpty()) {
            AcceptedRequest request = byArrival.poll();
            if (request.deadlineAt + scenario.rules().answerSlackUs() < now || request.ended) {
                checkAnswered(request);
            }
        }
    }
}
