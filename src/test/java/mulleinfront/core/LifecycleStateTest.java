package mulleinfront.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Transitions of a client proxy's lifecycle state: starting, serving, quiesced and ending. */
class LifecycleStateTest {
    private final LifecycleState state = new LifecycleState();

    @Test
    void clientsAreAcceptedOnceListeningWithEndpoints() {
        assertEquals("starting", state.stateName());
        state.endpointsListed(true);
        assertTrue(state.ready(), "a readiness request on the client address shows that the proxy listens");
        assertFalse(state.acceptsClients());
        state.listening();
        assertTrue(state.acceptsClients());
        state.endpointsListed(false);
        assertFalse(state.ready());
        assertFalse(state.acceptsClients());
        assertFalse(state.closesConnections(), "connected clients may wait for a list");
    }

    @Test
    void quiesceIsReversibleAndShutdownIsNot() {
        state.endpointsListed(true);
        state.listening();
        state.quiesce();
        state.quiesce();
        assertFalse(state.ready());
        assertTrue(state.closesConnections());
        assertEquals("quiesced", state.stateName());
        state.resume();
        assertTrue(state.acceptsClients());
        assertFalse(state.closesConnections());
        state.ending();
        state.resume();
        assertFalse(state.ready());
        assertTrue(state.closesConnections());
        assertEquals("ending", state.stateName());
    }
}
