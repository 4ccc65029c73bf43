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

/** Differences, checksums and the line that both travel and are kept in. */
class DifferenceTest {
    private static Version version(long number, Map<String, String> entries) {
        return new Version(number, new TreeMap<>(entries), "why \"" + number + "\"\n", 1_000 + number);
    }

    private static final Version THREE = version(3, Map.of("a", "1", "b", "2", "gone", "x"));
    private static final Version NINE = version(9, Map.of("a", "1", "b", "3", "new", ""));

    @Test
    void aDifferenceNamesWhatChangedAndWhatIsNoMore() throws Exception {
        Difference d = Difference.between(THREE, NINE);
        assertEquals(Map.of("b", "3", "new", ""), d.changed());
        assertEquals(new TreeSet<>(java.util.Set.of("gone")), d.removed());
        assertEquals(NINE, d.on(THREE));
        assertEquals(NINE, Difference.whole(NINE).on(THREE), "the whole stands on whatever there is");
    }

    @Test
    void aDifferenceFitsNoOtherVersionAndNoOtherHistory() {
        Difference d = Difference.between(THREE, NINE);
        assertThrows(VersionMismatchException.class, () -> d.on(version(4, THREE.entries())));
        assertThrows(VersionMismatchException.class, () -> d.on(version(3, Map.of("a", "2", "b", "2", "gone", "x"))));
        Difference lacks = new Difference(
                3, 9, new TreeMap<>(Map.of("b", "3")), d.removed(), d.why(), d.decidedAtMillis(), d.checksum());
        assertThrows(VersionMismatchException.class, () -> lacks.on(THREE));
    }

    @Test
    void aChecksumTellsKeysFromValuesAndOneFromTwo() {
        assertNotEquals(Checksum.of(version(1, Map.of("ab", "c"))), Checksum.of(version(1, Map.of("a", "bc"))));
        assertNotEquals(
                Checksum.of(version(1, Map.of("a", "b", "c", "d"))),
                Checksum.of(version(1, Map.of("a", "b", "c", "", "d", ""))));
        assertNotEquals(Checksum.of(version(1, Map.of())), Checksum.of(version(2, Map.of())));
    }

    @Test
    void anyPairOfVersionsComesThroughItsLine() throws Exception {
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 200; i++) {
            Version from = version(1 + i, drawn(random));
            Version to = version(2 + i + random.nextInt(9), drawn(random));
            byte[] line = DifferenceLine.write(Difference.between(from, to));
            assertEquals('\n', line[line.length - 1]);
            assertEquals(to, DifferenceLine.read(line).on(from));
        }
    }

    private static Map<String, String> drawn(SplittableRandom random) {
        Map<String, String> entries = new TreeMap<>();
        int keys = random.nextInt(6);
        for (int k = 0; k < keys; k++) {
            entries.put("key\u00e9." + random.nextInt(8), "v\"\u20ac\n" + random.nextInt(3));
        }
        return entries;
    }

    @Test
    void aKeptCopyCutAtAnyByteIsNotTaken() throws Exception {
        byte[] file = DifferenceLine.write(Difference.whole(NINE));
        assertEquals(NINE, DifferenceLine.kept(file));
        for (int cut = 0; cut < file.length; cut++) {
            byte[] part = Arrays.copyOf(file, cut);
            assertThrows(IOException.class, () -> DifferenceLine.kept(part), "cut at " + cut);
        }
    }

    @Test
    void aKeptCopyWithABitTurnedIsNotTakenForAnotherVersion() throws Exception {
        byte[] file = DifferenceLine.write(Difference.whole(NINE));
        int refused = 0;
        for (int bit = 0; bit < 8 * file.length; bit++) {
            byte[] damaged = file.clone();
            damaged[bit / 8] ^= (byte) (1 << bit % 8);
            try {
                // In a name that nobody reads, or in the writing of a number, a bit may not matter.
                assertEquals(NINE, DifferenceLine.kept(damaged), "bit " + bit);
            } catch (IOException e) {
                refused++;
            }
        }
        assertTrue(refused > 7 * file.length, refused + " of " + 8 * file.length);
    }

    @Test
    void aDifferenceIsNotACopyToStartFrom() {
        byte[] line = DifferenceLine.write(Difference.between(THREE, NINE));
        assertThrows(IOException.class, () -> DifferenceLine.kept(line));
        assertArrayEquals(line, DifferenceLine.write(Difference.between(THREE, NINE)), "one form only");
    }
}
