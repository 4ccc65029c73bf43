package mulleinfront.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** {@code emulate}: exit codes, output streams, and one-line error messages. */
class EmulateTest {
    private static final String NOT_A_RANGE =
            " is not a range of seeds: it must be A..B with A at most B, such as 1..500";

    @TempDir
    Path folder;

    private Path scenario;
    private String out;
    private String err;

    @BeforeEach
    void write() throws Exception {
        Files.copy(Path.of("scenarios/calm.toml"), folder.resolve("calm.toml"));
        scenario = scenario("length = \"4s\"\n");
    }

    private Path scenario(String lines) throws Exception {
        return Files.writeString(
                folder.resolve("short.toml"), "[scenario]\ntitle = \"short\"\nworld = \"calm.toml\"\n" + lines);
    }

    private int run(Object... arguments) {
        StringWriter outWriter = new StringWriter();
        StringWriter errWriter = new StringWriter();
        String[] args = new String[arguments.length];
        for (int i = 0; i < args.length; i++) {
            args[i] = arguments[i].toString();
        }
        int code = CommandLine.run(new PrintWriter(outWriter, true), new PrintWriter(errWriter, true), args);
        out = outWriter.toString();
        err = errWriter.toString();
        return code;
    }

    private void assertRejected(String expected, Object... arguments) {
        assertEquals(2, run(arguments), out + err);
        assertEquals("", out);
        assertEquals(1, err.lines().count(), err);
        assertTrue(err.startsWith("mulleinfront: ") && err.contains(expected), err);
    }

    @Test
    void printsReportWithTraceDigestLast() throws Exception {
        Path trace = folder.resolve("trace");
        Path json = folder.resolve("json");
        assertEquals(0, run("emulate", scenario, "--seed", 5, "--trace", trace, "--json", json), err);
        assertEquals("", err);
        String last = out.lines().reduce((a, b) -> b).orElseThrow();
        String sha =
                HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(Files.readAllBytes(trace)));
        assertEquals("decisions: sha256 " + sha, last, "the printed digest is that of the trace file");
        String report = Files.readString(json);
        assertTrue(report.contains("\"decisions_sha256\" : \"" + sha + "\""), report);
        assertTrue(report.contains("\"breach_count\" : 0") && report.contains("\"invoice-lookup\""), report);
        List<String> lines = Files.readAllLines(trace);
        assertTrue(lines.stream().anyMatch(l -> l.matches("\\d+ p\\d request q\\d+ class=\\d key=k\\d+ .*")));
        assertTrue(lines.stream().anyMatch(l -> l.matches("\\d+ p\\d > send q\\d+ (new|old)-\\d \\d+")));
        assertTrue(lines.stream().anyMatch(l -> l.matches("\\d+ p\\d ended q\\d+ 0 OK done \\d+")));
    }

    @Test
    void sweepResultIsIndependentOfJobs() {
        assertEquals(0, run("emulate", scenario, "--seeds", "1..6", "--jobs", 1), err);
        String one = out;
        assertTrue(
                one.contains("seeds 1..6: mean service 0.9")
                        && one.contains("worst seeds: ")
                        && one.contains("rules: all four kept under every seed"),
                one);
        assertEquals(0, run("emulate", scenario, "--seeds", "1..6", "--jobs", 4), err);
        assertEquals(one, out);
    }

    @Test
    void brokenRuleIsExitCode3WithReplayCommand() throws Exception {
        scenario("length = \"6s\"\n[proxies]\nkill-after = \"0s\"\n[[fault]]\ndo = \"end-proxy\"\nat = \"3s\"\n"
                + "count = 5\n");
        assertEquals(3, run("emulate", scenario), out);
        assertTrue(
                out.contains(
                        "rule broken: no request is lost: not answered when its client proxy ended," + " request q"),
                out);
        assertEquals(3, run("emulate", scenario, "--seeds", "4..6"), out);
        assertTrue(
                out.contains("the first:\n  rule broken: no request is lost")
                        && out.contains("replay: emulate " + scenario + " --seed 4"),
                out);
    }

    @Test
    void badInputIsOneLine() throws Exception {
        assertRejected("nowhere.toml: there is no such file", "emulate", folder.resolve("nowhere.toml"));
        assertRejected("can't be read", "emulate", folder);
        assertRejected("Missing required parameter", "emulate");
        assertRejected("'--sed'", "emulate", scenario, "--sed", 1);
        assertRejected("'x' is not a long", "emulate", scenario, "--seed", "x");
        assertRejected("--seeds: '9..1'" + NOT_A_RANGE, "emulate", scenario, "--seeds", "9..1");
        assertRejected("--seeds: '9'" + NOT_A_RANGE, "emulate", scenario, "--seeds", "9");
        assertRejected("--seeds: '..'" + NOT_A_RANGE, "emulate", scenario, "--seeds", "..");
        assertRejected("--jobs must be 1 or more", "emulate", scenario, "--seeds", "1..2", "--jobs", 0);
        assertRejected("are for one seed", "emulate", scenario, "--seeds", "1..2", "--json", folder.resolve("j"));
        assertRejected("can't be written", "emulate", scenario, "--trace", folder.resolve("no/such/folder"));
        assertRejected("a command is missing");
        assertRejected("Unmatched argument", "emulatte", scenario);
        Path wrong = Files.writeString(folder.resolve("wrong.toml"), "[scenario]\ntitle = \"t\"\nlength = 4\n");
        assertRejected("wrong.toml:3: scenario.length: '4' is not a time", "emulate", wrong);
        assertRejected(
                "is not UTF-8 text", "emulate", Files.write(folder.resolve("bytes.toml"), new byte[] {-1, -2, 'a'}));
    }

    @Test
    void helpNamesEveryOption() {
        assertEquals(0, run("emulate", "--help"));
        for (String option : List.of("--seed", "--seeds", "--jobs", "--trace", "--json")) {
            assertTrue(out.contains(option), out);
        }
        assertEquals(0, run("--help"));
        assertTrue(out.contains("emulate") && out.contains("serve"), out);
    }
}
