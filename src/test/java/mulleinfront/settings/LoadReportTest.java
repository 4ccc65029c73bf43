package mulleinfront.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Load reports are untrusted: a malformed report counts as absent. */
class LoadReportTest {
    @Test
    void readsRequestsInFlightUnderBothKeys() {
        assertEquals(7, LoadReport.inFlight("{\"outstanding\":7}"));
        assertEquals(4.489, LoadReport.inFlight("{\"util\": 0.61, \"inflight\": 4.489, \"x0\": {\"a\": [1]}}"));
        assertEquals(0, LoadReport.inFlight(" {\"outstanding\":0} "));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                " ",
                "7",
                "null",
                "[]",
                "{}",
                "{\"util\":0.5}",
                "{\"outstanding\":7",
                "{\"outstanding\":",
                "{\"outstanding\":\"7\"}",
                "{\"outstanding\":-1}",
                "{\"outstanding\":1e999}",
                "{\"outstanding\":NaN}",
                "{\"outstanding\":7} {\"outstanding\":8}",
                "{\"outstanding\":{\"outstanding\":7}}",
                "{outstanding:7}",
                "\u0001\u0002",
                "{\"outstanding\":99999999999999999999999999999999999999999999999999999999999999999e99999999}"
            })
    void ignoresMalformedReports(String text) {
        assertTrue(Double.isNaN(LoadReport.inFlight(text)), text);
    }

    @Test
    void ignoresOverlongOrMissingReports() {
        assertTrue(Double.isNaN(LoadReport.inFlight("{\"outstanding\":7" + " ".repeat(600) + "}")));
        assertTrue(Double.isNaN(LoadReport.inFlight((String) null)));
    }
}
