package mulleinfront.emulator;

/** A client proxy as its world sees it: emulated here, or a process somewhere else. */
abstract class Instance {
    /** Processes that have begun. */
    int starts;
    /** When the one that runs began to take requests, microseconds. */
    long readyAt;

    /** Whether a try can be handed to it; if not, its client could not connect. */
    abstract boolean running();

    /** Whether it knows of any server that is ready; of processes elsewhere nobody can tell. */
    boolean knowsServers() {
        return true;
    }

    /**
     * SIGKILL.
     *
     * @param awayUs how long it stays away beyond the time that a start takes
     */
    abstract void kill(long awayUs);

    /** SIGSTOP, and SIGCONT after so long. */
    abstract void pause(long us);

    /** SIGTERM. */
    abstract void end();

    /** SIGHUP, with a configuration in which discovery is elsewhere. */
    abstract void reload();

    /** So many clients connect and say nothing, for so long; where connections are not counted that is nothing. */
    void crowd(int connections, long forUs) {}

    /** A try's last byte has come. */
    abstract void take(Clients.Try t);

    /** The client of a try has gone. */
    abstract void gone(Clients.Try t);
}
