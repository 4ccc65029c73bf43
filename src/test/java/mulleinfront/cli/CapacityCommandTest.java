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

/** {@code bench capacity} without measuring: what it says of the slopes that are held, and its exit codes. */
class CapacityCommandTest {
    private static final String HELD = "docs/capacity.json";

    @TempDir
    private Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... words) {
        String[] all = new String[words.length + 2];
        all[0] = "bench";
        all[1] = "capacity";
        System.arraycopy(words, 0, all, 2, words.length);
        return CommandLine.run(new PrintWriter(out, true), new PrintWriter(err, true), all);
    }

    private void refused(String because, String... words) {
        err.getBuffer().setLength(0);
        assertEquals(CommandLine.BAD_INPUT, run(words), err.toString());
        assertTrue(err.toString().contains(because) && err.toString().lines().count() == 1, err.toString());
    }

    @Test
    void oneThatIsOverIsExitCodeThree() {
        assertEquals(CommandLine.RULE_BROKEN, run("--as-held", "--role", "services"));
        assertTrue(out.toString().contains("none  over"), out.toString());
    }

    @Test
    void allWithinIsExitCodeNought() {
        assertEquals(CommandLine.KEPT, run("--as-held", "--role", "process"));
        assertTrue(out.toString().contains("all within budget"), out.toString());
    }

    @Test
    void aLargerSizeCostsMore() {
        assertEquals(CommandLine.RULE_BROKEN, run("--as-held", "--role", "lists", "--size", "2000"));
        assertTrue(out.toString().contains("291,000"), out.toString());
    }

    @Test
    void badInputIsOneLineAndChangesNothing() throws IOException {
        Path bad = Files.writeString(folder.resolve("bad.json"), "{\"size\": {}\n, nonsense");
        refused("bad.json:2", "--as-held", "--from", bad.toString());
        refused("there is no role nobody", "--as-held", "--role", "nobody");
        refused("sizes or more", "--role", "lists", "--at", "50,100");
        refused("--size", "--as-held", "--size", "0");
        refused("none.md", "--as-held", "--page", folder.resolve("none.md").toString());
        Path page = Files.writeString(folder.resolve("page.md"), "<!-- begin size -->\nnever ends\n");
        refused("does not end", "--as-held", "--page", page.toString());
        assertEquals("<!-- begin size -->\nnever ends\n", Files.readString(page));
    }

    @Test
    void theFileAndThePageAreWrittenAsTheyAreHeld() throws IOException {
        Path json = folder.resolve("all.json");
        Path page = Files.copy(Path.of("docs/CAPACITY.md"), folder.resolve("page.md"));
        assertEquals(CommandLine.RULE_BROKEN, run("--as-held", "--json", json.toString(), "--page", page.toString()));
        assertEquals(Files.readString(Path.of(HELD)), Files.readString(json));
        assertEquals(Files.readString(Path.of("docs/CAPACITY.md")), Files.readString(page));
    }
}
