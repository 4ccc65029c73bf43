package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import mulleinfront.settings.Config;
import org.junit.jupiter.api.Test;

/** When a start rehearses: what it costs is paid by every instance of a fleet, whatever it is there for. */
class RehearsalTest {
    private static Config config(double cores, int instances, String... allowances) throws Exception {
        return Config.parse(("""
                {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
                 "limits": {"cores": %s, "memory_mb": 160, "sockets": 512},
                 "settings": {"balancers": %d, "customers": [%s],
                  "classes": [{"name": "c", "effect": "retryable", "onTimeUs": 1000, "deadlineUs": 1000}]}}
                """.formatted(cores, instances, String.join(",", allowances))).getBytes(StandardCharsets.UTF_8));
    }

    private static String tenant(String name, double allowancePerS) {
        return "{\"name\": \"%s\", \"share\": 0.5, \"allowancePerS\": %s}".formatted(name, allowancePerS);
    }

    @Test
    void whatTenantsMaySendIsDividedByAllInstances() throws Exception {
        Config config = config(0.5, 60, tenant("a", 400), tenant("b", 240));
        assertEquals(640.0 / 60, config.requestsPerS(), 1e-9);
        assertEquals(0.5, config.cores());
        assertEquals(512, config.sockets());
    }

    @Test
    void anInstanceOfManyWithLittleTrafficDoesNotRehearse() throws Exception {
        assertFalse(Rehearsal.pays(config(0.5, 60, tenant("a", 400), tenant("b", 240))));
    }

    @Test
    void anInstanceThatIsBusyFromItsFirstSecondDoes() throws Exception {
        assertTrue(Rehearsal.pays(config(0.5, 3, tenant("a", 400), tenant("b", 240))));
        assertTrue(Rehearsal.pays(config(0.05, 60, tenant("a", 400), tenant("b", 240))));
    }

    @Test
    void whereNothingIsSaidOfTrafficItDoes() throws Exception {
        assertTrue(Rehearsal.pays(config(1, 60, "{\"name\": \"a\", \"share\": 1}")));
        assertTrue(Rehearsal.pays(config(1, 60)));
    }
}
