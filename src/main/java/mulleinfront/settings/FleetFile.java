package mulleinfront.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import mulleinfront.fleet.FleetSettings;

/**
 * How a client proxy is a member of a fleet: what the operators' file says for all, and what the configuration says of
 * this one. Read only where a fleet is switched on.
 *
 * @param figures what to go by
 * @param listen where datagrams come
 * @param peers addresses of all members, by number, as this one sees them
 * @param events file of the event log; null: none is kept
 */
public record FleetFile(FleetSettings figures, InetSocketAddress listen, List<InetSocketAddress> peers, Path events) {
    private static final long LEAST_PERIOD_US = 20_000;
    private static final long MOST_PERIOD_US = 60_000_000;
    private static final Pattern NAME = Pattern.compile("[!-~]{1,32}");

    /** What the configuration says of one member. */
    private record Place(String name, int number, InetSocketAddress listen, List<InetSocketAddress> peers) {}

    /**
     * Reads both.
     *
     * @param file the operators', as {@code deploy/fleet.toml}
     * @param config the configuration, JSON
     * @throws BadFileException saying file, line and reason
     * @throws IOException saying what is wrong with the configuration
     */
    public static FleetFile load(Path file, byte[] config) throws BadFileException, IOException {
        Section root = Section.root(file.toString(), text(file), null);
        Place place = place(config);
        return read(root, place);
    }

    /** Reads the operators' file alone, as for a fleet of some members; what it says is checked all the same. */
    public static FleetFile check(Path file) throws BadFileException {
        InetSocketAddress any = InetSocketAddress.createUnresolved("checked", 1);
        return read(Section.root(file.toString(), text(file), null), new Place("checked", 0, any, List.of(any, any)));
    }

    private static String text(Path file) throws BadFileException {
        try {
            return Files.readString(file);
        } catch (NoSuchFileException e) {
            throw new BadFileException(file + ": no such file");
        } catch (IOException e) {
            throw new BadFileException(file + ": can't be read (" + e.getMessage() + ")");
        }
    }

    private static FleetFile read(Section root, Place place) throws BadFileException {
        String fleet = root.text("fleet", null);
        if (!NAME.matcher(fleet).matches()) {
            throw root.wrong("fleet", "must be a name of 1 to 32 printable characters without blanks");
        }
        long period = within(root, "period", 1_000_000, LEAST_PERIOD_US, MOST_PERIOD_US);
        long gone = within(root, "gone-after", 600_000_000, 10 * period, Long.MAX_VALUE);
        FleetSettings usual = FleetSettings.defaults(
                fleet, place.name(), place.number(), place.peers().size(), period, gone);
        long conclude = within(root, "conclude", usual.concludeUs(), 2, period);
        long answer = within(root, "answer", Math.min(usual.answerUs(), conclude / 2), 1, conclude - 1);
        double suspicion = most(root, "suspicion", usual.suspicionFactor(), 1, 100);
        double alone = most(root, "suspicion-alone", usual.suspicionMost(), 1, 100);
        int helpers = (int) most(root, "helpers", usual.helpers(), 0, 10);
        int accusers = (int) most(root, "accusers", usual.accusers(), 0, 10);
        long news = within(root, "news-every", usual.newsUs(), 1_000, period);
        int newsTo = (int) most(root, "news-to", usual.newsTo(), 1, 20);
        int newsFactor = (int) most(root, "news-times", usual.newsFactor(), 1, 20);
        long compare = within(root, "compare-every", usual.compareUs(), 1_000, 60 * period);
        long retry = within(root, "retry-every", usual.retryUs(), period, 3_600_000_000L);
        long settled = within(root, "settled-after", usual.settledUs(), period, 1_000 * period);
        int datagrams = rate(root, "datagrams", usual.datagramsPerS(), 4);
        int bytes = rate(root, "bytes", usual.bytesPerS(), 1_024);
        String events = root.text("events", "");
        root.done();
        FleetSettings figures = new FleetSettings(
                fleet,
                place.name(),
                place.number(),
                place.peers().size(),
                period,
                answer,
                conclude,
                helpers,
                suspicion,
                alone,
                accusers,
                news,
                newsTo,
                newsFactor,
                compare,
                retry,
                settled,
                gone,
                datagrams,
                bytes,
                true,
                true);
        return new FleetFile(figures, place.listen(), place.peers(), events.isEmpty() ? null : Path.of(events));
    }

    private static long within(Section s, String key, long absent, long least, long most) throws BadFileException {
        long us = s.time(key, absent);
        if (us < least || us > most) {
            throw s.wrong(key, "must be from " + time(least) + (most == Long.MAX_VALUE ? " up" : " to " + time(most)));
        }
        return us;
    }

    private static String time(long us) {
        return us % 1_000_000 == 0 ? us / 1_000_000 + "s" : us % 1_000 == 0 ? us / 1_000 + "ms" : us + "us";
    }

    private static double most(Section s, String key, double absent, double least, double most)
            throws BadFileException {
        double value = s.number(key, absent, least);
        if (value > most) {
            throw s.wrong(key, "must be " + (long) most + " at most");
        }
        return value;
    }

    private static int rate(Section s, String key, int absent, int least) throws BadFileException {
        double value = s.rate(key, (double) absent);
        if (value < least || value > 10_000_000) {
            throw s.wrong(key, "must be from " + least + "/s to 10000000/s");
        }
        return (int) value;
    }

    // ---- the configuration ---------------------------------------------------------------------------

    private static Place place(byte[] json) throws IOException {
        String name = null;
        InetSocketAddress listen = null;
        List<InetSocketAddress> peers = List.of();
        int me = -1;
        try (JsonParser in = Listing.JSON.createParser(json)) {
            need(in.nextToken() == JsonToken.START_OBJECT, "must be an object");
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String field = in.currentName();
                if (in.nextToken() == JsonToken.VALUE_NULL) {
                    continue;
                }
                switch (field) {
                    case "name" -> name = in.getText();
                    case "peer_listen" -> listen = Listing.address(in.getText());
                    case "peers" -> peers = addresses(in);
                    case "settings" -> me = me(in);
                    default -> in.skipChildren();
                }
            }
        }
        need(
                name != null && NAME.matcher(name).matches(),
                "name must have 1 to 32 printable characters without blanks, or there is no fleet to be in");
        need(listen != null, "peer_listen is missing, which a fleet needs");
        need(!peers.isEmpty(), "peers is missing, which a fleet needs");
        need(
                me >= 0 && me < peers.size(),
                "settings.me is " + me + ", and peers has the numbers 0 to " + (peers.size() - 1));
        return new Place(name, me, listen, List.copyOf(peers));
    }

    /** What a configuration calls its client proxy. */
    public static String name(byte[] json) throws IOException {
        String name = null;
        try (JsonParser in = Listing.JSON.createParser(json)) {
            need(in.nextToken() == JsonToken.START_OBJECT, "must be an object");
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                boolean its = in.currentName().equals("name");
                if (in.nextToken() == JsonToken.VALUE_STRING && its) {
                    name = in.getText();
                } else {
                    in.skipChildren();
                }
            }
        }
        need(
                name != null && NAME.matcher(name).matches(),
                "name must have 1 to 32 printable characters without blanks");
        return name;
    }

    private static List<InetSocketAddress> addresses(JsonParser in) throws IOException {
        need(in.currentToken() == JsonToken.START_ARRAY, "peers must be an array");
        List<InetSocketAddress> all = new ArrayList<>();
        Set<InetSocketAddress> seen = new HashSet<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            need(in.currentToken() == JsonToken.VALUE_STRING, "peers must hold addresses");
            InetSocketAddress address = Listing.address(in.getText());
            need(seen.add(address), "peers names " + in.getText() + " twice: each member has an address of its own");
            all.add(address);
        }
        return all;
    }

    private static int me(JsonParser in) throws IOException {
        need(in.currentToken() == JsonToken.START_OBJECT, "settings must be an object");
        int me = -1;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            boolean its = in.currentName().equals("me");
            in.nextToken();
            if (its && in.currentToken() == JsonToken.VALUE_NUMBER_INT) {
                me = in.getIntValue();
            } else {
                in.skipChildren();
            }
        }
        return me;
    }

    private static void need(boolean ok, String otherwise) throws IOException {
        if (!ok) {
            throw new IOException("configuration: " + otherwise);
        }
    }
}
