package mulleinfront.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Many client proxies that do one thing at one moment, in front of few servers. The bounds stand between what
 * the program did before (in brackets, seeds alike) and what it does now.
 */
class HerdTest {
    /**
     * Discovery takes a call of each within a few seconds, as a real one does, and lists sizes of two cores.
     */
    private static String herd(int instances, String proxies, String more) {
        return "length = \"24s\"\n[discovery]\ncall = \"" + 4_000 / instances + "ms\"\ntimeout = \"2s\"\n"
                + "[proxies]\ncount = " + instances + "\nstart-within = \"100ms\"\ncore = 0.5\n"
                + "cold-request = \"8ms\"\nwarm-request = \"1ms\"\n" + proxies + "\n" + SERVERS + more;
    }

    private static final String SERVERS = """
            [[servers]]
            name = "s"
            count = 24
            cores = 2
            weight = 2
            speed = [0.8, 1.8]
            queue-per-core = 20
            handshake-work = "1ms"
            report-every = ["340ms", "1.3s"]
            cold-from = ["13%", "34%"]
            cold-for = ["10s", "24s"]
            crowd-at = 6
            crowd-loss = "40%"
            key-memory = "5s"
            key-saving = "50%"
            [load]
            of-capacity = "%s"
            shape = "steady"
            keys = 700
            """;

    private static String fault(String lines) {
        return "[[fault]]\n" + lines.replace(", ", "\n") + "\n";
    }

    private static final String RELEASE =
            fault("do = \"deploy\", at = \"6s\", for = \"6s\", part = \"60%\", " + "batch = \"20%\", drain = \"3s\"");

    private static World.Result play(String load, int instances, String proxies, String faults, long seed)
            throws Exception {
        World.Result r = Worlds.play(herd(instances, proxies, faults).replace("\"%s\"", "\"" + load + "\""), seed);
        assertEquals(List.of(), r.breaches());
        assertEquals(0, r.crashedServers());
        return r;
    }

    private static String killed(String at, String part) {
        return fault("do = \"kill-proxy\", at = \"" + at + "\", part = \"" + part + "\", within = [\"0s\"@ \"100ms\"]")
                .replace("@", ",");
    }

    private static ServiceReport.Starts started(World.Result r) {
        return r.service().starts().get(0);
    }

    private static double refused(ServiceReport.Starts s) {
        return (double) s.refused() / s.tries();
    }

    @Test
    void aHerdThatStartsAtOnceDoesNotKeepDiscoveryTooBusyToAnswerAnybody() throws Exception {
        // With all calls within 0.2 s and repeats after 2.5 s at most, 212 of 365 calls were given up on,
        // each of which had cost discovery as much as an answer.
        World.Result r = Worlds.play(
                "length = \"30s\"\n[discovery]\ncall = \"55ms\"\ntimeout = \"2s\"\n"
                        + "[proxies]\ncount = 90\nstart-within = \"100ms\"\nstart = \"900ms\"\n"
                        + "[load]\nof-capacity = \"30%\"\n" + killed("10s", "70%")
                        + fault("do = \"discovery-crowd\", at = \"9s\", calls = \"8/s\""),
                3);
        assertEquals(List.of(), r.breaches());
        long calls = r.service().counts().get("discovery calls");
        long failed = r.service().counts().get("discovery calls failed");
        assertEquals(153, r.service().counts().get("client proxy starts"));
        assertTrue(failed < 60, failed + " of " + calls + " calls failed");
    }

    @ParameterizedTest
    @CsvSource({"1, 0.05", "2, 0.05", "3, 0.05"})
    void restartedInTheMiddleOfARelease(long seed, double most) throws Exception {
        World.Result r = play(
                "60%",
                60, "start = \"900ms\"\nknown = \"stale\"\nknown-age = \"9s\"", RELEASE + killed("9s", "70%"), seed);
        assertTrue(refused(started(r)) < most, refused(started(r)) + " refused");
    }

    @Test
    void allRestartedAtOnceWithAllHostsCold() throws Exception {
        // [0.00: whoever refuses sends nothing, earns no credit for cold hosts, and goes on refusing]
        World.Result r = play(
                "30%",
                60,
                "start = \"900ms\"",
                killed("8s", "100%") + fault("do = \"restart\", at = \"8s\", part = \"100%\""),
                1);
        assertTrue(started(r).share() > 0.7, started(r).toString());
    }

    @Test
    void nineInTenKilledTwiceWithinTenSeconds() throws Exception {
        World.Result r = play(
                "55%",
                60,
                "start = \"900ms\"\nknown = \"stale\"\nknown-age = \"9s\"",
                RELEASE + killed("8s", "90%") + killed("14s", "90%"),
                1);
        // [183 of 349 calls failed]
        long failed = r.service().counts().get("discovery calls failed");
        assertTrue(failed < 60, failed + " calls failed");
        assertTrue(started(r).share() > 0.97, started(r).toString());
    }

    @Test
    void oneRestartedAloneInAHealthyFleetIsAtItsFullShareAtOnce() throws Exception {
        World.Result r = play("55%", 60, "start = \"900ms\"", fault("do = \"kill-proxy\", at = \"8s\", proxy = 3"), 1);
        assertTrue(
                started(r).asked() > 100 && started(r).share() > 0.99,
                started(r).toString());
        assertEquals(0, started(r).refused());
    }

    @Test
    void restartedWhileATrueOverloadLasts() throws Exception {
        // Nobody is pushed over, and who is refused is who earns least.
        World.Result r = play(
                "160%",
                60,
                "start = \"900ms\"",
                killed("8s", "70%") + fault("do = \"restart\", at = \"9s\", part = \"30%\""),
                1);
        assertTrue(r.service().service() > 0.72, "service " + r.service().service());
        List<ServiceReport.Part> classes = r.service().classes();
        assertTrue(classes.get(1).share() > classes.get(0).share() + 0.2, classes.toString());
    }

    @Test
    void restartedWithAListOfAnHourAgo() throws Exception {
        World.Result r = play(
                "50%",
                60, "start = \"900ms\"\nknown = \"stale\"\nknown-age = \"1h\"\nghosts = 24", killed("8s", "70%"), 1);
        assertTrue(started(r).share() > 0.98, started(r).toString());
    }

    @Test
    void restartedWhileListsComeFiveSecondsLate() throws Exception {
        // [0.106]
        World.Result r = play(
                "55%",
                60,
                "start = \"900ms\"\nknown = \"stale\"\nknown-age = \"9s\"",
                RELEASE + killed("8s", "70%") + fault("do = \"discovery-late\", at = \"5s\", by = \"5s\""),
                1);
        assertTrue(refused(started(r)) < 0.07, refused(started(r)) + " refused");
    }

    @ParameterizedTest
    @CsvSource({"0.5", "1.0"})
    void onHalfACoreAndOnAWholeOne(double core) throws Exception {
        World.Result r = Worlds.play(
                herd(60, "start = \"900ms\"\nknown = \"stale\"\nknown-age = \"9s\"", RELEASE + killed("8s", "70%"))
                        .replace("\"%s\"", "\"55%\"")
                        .replace("core = 0.5", "core = " + core),
                1);
        assertEquals(List.of(), r.breaches());
        // [0.010 and 0.020]
        assertTrue(refused(started(r)) < 0.008, refused(started(r)) + " refused");
    }

    @Test
    void theFirstHostsAskedAreTheBadOnes() throws Exception {
        World.Result r = play(
                "45%",
                60,
                "start = \"900ms\"",
                killed("8s", "70%") + fault("do = \"errors\", at = \"7s\", part = \"40%\", rate = \"100%\""),
                1);
        assertTrue(started(r).share() > 0.85, started(r).toString());
        assertTrue(refused(started(r)) < 0.03, refused(started(r)) + " refused");
    }
}
