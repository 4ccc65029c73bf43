package mulleinfront.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Transitions of a client proxy's readiness: starting, ready, quiesced and ending. */
class StandingTest {
    private final Standing standing = new Standing();

    @Test
    void clientsAreTakenWhenThereIsAnAddressAndAList() {
        assertEquals("starting", standing.word());
        standing.listed(true);
        assertTrue(standing.ready(), "where it is asked at the clients' address it listens there");
        assertFalse(standing.takesClients());
        standing.listening();
        assertTrue(standing.takesClients());
        standing.listed(false);
        assertFalse(standing.ready());
        assertFalse(standing.takesClients());
        assertFalse(standing.sendsAway(), "clients that are there may wait for a list");
    }

    @Test
    void quiesceLeadsBackAndTheEndDoesNot() {
        standing.listed(true);
        standing.listening();
        standing.quiesce();
        standing.quiesce();
        assertFalse(standing.ready());
        assertTrue(standing.sendsAway());
        assertEquals("quiesced", standing.word());
        standing.resume();
        assertTrue(standing.takesClients());
        assertFalse(standing.sendsAway());
        standing.ending();
        standing.resume();
        assertFalse(standing.ready());
        assertTrue(standing.sendsAway());
        assertEquals("ending", standing.word());
    }
}
