package mulleinfront.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mulleinfront.config.PublisherSettings;
import mulleinfront.config.SubscriberSettings;

/**
 * Where the control machines are, how they hand the configuration out and how client proxies follow them.
 * Read only where that is switched on.
 *
 * @param machines all of them, in one order for everybody
 * @param handout how they hand out
 * @param follow how a client proxy follows
 * @param state folder in which a client proxy keeps the last good version, {@code %n} its name; null: it
 *        keeps none
 * @param events file of a control machine's event log, {@code %n} its name; null: none is kept
 */
public record ControlFile(
        List<Machine> machines, PublisherSettings handout, SubscriberSettings follow, String state, String events) {

    /**
     * One control machine.
     *
     * @param name its own, never given to another
     * @param consensus where the other control machines reach it
     * @param door where client proxies and operators do
     */
    public record Machine(String name, InetSocketAddress consensus, InetSocketAddress clientAddress) {}

    /** Reads such a file; whatever can't be gone by is said with file, line and reason. */
    public static ControlFile load(Path file) throws BadFileException {
        Section root = Section.root(file.toString(), text(file), null);
        List<Machine> machines = new ArrayList<>();
        Set<Object> seen = new HashSet<>();
        for (Section s : root.tables("machine")) {
            String name = s.text("name", null);
            if (!name.matches("[A-Za-z0-9._-]{1,64}")) {
                throw s.wrong("name", "must have 1 to 64 letters, digits, '.', '_' or '-'");
            }
            Machine m = new Machine(name, address(s, "consensus"), address(s, "door"));
            if (!seen.add(name)) {
                throw s.wrong("name", "there is another machine " + name);
            }
            if (!seen.add(m.consensus())) {
                throw s.wrong("consensus", "something else has this address");
            }
            if (!seen.add(m.clientAddress())) {
                throw s.wrong("door", "something else has this address");
            }
            s.done();
            machines.add(m);
        }
        if (machines.size() != 3) {
            throw root.wrong("machine", "there must be three [[machine]], not " + machines.size());
        }
        PublisherSettings handout = handout(root.table("handout"));
        SubscriberSettings follow = follow(root.table("follow"), machines.size(), handout.heartbeatUs());
        String state = root.text("state", "");
        String events = root.text("events", "");
        root.done();
        return new ControlFile(
                List.copyOf(machines),
                handout,
                follow,
                state.isEmpty() ? null : state,
                events.isEmpty() ? null : events);
    }

    private static PublisherSettings handout(Section s) throws BadFileException {
        PublisherSettings usual = PublisherSettings.DEFAULTS;
        long heartbeat = within(s, "heartbeat", usual.heartbeatUs(), 50_000, 60_000_000);
        double rate = s.rate("bytes", (double) usual.bytesPerS());
        if (rate < 1_000 || rate > 10_000_000) {
            throw s.wrong("bytes", "must be from 1000/s to 10000000/s");
        }
        int burst = s.count("burst", usual.burst(), 1_200);
        long silent = within(s, "reader-silence", usual.subscriberTimeoutUs(), heartbeat, 3_600_000_000L);
        long patience = within(s, "reader-patience", usual.sendTimeoutUs(), 1_000_000, 3_600_000_000L);
        int readers = s.count("readers", usual.maxSubscribers(), 1);
        s.done();
        return new PublisherSettings(heartbeat, (int) rate, burst, silent, patience, readers);
    }

    private static SubscriberSettings follow(Section s, int machines, long heartbeatUs) throws BadFileException {
        SubscriberSettings usual = SubscriberSettings.defaults(machines);
        long silence = within(s, "silence", usual.silenceUs(), 2 * heartbeatUs, 3_600_000_000L);
        long connect = within(s, "connect", usual.connectUs(), 10_000, silence);
        long spread = within(s, "spread", usual.spreadUs(), 1_000, 60_000_000);
        long retry = within(s, "retry", usual.retryUs(), 1_000, 60_000_000);
        long mostRetry = within(s, "retry-most", Math.max(retry, usual.mostRetryUs()), retry, 3_600_000_000L);
        long behind = within(s, "behind", usual.behindUs(), 1_000, 60_000_000);
        long report = within(s, "report", usual.reportUs(), 50_000, 60_000_000);
        s.done();
        return new SubscriberSettings(machines, silence, connect, spread, retry, mostRetry, behind, report);
    }

    private static long within(Section s, String key, long absent, long least, long most) throws BadFileException {
        long us = s.time(key, absent);
        if (us < least || us > most) {
            throw s.wrong(key, "must be from " + least / 1_000 + "ms to " + most / 1_000 + "ms");
        }
        return us;
    }

    private static InetSocketAddress address(Section s, String key) throws BadFileException {
        try {
            return Listing.address(s.text(key, null));
        } catch (IOException e) {
            throw s.wrong(key, e.getMessage());
        }
    }

    static String text(Path file) throws BadFileException {
        try {
            return Files.readString(file);
        } catch (NoSuchFileException e) {
            throw new BadFileException(file + ": no such file");
        } catch (IOException e) {
            throw new BadFileException(file + ": can't be read (" + e.getMessage() + ")");
        }
    }
}
