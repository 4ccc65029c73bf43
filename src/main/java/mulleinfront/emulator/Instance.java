package mulleinfront.emulator;

/** A client proxy as seen by the simulation: simulated, or an external process. */
abstract class Instance {
    /** Number of processes started so far. */
    int starts;
    /** When the current process began to accept requests, microseconds. */
    long readyAt;

    /** Whether the proxy accepts connections; if not, its clients cannot connect. */
    abstract boolean running();

    /** Whether the proxy knows a ready server; unknown for external processes, which count as knowing one. */
    boolean hasReadyServers() {
        return true;
    }

    /**
     * SIGKILL.
     *
     * @param awayUs additional time before the restart, beyond the time that a start takes
     */
    abstract void kill(long awayUs);

    /** SIGSTOP, and SIGCONT after the given time. */
    abstract void pause(long durationUs);

    /** SIGTERM. */
    abstract void terminate();

    /** SIGHUP, with a configuration that has a new discovery address. */
    abstract void reload();

    /** Opens idle client connections for a time; no effect where client connections are not simulated. */
    void floodConnections(int connections, long forUs) {}

    /** Accepts a try whose last byte has arrived. */
    abstract void accept(Clients.Try clientTry);

    /** Reports that the client of a try has disconnected. */
    abstract void clientDisconnected(Clients.Try clientTry);
}
