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
 * The start-up configuration of a client proxy.
 *
 * @param listen address that clients connect to
 * @param management address of the management endpoint; null to disable it
 * @param discovery address of the discovery service
 * @param seed seed of the balancer's random numbers
 * @param settings settings of the balancer
 * @param zones zone names, indexed by zone number
 * @param kinds server type names, indexed by type number
 * @param tenants tenant names, indexed by tenant number
 * @param cores number of cores, possibly fractional, that the platform grants the process
 * @param memoryMb memory, megabytes, that the platform grants the process
 * @param loops number of event loops that share that memory
 * @param requestsPerS requests per second that all tenants together may send to this instance; 0 if the settings give
 *        no allowances
 * @param descriptorLimit file descriptors that the platform grants the process
 * @param maxSockets file descriptors that this client proxy may use
 * @param dialTimeoutUs timeout for establishing a connection, microseconds
 * @param lastKnownList the last endpoint list the platform has, possibly outdated; null if there is none
 * @param fleetFile path of the fleet file; null if this proxy is not a member of a fleet
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
        int memoryMb,
        int loops,
        double requestsPerS,
        int descriptorLimit,
        int maxSockets,
        long dialTimeoutUs,
        EndpointList lastKnownList,
        String fleetFile) {

    /**
     * Descriptors of the default deployment. A lower platform limit is respected; a higher one is used only through
     * {@link ProcessSettings}.
     */
    private static final int DEPLOYED_SOCKETS = 1024;
    /** Memory of the default deployment, megabytes. */
    private static final int DEPLOYED_MEMORY_MB = 192;
    /** Distance between the seeds of two event loops: the golden gamma of {@link java.util.SplittableRandom}. */
    private static final long LOOP_SEED_STEP = 0x9e3779b97f4a7c15L;

    /**
     * Reads a configuration file.
     *
     * @param path the value of {@code NODE_CONFIG}; null if the variable is not set
     * @throws IOException whose message names the file, the key and the reason
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
        EndpointList lastKnownList = null;
        String fleetFile = null;
        Limits limits = Limits.NONE;
        SettingsReader settings = null;
        try (JsonParser in = EndpointList.JSON.createParser(json)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("configuration: must be an object");
            }
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                if (in.nextToken() == JsonToken.VALUE_NULL) {
                    continue;
                }
                switch (name) {
                    case "listen" -> listen = EndpointList.parseAddress(in.getText());
                    case "management" -> management = EndpointList.parseAddress(in.getText());
                    case "discovery" -> discovery = EndpointList.parseAddress(in.getText());
                    case "seed" -> seed = in.getText();
                    case "limits" -> limits = readLimits(in);
                    case "known" -> lastKnownList = EndpointList.read(in);
                    case "fleet" -> fleetFile = in.getText();
                    case "settings" -> settings = SettingsReader.read(in);
                    default -> in.skipChildren();
                }
            }
        }
        requirePresent(listen, "listen");
        requirePresent(discovery, "discovery");
        requirePresent(settings, "settings");
        requirePresent(seed, "seed");
        return new Config(
                listen,
                management,
                discovery,
                parseSeed(seed),
                settings.toSettings(),
                settings.names("azs"),
                settings.names("kinds"),
                settings.tenantNames(),
                limits.cores(),
                limits.memoryMb(),
                1,
                settings.requestsPerS(),
                limits.sockets(),
                Math.min(DEPLOYED_SOCKETS, limits.sockets()),
                settings.dialTimeoutUs(),
                lastKnownList,
                fleetFile);
    }

    /** Returns a copy of this configuration that listens on another port. */
    public Config withPort(int port) {
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
                memoryMb,
                loops,
                requestsPerS,
                descriptorLimit,
                maxSockets,
                dialTimeoutUs,
                lastKnownList,
                fleetFile);
    }

    /**
     * Returns the configuration of one event loop. Each loop runs a client proxy of its own and counts as a separate
     * balancer instance, with its own seed and its share of the request allowance.
     */
    Config forLoop(int loop, int loops, int loopSockets) {
        int instanceNumber = settings.instanceNumber() < 0 ? -1 : settings.instanceNumber() * loops + loop;
        Settings loopSettings = settings.forInstance(instanceNumber, settings.instances() * loops);
        return new Config(
                listen,
                management,
                discovery,
                seed + loop * LOOP_SEED_STEP,
                loopSettings,
                zones,
                kinds,
                tenants,
                cores,
                memoryMb,
                loops,
                requestsPerS / loops,
                descriptorLimit,
                loopSockets,
                dialTimeoutUs,
                lastKnownList,
                fleetFile);
    }

    /** Resource limits that the platform sets for the process. */
    private record Limits(double cores, int memoryMb, int sockets) {
        private static final Limits NONE = new Limits(1, DEPLOYED_MEMORY_MB, DEPLOYED_SOCKETS);
    }

    private static Limits readLimits(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new IOException("configuration: limits must be an object");
        }
        Limits limits = Limits.NONE;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "cores" -> limits = new Limits(in.getDoubleValue(), limits.memoryMb(), limits.sockets());
                case "memory_mb" -> limits = new Limits(limits.cores(), (int) in.getDoubleValue(), limits.sockets());
                case "sockets" -> limits = new Limits(limits.cores(), limits.memoryMb(), in.getIntValue());
                default -> in.skipChildren();
            }
        }
        if (!(limits.cores() > 0 && limits.cores() < Double.POSITIVE_INFINITY)) {
            throw new IOException("configuration: limits.cores must be above 0");
        }
        if (limits.memoryMb() < 1) {
            throw new IOException("configuration: limits.memory_mb must be at least 1");
        }
        if (limits.sockets() < 1) {
            throw new IOException("configuration: limits.sockets must be at least 1");
        }
        return limits;
    }

    private static long parseSeed(String hex) throws IOException {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new IOException("configuration: seed must be a number of up to 16 hex digits", e);
        }
    }

    /** Returns the message of an exception on a single line; JSON errors are marked as malformed input. */
    public static String rootCauseMessage(Exception exception) {
        String message = exception instanceof JsonProcessingException jsonException
                ? "malformed input: " + jsonException.getOriginalMessage()
                : String.valueOf(exception.getMessage());
        return message.replace('\n', ' ');
    }

    private static void requirePresent(Object value, String name) throws IOException {
        if (value == null) {
            throw new IOException("configuration: " + name + " is missing");
        }
    }
}
