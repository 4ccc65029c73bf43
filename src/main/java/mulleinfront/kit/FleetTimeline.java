package mulleinfront.kit;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import mulleinfront.emulator.DatagramFaults;
import mulleinfront.emulator.FleetAuditor;
import mulleinfront.fleet.Change;
import mulleinfront.fleet.MemberState;

/**
 * Merges the faults that the kit injected with the processes' event logs into one time order, and replays them to the
 * fleet auditor that also checks simulated fleets. All timestamps come from this machine's clock.
 */
final class FleetTimeline {
    private static final JsonFactory JSON = new JsonFactory();
    /** Number of times that the auditor checks the views within one convergence bound. */
    private static final int CHECKS_PER_BOUND = 4;

    /** An event at a Unix time in milliseconds; events of one instant stay in insertion order. */
    private record Event(long atMs, Runnable action) {}

    private final long boundUs;
    private final List<Event> events = new ArrayList<>();
    private final List<DatagramFaults.DatagramFault> partitions = new ArrayList<>();
    private final FleetAuditor auditor;
    private long changes;
    private long nowUs;

    /** @param boundUs how long a view may differ from the truth */
    FleetTimeline(int members, long boundUs) {
        this.boundUs = boundUs;
        this.auditor = new FleetAuditor(members, boundUs, new FleetAuditor.LinkState() {
            @Override
            public boolean passes(int from, int to) {
                return partitions.stream()
                        .noneMatch(c -> (c.from() == null || c.from().get(from)) && (c.to() == null || c.to().get(to)));
            }

            @Override
            public boolean fullyConnected() {
                return partitions.isEmpty();
            }
        });
    }

    private synchronized void add(long atMs, Runnable action) {
        events.add(new Event(atMs, action));
    }

    private void add(Runnable action) {
        add(System.currentTimeMillis(), action);
    }

    /** Records that a process exited. */
    void exited(int member) {
        add(() -> auditor.ended(member, nowUs));
    }

    /** Records that a process was sent SIGTERM. */
    void terminated(int member) {
        add(() -> auditor.leaves(member, nowUs));
    }

    /** Records that a process was paused or resumed. */
    void paused(int member, boolean isPaused) {
        add(() -> auditor.pauseChanged(member, isPaused, nowUs));
    }

    void faultChanged(DatagramFaults.DatagramFault fault, boolean active) {
        if (fault.isPartition()) {
            add(() -> {
                if (active) {
                    partitions.add(fault);
                } else {
                    partitions.remove(fault);
                }
                auditor.linksChanged(nowUs);
            });
        }
    }

    /** Reads one member's event log; the log covers all its processes, one after the other. */
    void read(int member, Path log) throws IOException {
        if (!Files.exists(log)) {
            return;
        }
        for (String line : Files.readAllLines(log)) {
            Map<String, String> fields = fields(line);
            long timestampMs = Long.parseLong(fields.getOrDefault("timestamp", "0"));
            switch (fields.getOrDefault("message", "")) {
                case "began" -> add(timestampMs, () -> auditor.started(member, nowUs));
                case "changed" ->
                    add(timestampMs, () -> {
                        changes++;
                        auditor.changed(member, change(fields, nowUs));
                    });
                default -> {}
            }
        }
    }

    static Map<String, String> fields(String line) throws IOException {
        Map<String, String> fields = new HashMap<>();
        try (JsonParser in = JSON.createParser(line)) {
            in.nextToken();
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                if (in.nextToken().isScalarValue()) {
                    fields.put(name, in.getText());
                } else {
                    in.skipChildren();
                }
            }
        }
        return fields;
    }

    private static Change change(Map<String, String> fields, long now) {
        return new Change(
                Long.parseLong(fields.get("number")),
                now,
                Integer.parseInt(fields.get("member")),
                state(fields.get("from")),
                state(fields.get("to")),
                Long.parseLong(fields.get("incarnation")),
                "1".equals(fields.get("reborn")),
                Integer.parseInt(fields.get("word")),
                Change.Cause.valueOf(
                        fields.get("cause").toUpperCase(Locale.ROOT).replace('-', '_')),
                Long.parseLong(fields.get("digest")));
    }

    private static MemberState state(String outputName) {
        return MemberState.valueOf(outputName.toUpperCase(Locale.ROOT));
    }

    /** Replays all events up to an instant to the auditor, and returns the auditor. */
    FleetAuditor audit(long untilMs) {
        List<Event> all;
        synchronized (this) {
            all = new ArrayList<>(events);
        }
        all.sort(Comparator.comparingLong(Event::atMs));
        long start = all.isEmpty() ? untilMs : all.get(0).atMs();
        long checkIntervalUs = boundUs / CHECKS_PER_BOUND;
        long nextCheckUs = checkIntervalUs;
        for (Event event : all) {
            if (event.atMs() > untilMs) {
                // All processes are sent SIGTERM at that instant; what they log about the shutdown is not checked.
                break;
            }
            long at = (event.atMs() - start) * 1_000;
            for (; nextCheckUs < at; nextCheckUs += checkIntervalUs) {
                nowUs = nextCheckUs;
                auditor.check(nowUs);
            }
            nowUs = at;
            event.action().run();
        }
        for (; nextCheckUs < (untilMs - start) * 1_000; nextCheckUs += checkIntervalUs) {
            nowUs = nextCheckUs;
            auditor.check(nowUs);
        }
        return auditor;
    }

    /** Number of membership changes replayed. */
    long changes() {
        return changes;
    }
}
