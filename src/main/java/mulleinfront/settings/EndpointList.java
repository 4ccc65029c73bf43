package mulleinfront.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import mulleinfront.Balancer.Availability;

/**
 * An endpoint list as discovery sends it.
 *
 * @param version version of the list
 * @param full whether the list is complete; if not, it is a delta with the changed endpoints only
 * @param entries the endpoints
 */
public record EndpointList(long version, boolean full, List<Entry> entries) {
    public static final JsonFactory JSON = new JsonFactory();

    /** One endpoint; zone and server type are given by name. */
    public record Entry(
            String id,
            InetSocketAddress address,
            String zone,
            String kind,
            int cell,
            Availability availability,
            double weight,
            long startedMs) {}

    /**
     * Reads a list from one line of a watch.
     *
     * @throws IOException if the line is not exactly one well-formed list
     */
    public static EndpointList parse(byte[] line) throws IOException {
        try (JsonParser in = JSON.createParser(line)) {
            in.nextToken();
            EndpointList listing = read(in);
            require(in.nextToken() == null, "unexpected text after the list");
            return listing;
        }
    }

    /** Reads a list; the parser is at the start of its object. */
    public static EndpointList read(JsonParser in) throws IOException {
        require(in.currentToken() == JsonToken.START_OBJECT, "a list must be an object");
        long version = -1;
        boolean full = false;
        List<Entry> entries = null;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "version" -> version = in.getLongValue();
                case "full" -> full = in.getBooleanValue();
                case "servers" -> entries = readEntries(in);
                default -> in.skipChildren();
            }
        }
        require(in.currentToken() == JsonToken.END_OBJECT, "the list ends early");
        require(version >= 0, "version is missing");
        require(entries != null, "servers is missing");
        return new EndpointList(version, full, entries);
    }

    private static List<Entry> readEntries(JsonParser in) throws IOException {
        require(in.currentToken() == JsonToken.START_ARRAY, "servers must be an array");
        List<Entry> entries = new ArrayList<>();
        while (in.nextToken() == JsonToken.START_OBJECT) {
            entries.add(readEntry(in));
        }
        require(in.currentToken() == JsonToken.END_ARRAY, "servers must be an array of objects");
        return entries;
    }

    private static Entry readEntry(JsonParser in) throws IOException {
        String id = null;
        InetSocketAddress address = null;
        String zone = "";
        String kind = "";
        int cell = 0;
        Availability availability = null;
        double weight = 1;
        long startedMs = 0;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "id" -> id = in.getText();
                case "addr" -> address = parseAddress(in.getText());
                case "zone" -> zone = in.getText();
                case "kind" -> kind = in.getText();
                case "cell" -> cell = in.getIntValue();
                case "state" -> availability = parseAvailability(in.getText());
                case "weight" -> weight = in.getDoubleValue();
                case "started_ms" -> startedMs = in.getLongValue();
                default -> in.skipChildren();
            }
        }
        require(id != null && address != null && availability != null, "a host must have id, addr and state");
        return new Entry(id, address, zone, kind, cell, availability, weight, startedMs);
    }

    private static Availability parseAvailability(String state) throws IOException {
        return switch (state) {
            case "in_service" -> Availability.READY;
            case "terminating" -> Availability.DRAINING;
            case "terminated" -> Availability.GONE;
            default -> throw new IOException("unknown state " + state);
        };
    }

    /**
     * Parses a literal IP address with a port. Host names are rejected: there is no DNS, and a lookup would block the
     * event loop.
     */
    public static InetSocketAddress parseAddress(String text) throws IOException {
        int colon = String.valueOf(text).lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        require(ip != null, "not an address and port: " + text);
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (IllegalArgumentException e) {
            throw new IOException("not an address and port: " + text, e);
        }
    }

    private static void require(boolean condition, String error) throws IOException {
        if (!condition) {
            throw new IOException(error);
        }
    }
}
