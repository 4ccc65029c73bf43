package mulleinfront.emulator;

import mulleinfront.UnservedReason;

/**
 * Interface between the simulation of one service and the simulation of the graph that it belongs to. The service's
 * simulation has its servers and the client proxies of all machines that call it.
 */
interface GraphContext {
    /** The event queue that all parts share. */
    EventQueue queue();

    /** One-way delay from each zone to each zone, microseconds. */
    long[][] oneWayDelayUs();

    /** The zone of a server by its number within this service. */
    int zoneOfHost(int number);

    /** The zone of a client proxy by its number within this service. */
    int zoneOfProxy(int number);

    /** The number that identifies a client proxy's decisions for this service in the trace. */
    int traceNumber(int proxy);

    /** When a client proxy's first process starts, microseconds. */
    long startAt(int proxy);

    /** Whether a server runs, or from where it is reachable, may have changed. */
    void hostChanged(Host host);

    /** A server has begun a request with this effect; {@code dropped}: it dropped the request as a repeat. */
    void effectRan(String effect, boolean dropped);

    /** A client proxy has given up a request for this reason. */
    void requestUnserved(long now, UnservedReason reason);
}
