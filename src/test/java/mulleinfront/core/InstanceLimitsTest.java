package mulleinfront.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Idle connections, probes and discovery calls of all instances together stay within the limits. */
class InstanceLimitsTest {
    private static final long SECOND_US = 1_000_000;

    @Test
    void fewInstancesAreNotLimited() {
        InstanceLimits limits = new InstanceLimits(InstanceLimits.MAX_UNLIMITED_INSTANCES, 1);
        assertEquals(Integer.MAX_VALUE, limits.maxIdleConnections(14));
        for (int i = 0; i < 1_000; i++) {
            assertEquals(0, limits.moveDelayUs());
            assertTrue(limits.mayProbe(0, 14));
        }
    }

    @Test
    void totalIdleConnectionsStayWithinEndpointLimit() {
        for (int instances : new int[] {17, 50, 500, 5_000}) {
            for (int endpoints : new int[] {10, 200, 5_000}) {
                long totalIdle = (long) instances * new InstanceLimits(instances, 1).maxIdleConnections(endpoints);
                long limit = (long) InstanceLimits.IDLE_PER_ENDPOINT * endpoints;
                assertTrue(
                        totalIdle <= Math.max(limit, (long) InstanceLimits.MIN_IDLE_PER_INSTANCE * instances),
                        instances + " instances, " + endpoints + " hosts: " + totalIdle);
                assertTrue(totalIdle > limit / 2, "not far below the limit: " + totalIdle);
            }
        }
    }

    @Test
    void discoveryCallsAfterMoveAreSpread() {
        int[] tenths = new int[10];
        for (int i = 0; i < 5_000; i++) {
            tenths[(int) (new InstanceLimits(5_000, i).moveDelayUs() / (InstanceLimits.MOVE_SPREAD_US / 10))]++;
        }
        for (int tenth : tenths) {
            assertTrue(tenth > 400 && tenth < 600, tenth + " of 5,000 in a tenth of the time");
        }
    }

    @Test
    void totalProbeRateStaysWithinEndpointLimit() {
        int instances = 1_000;
        int endpoints = 50;
        long probes = 0;
        for (int i = 0; i < instances; i++) {
            InstanceLimits limits = new InstanceLimits(instances, i);
            limits.mayProbe(0, endpoints);
            for (long now = 0; now < 60 * SECOND_US; now += SECOND_US / 20) {
                probes += limits.mayProbe(now, endpoints) ? 1 : 0;
            }
        }
        double probesPerEndpointPerS = probes / 60.0 / endpoints;
        assertTrue(
                probesPerEndpointPerS <= InstanceLimits.PROBES_PER_ENDPOINT_PER_S + 0.01,
                probesPerEndpointPerS + " a second");
        assertTrue(
                probesPerEndpointPerS > InstanceLimits.PROBES_PER_ENDPOINT_PER_S / 2,
                probesPerEndpointPerS + " a second");
    }

    @Test
    void idleInstanceAccumulatesNoProbeBurst() {
        InstanceLimits limits = new InstanceLimits(5_000, 1);
        int probes = 0;
        for (int i = 0; i < 100; i++) {
            probes += limits.mayProbe(3_600 * SECOND_US, 200) ? 1 : 0;
        }
        assertEquals(1, probes);
    }
}
