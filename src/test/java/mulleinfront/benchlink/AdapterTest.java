package mulleinfront.benchlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import mulleinfront.settings.Config;
import org.junit.jupiter.api.Test;

/** Protocol transcripts: input batches and the replies that the adapter must write. */
class AdapterTest {
    private static final String BOOT = "{\"m\":\"BOOT\",\"rngSeed\":7930985574052168,\"bootInfo\":{\"balancers\":2,"
            + "\"unheardOf\":[1,{\"a\":null}],\"classes\":[{\"name\":\"c\",\"effect\":\"retryable\",\"dedupScope\":\"all\","
            + "\"onTimeUs\":500000,\"deadlineUs\":2000000,\"worth\":1}],\"limits\":{\"maxAttempts\":3}}}";
    private static final String LIST = "{\"m\":\"CATALOG\",\"table\":0,\"rowsIn\":[{\"host\":\"10.0.0.1:80\",\"az\":0,"
            + "\"machine\":0,\"cohort\":0,\"availability\":\"Ready\",\"rating\":1,\"cameUpUs\":null}]},"
            + "{\"m\":\"DISCOVERY\",\"how\":\"cached\",\"seqNo\":41,\"table\":0}";

    private static String runAdapter(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        Adapter.run(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out);
        return out.toString(StandardCharsets.UTF_8);
    }

    private static String batch(long now, String events) {
        return "{\"wallUs\":" + now + ",\"proxys\":[{\"i\":3,\"in\":[" + events + "]}]}\n";
    }

    private static String requestEvent(String id) {
        return "{\"m\":\"ORDER\",\"xid\":\"" + id + "\",\"budgetUs\":240000,\"bits\":1,\"tierClass\":0,"
                + "\"expectedUs\":12000,\"routeKey\":\"91f03b7c55d20a64\",\"customer\":null}";
    }

    @Test
    void emptyBatchesGetEmptyReplies() throws IOException {
        String empty = "{\"wallUs\":8412250,\"proxys\":[]}\n";
        assertEquals("{\"proxys\":[]}\n{\"proxys\":[]}\n", runAdapter(empty + "\n" + empty));
        assertEquals("", runAdapter(""));
    }

    @Test
    void requestIsForwardedAndServed() throws IOException {
        String out = runAdapter(batch(10, BOOT + "," + LIST)
                + batch(5010, requestEvent("c50b12855d3a91c4"))
                + batch(
                        9010,
                        "{\"m\":\"ENDED\",\"xid\":\"c50b12855d3a91c4\",\"host\":\"10.0.0.1:80\",\"outcome\":\"Ok\","
                                + "\"complete\":true,\"hop\":0,\"lagUs\":4000,\"report\":null}"));
        String[] lines = out.split("\n");
        assertEquals(3, lines.length);
        assertTrue(
                lines[1].startsWith("{\"proxys\":[{\"i\":3,\"actions\":[{\"m\":\"FORWARD\","
                        + "\"xid\":\"c50b12855d3a91c4\",\"host\":\"10.0.0.1:80\",\"tryForUs\":"),
                lines[1]);
        assertFalse(lines[2].contains("FORWARD"), lines[2]);
    }

    @Test
    void validLoadReportsAreReadAndOthersIgnored() throws IOException {
        for (String report : new String[] {"{\"outstanding\":7}", "{\"x0\":1}", "{}", "[[\"outstanding\",7]]", "7"}) {
            String out = runAdapter(batch(10, BOOT + "," + LIST)
                    + batch(5010, requestEvent("01"))
                    + batch(
                            9010,
                            "{\"m\":\"ENDED\","
                                    + "\"xid\":\"01\",\"host\":\"10.0.0.1:80\",\"report\":" + report
                                    + ",\"outcome\":\"Ok\","
                                    + "\"complete\":true,\"hop\":0,\"lagUs\":4000}")
                    + batch(9020, requestEvent("02")));
            assertTrue(out.contains("\"xid\":\"02\"") && !out.contains("CRASH"), report + ": " + out);
        }
    }

    @Test
    void unusualButValidBatchesAreAccepted() throws IOException {
        // Fields in another order, two groups of one instance, a table that is replaced within a batch, and events for
        // an instance that has not been started.
        String batch = "{\"proxys\":[{\"in\":[" + BOOT + "," + LIST + "],\"i\":1},{\"i\":9,\"in\":["
                + requestEvent("00") + "]},"
                + "{\"i\":1,\"in\":[" + LIST.replace("10.0.0.1", "10.0.0.2").replace("cached", "full") + ","
                + requestEvent("01") + "]}],\"more\":{\"x\":[]},\"wallUs\":77}\n";
        String out = runAdapter(batch);
        assertTrue(out.contains("\"host\":\"10.0.0.2:80\""), out);
        assertEquals(out.indexOf("\"i\":1"), out.lastIndexOf("\"i\":1"));
        assertFalse(out.contains("\"i\":9"), out);
    }

    @Test
    void stoppedInstanceLosesStateAndCanRestartInSameBatch() throws IOException {
        String out = runAdapter(batch(10, BOOT + "," + LIST + "," + requestEvent("01"))
                + batch(20, "{\"m\":\"STOP\"},{\"m\":\"BELL\",\"name\":\"wake\"}")
                + batch(30, "{\"m\":\"STOP\"}," + BOOT + "," + LIST + "," + requestEvent("02")));
        String[] lines = out.split("\n");
        assertEquals("{\"proxys\":[]}", lines[1]);
        assertTrue(lines[2].contains("\"xid\":\"02\"") && !lines[2].contains("\"01\""), lines[2]);
    }

    @Test
    void invalidSettingsCrashNamesTheSetting() throws IOException {
        String out = runAdapter(batch(10, BOOT.replace("500000", "-1")));
        assertTrue(out.contains("\"m\":\"CRASH\"") && out.contains("onTimeUs"), out);
        out = runAdapter(batch(10, BOOT.replace("retryable", "sometimes")));
        assertTrue(out.contains("unknown effect sometimes"), out);
    }

    @Test
    void malformedInputFailsWithSingleLineMessage() {
        for (String bad : new String[] {
            "nonsense\n",
            "[]\n",
            "{\"proxys\":[]}\n",
            "{\"wallUs\":1,\"proxys\":{}}\n",
            "{\"wallUs\":1,\"proxys\":[{\"in\":[]}]}\n",
            "{\"wallUs\":1,\"proxys\":[",
            batch(1, "{\"m\":null}"),
            batch(1, "{\"m\":\"CATALOG\",\"table\":99,\"rowsIn\":[]}"),
            batch(1, BOOT + ",{\"m\":\"ENDED\",\"outcome\":\"?\"}")
        }) {
            Exception e = assertThrows(IOException.class, () -> runAdapter(bad), bad);
            assertFalse(Config.rootCauseMessage(e).contains("\n"));
            assertTrue(Config.rootCauseMessage(e).startsWith("malformed input: "), Config.rootCauseMessage(e));
        }
    }
}
