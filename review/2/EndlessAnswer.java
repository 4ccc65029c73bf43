package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some answers of the hosts never end: a piece of the body comes every 0.1 s, for as long as the connection is open.
 * Each client waits for the end of its answer, or of its connection, beyond the time at which a request is lost.
 */
final class EndlessAnswer {
    private static final int PROXIES = 3;
    private static final double SECONDS = 30;
    private static final double REQUESTS_PER_S = 20;
    /** Share of the answers that never end. */
    private static final double SHARE = 0.05;
    /** Interval of the pieces of such an answer. */
    private static final long PIECE_EVERY_MS = 100;
    /**
     * Time after a request's deadline from which it is lost: half a second, 50 ms by which each limit is longer on
     * sockets, and 150 ms for a client proxy that is held up between its clock and a write.
     */
    private static final double LOST_AFTER_MS = 500 + 50 + 150;
    /** How long a client waits beyond its deadline to see what becomes of a request that is lost. */
    private static final long WATCH_MS = 6_000;

    private static final AtomicInteger ENDLESS = new AtomicInteger();

    private EndlessAnswer() {}

    public static void main(String[] args) {
        Record.main(Path.of(args[0], "record.txt"), EndlessAnswer::run);
    }

    private static int run(boolean trouble) throws Exception {
        String[] zones = {"khan-uul", "bayanzurkh", "sukhbaatar"};
        List<Discovery.Entry> servers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            Random random = new Random(100 + i);
            Host host = new Host("server-" + i, request -> handle(request, random, trouble));
            servers.add(new Discovery.Entry(
                    "server-" + i, host.address(), zones[i % 3], "new-2core", i / 3, "in_service", 0));
        }
        Discovery discovery = new Discovery("discovery");
        servers.forEach(discovery::put);
        List<Proxy> proxies = new ArrayList<>();
        for (int i = 0; i < PROXIES; i++) {
            Proxy proxy = new Proxy("n" + i);
            proxy.writeConfig(
                    Settings.config(proxy, i, PROXIES, discovery.address(), discovery.version(), servers));
            proxy.start();
            proxies.add(proxy);
        }
        for (Proxy proxy : proxies) {
            if (!proxy.awaitReady(20_000)) {
                Record.say("%s did not get ready", proxy.name);
                return 2;
            }
        }
        List<Load> loads = new ArrayList<>();
        for (int i = 0; i < PROXIES; i++) {
            loads.add(new Load(proxies.get(i), i));
        }
        for (Load load : loads) {
            load.done.await();
        }
        int sent = loads.stream().mapToInt(load -> load.sent.get()).sum();
        int ended = loads.stream().mapToInt(load -> load.ended.get()).sum();
        int lost = loads.stream().mapToInt(load -> load.lost.get()).sum();
        int unended = loads.stream().mapToInt(load -> load.unended.get()).sum();
        Record.say("requests sent %d, ended in time %d, answers of hosts without end %d", sent, ended, ENDLESS.get());
        Record.say(
                "requests with no final answer and no end of their connection %.1f s after their deadline: %d, "
                        + "of these with neither %.1f s after it: %d",
                LOST_AFTER_MS / 1_000, lost, WATCH_MS / 1_000.0, unended);
        for (Proxy proxy : proxies) {
            proxy.kill();
            proxy.recordLog();
        }
        return sent != ended + lost ? 2 : lost > 0 ? 1 : 0;
    }

    private static void handle(Host.Request request, Random random, boolean trouble) throws Exception {
        boolean endless;
        long workMs;
        synchronized (random) {
            endless = random.nextDouble() < SHARE && trouble;
            workMs = 20 + random.nextInt(40);
        }
        Thread.sleep(workMs);
        if (!endless) {
            request.answer("made for " + request.id());
            return;
        }
        ENDLESS.incrementAndGet();
        Record.line("host: begins an answer without end to %s", request.id());
        request.send("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n");
        double started = Record.ms();
        try {
            while (true) {
                request.send("10\r\n0123456789abcdef\r\n");
                Thread.sleep(PIECE_EVERY_MS);
            }
        } finally {
            Record.line(
                    "host: the connection of the answer to %s was closed after %.1f s",
                    request.id(), (Record.ms() - started) / 1_000);
        }
    }

    /** The clients of one client proxy: requests at random times, each on a connection of its own. */
    private static final class Load {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger ended = new AtomicInteger();
        final AtomicInteger lost = new AtomicInteger();
        final AtomicInteger unended = new AtomicInteger();
        final CountDownLatch done = new CountDownLatch(1);
        private final Proxy proxy;

        Load(Proxy proxy, int number) {
            this.proxy = proxy;
            Random random = new Random(7 + number);
            Threads.run(() -> {
                int count = (int) (SECONDS * REQUESTS_PER_S);
                CountDownLatch open = new CountDownLatch(count);
                for (int i = 0; i < count; i++) {
                    Thread.sleep((long) (-Math.log(1 - random.nextDouble()) / REQUESTS_PER_S * 1e3));
                    String id = String.format("%s-%06d", proxy.name, i);
                    double kind = random.nextDouble();
                    String key = "seller-" + random.nextInt(600);
                    String tenant = Settings.TENANTS[random.nextInt(Settings.TENANTS.length)];
                    long deadlineMs = kind < 0.41 ? 1_500 : kind < 0.8 ? 2_500 : 4_000;
                    String request = kind < 0.41
                            ? Client.get(id, "invoice-lookup", tenant, key, deadlineMs)
                            : kind < 0.8
                                    ? Client.post(id, "advance-payout", tenant, key, deadlineMs, null, "pay")
                                    : Client.post(
                                            id, "invoice-submit", tenant, key, deadlineMs, "key-" + id, "offer");
                    sent.incrementAndGet();
                    Threads.run(() -> {
                        call(id, request, deadlineMs);
                        open.countDown();
                    });
                }
                open.await();
                done.countDown();
            });
        }

        private void call(String id, String request, long deadlineMs) throws Exception {
            try (Client client = new Client(proxy.address())) {
                Client.Answer answer = client.call(request, deadlineMs + WATCH_MS);
                if (answer.tookMs() <= deadlineMs + LOST_AFTER_MS) {
                    ended.incrementAndGet();
                    if (answer.status() != 200) {
                        Record.line(
                                "client: %s (deadline %d ms): %s, status %d, after %.0f ms",
                                id, deadlineMs, answer.end(), answer.status(), answer.tookMs());
                    }
                    return;
                }
                lost.incrementAndGet();
                unended.addAndGet(answer.end().equals("open") ? 1 : 0);
                Record.line(
                        "client: BROKEN: %s (deadline %d ms): %s after %.0f ms, %d bytes of a body had come",
                        id, deadlineMs, answer.end(), answer.tookMs(), answer.body().length());
            }
        }
    }
}
