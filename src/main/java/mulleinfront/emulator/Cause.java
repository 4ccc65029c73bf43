package mulleinfront.emulator;

import java.util.Locale;

/** Why worth was not served within its aim: each request that was not has exactly one of these. */
public enum Cause {
    /** Refused with no attempt made, though a server that might have had it stood idle within reach. */
    REFUSED_WITH_ROOM("refused while room was elsewhere"),
    /** Refused with no attempt made, and of the servers within reach only cold ones stood idle. */
    REFUSED_WITH_COLD_ROOM("refused while a cold server was idle"),
    /** Refused with no attempt made, and every server within reach was busy. */
    REFUSED_RIGHTLY("refused and rightly: all were busy"),
    /** Refused because its client proxy knew of no server that was ready. */
    NO_LIST("no list of servers"),
    /** Its answer came too late, and most of that time its client proxy had kept it without an attempt. */
    HELD("held too long"),
    /** An attempt went to a server that takes requests and answers none. */
    HANGING("tried at a hanging server"),
    /** An attempt went to a server that had just started. */
    COLD("tried at a cold server"),
    /** An attempt went to one that was slow, shared its machine or failed. */
    BAD("tried at a bad server"),
    /** An attempt went to one that had vanished or was cut off. */
    UNREACHABLE("tried at an unreachable server"),
    /** An attempt went to one that drained or was gone. */
    DRAINED("tried at a drained server"),
    /** An attempt went to a healthy server with more work than it could do in time. */
    CROWDED("tried at a crowded server"),
    /** The work itself took longer than the aim, on a healthy server at once. */
    LONG_WORK("work longer than its aim"),
    /** The answer was lost on its way, and the request may not be repeated. */
    ANSWER_LOST("answer lost and not repeatable"),
    /** Its client proxy was not there, or ended with the request open. */
    OWN_RESTART("own restart"),
    /** Its client went away. */
    CLIENT_GONE("client gone");

    private final String words;

    Cause(String words) {
        this.words = words;
    }

    /** In words, for people. */
    public String words() {
        return words;
    }

    /** The name in files. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
