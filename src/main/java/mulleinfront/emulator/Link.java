package mulleinfront.emulator;

/** One connection from a client proxy to one process of a server; carries one request at a time. */
final class Link {
    final Host host;
    final int address;
    final ServerModel life;
    final EmulatedWire owner;
    /** The attempt that it carries; null while idle. */
    EmulatedWire.Attempt current;
    /** Whether the client proxy's end is open. */
    boolean open = true;
    /** Whether the server's end is open: it counts it against what it takes. */
    boolean accepted = true;

    boolean fresh = true;
    long idleAt;
    /** When the server last answered on it: it closes what stood idle for longer than it likes. */
    long servedAt;

    Link(Host host, ServerModel life, EmulatedWire owner, long now) {
        this.host = host;
        this.address = host.address;
        this.life = life;
        this.owner = owner;
        this.servedAt = now;
    }
}
