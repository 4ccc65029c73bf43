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

/** A list of hosts in discovery's form: the whole one or, with {@code full} false, what has changed. */
public record Listing(long version, boolean full, List<Entry> entries) {
    public static final JsonFactory JSON = new JsonFactory();

    /** One host, its zone and kind by name. */
    public record Entry(
            String id,
            InetSocketAddress address,
            String zone,
            String kind,
            int cell,
            Availability availability,
            double weight,
            long startedMs) {}

    /** Reads a line of a watch; anything but one well-formed list is an {@link IOException}. */
    public static Listing parse(byte[] line) throws IOException {
        try (JsonParser in = JSON.createParser(line)) {
            in.nextToken();
            Listing listing = read(in);
            need(in.nextToken() == null, "text after the list");
            return listing;
        }
    }

    /** Reads the object at the parser's place. */
    public static Listing read(JsonParser in) throws IOException {
        need(in.currentToken() == JsonToken.START_OBJECT, "a list must be an object");
        long version = -1;
        boolean full = false;
        List<Entry> entries = null;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "version" -> version = in.getLongValue();
                case "full" -> full = in.getBooleanValue();
                case "servers" -> entries = entries(in);
                default -> in.skipChildren();
            }
        }
        need(in.currentToken() == JsonToken.END_OBJECT, "the list ends early");
        need(version >= 0, "version is missing");
        need(entries != null, "servers is missing");
        return new Listing(version, full, entries);
    }

    private static List<Entry> entries(JsonParser in) throws IOException {
        need(in.currentToken() == JsonToken.START_ARRAY, "servers must be an array");
        List<Entry> entries = new ArrayList<>();
        while (in.nextToken() == JsonToken.START_OBJECT) {
            entries.add(entry(in));
        }
        need(in.currentToken() == JsonToken.END_ARRAY, "servers must hold objects");
        return entries;
    }

    private static Entry entry(JsonParser in) throws IOException {
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
                case "addr" -> address = address(in.getText());
                case "zone" -> zone = in.getText();
                case "kind" -> kind = in.getText();
                case "cell" -> cell = in.getIntValue();
                case "state" -> availability = availability(in.getText());
                case "weight" -> weight = in.getDoubleValue();
                case "started_ms" -> startedMs = in.getLongValue();
                default -> in.skipChildren();
            }
        }
        need(id != null && address != null && availability != null, "a host without id, addr or state");
        return new Entry(id, address, zone, kind, cell, availability, weight, startedMs);
    }

    private static Availability availability(String word) throws IOException {
        return switch (word) {
            case "in_service" -> Availability.READY;
            case "terminating" -> Availability.DRAINING;
            case "terminated" -> Availability.GONE;
            default -> throw new IOException("unknown state " + word);
        };
    }

    /** Takes a literal address and port only: there is no DNS, and a look-up would block the loop. */
    public static InetSocketAddress address(String text) throws IOException {
        int colon = String.valueOf(text).lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        need(ip != null, "not an address and port: " + text);
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (IllegalArgumentException e) {
            throw new IOException("not an address and port: " + text, e);
        }
    }

    private static void need(boolean ok, String otherwise) throws IOException {
        if (!ok) {
            throw new IOException(otherwise);
        }
    }
}
