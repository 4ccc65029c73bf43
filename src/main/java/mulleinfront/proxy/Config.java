package mulleinfront.proxy;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import mulleinfront.Balancer.Settings;
import mulleinfront.benchlink.SettingsReader;

/**
 * What a client proxy is told at its start.
 *
 * @param listen where clients connect
 * @param discovery where lists of hosts come from
 * @param seed seed of the module's random numbers
 * @param settings what the module is told
 * @param zones names of the zones, by number
 * @param kinds names of the kinds of machine, by number
 * @param tenants names of the tenants, by number
 * @param sockets descriptors that the process may hold
 * @param dialTimeoutUs time within which a connection must have come up
 * @param known the list of hosts as last held, perhaps old; null if there is none
 */
public record Config(InetSocketAddress listen, InetSocketAddress discovery, long seed, Settings settings,
        List<String> zones, List<String> kinds, List<String> tenants, int sockets, long dialTimeoutUs,
        Listing known) {

    /** What the program is sized for; a lower limit is kept, a higher one not used. */
    private static final int MOST_SOCKETS = 1024;

    /**
     * Reads the file that {@code NODE_CONFIG} names.
     *
     * @throws IOException or {@link IllegalArgumentException}, saying what is wrong with it
     */
    public static Config load(String path) throws IOException {
        if (path == null) {
            throw new IOException("NODE_CONFIG is not set");
        }
        if (!Files.isReadable(Path.of(path))) {
            throw new IOException("NODE_CONFIG: can't read " + path);
        }
        return parse(Files.readAllBytes(Path.of(path)));
    }

    public static Config parse(byte[] json) throws IOException {
        InetSocketAddress listen = null;
        InetSocketAddress discovery = null;
        String seed = null;
        Listing known = null;
        int sockets = MOST_SOCKETS;
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
                    case "discovery" -> discovery = Listing.address(in.getText());
                    case "seed" -> seed = in.getText();
                    case "limits" -> sockets = sockets(in);
                    case "known" -> known = Listing.read(in);
                    case "settings" -> settings = SettingsReader.read(in);
                    default -> in.skipChildren();
                }
            }
        }
        need(listen, "listen");
        need(discovery, "discovery");
        need(settings, "settings");
        need(seed, "seed");
        return new Config(listen, discovery, seed(seed), settings.toSettings(),
                settings.names("azs"), settings.names("kinds"), settings.tenants(), sockets,
                settings.dialTimeoutUs(), known);
    }

    private static int sockets(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new IOException("configuration: limits must be an object");
        }
        int sockets = MOST_SOCKETS;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            boolean named = in.currentName().equals("sockets");
            in.nextToken();
            if (named) {
                sockets = Math.min(sockets, in.getIntValue());
            } else {
                in.skipChildren();
            }
        }
        return sockets;
    }

    private static long seed(String hex) throws IOException {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new IOException("configuration: seed must be a number of up to 16 hex digits", e);
        }
    }

    private static void need(Object value, String name) throws IOException {
        if (value == null) {
            throw new IOException("configuration: " + name + " is missing");
        }
    }
}
