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
 * The fleet membership settings of one client proxy: the operators' fleet file, which all members share, combined with
 * the member's own start-up configuration. It is read only where fleet membership is enabled.
 *
 * @param settings settings of the membership protocol
 * @param listen address for datagrams
 * @param peers addresses of all members as this member reaches them, indexed by member number
 * @param eventLog file of the event log; null to write none
 */
public record FleetFile(
        FleetSettings settings, InetSocketAddress listen, List<InetSocketAddress> peers, Path eventLog) {
    private static final long MIN_PERIOD_US = 20_000;
    private static final long MAX_PERIOD_US = 60_000_000;
    private static final Pattern NAME_PATTERN = Pattern.compile("[!-~]{1,32}");

    /** The fields of a member's start-up configuration that fleet membership uses. */
    private record LocalMember(String name, int number, InetSocketAddress listen, List<InetSocketAddress> peers) {}

    /**
     * Reads the fleet file and the start-up configuration of one member.
     *
     * @param file the operators' fleet file, such as {@code deploy/fleet.toml}
     * @param config the member's start-up configuration, JSON
     * @throws BadFileException naming file, line and reason
     * @throws IOException if the start-up configuration is invalid
     */
    public static FleetFile load(Path file, byte[] config) throws BadFileException, IOException {
        Section root = Section.root(file.toString(), readFile(file), null);
        LocalMember member = readLocalMember(config);
        return read(root, member);
    }

    /** Reads and validates a fleet file without a start-up configuration, with placeholder members. */
    public static FleetFile check(Path file) throws BadFileException {
        InetSocketAddress placeholder = InetSocketAddress.createUnresolved("checked", 1);
        return read(
                Section.root(file.toString(), readFile(file), null),
                new LocalMember("checked", 0, placeholder, List.of(placeholder, placeholder)));
    }

    private static String readFile(Path file) throws BadFileException {
        try {
            return Files.readString(file);
        } catch (NoSuchFileException e) {
            throw new BadFileException(file + ": no such file");
        } catch (IOException e) {
            throw new BadFileException(file + ": can't be read (" + e.getMessage() + ")");
        }
    }

    private static FleetFile read(Section root, LocalMember member) throws BadFileException {
        String fleet = root.string("fleet", null);
        if (!NAME_PATTERN.matcher(fleet).matches()) {
            throw root.error("fleet", "must be a name of 1 to 32 printable characters without blanks");
        }
        long period = timeWithin(root, "period", 1_000_000, MIN_PERIOD_US, MAX_PERIOD_US);
        long goneAfter = timeWithin(root, "gone-after", 600_000_000, 10 * period, Long.MAX_VALUE);
        FleetSettings defaults = FleetSettings.defaults(
                fleet, member.name(), member.number(), member.peers().size(), period, goneAfter);
        long conclude = timeWithin(root, "conclude", defaults.probeTimeoutUs(), 2, period);
        long answer = timeWithin(root, "answer", Math.min(defaults.ackTimeoutUs(), conclude / 2), 1, conclude - 1);
        double suspicion = numberWithin(root, "suspicion", defaults.minSuspicionFactor(), 1, 100);
        double suspicionAlone = numberWithin(root, "suspicion-alone", defaults.maxSuspicionRatio(), 1, 100);
        int helpers = (int) numberWithin(root, "helpers", defaults.indirectProbes(), 0, 10);
        int accusers = (int) numberWithin(root, "accusers", defaults.confirmations(), 0, 10);
        long news = timeWithin(root, "news-every", defaults.gossipIntervalUs(), 1_000, period);
        int newsTo = (int) numberWithin(root, "news-to", defaults.gossipFanout(), 1, 20);
        int newsFactor = (int) numberWithin(root, "news-times", defaults.transmissionFactor(), 1, 20);
        long compare = timeWithin(root, "compare-every", defaults.comparisonIntervalUs(), 1_000, 60 * period);
        long retry = timeWithin(root, "retry-every", defaults.reconnectIntervalUs(), period, 3_600_000_000L);
        long settled = timeWithin(root, "settled-after", defaults.convergedAfterUs(), period, 1_000 * period);
        int datagrams = rateWithin(root, "datagrams", defaults.datagramsPerS(), 4);
        int bytes = rateWithin(root, "bytes", defaults.bytesPerS(), 1_024);
        String eventLog = root.string("events", "");
        root.rejectUnknownKeys();
        FleetSettings settings = new FleetSettings(
                fleet,
                member.name(),
                member.number(),
                member.peers().size(),
                period,
                answer,
                conclude,
                helpers,
                suspicion,
                suspicionAlone,
                accusers,
                news,
                newsTo,
                newsFactor,
                compare,
                retry,
                settled,
                goneAfter,
                datagrams,
                bytes,
                true,
                true);
        return new FleetFile(settings, member.listen(), member.peers(), eventLog.isEmpty() ? null : Path.of(eventLog));
    }

    private static long timeWithin(Section section, String key, long defaultUs, long minUs, long maxUs)
            throws BadFileException {
        long us = section.time(key, defaultUs);
        if (us < minUs || us > maxUs) {
            throw section.error(
                    key,
                    "must be from " + formatTime(minUs)
                            + (maxUs == Long.MAX_VALUE ? " up" : " to " + formatTime(maxUs)));
        }
        return us;
    }

    private static String formatTime(long timeUs) {
        return timeUs % 1_000_000 == 0
                ? timeUs / 1_000_000 + "s"
                : timeUs % 1_000 == 0 ? timeUs / 1_000 + "ms" : timeUs + "us";
    }

    private static double numberWithin(Section section, String key, double defaultValue, double min, double max)
            throws BadFileException {
        double value = section.number(key, defaultValue, min);
        if (value > max) {
            throw section.error(key, "must be " + (long) max + " at most");
        }
        return value;
    }

    private static int rateWithin(Section section, String key, int defaultValue, int min) throws BadFileException {
        double value = section.rate(key, (double) defaultValue);
        if (value < min || value > 10_000_000) {
            throw section.error(key, "must be from " + min + "/s to 10000000/s");
        }
        return (int) value;
    }

    // ---- start-up configuration ----------------------------------------------------------------------

    private static LocalMember readLocalMember(byte[] json) throws IOException {
        String name = null;
        InetSocketAddress listen = null;
        List<InetSocketAddress> peers = List.of();
        int memberNumber = -1;
        try (JsonParser in = EndpointList.JSON.createParser(json)) {
            require(in.nextToken() == JsonToken.START_OBJECT, "must be an object");
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String field = in.currentName();
                if (in.nextToken() == JsonToken.VALUE_NULL) {
                    continue;
                }
                switch (field) {
                    case "name" -> name = in.getText();
                    case "peer_listen" -> listen = EndpointList.parseAddress(in.getText());
                    case "peers" -> peers = readPeers(in);
                    case "settings" -> memberNumber = readMemberNumber(in);
                    default -> in.skipChildren();
                }
            }
        }
        require(
                name != null && NAME_PATTERN.matcher(name).matches(),
                "name must have 1 to 32 printable characters without blanks; fleet membership requires it");
        require(listen != null, "peer_listen is missing; fleet membership requires it");
        require(!peers.isEmpty(), "peers is missing; fleet membership requires it");
        require(
                memberNumber >= 0 && memberNumber < peers.size(),
                "settings.me is " + memberNumber + ", but peers has only the members 0 to " + (peers.size() - 1));
        return new LocalMember(name, memberNumber, listen, List.copyOf(peers));
    }

    /** Returns the client proxy's name from a start-up configuration. */
    public static String name(byte[] json) throws IOException {
        String name = null;
        try (JsonParser in = EndpointList.JSON.createParser(json)) {
            require(in.nextToken() == JsonToken.START_OBJECT, "must be an object");
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                boolean isName = in.currentName().equals("name");
                if (in.nextToken() == JsonToken.VALUE_STRING && isName) {
                    name = in.getText();
                } else {
                    in.skipChildren();
                }
            }
        }
        require(
                name != null && NAME_PATTERN.matcher(name).matches(),
                "name must have 1 to 32 printable characters without blanks");
        return name;
    }

    private static List<InetSocketAddress> readPeers(JsonParser in) throws IOException {
        require(in.currentToken() == JsonToken.START_ARRAY, "peers must be an array");
        List<InetSocketAddress> addresses = new ArrayList<>();
        Set<InetSocketAddress> seen = new HashSet<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            require(in.currentToken() == JsonToken.VALUE_STRING, "peers must be an array of addresses");
            InetSocketAddress address = EndpointList.parseAddress(in.getText());
            require(seen.add(address), "peers contains " + in.getText() + " twice; each member needs its own address");
            addresses.add(address);
        }
        return addresses;
    }

    private static int readMemberNumber(JsonParser in) throws IOException {
        require(in.currentToken() == JsonToken.START_OBJECT, "settings must be an object");
        int memberNumber = -1;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            boolean isMemberNumber = in.currentName().equals("me");
            in.nextToken();
            if (isMemberNumber && in.currentToken() == JsonToken.VALUE_NUMBER_INT) {
                memberNumber = in.getIntValue();
            } else {
                in.skipChildren();
            }
        }
        return memberNumber;
    }

    private static void require(boolean condition, String error) throws IOException {
        if (!condition) {
            throw new IOException("configuration: " + error);
        }
    }
}
