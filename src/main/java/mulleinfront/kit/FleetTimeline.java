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
 * What was done to processes and between them, as the kit did it, and what they said, as their event logs have it, in
 * one order, for the judge that also judges virtual time. All clocks are this machine's.
 */
final class FleetTimeline {
    private static final JsonFactory JSON = new JsonFactory();
    /** Parts of the bound after which the judge looks. */
    private static final int LOOKS = 4;

    /** Something at an instant, milliseconds since 1970; those of one instant stay in the order in which they came. */
    private record Event(long atMs, Runnable what) {}

    private final long boundUs;
    private final List<Event> events = new ArrayList<>();
    private final List<DatagramFaults.DatagramFault> cuts = new ArrayList<>();
    private final FleetAuditor judge;
    private long changes;
    private long now;

    /** @param boundUs how long what is wrong may last */
    FleetTimeline(int members, long boundUs) {
        this.boundUs = boundUs;
        this.judge = new FleetAuditor(members, boundUs, new FleetAuditor.Links() {
            @Override
            public boolean pass(int from, int to) {
                return cuts.stream()
                        .noneMatch(c -> (c.from() == null || c.from().get(from)) && (c.to() == null || c.to().get(to)));
            }

            @Override
            public boolean whole() {
                return cuts.isEmpty();
            }
        });
    }

    private synchronized void add(long atMs, Runnable what) {
        events.add(new Event(atMs, what));
    }

    private void add(Runnable what) {
        add(System.currentTimeMillis(), what);
    }

    /** A process has ended. */
    void ended(int member) {
        add(() -> judge.ended(member, now));
    }

    /** A process was told to end. */
    void leaves(int member) {
        add(() -> judge.leaves(member, now));
    }

    /** A process stands still, or goes on. */
    void stands(int member, boolean on) {
        add(() -> judge.stands(member, on, now));
    }

    void cut(DatagramFaults.DatagramFault trouble, boolean on) {
        if (trouble.cut()) {
            add(() -> {
                if (on) {
                    cuts.add(trouble);
                } else {
                    cuts.remove(trouble);
                }
                judge.linksChanged(now);
            });
        }
    }

    /** Reads what one member's processes said. */
    void read(int member, Path log) throws IOException {
        if (!Files.exists(log)) {
            return;
        }
        for (String line : Files.readAllLines(log)) {
            Map<String, String> fields = fields(line);
            long at = Long.parseLong(fields.getOrDefault("timestamp", "0"));
            switch (fields.getOrDefault("message", "")) {
                case "began" -> add(at, () -> judge.began(member, now));
                case "changed" ->
                    add(at, () -> {
                        changes++;
                        judge.changed(member, change(fields, now));
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

    private static Change change(Map<String, String> f, long now) {
        return new Change(
                Long.parseLong(f.get("number")),
                now,
                Integer.parseInt(f.get("member")),
                state(f.get("from")),
                state(f.get("to")),
                Long.parseLong(f.get("incarnation")),
                "1".equals(f.get("reborn")),
                Integer.parseInt(f.get("word")),
                Change.Cause.valueOf(f.get("cause").toUpperCase(Locale.ROOT).replace('-', '_')),
                Long.parseLong(f.get("digest")));
    }

    private static MemberState state(String word) {
        return MemberState.valueOf(word.toUpperCase(Locale.ROOT));
    }

    /** Plays all of it to the judge, up to an instant. */
    FleetAuditor judged(long untilMs) {
        List<Event> all;
        synchronized (this) {
            all = new ArrayList<>(events);
        }
        all.sort(Comparator.comparingLong(Event::atMs));
        long start = all.isEmpty() ? untilMs : all.get(0).atMs();
        long lookUs = boundUs / LOOKS;
        long nextLook = lookUs;
        for (Event e : all) {
            if (e.atMs() > untilMs) {
                // All are told to end then, and what they say of that is no belief to be judged.
                break;
            }
            long at = (e.atMs() - start) * 1_000;
            for (; nextLook < at; nextLook += lookUs) {
                now = nextLook;
                judge.look(now);
            }
            now = at;
            e.what().run();
        }
        for (; nextLook < (untilMs - start) * 1_000; nextLook += lookUs) {
            now = nextLook;
            judge.look(now);
        }
        return judge;
    }

    /** Changes that were read. */
    long changes() {
        return changes;
    }
}
