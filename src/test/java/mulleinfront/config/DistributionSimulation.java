package mulleinfront.config;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import mulleinfront.emulator.EventQueue;
import mulleinfront.settings.DifferenceLine;

/**
 * Simulation of three control-plane nodes and many client proxies on virtual time. It runs the real
 * {@link ConfigPublisher} and {@link ConfigSubscriber} and models the network between them: regions with zones, message
 * latency with occasional retransmissions, and partitions in which messages are delayed without any connection error.
 *
 * <p>The version log is modelled by its timing: a proposal is committed when a majority has it, the other nodes learn
 * of it later, and after the loss of the leader nothing is committed until an election ends.
 */
final class DistributionSimulation {
    /** Deliberate defects of client proxies, to show that {@link DistributionSimulation#check} detects them. */
    enum ProxyDefect {
        NONE,
        APPLIES_PARTIAL_DELTA,
        REVERTS_TO_OLDER_VERSION,
        REPORTS_VERSION_IT_LACKS
    }

    static final int NODES = 3;
    static final int ZONES = 10;
    private static final long SECOND_US = 1_000_000;
    /** Number of versions that a node retains. */
    static final int RETAINED_VERSIONS = 50;

    final EventQueue eventQueue = new EventQueue();
    final SplittableRandom random;
    final List<Node> nodes = new ArrayList<>();
    final List<Proxy> proxies = new ArrayList<>();
    /** Committed versions, indexed by number. */
    final List<Version> committed = new ArrayList<>();

    final List<Long> proposedUs = new ArrayList<>();
    final PublisherSettings settings;
    boolean regionsPartitioned;
    ProxyDefect proxyDefect = ProxyDefect.NONE;
    /** Number of deltas that were encoded; a node encodes one for all subscribers with the same base version. */
    int encodedDeltas;

    int encodedFullVersions;
    int leader;
    private boolean electionRunning;
    private final ArrayDeque<Runnable> waitingProposals = new ArrayDeque<>();
    private long lastConnectionId;
    /** Parsed deltas by line, since parsing each line again for each client proxy would take most of the run time. */
    private final Map<String, Difference> parsedDeltas = new HashMap<>();
    /** Most bytes that a client proxy read within one second of the virtual time. */
    long maxBytesInOneSecond;

    long totalBytesRead;
    /** Observed violations. */
    final List<String> violations = new ArrayList<>();

    DistributionSimulation(long seed, int proxyCount) {
        this(seed, proxyCount, PublisherSettings.DEFAULTS);
    }

    DistributionSimulation(long seed, int proxyCount, PublisherSettings settings) {
        random = new SplittableRandom(seed);
        this.settings = settings;
        committed.add(Version.NONE);
        proposedUs.add(0L);
        for (int m = 0; m < NODES; m++) {
            // Two nodes in one region and one in the other, each in a zone of its own.
            nodes.add(new Node(m, m == 2 ? ZONES / 2 : m));
        }
        for (int p = 0; p < proxyCount; p++) {
            proxies.add(new Proxy(p, p * ZONES / proxyCount));
        }
    }

    static int region(int zone) {
        return zone / (ZONES / 2);
    }

    private boolean partitioned(int zoneA, int zoneB) {
        return regionsPartitioned && region(zoneA) != region(zoneB);
    }

    /** Random one-way latency in microseconds, occasionally with the delay of a retransmission. */
    private long latencyUs(int zoneA, int zoneB) {
        long us = region(zoneA) == region(zoneB) ? random.nextLong(200, 1_500) : random.nextLong(18_000, 40_000);
        return random.nextInt(200) == 0 ? us + random.nextLong(200_000, 400_000) : us;
    }

    // ---- the version log -----------------------------------------------------------------------------

    private boolean hasMajority(Node node) {
        int reachableOthers = 0;
        for (Node other : nodes) {
            if (other != node && other.alive && !partitioned(other.zone, node.zone)) {
                reachableOthers++;
            }
        }
        return node.alive && 2 * (reachableOthers + 1) > NODES;
    }

    /** Proposes a full configuration, which is committed as soon as there is a leader with a majority. */
    void propose(Map<String, String> entries) {
        long proposedAtUs = eventQueue.now();
        submit(() -> {
            Version version = new Version(
                    committed.size(), new TreeMap<>(entries), "change " + committed.size(), proposedAtUs / 1_000);
            committed.add(version);
            proposedUs.add(proposedAtUs);
            Node leaderNode = nodes.get(leader);
            leaderNode.learn(version.number());
            for (Node node : nodes) {
                if (node != leaderNode && node.alive && !partitioned(node.zone, leaderNode.zone)) {
                    eventQueue.after(latencyUs(node.zone, leaderNode.zone), () -> node.learn(version.number()));
                }
            }
        });
    }

    private void submit(Runnable commit) {
        Node leaderNode = nodes.get(leader);
        if (electionRunning || !hasMajority(leaderNode)) {
            waitingProposals.add(commit);
            startElection();
            return;
        }
        // A round trip to the nearest other node, and the writes to both disks.
        eventQueue.after(2 * latencyUs(0, 0) + random.nextLong(4_000, 30_000), () -> {
            if (electionRunning || !hasMajority(nodes.get(leader))) {
                waitingProposals.add(commit);
                startElection();
            } else {
                commit.run();
            }
        });
    }

    /**
     * Replaces a leader without a majority after the time of an election, if a node with a majority exists.
     */
    void startElection() {
        if (electionRunning || hasMajority(nodes.get(leader))) {
            return;
        }
        electionRunning = true;
        eventQueue.after(random.nextLong(SECOND_US, 2 * SECOND_US), () -> {
            electionRunning = false;
            for (Node candidate : nodes) {
                if (hasMajority(candidate)) {
                    leader = candidate.number;
                    replicateFromLeader();
                    List<Runnable> proposals = new ArrayList<>(waitingProposals);
                    waitingProposals.clear();
                    proposals.forEach(this::submit);
                    return;
                }
            }
            if (!waitingProposals.isEmpty()) {
                startElection();
            }
        });
    }

    /** Sends all committed versions from the leader to the nodes that it reaches; a new leader has them all. */
    void replicateFromLeader() {
        Node leaderNode = nodes.get(leader);
        for (Node node : nodes) {
            if (node.alive && !partitioned(node.zone, leaderNode.zone)) {
                eventQueue.after(latencyUs(node.zone, leaderNode.zone), () -> node.learn(committed.size() - 1));
            }
        }
    }

    // ---- control-plane nodes -------------------------------------------------------------------------

    /**
     * A simulated control-plane node with a copy of the version log, which distributes its versions to the client
     * proxies.
     */
    final class Node implements VersionLog, ConfigPublisher.Wire {
        final int number;
        final int zone;
        boolean alive = true;
        /** Whether its whole zone has failed, so that its connections are not reset. */
        boolean zoneFailed;

        long newest;
        /** Since when the node has had no majority; negative if it has one. */
        private long noMajoritySinceUs = -1;

        private ConfigPublisher publisher = new ConfigPublisher(settings, this, this);
        private final Map<Long, Connection> openConnections = new HashMap<>();
        private long wake = Long.MAX_VALUE;
        private EventQueue.Timer timer;

        Node(int number, int zone) {
            this.number = number;
            this.zone = zone;
        }

        void learn(long number) {
            if (alive && number > newest) {
                newest = number;
                publisher.onVersionCommitted(eventQueue.now());
            }
        }

        /** Ends the process and resets its connections. */
        void kill() {
            alive = false;
            for (Connection connection : List.copyOf(openConnections.values())) {
                connection.close(false);
            }
            openConnections.clear();
            startElection();
        }

        void start() {
            alive = true;
            zoneFailed = false;
            publisher = new ConfigPublisher(settings, this, this);
            eventQueue.after(500_000, () -> {
                if (hasMajority(nodes.get(leader))) {
                    replicateFromLeader();
                }
            });
        }

        ConfigPublisher publisher() {
            return publisher;
        }

        @Override
        public Version newest() {
            return committed.get((int) newest);
        }

        @Override
        public Version find(long number) {
            return number > newest || number <= newest - RETAINED_VERSIONS || number < 1
                    ? null
                    : committed.get((int) number);
        }

        @Override
        public boolean hasQuorumContact() {
            if (hasMajority(this)) {
                noMajoritySinceUs = -1;
            } else if (noMajoritySinceUs < 0) {
                noMajoritySinceUs = eventQueue.now();
            }
            return noMajoritySinceUs < 0 || eventQueue.now() - noMajoritySinceUs < SECOND_US;
        }

        @Override
        public void propose(Proposal proposal, Consumer<ProposalResult> onResult) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void addListener(Consumer<Version> onCommitted) {
            throw new UnsupportedOperationException();
        }

        @Override
        public byte[] encodeDelta(Difference delta) {
            encodedDeltas++;
            encodedFullVersions += delta.isFull() ? 1 : 0;
            return DifferenceLine.write(delta);
        }

        @Override
        public byte[] encodeHeartbeat(long number, boolean quorumContact) {
            return ("{\"newest\":" + number + ",\"in_touch\":" + quorumContact + "}\n")
                    .getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public void send(long watchId, byte[] line, int from, int to) {
            Connection connection = openConnections.get(watchId);
            if (connection != null) {
                connection.sendToProxy(Arrays.copyOfRange(line, from, to));
            }
        }

        @Override
        public void close(long watchId, String reason) {
            Connection connection = openConnections.remove(watchId);
            if (connection != null) {
                connection.close(false);
            }
        }

        @Override
        public void wakeAt(long timeUs) {
            if (timer != null) {
                timer.cancel();
            }
            ConfigPublisher requester = publisher;
            timer = eventQueue.after(timeUs - eventQueue.now(), () -> {
                if (alive && publisher == requester) {
                    publisher.onTimer(eventQueue.now());
                }
            });
        }
    }

    // ---- network -------------------------------------------------------------------------------------

    /** A connection that delivers in order in both directions; messages wait while its ends are partitioned. */
    final class Connection {
        final long id = ++lastConnectionId;
        final Proxy proxy;
        final Node node;
        private long lastArrivalAtProxyUs;
        private long lastArrivalAtNodeUs;
        private final ArrayDeque<Runnable> waitingMessages = new ArrayDeque<>();

        Connection(Proxy proxy, Node node) {
            this.proxy = proxy;
            this.node = node;
        }

        private boolean blocked() {
            return partitioned(proxy.zone, node.zone) || node.zoneFailed;
        }

        private void deliverAt(boolean toProxy, long arrivalUs, Runnable message) {
            eventQueue.after(arrivalUs - eventQueue.now(), () -> {
                if (!blocked()) {
                    while (!waitingMessages.isEmpty()) {
                        waitingMessages.poll().run();
                    }
                    message.run();
                } else {
                    if (waitingMessages.isEmpty()) {
                        retransmit();
                    }
                    waitingMessages.add(message);
                }
            });
        }

        /** Retransmits the waiting messages until the partition ends, even if their sender has ended by then. */
        private void retransmit() {
            eventQueue.after(random.nextLong(200_000, 2 * SECOND_US), () -> {
                if (!blocked()) {
                    while (!waitingMessages.isEmpty()) {
                        waitingMessages.poll().run();
                    }
                } else if (proxy.connection == this) {
                    retransmit();
                }
            });
        }

        void sendToProxy(byte[] piece) {
            lastArrivalAtProxyUs = Math.max(lastArrivalAtProxyUs, eventQueue.now() + latencyUs(proxy.zone, node.zone));
            deliverAt(true, lastArrivalAtProxyUs, () -> proxy.onPiece(this, piece));
        }

        void sendToNode(Runnable message) {
            lastArrivalAtNodeUs = Math.max(lastArrivalAtNodeUs, eventQueue.now() + latencyUs(proxy.zone, node.zone));
            deliverAt(false, lastArrivalAtNodeUs, () -> {
                if (node.alive) {
                    message.run();
                }
            });
        }

        /** One end closes the connection; the other end is notified when the message can be delivered. */
        void close(boolean byProxy) {
            if (byProxy) {
                sendToNode(() -> {
                    node.openConnections.remove(id);
                    node.publisher.onWatchClosed(id);
                });
            } else {
                lastArrivalAtProxyUs =
                        Math.max(lastArrivalAtProxyUs, eventQueue.now() + latencyUs(proxy.zone, node.zone));
                deliverAt(true, lastArrivalAtProxyUs, () -> proxy.onConnectionLost(this));
            }
        }
    }

    // ---- client proxies ------------------------------------------------------------------------------

    /** A simulated client proxy that watches a control-plane node and applies the versions it receives. */
    final class Proxy implements ConfigSubscriber.Actions {
        final int number;
        final int zone;
        boolean alive;
        /** Whether the process is paused: nothing is read and no timer runs. */
        private boolean paused;

        private final List<Runnable> deferred = new ArrayList<>();
        ConfigSubscriber subscriber;
        private Connection connection;
        private EventQueue.Timer timer;
        /** The cached copy on disk. */
        Version cachedVersion = Version.NONE;
        /** Numbers of the versions that became active, in order. */
        final List<Long> activeVersions = new ArrayList<>();
        /** When each of them became active. */
        final List<Long> activatedUs = new ArrayList<>();

        private byte[] partialLine = new byte[0];
        private long currentSecond;
        private long bytesInSecond;
        long bytesRead;

        Proxy(int number, int zone) {
            this.number = number;
            this.zone = zone;
        }

        void start() {
            alive = true;
            subscriber = new ConfigSubscriber(SubscriberSettings.defaults(NODES), cachedVersion, random.split(), this);
            if (cachedVersion.number() > 0) {
                onActiveVersion(cachedVersion);
            }
            subscriber.start(eventQueue.now());
        }

        /** Ends the process; {@code silently} without closing its connection. */
        void kill(boolean silently) {
            alive = false;
            if (connection != null && !silently) {
                connection.close(true);
            }
            connection = null;
            if (timer != null) {
                timer.cancel();
            }
        }

        void pause() {
            paused = true;
        }

        void resume() {
            paused = false;
            List<Runnable> actions = List.copyOf(deferred);
            deferred.clear();
            actions.forEach(Runnable::run);
        }

        private void runOrDefer(Runnable action) {
            if (paused) {
                deferred.add(action);
            } else if (alive) {
                action.run();
            }
        }

        @Override
        public void openWatch(int machine, long baseVersion, long checksum) {
            Node node = nodes.get(machine);
            Connection opened = new Connection(this, node);
            connection = opened;
            partialLine = new byte[0];
            // One round trip opens the connection; the request itself takes another one-way latency.
            long roundTripUs = 2 * latencyUs(zone, node.zone);
            eventQueue.after(roundTripUs, () -> {
                if (node.zoneFailed || partitioned(zone, node.zone)) {
                    return;
                }
                if (!node.alive) {
                    onConnectionLost(opened);
                    return;
                }
                opened.sendToNode(() -> {
                    node.openConnections.put(opened.id, opened);
                    if (!node.publisher.openWatch(eventQueue.now(), opened.id, "n" + number, baseVersion, checksum)) {
                        node.openConnections.remove(opened.id);
                        opened.close(false);
                    }
                });
            });
        }

        @Override
        public void closeWatch() {
            if (connection != null) {
                connection.close(true);
                connection = null;
            }
        }

        void onConnectionLost(Connection lostConnection) {
            runOrDefer(() -> {
                if (connection == lostConnection) {
                    connection = null;
                    subscriber.onWatchLost(eventQueue.now());
                }
            });
        }

        void onPiece(Connection source, byte[] piece) {
            runOrDefer(() -> {
                if (connection == source) {
                    countBytes(piece.length + 60);
                    subscriber.onData(eventQueue.now());
                    byte[] received = Arrays.copyOf(partialLine, partialLine.length + piece.length);
                    System.arraycopy(piece, 0, received, partialLine.length, piece.length);
                    partialLine = received;
                    if (received[received.length - 1] == '\n') {
                        partialLine = new byte[0];
                        onLine(source, received);
                    } else if (proxyDefect == ProxyDefect.REPORTS_VERSION_IT_LACKS) {
                        long newest = source.node.newest;
                        report(newest, Checksum.of(committed.get((int) newest)));
                    }
                }
            });
        }

        private void countBytes(int size) {
            bytesRead += size;
            totalBytesRead += size;
            if (eventQueue.now() / SECOND_US != currentSecond) {
                currentSecond = eventQueue.now() / SECOND_US;
                bytesInSecond = 0;
            }
            bytesInSecond += size;
            maxBytesInOneSecond = Math.max(maxBytesInOneSecond, bytesInSecond);
        }

        private void onLine(Connection source, byte[] line) {
            try {
                String text = new String(line, StandardCharsets.UTF_8);
                if (text.startsWith("{\"newest\":")) {
                    int comma = text.indexOf(',');
                    long newest = Long.parseLong(text.substring(10, comma));
                    if (proxyDefect == ProxyDefect.REVERTS_TO_OLDER_VERSION
                            && newest < subscriber.activeVersion().number()) {
                        onActiveVersion(committed.get((int) newest));
                    }
                    subscriber.onHeartbeat(eventQueue.now(), newest, text.contains("true"));
                } else {
                    Difference delta = parsedDeltas.get(text);
                    if (delta == null) {
                        delta = DifferenceLine.read(line);
                        parsedDeltas.put(text, delta);
                    }
                    subscriber.onDelta(
                            eventQueue.now(), proxyDefect == ProxyDefect.APPLIES_PARTIAL_DELTA ? partOf(delta) : delta);
                }
            } catch (IOException malformed) {
                throw new AssertionError("a malformed line", malformed);
            }
        }

        /** A part of a delta, with the checksum adjusted so that it is accepted as if it were complete. */
        private Difference partOf(Difference delta) throws IOException {
            TreeMap<String, String> half = new TreeMap<>(delta.changed());
            while (half.size() > delta.changed().size() / 2) {
                half.pollLastEntry();
            }
            Difference part = new Difference(
                    delta.from(), delta.to(), half, delta.removed(), delta.description(), delta.proposedAtMs(), 0);
            TreeMap<String, String> entries = new TreeMap<>(
                    delta.isFull() ? Map.of() : subscriber.activeVersion().entries());
            entries.keySet().removeAll(part.removed());
            entries.putAll(half);
            return new Difference(
                    delta.from(),
                    delta.to(),
                    half,
                    delta.removed(),
                    delta.description(),
                    delta.proposedAtMs(),
                    Checksum.of(new Version(delta.to(), entries, delta.description(), delta.proposedAtMs())));
        }

        @Override
        public void onActiveVersion(Version version) {
            cachedVersion = version;
            activeVersions.add(version.number());
            activatedUs.add(eventQueue.now());
        }

        @Override
        public void report(long number, long checksum) {
            Connection current = connection;
            long active = activeVersions.isEmpty() ? 0 : activeVersions.get(activeVersions.size() - 1);
            if (number != active) {
                violations.add("client proxy " + this.number + " reported version " + number + " but has " + active);
            }
            if (current != null) {
                current.sendToNode(
                        () -> current.node.publisher.onReport(eventQueue.now(), current.id, number, checksum));
            }
        }

        @Override
        public void wakeAt(long timeUs) {
            if (timer != null) {
                timer.cancel();
            }
            ConfigSubscriber requester = subscriber;
            timer = eventQueue.after(
                    timeUs - eventQueue.now(),
                    () -> runOrDefer(() -> {
                        if (subscriber == requester) {
                            subscriber.onTimer(eventQueue.now());
                        }
                    }));
        }

        /** When the version or a later one became active; {@code Long.MAX_VALUE} if it has not. */
        long activeSinceUs(long version) {
            for (int i = 0; i < activeVersions.size(); i++) {
                if (activeVersions.get(i) >= version) {
                    return activatedUs.get(i);
                }
            }
            return Long.MAX_VALUE;
        }
    }

    // ---- control and checks --------------------------------------------------------------------------

    void startAll() {
        proxies.forEach(Proxy::start);
    }

    void run(long durationUs) {
        eventQueue.runUntil(eventQueue.now() + durationUs);
    }

    /**
     * Checks that no client proxy went back to an older version, reported a version that it did not have, or has a
     * version that differs from the committed one.
     */
    void check() {
        for (Proxy proxy : proxies) {
            for (int i = 1; i < proxy.activeVersions.size(); i++) {
                if (proxy.activeVersions.get(i) < proxy.activeVersions.get(i - 1)) {
                    throw new AssertionError(
                            "client proxy " + proxy.number + " went back to an older version: " + proxy.activeVersions);
                }
            }
            if (proxy.subscriber != null) {
                Version version = proxy.subscriber.activeVersion();
                if (!version.equals(committed.get((int) version.number()))) {
                    throw new AssertionError("client proxy " + proxy.number + " has a version " + version.number()
                            + " that differs from the committed one");
                }
            }
        }
        if (!violations.isEmpty()) {
            throw new AssertionError(violations.get(0));
        }
    }

    /** Times in microseconds from the proposal of a version until it was active, for each live client proxy. */
    List<Long> propagationTimesUs(long version) {
        List<Long> timesUs = new ArrayList<>();
        for (Proxy proxy : proxies) {
            if (proxy.alive) {
                long activeAtUs = proxy.activeSinceUs(version);
                timesUs.add(activeAtUs == Long.MAX_VALUE ? Long.MAX_VALUE : activeAtUs - proposedUs.get((int) version));
            }
        }
        return timesUs;
    }

    /** A configuration with the given number of keys and random values. */
    Map<String, String> randomConfiguration(int keys) {
        Map<String, String> entries = new TreeMap<>();
        for (int i = 0; i < keys; i++) {
            entries.put("service-" + i / 10 + ".setting-" + i % 10, Long.toHexString(random.nextLong()));
        }
        return entries;
    }

    /** The newest configuration with random values for at most the given number of keys. */
    Map<String, String> newestWithRandomChanges(int keys) {
        Map<String, String> entries =
                new TreeMap<>(committed.get(committed.size() - 1).entries());
        List<String> names = new ArrayList<>(entries.keySet());
        for (int i = 0; i < keys && !names.isEmpty(); i++) {
            entries.put(names.get(random.nextInt(names.size())), Long.toHexString(random.nextLong()));
        }
        return entries;
    }
}
