package mulleinfront.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A scenario and a seed give the same decisions and report in every JVM configuration. */
class DigestTest {
    private static final String SCENARIO = """
            [scenario]
            title = "a short rough day"
            world = "calm.toml"
            length = "12s"
            settle = "5s"
            [clients]
            leave = "2%"
            [[fault]]
            do = "deploy"
            at = "2s"
            for = "6s"
            part = "50%"
            batch = "20%"
            drain = "2s"
            [[fault]]
            do = "hang"
            at = "3s"
            for = "4s"
            count = 2
            [[fault]]
            do = "kill-proxy"
            at = "5s"
            count = 2
            [[fault]]
            do = "discovery-silent"
            at = "6s"
            for = "5s"
            """;

    /** 20 JVM configurations: heap sizes, collectors, locales, time zones, identity hashes, compilers and encodings. */
    private static final List<String> JVMS = List.of(
            "-XX:hashCode=0",
            "-XX:hashCode=1",
            "-XX:hashCode=2",
            "-XX:hashCode=3",
            "-XX:hashCode=4",
            "-XX:hashCode=5",
            "-XX:+UseSerialGC",
            "-XX:+UseParallelGC",
            "-XX:+UseG1GC",
            "-XX:+UseSerialGC -Xmx64m",
            "-Xmx48m -Xmn8m",
            "-Xmx1g -Xms1g",
            "-Duser.language=tr -Duser.country=TR",
            "-Duser.language=ar -Duser.country=EG",
            "-Duser.language=mn -Duser.country=MN",
            "-Duser.timezone=Asia/Ulaanbaatar",
            "-Duser.timezone=Pacific/Apia",
            "-XX:TieredStopAtLevel=1",
            "-Xint",
            "-Dfile.encoding=ISO-8859-1");

    @TempDir
    Path folder;

    /** A started emulator process and the files of its output and its JSON report. */
    private record Run(Process process, Path out, Path json) {}

    private Run start(int number, String options) throws Exception {
        Path out = folder.resolve("out" + number);
        Path json = folder.resolve("json" + number);
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-XX:+UnlockExperimentalVMOptions"));
        command.addAll(Arrays.asList(options.split(" ")));
        command.addAll(List.of(
                "-cp",
                System.getProperty("java.class.path"),
                "mulleinfront.Main",
                "emulate",
                folder.resolve("short.toml").toString(),
                "--seed",
                "7",
                "--json",
                json.toString()));
        return new Run(
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(out.toFile())
                        .start(),
                out,
                json);
    }

    @Test
    void oneSeedHasOneDigestInTwentyJvms() throws Exception {
        Files.writeString(folder.resolve("short.toml"), SCENARIO);
        Files.copy(Worlds.SHIPPED.resolve("calm.toml"), folder.resolve("calm.toml"));
        String expectedDigest = Worlds.world(ScenarioReader.read(folder.resolve("short.toml")), 7)
                .run()
                .sha256();
        Set<String> digestLines = new HashSet<>();
        Set<String> reports = new HashSet<>();
        for (int from = 0; from < JVMS.size(); from += 4) {
            List<Run> batch = new ArrayList<>();
            for (int i = from; i < from + 4; i++) {
                batch.add(start(i, JVMS.get(i)));
            }
            for (Run run : batch) {
                try {
                    assertTrue(run.process().waitFor(120, TimeUnit.SECONDS), "did not end within 120 s");
                    List<String> out = Files.readAllLines(run.out(), StandardCharsets.UTF_8);
                    assertEquals(0, run.process().exitValue(), String.join("\n", out));
                    digestLines.add(out.get(out.size() - 1));
                    reports.add(Files.readString(run.json())
                            + out.stream()
                                    .skip(1)
                                    .filter(l -> !l.contains("warning"))
                                    .collect(Collectors.joining("\n")));
                } finally {
                    run.process().destroyForcibly();
                }
            }
        }
        assertEquals(Set.of("decisions: sha256 " + expectedDigest), digestLines);
        assertEquals(1, reports.size(), "the same report to the letter");
        assertEquals(20, JVMS.size());
        assertTrue(new File(System.getProperty("java.home")).isDirectory());
    }
}
