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

/** The command line: exit codes, what is printed where, and one line for what is wrong. */
class EmulateTest {
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

    private int run(Object... words) {
        StringWriter o = new StringWriter();
        StringWriter e = new StringWriter();
        String[] args = new String[words.length];
        for (int i = 0; i < args.length; i++) {
            args[i] = words[i].toString();
        }
        int code = CommandLine.run(new PrintWriter(o, true), new PrintWriter(e, true), args);
        out = o.toString();
        err = e.toString();
        return code;
    }

    private void refused(String expected, Object... words) {
        assertEquals(2, run(words), out + err);
        assertEquals("", out);
        assertEquals(1, err.lines().count(), err);
        assertTrue(err.startsWith("mulleinfront: ") && err.contains(expected), err);
    }

    @Test
    void aScenarioIsPlayedAndTheDigestComesLast() throws Exception {
        Path trace = folder.resolve("trace");
        Path json = folder.resolve("json");
        assertEquals(0, run("emulate", scenario, "--seed", 5, "--trace", trace, "--json", json), err);
        assertEquals("", err);
        String last = out.lines().reduce((a, b) -> b).orElseThrow();
        String sha =
                HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(Files.readAllBytes(trace)));
        assertEquals("decisions: sha256 " + sha, last, "the digest is that of the trace's file");
        String report = Files.readString(json);
        assertTrue(report.contains("\"decisions_sha256\" : \"" + sha + "\""), report);
        assertTrue(report.contains("\"breach_count\" : 0") && report.contains("\"invoice-lookup\""), report);
        List<String> lines = Files.readAllLines(trace);
        assertTrue(lines.stream().anyMatch(l -> l.matches("\\d+ p\\d request q\\d+ class=\\d key=k\\d+ .*")));
        assertTrue(lines.stream().anyMatch(l -> l.matches("\\d+ p\\d > send q\\d+ (new|old)-\\d \\d+")));
        assertTrue(lines.stream().anyMatch(l -> l.matches("\\d+ p\\d ended q\\d+ 0 OK done \\d+")));
    }

    @Test
    void manySeedsGiveTheSameFiguresWhateverTheJobs() {
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
    void aBrokenRuleIsExitCode3AndSaysHowToReplayIt() throws Exception {
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
        refused("nowhere.toml: there is no such file", "emulate", folder.resolve("nowhere.toml"));
        refused("can't be read", "emulate", folder);
        refused("Missing required parameter", "emulate");
        refused("'--sed'", "emulate", scenario, "--sed", 1);
        refused("'x' is not a long", "emulate", scenario, "--seed", "x");
        refused("is no range of seeds", "emulate", scenario, "--seeds", "9..1");
        refused("is no range of seeds", "emulate", scenario, "--seeds", "9");
        refused("is no range of seeds", "emulate", scenario, "--seeds", "..");
        refused("--jobs must be 1 or more", "emulate", scenario, "--seeds", "1..2", "--jobs", 0);
        refused("are for one seed", "emulate", scenario, "--seeds", "1..2", "--json", folder.resolve("j"));
        refused("can't be written", "emulate", scenario, "--trace", folder.resolve("no/such/folder"));
        refused("a word is missing");
        refused("Unmatched argument", "emulatte", scenario);
        Path wrong = Files.writeString(folder.resolve("wrong.toml"), "[scenario]\ntitle = \"t\"\nlength = 4\n");
        refused("wrong.toml:3: scenario.length: '4' is no time", "emulate", wrong);
        refused("is not UTF-8 text", "emulate", Files.write(folder.resolve("bytes.toml"), new byte[] {-1, -2, 'a'}));
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
