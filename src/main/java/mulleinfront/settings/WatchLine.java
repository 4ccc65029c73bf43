package mulleinfront.settings;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.SortedMap;
import java.util.TreeMap;
import mulleinfront.config.Difference;
import mulleinfront.config.Proposal;

/**
 * A message on a configuration watch, one JSON object per line. The configuration server sends deltas and heartbeats
 * ({@code newest}, {@code in_touch}); a subscriber reports its active version ({@code at}, {@code checksum}).
 *
 * @param difference the delta; null in a heartbeat or report
 * @param version the server's newest version in a heartbeat, the subscriber's active version in a report
 * @param hasQuorumContact whether the server's replica has quorum contact
 * @param checksum checksum of the subscriber's active version
 */
public record WatchLine(Difference difference, long version, boolean hasQuorumContact, long checksum) {

    /** Writes the fields of a JSON object. */
    public interface FieldWriter {
        void write(JsonGenerator out) throws IOException;
    }

    /** Returns a JSON object with these fields, ending with a line feed. */
    public static byte[] toLine(FieldWriter fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
        try (JsonGenerator out = EndpointList.JSON.createGenerator(bytes)) {
            out.writeStartObject();
            fields.write(out);
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        bytes.write('\n');
        return bytes.toByteArray();
    }

    /** Returns a heartbeat of a configuration server. */
    public static byte[] heartbeat(long newest, boolean hasQuorumContact) {
        return ("{\"newest\":" + newest + ",\"in_touch\":" + hasQuorumContact + "}\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Returns a subscriber's report of its active version. */
    public static byte[] report(long version, long checksum) {
        return ("{\"at\":" + version + ",\"checksum\":\"" + Long.toHexString(checksum) + "\"}\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Reads a message of either side. */
    public static WatchLine read(byte[] line) throws IOException {
        try (JsonParser in = EndpointList.JSON.createParser(line)) {
            if (in.nextToken() != JsonToken.START_OBJECT || in.nextToken() != JsonToken.FIELD_NAME) {
                throw new IOException("the message must be an object with fields");
            }
            if (in.currentName().equals("from")) {
                return new WatchLine(DifferenceLine.read(in), 0, true, 0);
            }
            long version = -1;
            boolean hasQuorumContact = true;
            long checksum = 0;
            for (; in.currentToken() == JsonToken.FIELD_NAME; in.nextToken()) {
                String name = in.currentName();
                in.nextToken();
                switch (name) {
                    case "newest", "at" -> version = in.getLongValue();
                    case "in_touch" -> hasQuorumContact = in.getBooleanValue();
                    case "checksum" -> checksum = DifferenceLine.parseChecksum(in.getText());
                    default -> in.skipChildren();
                }
            }
            if (version < 0) {
                throw new IOException("the message has no version");
            }
            return new WatchLine(null, version, hasQuorumContact, checksum);
        }
    }

    /** Returns a proposal as it is posted to a control-plane node's client endpoint. */
    public static byte[] proposal(Proposal proposal) {
        return toLine(out -> {
            out.writeStringField("id", proposal.id());
            out.writeNumberField("based_on", proposal.baseVersion());
            out.writeStringField("why", proposal.description());
            out.writeNumberField("at_ms", proposal.proposedAtMs());
            out.writeObjectFieldStart("entries");
            for (var entry : proposal.entries().entrySet()) {
                out.writeStringField(entry.getKey(), entry.getValue());
            }
            out.writeEndObject();
        });
    }

    /**
     * Reads and validates a proposal posted to a control-plane node.
     *
     * @throws IOException whose message is the reason for the rejection
     */
    public static Proposal readProposal(byte[] body) throws IOException {
        String id = null;
        long basedOn = -1;
        String why = "";
        long atMillis = 0;
        SortedMap<String, String> entries = null;
        try (JsonParser in = EndpointList.JSON.createParser(body)) {
            require(in.nextToken() == JsonToken.START_OBJECT, "a proposal must be an object");
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                in.nextToken();
                switch (name) {
                    case "id" -> id = in.getText();
                    case "based_on" -> basedOn = in.getLongValue();
                    case "why" -> why = in.getText();
                    case "at_ms" -> atMillis = in.getLongValue();
                    case "entries" -> {
                        entries = new TreeMap<>();
                        DifferenceLine.readEntries(in, entries);
                    }
                    default -> in.skipChildren();
                }
            }
            require(in.currentToken() == JsonToken.END_OBJECT, "the proposal ends early");
        }
        require(id != null && id.matches("[!-~]{1,64}"), "a proposal needs an id of 1 to 64 printable characters");
        require(
                why.length() <= 200 && why.chars().noneMatch(c -> c < ' '),
                "why must be one line of 200 characters at most");
        require(entries != null, "a proposal needs entries");
        String error = FleetConfiguration.validationError(entries);
        require(error == null, error);
        return new Proposal(id, basedOn, entries, why, atMillis);
    }

    private static void require(boolean condition, String error) throws IOException {
        if (!condition) {
            throw new IOException(error);
        }
    }
}
