package mulleinfront.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** {@code bench capacity} without measuring: output for the stored slopes, and exit codes. */
class CapacityCommandTest {
    private static final String STORED = "docs/capacity.json";

    @TempDir
    private Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... arguments) {
        String[] all = new String[arguments.length + 2];
        all[0] = "bench";
        all[1] = "capacity";
        System.arraycopy(arguments, 0, all, 2, arguments.length);
        return CommandLine.run(new PrintWriter(out, true), new PrintWriter(err, true), all);
    }

    private void assertRejected(String reason, String... arguments) {
        err.getBuffer().setLength(0);
        assertEquals(CommandLine.BAD_INPUT, run(arguments), err.toString());
        assertTrue(err.toString().contains(reason) && err.toString().lines().count() == 1, err.toString());
    }

    @Test
    void exceededBudgetIsExitCodeThree() {
        assertEquals(CommandLine.VIOLATION, run("--as-held", "--role", "services"));
        assertTrue(out.toString().contains("none  over"), out.toString());
    }

    @Test
    void allWithinBudgetIsExitCodeZero() {
        assertEquals(CommandLine.SUCCESS, run("--as-held", "--role", "process"));
        assertTrue(out.toString().contains("all within budget"), out.toString());
    }

    @Test
    void largerSizeCostsMore() {
        assertEquals(CommandLine.VIOLATION, run("--as-held", "--role", "lists", "--size", "2000"));
        assertTrue(out.toString().contains("291,000"), out.toString());
    }

    @Test
    void badInputIsOneLineAndChangesNothing() throws IOException {
        Path bad = Files.writeString(folder.resolve("bad.json"), "{\"size\": {}\n, nonsense");
        assertRejected("bad.json:2", "--as-held", "--from", bad.toString());
        assertRejected("unknown role 'nobody'; there are ", "--as-held", "--role", "nobody");
        assertRejected("sizes or more", "--role", "lists", "--at", "50,100");
        assertRejected("--size", "--as-held", "--size", "0");
        assertRejected(
                "none.md", "--as-held", "--page", folder.resolve("none.md").toString());
        Path page = Files.writeString(folder.resolve("page.md"), "<!-- begin size -->\nnever ends\n");
        assertRejected("does not end", "--as-held", "--page", page.toString());
        assertEquals("<!-- begin size -->\nnever ends\n", Files.readString(page));
    }

    @Test
    void unchangedInputIsWrittenUnchanged() throws IOException {
        Path json = folder.resolve("all.json");
        Path page = Files.copy(Path.of("docs/CAPACITY.md"), folder.resolve("page.md"));
        assertEquals(CommandLine.VIOLATION, run("--as-held", "--json", json.toString(), "--page", page.toString()));
        assertEquals(Files.readString(Path.of(STORED)), Files.readString(json));
        assertEquals(Files.readString(Path.of("docs/CAPACITY.md")), Files.readString(page));
    }
}
