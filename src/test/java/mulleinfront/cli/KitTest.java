package mulleinfront.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** {@code kit}: commands, exit codes and reports. */
class KitTest {
    private static final String DAEMON = "exec '" + Path.of(System.getProperty("java.home"), "bin", "java")
            + "' -XX:TieredStopAtLevel=1 -Xmx96m -cp '" + System.getProperty("java.class.path") + "' ";

    @TempDir
    Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... arguments) {
        return CommandLine.run(new PrintWriter(out, true), new PrintWriter(err, true), arguments);
    }

    private String scenarioFile(String proxies) throws Exception {
        return Files.writeString(
                        folder.resolve("day.toml"),
                        "[scenario]\ntitle = \"a test\"\nworld = \""
                                + Path.of("scenarios/calm.toml").toAbsolutePath()
                                + "\"\nlength = \"1s\"\nsettle = \"5s\"\n"
                                + "[proxies]\n" + proxies + "\n[load]\nrate = \"20/s\"\n")
                .toString();
    }

    @Test
    void unwritableReportIsStillPrinted() throws Exception {
        Path full = Path.of("/dev/full");
        Files.createDirectories(folder.resolve("r/day"));
        if (Files.exists(full)) {
            Files.createSymbolicLink(folder.resolve("r/day/report.txt"), full);
        } else {
            Files.createDirectory(folder.resolve("r/day/report.txt"));
        }
        int code = run(
                "kit",
                "run",
                scenarioFile("count = 1"),
                "--daemon",
                DAEMON + "mulleinfront.Main serve",
                "--report",
                folder.resolve("r").toString());
        assertTrue(err.toString().contains("the report can't be written ("), err.toString());
        assertTrue(out.toString().contains("rules: all four kept"), out.toString());
        // On a busy machine there is no verdict, but the report is still printed.
        assertTrue(code == CommandLine.SUCCESS || code == KitCommand.TOO_BUSY, "exit code " + code);
    }

    @Test
    void otherVersionIsExitCodeFourAndReportsAreWritten() throws Exception {
        int code = run(
                "kit",
                "run",
                scenarioFile("count = 1"),
                "--daemon",
                DAEMON + "mulleinfront.kit.BrokenDaemon other-version",
                "--report",
                folder.resolve("r").toString());
        assertEquals(KitCommand.WRONG_VERSION, code, out + " " + err);
        for (String name : new String[] {"report.txt", "report.json", "junit.xml", "daemon-0.json"}) {
            assertTrue(Files.size(folder.resolve("r/day").resolve(name)) > 0, name);
        }
    }

    @Test
    void badInputIsOneLineAndExitCodeTwo() throws Exception {
        assertEquals(
                CommandLine.BAD_INPUT,
                run("kit", "run", folder.resolve("none.toml").toString()));
        assertEquals(CommandLine.BAD_INPUT, run("kit", "run", scenarioFile("count = 65")));
        assertEquals(
                CommandLine.BAD_INPUT,
                run("kit", "suite", folder.resolve("none").toString()));
        assertEquals(CommandLine.BAD_INPUT, run("kit", "what"));
        assertEquals(4, err.toString().lines().count(), err.toString());
        assertEquals(CommandLine.SUCCESS, run("kit", "list"));
        assertTrue(out.toString().contains("scenarios/hang.toml"), out.toString());
        assertEquals(CommandLine.SUCCESS, run("--version"));
    }
}
