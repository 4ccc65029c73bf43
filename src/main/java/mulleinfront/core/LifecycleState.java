package mulleinfront.core;

/**
 * Lifecycle state of a client proxy: whether it accepts clients, drains their connections or shuts down. It has no
 * clock, thread or I/O; its owner reports events and queries the state.
 */
public final class LifecycleState {
    /** Called when the state name changes. */
    public interface Listener {
        void stateChanged(String from, String to);
    }

    private final Listener listener;
    private String stateName = "starting";
    /**
     * The flags are written on the owner's thread only. They are volatile because management commands read the states
     * of all proxies in the process on one thread.
     */
    private volatile boolean listening;

    private volatile boolean endpointsListed;
    private volatile boolean quiesced;
    private volatile boolean ending;

    public LifecycleState() {
        this((from, to) -> {});
    }

    /**
     * Creates a state that reports its changes.
     *
     * @param listener called on the thread that changes the state
     */
    public LifecycleState(Listener listener) {
        this.listener = listener;
    }

    private void notifyIfChanged() {
        String currentName = stateName();
        String previousName = stateName;
        if (!currentName.equals(previousName)) {
            stateName = currentName;
            listener.stateChanged(previousName, currentName);
        }
    }

    /** The proxy accepts client connections from now on. */
    public void listening() {
        listening = true;
        notifyIfChanged();
    }

    /** Sets whether the current list contains endpoints; without any, no request can be served. */
    public void endpointsListed(boolean any) {
        endpointsListed = any;
        notifyIfChanged();
    }

    /** The process shuts down; this can't be undone. */
    public void ending() {
        ending = true;
        notifyIfChanged();
    }

    /** Drains client connections until {@link #resume}; requests that were accepted are not affected. */
    public void quiesce() {
        quiesced = true;
        notifyIfChanged();
    }

    /** Accepts clients again after {@link #quiesce}. */
    public void resume() {
        quiesced = false;
        notifyIfChanged();
    }

    /** Returns whether clients should connect: the result of {@code /-/ready}. */
    public boolean ready() {
        return endpointsListed && !quiesced && !ending;
    }

    /** Returns whether client connections are being drained: each is closed after its next response. */
    public boolean closesConnections() {
        return quiesced || ending;
    }

    /** Returns whether the proxy accepts clients now: the result of the command {@code health}. */
    public boolean acceptsClients() {
        return listening && ready();
    }

    /** Returns the state name that is shown to operators. */
    public String stateName() {
        return ending ? "ending" : quiesced ? "quiesced" : acceptsClients() ? "serving" : "starting";
    }
}
