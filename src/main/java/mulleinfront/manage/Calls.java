package mulleinfront.manage;

import java.util.Locale;

/** What operators may call, and the words of the answers: {@code +OK ...} or {@code -ERR ...}, one line each. */
public final class Calls {
    /** The longest line that is a call, its end not counted; more is no call whatever follows. */
    public static final int LONGEST = 256;

    /** A process to be operated; all of it is called on the thread that owns its state. */
    public interface Process {
        /** Whether it takes clients. */
        boolean takesClients();

        /** One word for how it stands. */
        String standing();

        /** Why requests were given up since the start, in one line. */
        String refusals();

        /** Drains clients away; a second call changes nothing. */
        void quiesce();

        /** Takes clients again; a second call changes nothing. */
        void resume();
    }

    private final Process process;

    public Calls(Process process) {
        this.process = process;
    }

    /**
     * Does what a line names.
     *
     * @param line without its end
     * @return the answer, without its end
     */
    public String answer(String line) {
        switch (line.strip().toLowerCase(Locale.ROOT)) {
            case "health" -> {
                return (process.takesClients() ? "+OK " : "-ERR ") + process.standing();
            }
            case "refusals" -> {
                return "+OK " + process.refusals();
            }
            case "quiesce" -> process.quiesce();
            case "resume" -> process.resume();
            default -> {
                return "-ERR unknown call; there are health, refusals, quiesce and resume";
            }
        }
        return "+OK " + process.standing();
    }
}
