package mulleinfront.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import mulleinfront.Balancer.Settings;

/**
 * What a client proxy is told at its start.
 *
 * @param listen where clients connect
 * @param management where operators call; null if nowhere
 * @param discovery where lists of hosts come from
 * @param seed seed of the module's random numbers
 * @param settings what the module is told
 * @param zones names of the zones, by number
 * @param kinds names of the kinds of machine, by number
 * @param tenants names of the tenants, by number
 * @param cores part of the machine's cores that the platform allows the process
 * @param requestsPerS requests a second that all tenants together may send to this instance, by their shares; 0 if the
 *        settings do not say
 * @param limit descriptors that the platform allows the process
 * @param sockets descriptors that this client proxy may hold
 * @param dialTimeoutUs time within which a connection must have come up
 * @param known the list of hosts as last held, perhaps old; null if there is none
 * @param fleet the file that makes it a member of a fleet; null: it is none
 */
public record Config(
        InetSocketAddress listen,
        InetSocketAddress management,
        InetSocketAddress discovery,
        long seed,
        Settings settings,
        List<String> zones,
        List<String> kinds,
        List<String> tenants,
        double cores,
        double requestsPerS,
        int limit,
        int sockets,
        long dialTimeoutUs,
        Listing known,
        String fleet) {

    /** What the program is sized for as deployed; a lower limit is kept, a higher one used only by {@link ProcessSettings}. */
    private static final int MOST_SOCKETS = 1024;
    /** Seeds of loops differ by this, as those of {@link java.util.SplittableRandom} do. */
    private static final long SEED_STEP = 0x9e3779b97f4a7c15L;

    /**
     * Reads the file that {@code NODE_CONFIG} names.
     *
     * @throws IOException saying which file, which key and what is wrong with it
     */
    public static Config load(String path) throws IOException {
        if (path == null) {
            throw new IOException("NODE_CONFIG is not set");
        }
        if (!Files.isReadable(Path.of(path))) {
            throw new IOException("NODE_CONFIG: can't read " + path);
        }
        try {
            return parse(Files.readAllBytes(Path.of(path)));
        } catch (IOException | IllegalArgumentException e) {
            throw new IOException(path + ": " + rootCauseMessage(e), e);
        }
    }

    /**
     * Parses the JSON configuration.
     *
     * @throws IOException if the JSON is malformed or a value is invalid
     */
    public static Config parse(byte[] json) throws IOException {
        InetSocketAddress listen = null;
        InetSocketAddress management = null;
        InetSocketAddress discovery = null;
        String seed = null;
        Listing known = null;
        String fleet = null;
        Limits limits = Limits.NONE;
        SettingsReader settings = null;
        try (JsonParser in = Listing.JSON.createParser(json)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("configuration: must be an object");
            }
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                if (in.nextToken() == JsonToken.VALUE_NULL) {
                    continue;
                }
                switch (name) {
                    case "listen" -> listen = Listing.address(in.getText());
                    case "management" -> management = Listing.address(in.getText());
                    case "discovery" -> discovery = Listing.address(in.getText());
                    case "seed" -> seed = in.getText();
                    case "limits" -> limits = limits(in);
                    case "known" -> known = Listing.read(in);
                    case "fleet" -> fleet = in.getText();
                    case "settings" -> settings = SettingsReader.read(in);
                    default -> in.skipChildren();
                }
            }
        }
        need(listen, "listen");
        need(discovery, "discovery");
        need(settings, "settings");
        need(seed, "seed");
        return new Config(
                listen,
                management,
                discovery,
                seed(seed),
                settings.toSettings(),
                settings.names("azs"),
                settings.names("kinds"),
                settings.tenants(),
                limits.cores(),
                settings.requestsPerS(),
                limits.sockets(),
                Math.min(MOST_SOCKETS, limits.sockets()),
                settings.dialTimeoutUs(),
                known,
                fleet);
    }

    /** The same on another port. */
    public Config on(int port) {
        return new Config(
                new InetSocketAddress(listen.getAddress(), port),
                management,
                discovery,
                seed,
                settings,
                zones,
                kinds,
                tenants,
                cores,
                requestsPerS,
                limit,
                sockets,
                dialTimeoutUs,
                known,
                fleet);
    }

    /** One of several client proxies in a process, each an instance to the module. */
    Config part(int number, int of, int itsSockets) {
        int me = settings.instanceNumber() < 0 ? -1 : settings.instanceNumber() * of + number;
        Settings shared = settings.forInstance(me, settings.instances() * of);
        return new Config(
                listen,
                management,
                discovery,
                seed + number * SEED_STEP,
                shared,
                zones,
                kinds,
                tenants,
                cores,
                requestsPerS / of,
                limit,
                itsSockets,
                dialTimeoutUs,
                known,
                fleet);
    }

    /** What the platform allows the process. */
    private record Limits(double cores, int sockets) {
        private static final Limits NONE = new Limits(1, MOST_SOCKETS);
    }

    private static Limits limits(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new IOException("configuration: limits must be an object");
        }
        Limits limits = Limits.NONE;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "cores" -> limits = new Limits(in.getDoubleValue(), limits.sockets());
                case "sockets" -> limits = new Limits(limits.cores(), in.getIntValue());
                default -> in.skipChildren();
            }
        }
        if (!(limits.cores() > 0 && limits.cores() < Double.POSITIVE_INFINITY)) {
            throw new IOException("configuration: limits.cores must be above 0");
        }
        if (limits.sockets() < 1) {
            throw new IOException("configuration: limits.sockets must be at least 1");
        }
        return limits;
    }

    private static long seed(String hex) throws IOException {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new IOException("configuration: seed must be a number of up to 16 hex digits", e);
        }
    }

    /** One plain line that says what went wrong. */
    public static String rootCauseMessage(Exception e) {
        String text = e instanceof JsonProcessingException j
                ? "malformed input: " + j.getOriginalMessage()
                : String.valueOf(e.getMessage());
        return text.replace('\n', ' ');
    }

    private static void need(Object value, String name) throws IOException {
        if (value == null) {
            throw new IOException("configuration: " + name + " is missing");
        }
    }
}
