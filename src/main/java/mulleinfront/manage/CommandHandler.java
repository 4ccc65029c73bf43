package mulleinfront.manage;

import java.util.Locale;
import java.util.function.Consumer;

/** What operators may call, and the words of the answers: {@code +OK ...} or {@code -ERR ...}, one line each. */
public final class CommandHandler {
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

        /** What was counted since the start, in one line. */
        String metrics();

        /** Drains clients away; a second call changes nothing. */
        void quiesce();

        /** Takes clients again; a second call changes nothing. */
        void resume();

        /** What it knows of the fleet that it is a member of, one JSON object; null if it is in none. */
        default String members() {
            return null;
        }

        /** Tells the fleet that it goes; false: it still takes clients, and so uses hosts. */
        default boolean leave() {
            return false;
        }

        /** Tells somebody of each change in the fleet, one JSON object each; false if there is no room for one more. */
        default boolean watch(Consumer<String> lines) {
            return false;
        }

        /** Tells them no more. */
        default void unwatch(Consumer<String> lines) {}
    }

    private static final String NO_FLEET = "-ERR this client proxy is in no fleet";

    private final Process process;

    public CommandHandler(Process process) {
        this.process = process;
    }

    /**
     * Begins an answer that goes on, if the line asks for one.
     *
     * @param lines told each line of it, without its end
     * @return to be called when nobody reads it any more; null if the line asks for none, or it can't be had
     */
    public Runnable begin(String line, Consumer<String> lines) {
        boolean watches = line.strip().toLowerCase(Locale.ROOT).equals("fleet watch");
        return watches && process.members() != null && process.watch(lines) ? () -> process.unwatch(lines) : null;
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
            case "metrics" -> {
                return "+OK " + process.metrics();
            }
            case "fleet members" -> {
                String members = process.members();
                return members == null ? NO_FLEET : "+OK " + members;
            }
            case "fleet leave" -> {
                return process.members() == null
                        ? NO_FLEET
                        : process.leave() ? "+OK left" : "-ERR it takes clients and so uses hosts: quiesce first";
            }
            case "fleet watch" -> {
                return process.members() == null ? NO_FLEET : "-ERR there are too many who watch";
            }
            case "quiesce" -> process.quiesce();
            case "resume" -> process.resume();
            default -> {
                return "-ERR unknown call; there are health, refusals, metrics, quiesce, resume,"
                        + " fleet members, fleet watch and fleet leave";
            }
        }
        return "+OK " + process.standing();
    }
}
