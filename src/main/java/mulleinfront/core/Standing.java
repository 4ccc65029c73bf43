package mulleinfront.core;

/**
 * How a client proxy stands towards its clients, and what operators may make of it. It has no clock, thread or
 * I/O; whoever owns it tells it what happened and asks.
 */
public final class Standing {
    /** Written by the owner alone; where a process has several, the one that operators ask reads the others'. */
    private volatile boolean listening;
    private volatile boolean listed;
    private volatile boolean quiesced;
    private volatile boolean ending;

    /** Clients' connections are taken from now on. */
    public void listening() {
        listening = true;
    }

    /** Whether there is a list that names hosts: without one no request can be served. */
    public void listed(boolean any) {
        listed = any;
    }

    /** The process was told to end; nothing leads back. */
    public void ending() {
        ending = true;
    }

    /** Drains clients away until {@link #resume}; has no effect on what has been taken. */
    public void quiesce() {
        quiesced = true;
    }

    /** Takes clients again. */
    public void resume() {
        quiesced = false;
    }

    /** Whether clients should come: the answer of {@code /-/ready}. */
    public boolean ready() {
        return listed && !quiesced && !ending;
    }

    /** Whether a client should go: an answer is the last of its connection. */
    public boolean sendsAway() {
        return quiesced || ending;
    }

    /** Whether this process takes clients now: what {@code health} asks. */
    public boolean takesClients() {
        return listening && ready();
    }

    /** One word for operators. */
    public String word() {
        return ending ? "ending" : quiesced ? "quiesced" : takesClients() ? "serving" : "starting";
    }
}
