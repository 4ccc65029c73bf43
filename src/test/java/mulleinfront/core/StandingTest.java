package mulleinfront.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Transitions of a client proxy's readiness: starting, ready, quiesced and ending. */
class StandingTest {
    private final LifecycleState standing = new LifecycleState();

    @Test
    void clientsAreTakenWhenThereIsAnAddressAndAList() {
        assertEquals("starting", standing.stateName());
        standing.endpointsListed(true);
        assertTrue(standing.ready(), "where it is asked at the clients' address it listens there");
        assertFalse(standing.acceptsClients());
        standing.listening();
        assertTrue(standing.acceptsClients());
        standing.endpointsListed(false);
        assertFalse(standing.ready());
        assertFalse(standing.acceptsClients());
        assertFalse(standing.closesConnections(), "clients that are there may wait for a list");
    }

    @Test
    void quiesceLeadsBackAndTheEndDoesNot() {
        standing.endpointsListed(true);
        standing.listening();
        standing.quiesce();
        standing.quiesce();
        assertFalse(standing.ready());
        assertTrue(standing.closesConnections());
        assertEquals("quiesced", standing.stateName());
        standing.resume();
        assertTrue(standing.acceptsClients());
        assertFalse(standing.closesConnections());
        standing.ending();
        standing.resume();
        assertFalse(standing.ready());
        assertTrue(standing.closesConnections());
        assertEquals("ending", standing.stateName());
    }
}
