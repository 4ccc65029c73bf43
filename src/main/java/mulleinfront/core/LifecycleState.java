package mulleinfront.core;

/**
 * How a client proxy stands towards its clients, and what operators may make of it. It has no clock, thread or
 * I/O; whoever owns it tells it what happened and asks.
 */
public final class LifecycleState {
    /** Told when the word for operators changes. */
    public interface Listener {
        void changed(String from, String to);
    }

    private final Listener listener;
    private String stateName = "starting";
    /** Written by the owner alone; where a process has several, the one that operators ask reads the others'. */
    private volatile boolean listening;

    private volatile boolean endpointsListed;
    private volatile boolean quiesced;
    private volatile boolean ending;

    public LifecycleState() {
        this((from, to) -> {});
    }

    /** @param listener told of changes on the thread that makes them */
    public LifecycleState(Listener listener) {
        this.listener = listener;
    }

    private void tell() {
        String now = stateName();
        String before = stateName;
        if (!now.equals(before)) {
            stateName = now;
            listener.changed(before, now);
        }
    }

    /** Clients' connections are taken from now on. */
    public void listening() {
        listening = true;
        tell();
    }

    /** Whether there is a list that names hosts: without one no request can be served. */
    public void endpointsListed(boolean any) {
        endpointsListed = any;
        tell();
    }

    /** The process was told to end; nothing leads back. */
    public void ending() {
        ending = true;
        tell();
    }

    /** Drains clients away until {@link #resume}; has no effect on what has been taken. */
    public void quiesce() {
        quiesced = true;
        tell();
    }

    /** Takes clients again. */
    public void resume() {
        quiesced = false;
        tell();
    }

    /** Whether clients should come: the answer of {@code /-/ready}. */
    public boolean ready() {
        return endpointsListed && !quiesced && !ending;
    }

    /** Whether a client should go: an answer is the last of its connection. */
    public boolean closesConnections() {
        return quiesced || ending;
    }

    /** Whether this process takes clients now: what {@code health} asks. */
    public boolean acceptsClients() {
        return listening && ready();
    }

    /** One word for operators. */
    public String stateName() {
        return ending ? "ending" : quiesced ? "quiesced" : acceptsClients() ? "serving" : "starting";
    }
}
