package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A fleet of 100 client proxies starts at one moment, so that discovery has more callers than it can answer at once: it
 * works through their calls in turn. Five of the fleet are real processes. One host has been draining since before
 * their start; their own configurations still have it in service.
 */
final class CrowdedDiscovery {
    private static final int FLEET = 100;
    private static final int REAL = 5;
    private static final int HOSTS = 6;
    private static final int DRAINING = 2;
    /** Work of discovery for a call: four calls a second (the site: 3.1 to 5.2). */
    private static final long CALL_MS = 250;
    /** How long a call waits at most before it fails with 503 (the site: 3 s). */
    private static final long WAIT_MS = 3_000;
    /** From then on a change counts as told, whatever became of calls. */
    private static final double TOLD_MS = 6_000;
    /**
     * The grace of the settings, 50 ms by which each limit is longer on sockets, and 150 ms for a client proxy that is
     * held up between its clock and a write.
     */
    private static final double GRACE_MS = 250 + 50 + 150;

    private static final double SECONDS = 20;
    private static final double REQUESTS_PER_S = 15;

    /** When each real client proxy was ready; discovery can be reached all the time. */
    private static final Map<String, Double> READY = new ConcurrentHashMap<>();

    private static final AtomicInteger SENT = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger LATE_SENDS = new AtomicInteger();
    private static final AtomicInteger AT_DRAINING = new AtomicInteger();

    private CrowdedDiscovery() {}

    public static void main(String[] args) {
        Record.main(Path.of(args[0], "record.txt"), CrowdedDiscovery::run);
    }

    /** Discovery that works through calls in turn. */
    private static final class Queueing extends Discovery {
        /** A call that waits; the oldest is worked on first. */
        private static final class Call {
            final CountDownLatch turn = new CountDownLatch(1);
        }

        private final ArrayDeque<Call> waiting = new ArrayDeque<>();
        final AtomicInteger answered = new AtomicInteger();
        final AtomicInteger refused = new AtomicInteger();

        Queueing() throws IOException {
            super("discovery");
            Threads.run(() -> {
                while (true) {
                    Call next;
                    synchronized (waiting) {
                        next = waiting.poll();
                    }
                    if (next == null) {
                        Thread.sleep(1);
                        continue;
                    }
                    Thread.sleep(CALL_MS);
                    next.turn.countDown();
                }
            });
        }

        @Override
        boolean admit(Socket socket, String target) throws Exception {
            Call call = new Call();
            synchronized (waiting) {
                waiting.add(call);
            }
            double arrived = Record.ms();
            if (call.turn.await(WAIT_MS, TimeUnit.MILLISECONDS)) {
                answered.incrementAndGet();
                Record.line("discovery: answers %s after %.0f ms", target, Record.ms() - arrived);
                return true;
            }
            boolean dropped;
            synchronized (waiting) {
                dropped = waiting.remove(call);
            }
            if (!dropped) {
                // Its turn has come at this very moment.
                call.turn.await();
                answered.incrementAndGet();
                return true;
            }
            refused.incrementAndGet();
            Record.line("discovery: 503 to %s after %.0f ms", target, Record.ms() - arrived);
            socket.getOutputStream()
                    .write("HTTP/1.1 503 x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            return false;
        }
    }

    private static int run(boolean trouble) throws Exception {
        String[] zones = {"khan-uul", "bayanzurkh", "sukhbaatar"};
        List<Discovery.Entry> servers = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            int number = i;
            Host host = new Host("server-" + i, request -> handle(request, number));
            servers.add(new Discovery.Entry(
                    "server-" + i, host.address(), zones[i % 3], "new-2core", i / 3, "in_service", 0));
        }
        Queueing discovery = new Queueing();
        servers.forEach(discovery::put);
        int known = discovery.version();
        discovery.put(servers.get(DRAINING).with("terminating"));
        List<Proxy> proxies = new ArrayList<>();
        for (int i = 0; i < REAL; i++) {
            Proxy proxy = new Proxy("n" + i);
            // Evenly among the numbers of the fleet.
            proxy.writeConfig(
                    Settings.config(proxy, i * FLEET / REAL, FLEET, discovery.address(), known, servers));
            proxies.add(proxy);
        }
        for (Proxy proxy : proxies) {
            proxy.start();
        }
        if (trouble) {
            for (int i = 0; i < FLEET - REAL; i++) {
                Random random = new Random(i);
                Threads.run(() -> callUntilAnswered(discovery, random));
            }
        }
        for (Proxy proxy : proxies) {
            if (!proxy.awaitReady(20_000)) {
                Record.say("%s did not get ready", proxy.name);
                return 2;
            }
            READY.put(proxy.name, Record.ms());
        }
        List<CountDownLatch> loads = new ArrayList<>();
        for (int i = 0; i < REAL; i++) {
            loads.add(load(proxies.get(i), i));
        }
        for (CountDownLatch load : loads) {
            load.await();
        }
        Record.say("discovery answered %d calls, and 503 to %d", discovery.answered.get(), discovery.refused.get());
        Record.say(
                "requests sent %d, served %d, at the draining host %d", SENT.get(), SERVED.get(), AT_DRAINING.get());
        Record.say(
                "requests begun at the draining host more than %.2f s after it counted as told: %d",
                GRACE_MS / 1_000, LATE_SENDS.get());
        for (Proxy proxy : proxies) {
            proxy.kill();
            proxy.recordLog();
        }
        return SERVED.get() < 100 ? 2 : LATE_SENDS.get() > 0 ? 1 : 0;
    }

    /** Another client proxy of the fleet: calls again within a second after each 503, until it has the list. */
    private static void callUntilAnswered(Discovery discovery, Random random) throws Exception {
        Thread.sleep(random.nextInt(2_000));
        while (true) {
            try (Socket socket = new Socket("127.0.0.1", discovery.listener.getLocalPort())) {
                socket.getOutputStream()
                        .write("GET /api/targets HTTP/1.1\r\nHost: discovery\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                byte[] head = socket.getInputStream().readNBytes(12);
                if (new String(head, StandardCharsets.US_ASCII).endsWith("200")) {
                    return;
                }
            }
            Thread.sleep(random.nextInt(1_000));
        }
    }

    private static void handle(Host.Request request, int number) throws Exception {
        double now = Record.ms();
        if (number == DRAINING) {
            AT_DRAINING.incrementAndGet();
            String proxy = request.id().split("-")[0];
            double told = READY.getOrDefault(proxy, Double.MAX_VALUE) + TOLD_MS;
            boolean late = now > told + GRACE_MS;
            LATE_SENDS.addAndGet(late ? 1 : 0);
            Record.line(
                    "host server-%d, draining: %sgets %s, %.2f s after its drain counted as told to %s",
                    number, late ? "BROKEN: " : "", request.id(), (now - told) / 1_000, proxy);
        }
        Thread.sleep(30);
        request.answer("made for " + request.id());
    }

    private static CountDownLatch load(Proxy proxy, int number) {
        CountDownLatch done = new CountDownLatch(1);
        Random random = new Random(7 + number);
        Threads.run(() -> {
            int count = (int) (SECONDS * REQUESTS_PER_S);
            for (int i = 0; i < count; i++) {
                Thread.sleep((long) (-Math.log(1 - random.nextDouble()) / REQUESTS_PER_S * 1e3));
                String id = String.format("%s-%06d", proxy.name, i);
                String key = "seller-" + random.nextInt(600);
                SENT.incrementAndGet();
                Threads.run(() -> {
                    try (Client client = new Client(proxy.address())) {
                        Client.Answer answer = client.call(
                                Client.get(id, "invoice-lookup", "erdenet", key, 1_500), 3_000);
                        SERVED.addAndGet(answer.status() == 200 ? 1 : 0);
                    }
                });
            }
            done.countDown();
        });
        return done;
    }
}
