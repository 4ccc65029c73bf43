package mulleinfront.emulator;

import mulleinfront.UnservedReason;

/**
 * What a world takes from the larger one that it is a part of, and tells it: there a world is one service,
 * its servers and the client proxies of all machines that call it.
 */
interface Part {
    /** The virtual time of all parts. */
    EventQueue queue();

    /** One way from and to each zone, microseconds. */
    long[][] oneWay();

    /** The zone of a server by its number among this world's. */
    int zoneOfHost(int number);

    /** The zone of a client proxy by its number among this world's. */
    int zoneOfProxy(int number);

    /** The number under which a client proxy's decisions towards this service stand in the trace. */
    int traceNumber(int proxy);

    /** When a client proxy's first process starts, microseconds. */
    long startAt(int proxy);

    /** Whether a server lives, or who reaches it, may have changed. */
    void changed(Host host);

    /** A server has begun to run a request with this effect; {@code dropped}: it knew it and did nothing. */
    void ran(String effect, boolean dropped);

    /** A client proxy has given a request up, and says why. */
    void unserved(long now, UnservedReason why);
}
