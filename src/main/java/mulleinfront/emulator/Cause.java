package mulleinfront.emulator;

import java.util.Locale;

/** The cause of a loss; each request not answered within its target latency has exactly one. */
public enum Cause {
    /** Refused without an attempt, though a suitable reachable server was idle. */
    REFUSED_WITH_ROOM("refused while room was elsewhere"),
    /** Refused without an attempt, and only cold servers were idle among the reachable ones. */
    REFUSED_WITH_COLD_ROOM("refused while a cold server was idle"),
    /** Refused without an attempt, and every reachable server was busy. */
    REFUSED_RIGHTLY("refused and rightly: all were busy"),
    /** Refused because the client proxy knew no ready server. */
    NO_LIST("no list of servers"),
    /** The response came too late, and for most of that time the request was queued in the client proxy. */
    HELD("held too long"),
    /** An attempt went to a server that accepts requests and answers none. */
    HANGING("tried at a hanging server"),
    /** An attempt went to a server that had just started. */
    COLD("tried at a cold server"),
    /** An attempt went to a server that was slow, had a noisy neighbour or returned errors. */
    BAD("tried at a bad server"),
    /** An attempt went to a server that was disconnected or partitioned. */
    UNREACHABLE("tried at an unreachable server"),
    /** An attempt went to a server that was draining or stopped. */
    DRAINED("tried at a drained server"),
    /** An attempt went to a healthy server with more work than it could finish in time. */
    CROWDED("tried at a crowded server"),
    /** The work took longer than the target latency, on a healthy server that began it at once. */
    LONG_WORK("work longer than its aim"),
    /** The response was lost on its way, and the request may not be repeated. */
    ANSWER_LOST("answer lost and not repeatable"),
    /** The client proxy was not running, or ended while the request was open. */
    OWN_RESTART("own restart"),
    /** The client disconnected. */
    CLIENT_GONE("client gone");

    private final String description;

    Cause(String description) {
        this.description = description;
    }

    /** Description for people. */
    public String description() {
        return description;
    }

    /** The output name in files. */
    public String outputName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
