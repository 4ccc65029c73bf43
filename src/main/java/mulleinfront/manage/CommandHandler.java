package mulleinfront.manage;

import java.util.Locale;
import java.util.function.Consumer;

/** Executes the management commands. A reply is one line that starts with {@code +OK} or {@code -ERR}. */
public final class CommandHandler {
    /** Maximum length of a command without its line end, bytes; a longer line is rejected. */
    public static final int MAX_COMMAND_BYTES = 256;

    /** The process that the commands act on. All methods are called on the thread that owns its state. */
    public interface Process {
        /** Returns whether the process accepts clients. */
        boolean acceptsClients();

        /** Returns the name of the lifecycle state. */
        String stateName();

        /** Returns the unserved requests by cause since the start, on one line. */
        String unservedSummary();

        /** Returns the counters since the start, on one line. */
        String metricsSummary();

        /** Drains client connections; a second call has no effect. */
        void quiesce();

        /** Accepts clients again; a second call has no effect. */
        void resume();

        /** Returns this member's view of the fleet as a JSON object, or null if the process is in no fleet. */
        default String fleetMembers() {
            return null;
        }

        /** Leaves the fleet; returns false, without leaving, if the process still accepts clients. */
        default boolean leaveFleet() {
            return false;
        }

        /**
         * Subscribes to changes of the fleet.
         *
         * @param lines called with one JSON object for each change
         * @return false if the maximum number of subscribers is reached
         */
        default boolean subscribe(Consumer<String> lines) {
            return false;
        }

        /** Ends a subscription. */
        default void unsubscribe(Consumer<String> lines) {}
    }

    private static final String NO_FLEET = "-ERR this client proxy is in no fleet";

    private final Process process;

    public CommandHandler(Process process) {
        this.process = process;
    }

    /**
     * Starts a streamed reply if the command requests one.
     *
     * @param command the command without its line end
     * @param lines called with each line of the reply, without its line end
     * @return a task that must be run when the reply is not read any more; null if the command requests no streamed
     *         reply, or if it can't be started
     */
    public Runnable startStream(String command, Consumer<String> lines) {
        boolean isWatch = command.strip().toLowerCase(Locale.ROOT).equals("fleet watch");
        return isWatch && process.fleetMembers() != null && process.subscribe(lines)
                ? () -> process.unsubscribe(lines)
                : null;
    }

    /**
     * Executes a command.
     *
     * @param command the command without its line end
     * @return the reply without its line end
     */
    public String execute(String command) {
        switch (command.strip().toLowerCase(Locale.ROOT)) {
            case "health" -> {
                return (process.acceptsClients() ? "+OK " : "-ERR ") + process.stateName();
            }
            case "refusals" -> {
                return "+OK " + process.unservedSummary();
            }
            case "metrics" -> {
                return "+OK " + process.metricsSummary();
            }
            case "fleet members" -> {
                String members = process.fleetMembers();
                return members == null ? NO_FLEET : "+OK " + members;
            }
            case "fleet leave" -> {
                return process.fleetMembers() == null
                        ? NO_FLEET
                        : process.leaveFleet() ? "+OK left" : "-ERR it takes clients and so uses hosts: quiesce first";
            }
            case "fleet watch" -> {
                return process.fleetMembers() == null ? NO_FLEET : "-ERR there are too many who watch";
            }
            case "quiesce" -> process.quiesce();
            case "resume" -> process.resume();
            default -> {
                return "-ERR unknown call; there are health, refusals, metrics, quiesce, resume,"
                        + " fleet members, fleet watch and fleet leave";
            }
        }
        return "+OK " + process.stateName();
    }
}
