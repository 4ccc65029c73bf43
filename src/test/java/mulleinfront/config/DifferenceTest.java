package mulleinfront.config;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import mulleinfront.settings.DifferenceLine;
import org.junit.jupiter.api.Test;

/** Tests deltas, checksums, and the line format that is both sent and stored in the cached copy. */
class DifferenceTest {
    private static Version version(long number, Map<String, String> entries) {
        return new Version(number, new TreeMap<>(entries), "why \"" + number + "\"\n", 1_000 + number);
    }

    private static final Version VERSION_3 = version(3, Map.of("a", "1", "b", "2", "gone", "x"));
    private static final Version VERSION_9 = version(9, Map.of("a", "1", "b", "3", "new", ""));

    @Test
    void deltaHoldsChangedAndRemovedKeys() throws Exception {
        Difference delta = Difference.between(VERSION_3, VERSION_9);
        assertEquals(Map.of("b", "3", "new", ""), delta.changed());
        assertEquals(new TreeSet<>(java.util.Set.of("gone")), delta.removed());
        assertEquals(VERSION_9, delta.applyTo(VERSION_3));
        assertEquals(VERSION_9, Difference.full(VERSION_9).applyTo(VERSION_3), "a full delta applies to any version");
    }

    @Test
    void deltaIsRejectedForOtherBaseVersionOrHistory() {
        Difference delta = Difference.between(VERSION_3, VERSION_9);
        assertThrows(VersionMismatchException.class, () -> delta.applyTo(version(4, VERSION_3.entries())));
        assertThrows(
                VersionMismatchException.class,
                () -> delta.applyTo(version(3, Map.of("a", "2", "b", "2", "gone", "x"))));
        Difference incomplete = new Difference(
                3,
                9,
                new TreeMap<>(Map.of("b", "3")),
                delta.removed(),
                delta.description(),
                delta.proposedAtMs(),
                delta.checksum());
        assertThrows(VersionMismatchException.class, () -> incomplete.applyTo(VERSION_3));
    }

    @Test
    void checksumDependsOnKeyAndValueBoundariesAndVersionNumber() {
        assertNotEquals(Checksum.of(version(1, Map.of("ab", "c"))), Checksum.of(version(1, Map.of("a", "bc"))));
        assertNotEquals(
                Checksum.of(version(1, Map.of("a", "b", "c", "d"))),
                Checksum.of(version(1, Map.of("a", "b", "c", "", "d", ""))));
        assertNotEquals(Checksum.of(version(1, Map.of())), Checksum.of(version(2, Map.of())));
    }

    @Test
    void deltaOfRandomVersionsSurvivesEncoding() throws Exception {
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 200; i++) {
            Version from = version(1 + i, randomEntries(random));
            Version to = version(2 + i + random.nextInt(9), randomEntries(random));
            byte[] line = DifferenceLine.write(Difference.between(from, to));
            assertEquals('\n', line[line.length - 1]);
            assertEquals(to, DifferenceLine.read(line).applyTo(from));
        }
    }

    private static Map<String, String> randomEntries(SplittableRandom random) {
        Map<String, String> entries = new TreeMap<>();
        int keys = random.nextInt(6);
        for (int k = 0; k < keys; k++) {
            entries.put("key\u00e9." + random.nextInt(8), "v\"\u20ac\n" + random.nextInt(3));
        }
        return entries;
    }

    @Test
    void truncatedCachedCopyIsRejected() throws Exception {
        byte[] file = DifferenceLine.write(Difference.full(VERSION_9));
        assertEquals(VERSION_9, DifferenceLine.readCached(file));
        for (int length = 0; length < file.length; length++) {
            byte[] truncated = Arrays.copyOf(file, length);
            assertThrows(IOException.class, () -> DifferenceLine.readCached(truncated), "cut at " + length);
        }
    }

    @Test
    void cachedCopyWithFlippedBitIsNeverReadAsAnotherVersion() throws Exception {
        byte[] file = DifferenceLine.write(Difference.full(VERSION_9));
        int refused = 0;
        for (int bit = 0; bit < 8 * file.length; bit++) {
            byte[] damaged = file.clone();
            damaged[bit / 8] ^= (byte) (1 << bit % 8);
            try {
                // A flipped bit may have no effect, for example in a field name that the reader skips.
                assertEquals(VERSION_9, DifferenceLine.readCached(damaged), "bit " + bit);
            } catch (IOException e) {
                refused++;
            }
        }
        assertTrue(refused > 7 * file.length, refused + " of " + 8 * file.length);
    }

    @Test
    void deltaIsRejectedAsCachedCopy() {
        byte[] line = DifferenceLine.write(Difference.between(VERSION_3, VERSION_9));
        assertThrows(IOException.class, () -> DifferenceLine.readCached(line));
        assertArrayEquals(
                line, DifferenceLine.write(Difference.between(VERSION_3, VERSION_9)), "the encoding is deterministic");
    }
}
