package mulleinfront.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import mulleinfront.config.PublisherSettings;
import mulleinfront.config.SubscriberSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reads control-plane files and fleet-wide configurations, and reports errors in them. */
class ControlFileTest {
    @TempDir
    Path folder;

    private static final String NODES = """
            [[machine]]
            name = "a"
            consensus = "127.0.0.1:1"
            door = "127.0.0.1:2"
            [[machine]]
            name = "b"
            consensus = "127.0.0.1:3"
            door = "127.0.0.1:4"
            [[machine]]
            name = "c"
            consensus = "127.0.0.1:5"
            door = "127.0.0.1:6"
            """;

    @Test
    void deployFileContainsTheDefaults() throws Exception {
        ControlFile file = ControlFile.load(Path.of("deploy/control.toml"));
        assertEquals(PublisherSettings.DEFAULTS, file.publisher());
        assertEquals(SubscriberSettings.defaults(3), file.subscriber());
        assertNull(file.cacheDirectory());
        assertNull(file.eventLogFile());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            name = "b"|name = "a"|6: machine.name: the name a is already used in this file
            name = "b"|name = "b c"|6: machine.name: must have 1 to 64 letters, digits, '.', '_' or '-'
            door = "127.0.0.1:4"|door = "127.0.0.1:1"|8: machine.door: this address is already used in this file
            door = "127.0.0.1:4"|door = "here"|8: machine.door: not an address and port: here
            door = "127.0.0.1:4"|doors = 3|5: machine: missing door
            """)
    void rejectsInvalidNodes(String old, String bad, String expected) throws Exception {
        assertRejected(NODES.replace(old, bad), expected);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            [handout]\\nbytes = "10/s"|14: handout.bytes: must be from 1000/s to 10000000/s
            [handout]\\nbyte = 1|14: handout.byte: unknown key
            [follow]\\nsilence = "1ms"|14: follow.silence: must be from 1000ms to 3600000ms
            [follow]\\nconnect = "2s"|14: follow.connect: must be from 10ms to 1500ms
            [other]|13: other: unknown key
            """)
    void rejectsInvalidSettings(String bad, String expected) throws Exception {
        assertRejected(NODES + bad.replace("\\n", "\n"), expected);
    }

    private void assertRejected(String text, String expected) throws Exception {
        Path file = Files.writeString(folder.resolve("c.toml"), text);
        BadFileException error = assertThrows(BadFileException.class, () -> ControlFile.load(file));
        assertEquals(file + ":" + expected, error.getMessage());
    }

    @Test
    void flattensNestedTablesAndArrays() throws Exception {
        assertEquals(
                Map.of("a.b.c", "1.5", "a.on", "true", "l.0", "x", "l.1.y", "2"),
                FleetConfiguration.parse("f", "a.b.c = 1.5\na.on = true\nl = [\"x\", {y = 2}]\n"));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            a = |1: Unexpected end of input
            a = 1\\n'b c' = 2|2: b c: a key has letters, digits
            a = 1\\n'b.c' = 2|2: b.c: a name with a dot in it can't be told from two
            [t]\\n[t.u]\\nv = ['', '\\t \\uD83D\\uDE00']|3: t.u.v.1: a character beyond U+FFFF
            discovery = 'x'|1: discovery: not an address and port: x
            discovery = ['127.0.0.1:1']|ok
            """)
    void rejectsInvalidFleetConfigurationWithLine(String text, String expected) throws Exception {
        String toml = text.replace("\\n", "\n").replace("\\t", "\t").replace("\\uD83D\\uDE00", "\uD83D\uDE00");
        if (expected.equals("ok")) {
            assertEquals("127.0.0.1:1", FleetConfiguration.parse("f", toml).get("discovery.0"));
            return;
        }
        BadFileException error = assertThrows(BadFileException.class, () -> FleetConfiguration.parse("f", toml));
        assertEquals(
                "f:" + expected,
                error.getMessage().substring(0, Math.min(error.getMessage().length(), expected.length() + 2)));
    }

    @Test
    void rejectsTooManyCharacters() throws Exception {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 9; i++) {
            text.append("k").append(i).append(" = \"").append("v".repeat(4_096)).append("\"\n");
        }
        BadFileException error =
                assertThrows(BadFileException.class, () -> FleetConfiguration.parse("f", text.toString()));
        assertEquals("f: keys and values have 36000 characters at most, not 36882", error.getMessage());
        BadFileException longer = assertThrows(
                BadFileException.class, () -> FleetConfiguration.parse("f", "\nk = \"" + "v".repeat(4_097) + "\"\n"));
        assertEquals("f:2: k: a value has 4096 characters at most, not 4097", longer.getMessage());
    }
}
