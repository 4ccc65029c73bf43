package mulleinfront.emulator;

/** One connection from a client proxy to one process of a server; it carries one request at a time. */
final class Link {
    final Host host;
    final int address;
    final ServerModel process;
    final EmulatedWire owner;
    /** The current attempt; null while idle. */
    EmulatedWire.Attempt current;
    /** Whether the client proxy's end is open. */
    boolean open = true;
    /** Whether the server's end is open and counts towards the server's connection limit. */
    boolean accepted = true;

    boolean unused = true;
    long idleSince;
    /**
     * When the server last sent a response on it; the server closes a connection that has been idle for longer than
     * its limit.
     */
    long lastResponseAt;

    Link(Host host, ServerModel process, EmulatedWire owner, long now) {
        this.host = host;
        this.address = host.address;
        this.process = process;
        this.owner = owner;
        this.lastResponseAt = now;
    }
}
