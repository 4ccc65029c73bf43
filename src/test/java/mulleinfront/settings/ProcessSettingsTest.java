package mulleinfront.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reads process settings, and splits descriptors between event loops. */
class ProcessSettingsTest {
    private static final long MB = 1L << 20;

    @TempDir
    Path folder;

    private ProcessSettings read(String text) throws Exception {
        return ProcessSettings.load(Files.writeString(folder.resolve("m.toml"), text));
    }

    private void assertRejected(String text, String reason) {
        String message = assertThrows(BadFileException.class, () -> read(text)).getMessage();
        assertTrue(message.endsWith(reason), message);
        assertEquals(1, message.lines().count());
    }

    @Test
    void readsFilesStrictly() throws Exception {
        assertEquals(new ProcessSettings(1, 0), read(""));
        assertEquals(new ProcessSettings(4, 9000), read("loops = 4\nsockets = 9000\n"));
        assertRejected("loops = 0", "m.toml:1: loops: must be a whole number, 1 or more");
        assertRejected("\nloops = 65", "m.toml:2: loops: must be 64 at most");
        assertRejected("loops = \"4\"", "m.toml:1: loops: must be a whole number, 1 or more");
        assertRejected("loop = 4", "m.toml:1: loop: unknown key");
        assertTrue(assertThrows(BadFileException.class, () -> read("loops = "))
                .getMessage()
                .contains("m.toml:1: "));
        assertTrue(assertThrows(BadFileException.class, () -> ProcessSettings.load(folder.resolve("none.toml")))
                .getMessage()
                .endsWith("none.toml: no such file"));
    }

    @Test
    void descriptorsAreLimitedByPlatformFileAndHeap() {
        assertEquals(1024, new ProcessSettings(1, 0).maxSockets(1024, 96 * MB), "as deployed");
        assertEquals(1024, new ProcessSettings(1, 0).maxSockets(9000, 96 * MB), "limited by the heap");
        assertEquals(9000, new ProcessSettings(1, 0).maxSockets(9000, 2048 * MB));
        assertEquals(500, new ProcessSettings(1, 500).maxSockets(9000, 2048 * MB));
    }

    @Test
    void splitGivesEachLoopAnInstanceAndEqualShare() throws Exception {
        Config config = Config.load("deploy/sample-config.json");
        List<Config> loops = new ProcessSettings(4, 0).split(config, 96 * MB, 48, 16);
        assertEquals(4, loops.size());
        for (Config loop : loops) {
            assertEquals(4 * config.settings().instances(), loop.settings().instances());
            assertEquals(48 + (1024 - 48 - 3 * 16) / 4, loop.maxSockets());
            assertEquals(config.lastKnownList(), loop.lastKnownList());
        }
        assertEquals(4, loops.stream().map(Config::seed).distinct().count());
        assertEquals(config.seed(), loops.get(0).seed());
        assertTrue(assertThrows(BadFileException.class, () -> new ProcessSettings(64, 0).split(config, 96 * MB, 48, 16))
                .getMessage()
                .startsWith("loops: 64 event loops need more than the 1024 descriptors"));
    }
}
