package mulleinfront.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Many client proxies that do one thing at one moment. */
class HerdTest {
    /** Discovery that takes a call of each within a few seconds, as many as a real one does. */
    private static final String SLOW_DISCOVERY = "length = \"30s\"\n[discovery]\ncall = \"55ms\"\ntimeout = \"2s\"\n";

    @Test
    void aHerdThatStartsAtOnceDoesNotKeepDiscoveryTooBusyToAnswerAnybody() throws Exception {
        // With all calls within 0.2 s and repeats after 2.5 s at most, 212 of 365 calls were given up on, each of which
        // had cost discovery as much as an answer.
        World.Result r = Worlds.play(SLOW_DISCOVERY + "[proxies]\ncount = 90\nstart-within = \"100ms\"\n"
                + "start = \"900ms\"\n[load]\nof-capacity = \"30%\"\n[[fault]]\ndo = \"kill-proxy\"\nat = \"10s\"\n"
                + "part = \"70%\"\nwithin = [\"0s\", \"100ms\"]\n[[fault]]\ndo = \"discovery-crowd\"\nat = \"9s\"\n"
                + "calls = \"8/s\"\n", 3);
        assertEquals(List.of(), r.breaches());
        long calls = r.service().counts().get("discovery calls");
        long failed = r.service().counts().get("discovery calls failed");
        assertEquals(153, r.service().counts().get("client proxy starts"));
        assertTrue(failed < 60, failed + " of " + calls + " calls failed");
    }
}
