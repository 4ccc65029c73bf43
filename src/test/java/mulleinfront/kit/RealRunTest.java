package mulleinfront.kit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import mulleinfront.emulator.Auditor.Rule;
import mulleinfront.emulator.Scenario;
import mulleinfront.emulator.ScenarioReader;
import mulleinfront.settings.BadFileException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs the kit against the real daemon and against faulty daemons. No assertion depends on speed. */
@Execution(ExecutionMode.CONCURRENT)
class RealRunTest {
    private static final String JAVA = "'" + Path.of(System.getProperty("java.home"), "bin", "java")
            + "' -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx96m -cp '" + System.getProperty("java.class.path") + "' ";
    private static final String BROKEN = "exec " + JAVA + BrokenDaemon.class.getName() + " ";
    private static final String DAEMON = "exec " + JAVA + "mulleinfront.Main serve";

    @TempDir
    Path folder;

    private Scenario scenario(String lines) throws Exception {
        return ScenarioReader.read(Files.writeString(
                folder.resolve("day.toml"),
                "[scenario]\ntitle = \"a test\"\n" + "world = \""
                        + Path.of("scenarios/calm.toml").toAbsolutePath() + "\"\nsettle = \"5s\"\n" + lines));
    }

    private RealRun run(String command, String lines) throws Exception {
        return new RealRun(scenario(lines), 1, command, Path.of("").toAbsolutePath(), folder, line -> {});
    }

    private static void assertRulesKept(KitResult result) {
        assertEquals(List.of(), result.failures());
        assertEquals(List.of(), result.sockets().breaches());
        assertTrue(result.sockets().service().tries().get("served") > 0);
    }

    @Test
    void keepsTheRulesWithoutFaults() throws Exception {
        assertRulesKept(run(DAEMON, "length = \"4s\"\n[proxies]\ncount = 2\n[load]\nrate = \"60/s\"\n")
                .run());
    }

    @Test
    void keepsTheRulesUnderFaultsThatTakeEffect() throws Exception {
        KitResult result = run(DAEMON, """
                length = "9s"
                [proxies]
                count = 2
                known = "stale"
                known-age = "30s"
                ghosts = 2
                [load]
                rate = "60/s"
                [[fault]]
                do = "hang"
                at = "1s"
                servers = ["new-0"]
                [[fault]]
                do = "restart"
                at = "1s"
                servers = ["new-1"]
                drain = "1s"
                [[fault]]
                do = "vanish"
                at = "2s"
                servers = ["new-2"]
                for = "3s"
                [[fault]]
                do = "reset-after"
                at = "2s"
                rate = "20%"
                servers = ["old-0", "old-1"]
                [[fault]]
                do = "discovery-down"
                at = "3s"
                for = "2s"
                [[fault]]
                do = "kill-proxy"
                at = "4s"
                proxy = 0
                [[fault]]
                do = "end-proxy"
                at = "4s"
                proxy = 1
                """).run();
        assertRulesKept(result);
        assertEquals(4L, result.sockets().service().counts().get("client proxy starts"));
        assertEquals(
                2,
                result.sockets().service().servers().stream()
                        .filter(s -> s.name().equals("new-1"))
                        .findFirst()
                        .orElseThrow()
                        .processes());
    }

    @Test
    void concurrentRunsDoNotInterfere() throws Exception {
        ConcurrentLinkedQueue<Object> ended = new ConcurrentLinkedQueue<>();
        String lines = "length = \"2s\"\n[proxies]\ncount = 1\n[load]\nrate = \"40/s\"\n";
        Thread[] both = new Thread[2];
        for (int i = 0; i < 2; i++) {
            RealRun run = new RealRun(
                    scenario(lines),
                    1 + i,
                    DAEMON,
                    Path.of("").toAbsolutePath(),
                    folder.resolve("run" + i),
                    line -> {});
            both[i] = new Thread(() -> {
                try {
                    ended.add(run.run());
                } catch (Exception e) {
                    ended.add(e);
                }
            });
            both[i].start();
        }
        for (Thread t : both) {
            t.join();
        }
        assertEquals(2, ended.size());
        for (Object result : ended) {
            assertTrue(result instanceof KitResult, result.toString());
            assertRulesKept((KitResult) result);
        }
    }

    /** The scenario is one in which a minimal daemon without a fault breaks no rule. */
    @ParameterizedTest
    @CsvSource({
        "none,,",
        "resends,TWICE,may have run",
        "calls-it-harmless,TWICE,refused though",
        "answers-twice,LOST,answered"
    })
    void detectsTheRuleThatABrokenDaemonViolates(String fault, Rule rule, String words) throws Exception {
        KitResult result = run(BROKEN + fault, """
                length = "3s"
                [proxies]
                count = 1
                [load]
                rate = "50/s"
                [[fault]]
                do = "errors"
                at = "0s"
                rate = "30%"
                part = "100%"
                """).run();
        if (rule == null) {
            assertRulesKept(result);
            return;
        }
        assertTrue(
                result.sockets().breaches().stream()
                        .anyMatch(b -> b.rule() == rule && b.description().contains(words)),
                fault + ": " + result.sockets().breaches());
        ByteArrayOutputStream xml = new ByteArrayOutputStream();
        Report.junit("day", result, false, xml);
        assertEquals(1, xml.toString(StandardCharsets.UTF_8).split("<failure", -1).length - 1, xml.toString());
        ByteArrayOutputStream json = new ByteArrayOutputStream();
        Report.json(result, false, json);
        List<String> names = new ArrayList<>();
        try (JsonParser in = new JsonFactory().createParser(json.toByteArray())) {
            for (JsonToken token; (token = in.nextToken()) != null; ) {
                if (token == JsonToken.FIELD_NAME
                        && in.getParsingContext().getParent().inRoot()) {
                    names.add(in.currentName());
                }
            }
        }
        assertEquals(
                List.of("verdict", "daemon_version", "kit_version", "failures", "quarters", "late_ms", "sockets"),
                names);
        assertTrue(
                result.sockets().breaches().stream().allMatch(b -> b.rule() == rule),
                fault + ": " + result.sockets().breaches());
    }

    @Test
    void detectsRequestsToADrainingServer() throws Exception {
        // This daemon never calls discovery; the propagation deadline applies all the same.
        KitResult result = run(BROKEN + "none", """
                length = "14s"
                [proxies]
                count = 1
                [load]
                rate = "40/s"
                [[fault]]
                do = "drain"
                at = "500ms"
                servers = ["new-0", "new-1"]
                """).run();
        assertTrue(
                result.sockets().breaches().stream().anyMatch(b -> b.rule() == Rule.DRAINS),
                result.failures() + " " + result.sockets().breaches());
    }

    @Test
    void detectsAFloodedColdServer() throws Exception {
        KitResult result = run(BROKEN + "floods", """
                length = "7s"
                [proxies]
                count = 1
                [load]
                rate = "200/s"
                [[fault]]
                do = "restart"
                at = "500ms"
                drain = "100ms"
                servers = ["new-0"]
                """).run();
        assertTrue(
                result.sockets().service().servers().stream().anyMatch(s -> s.statistics().crashed),
                "new-0 must crash");
    }

    @Test
    void detectsRequestsLostByAnImmediateExit() throws Exception {
        KitResult result = run(BROKEN + "none", """
                length = "4s"
                [proxies]
                count = 1
                [load]
                rate = "100/s"
                [[fault]]
                do = "slow"
                at = "500ms"
                factor = 20
                part = "100%"
                [[fault]]
                do = "end-proxy"
                at = "2s"
                proxy = 0
                """).run();
        assertTrue(
                result.sockets().breaches().stream()
                        .anyMatch(
                                b -> b.rule() == Rule.LOST && b.description().contains("when its client proxy ended")),
                result.sockets().breaches().toString());
    }

    @Test
    void detectsADescriptorLeak() throws Exception {
        KitResult result = run(BROKEN + "leaks", "length = \"12s\"\n[proxies]\ncount = 1\n[load]\nrate = \"40/s\"\n")
                .run();
        assertTrue(
                result.failures().stream().anyMatch(f -> f.startsWith("client proxies leak")),
                result.failures() + " " + result.quarters());
    }

    @Test
    void checksAnotherVersionOnlyOnRequest() throws Exception {
        String command = BROKEN + "other-version";
        String lines = "length = \"1s\"\n[proxies]\ncount = 1\n[load]\nrate = \"20/s\"\n";
        KitResult rejected = run(command, lines).run();
        assertNull(rejected.sockets());
        assertEquals(KitResult.Verdict.WRONG_VERSION, rejected.verdict(false));
        ByteArrayOutputStream xml = new ByteArrayOutputStream();
        Report.junit("day", rejected, false, xml);
        assertEquals(
                4,
                xml.toString(StandardCharsets.UTF_8).split("<skipped", -1).length - 1,
                "all four rules must be skipped");
        assertTrue(xml.toString(StandardCharsets.UTF_8).contains("name=\"the run says something\"><failure"));
        String text = Report.text(rejected, false);
        assertTrue(text.contains("the daemon says 9.9.9, this kit is " + rejected.kitVersion()), text);
        assertTrue(text.contains("--any-version"), text);
        KitResult accepted = run(command, lines).anyVersion().run();
        assertNotNull(accepted.sockets());
        assertTrue(Report.text(accepted, true).contains("versions differ"));
    }

    @Test
    void reportsADaemonThatIsNeverReadyExitsOrIgnoresSigterm() throws Exception {
        String lines = "length = \"3s\"\n[proxies]\ncount = 1\n[load]\nrate = \"20/s\"\n";
        KitResult neverReady =
                run("exec sleep 600", lines).withTimeouts(1_000, 5_000).run();
        assertEquals(KitResult.Verdict.FAILED, neverReady.verdict(false));
        assertTrue(
                neverReady.failures().get(0).startsWith("client proxy 0 never got ready"),
                neverReady.failures().toString());
        KitResult exitedAtOnce = run("echo no way; exit 7", lines).run();
        assertTrue(
                exitedAtOnce.failures().get(0).contains("it ended: ")
                        && exitedAtOnce.failures().get(0).contains("no way"),
                exitedAtOnce.failures().toString());
        KitResult killed = run(
                        "(sleep 3; kill -9 $$) & " + BROKEN + "none",
                        "length = \"6s\"\n[proxies]\ncount = 1\n[load]\nrate = \"20/s\"\n")
                .run();
        assertTrue(
                killed.failures().stream().anyMatch(f -> f.contains("ended by itself, exit code 137")),
                killed.failures().toString());
        KitResult ignoresSigterm = run("trap '' TERM; " + BROKEN + "none", lines)
                .withTimeouts(60_000, 500)
                .run();
        assertTrue(
                ignoresSigterm.failures().stream().anyMatch(f -> f.contains("did not end within")),
                ignoresSigterm.failures().toString());
    }

    @Test
    void rejectsMoreProxiesThanSupported() throws Exception {
        Scenario many = scenario("length = \"1s\"\n").withProxies(65);
        assertTrue(assertThrows(BadFileException.class, () -> new RealRun(many, 1, DAEMON, folder, folder, l -> {}))
                .getMessage()
                .contains("65 client proxies"));
    }
}
