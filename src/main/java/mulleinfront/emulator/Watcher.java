package mulleinfront.emulator;

/** A discovery call and the watch that it becomes. It fails exactly once, however it ends. */
abstract class Watcher {
    /** List version that the watch was last sent. */
    long sentVersion;

    /** The zone of the caller. */
    abstract int zone();

    /** The number of the calling client proxy. */
    abstract int proxy();

    abstract boolean ended();

    /** The response begins, or data and heartbeats resume. */
    abstract void begin();

    /** No data or heartbeat follows; the last heartbeat was {@code agoUs} ago. */
    abstract void stopReceiving(long agoUs);

    abstract void receive(Registry.ListUpdate update);

    /** The first half of a list arrives; {@link #receive} follows with all of it. */
    void receiveFirstHalf(Registry.ListUpdate update) {}

    abstract void fail();

    /** A list is truncated and its watch ends with it. */
    abstract void receiveTruncated(Registry.ListUpdate update);

    /** Whether a list on the watch has stopped halfway. */
    boolean pausing;
    /** Whether discovery was down, so that the connection failed. */
    boolean unreachable;
    /** Whether the connection broke rather than being ended in order. */
    boolean reset;
}
