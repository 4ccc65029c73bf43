package mulleinfront.emulator;

/** Whoever watches discovery: one call and the watch that it becomes. It fails once, however it ends. */
abstract class Watcher {
    /** Version up to which it has been told. */
    long toldTo;

    /** The zone that it calls from. */
    abstract int zone();

    /** The client proxy that calls. */
    abstract int proxy();

    abstract boolean over();

    /** It is answered, and heartbeats come. */
    abstract void begin();

    /** Nothing comes from now on; the last heartbeat was so long ago. */
    abstract void silence(long agoUs);

    abstract void hear(Registry.News news);

    /** The first half of a list comes; all of it is heard later. */
    void begins(Registry.News news) {}

    abstract void fail();

    /** A list breaks off before its end, and what carries it with it. */
    abstract void cutShort(Registry.News news);

    /** A list has stopped halfway. */
    boolean pausing;
    /** Nobody was there to take the call. */
    boolean unreachable;
    /** Its connection breaks, and is not ended in order. */
    boolean reset;
}
