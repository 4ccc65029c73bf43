package mulleinfront.kit;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;

/** One member's local view of the fleet, read incrementally from its event log. */
final class MemberView {
    private final TailedLog log;
    private final String[] states;
    private final long[] sinceMs;

    MemberView(Path log, int members) {
        this.log = new TailedLog(log, this::apply);
        this.states = new String[members];
        this.sinceMs = new long[members];
        Arrays.fill(states, "unknown");
    }

    /** Processes the lines added to the log since the last call. */
    void catchUp() throws IOException {
        log.catchUp();
    }

    private void apply(Map<String, String> fields) {
        switch (fields.getOrDefault("message", "")) {
            // A new process of this member starts with an empty view.
            case "began" -> Arrays.fill(states, "unknown");
            case "changed" -> {
                int member = Integer.parseInt(fields.get("member"));
                states[member] = fields.get("to");
                sinceMs[member] = Long.parseLong(fields.get("timestamp"));
            }
            default -> {}
        }
    }

    String state(int member) {
        return states[member];
    }

    /** When the member's recorded state last changed, Unix time in milliseconds. */
    long sinceMs(int member) {
        return sinceMs[member];
    }
}
