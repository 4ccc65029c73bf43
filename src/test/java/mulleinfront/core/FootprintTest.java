package mulleinfront.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What all instances together hold, probe and ask, however many they are. */
class FootprintTest {
    private static final long S = 1_000_000;

    @Test
    void aFewInstancesAreNotBounded() {
        Footprint one = new Footprint(Footprint.FEW, 1);
        assertEquals(Integer.MAX_VALUE, one.mostIdle(14));
        for (int i = 0; i < 1_000; i++) {
            assertEquals(0, one.moveDelayUs());
            assertTrue(one.mayProbe(0, 14));
        }
    }

    @Test
    void idleConnectionsOfAllStayWithinWhatHostsBear() {
        for (int instances : new int[] {17, 50, 500, 5_000}) {
            for (int hosts : new int[] {10, 200, 5_000}) {
                long all = (long) instances * new Footprint(instances, 1).mostIdle(hosts);
                long bearable = (long) Footprint.IDLE_PER_HOST * hosts;
                assertTrue(
                        all <= Math.max(bearable, (long) Footprint.LEAST_IDLE * instances),
                        instances + " instances, " + hosts + " hosts: " + all);
                assertTrue(all > bearable / 2, "and not far less: " + all);
            }
        }
    }

    @Test
    void callsOfAllWhereDiscoveryMovesToAreSpread() {
        int[] tenths = new int[10];
        for (int i = 0; i < 5_000; i++) {
            tenths[(int) (new Footprint(5_000, i).moveDelayUs() / (Footprint.MOVE_US / 10))]++;
        }
        for (int tenth : tenths) {
            assertTrue(tenth > 400 && tenth < 600, tenth + " of 5,000 in a tenth of the time");
        }
    }

    @Test
    void probesOfAllStayWithinWhatHostsBear() {
        int instances = 1_000;
        int hosts = 50;
        long made = 0;
        for (int i = 0; i < instances; i++) {
            Footprint one = new Footprint(instances, i);
            one.mayProbe(0, hosts);
            for (long now = 0; now < 60 * S; now += S / 20) {
                made += one.mayProbe(now, hosts) ? 1 : 0;
            }
        }
        double perHostAndS = made / 60.0 / hosts;
        assertTrue(perHostAndS <= Footprint.PROBES_PER_HOST + 0.01, perHostAndS + " a second");
        assertTrue(perHostAndS > Footprint.PROBES_PER_HOST / 2, perHostAndS + " a second");
    }

    @Test
    void anIdleInstanceThatWakesAfterAnHourHasSavedUpNoFlood() {
        Footprint one = new Footprint(5_000, 1);
        int made = 0;
        for (int i = 0; i < 100; i++) {
            made += one.mayProbe(3_600 * S, 200) ? 1 : 0;
        }
        assertEquals(1, made);
    }
}
