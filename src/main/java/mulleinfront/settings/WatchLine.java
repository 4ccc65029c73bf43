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
 * What a control machine and its readers say to each other, an object a line: a difference, or what the
 * machine has ({@code newest}, {@code in_touch}); of a reader what it has in force ({@code at},
 * {@code checksum}).
 *
 * @param difference null: it is no difference
 * @param number the newest version of the machine, or what the reader has in force
 * @param inTouch whether the machine has heard of a majority lately
 * @param checksum of what the reader has in force
 */
public record WatchLine(Difference difference, long number, boolean hasQuorumContact, long checksum) {

    /** Writes fields of an object. */
    public interface Fields {
        void write(JsonGenerator out) throws IOException;
    }

    /** An object with its end of line. */
    public static byte[] object(Fields fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
        try (JsonGenerator out = Listing.JSON.createGenerator(bytes)) {
            out.writeStartObject();
            fields.write(out);
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        bytes.write('\n');
        return bytes.toByteArray();
    }

    /** That a machine is there. */
    public static byte[] heartbeat(long newest, boolean inTouch) {
        return ("{\"newest\":" + newest + ",\"in_touch\":" + inTouch + "}\n").getBytes(StandardCharsets.US_ASCII);
    }

    /** Which version a reader has in force. */
    public static byte[] report(long at, long checksum) {
        return ("{\"at\":" + at + ",\"checksum\":\"" + Long.toHexString(checksum) + "\"}\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Reads a line of either side. */
    public static WatchLine read(byte[] line) throws IOException {
        try (JsonParser in = Listing.JSON.createParser(line)) {
            if (in.nextToken() != JsonToken.START_OBJECT || in.nextToken() != JsonToken.FIELD_NAME) {
                throw new IOException("not an object with fields");
            }
            if (in.currentName().equals("from")) {
                return new WatchLine(DifferenceLine.read(in), 0, true, 0);
            }
            long number = -1;
            boolean inTouch = true;
            long checksum = 0;
            for (; in.currentToken() == JsonToken.FIELD_NAME; in.nextToken()) {
                String name = in.currentName();
                in.nextToken();
                switch (name) {
                    case "newest", "at" -> number = in.getLongValue();
                    case "in_touch" -> inTouch = in.getBooleanValue();
                    case "checksum" -> checksum = DifferenceLine.checksum(in.getText());
                    default -> in.skipChildren();
                }
            }
            if (number < 0) {
                throw new IOException("a line that says no version");
            }
            return new WatchLine(null, number, inTouch, checksum);
        }
    }

    /** A proposal as it goes to a control machine's door. */
    public static byte[] proposal(Proposal p) {
        return object(out -> {
            out.writeStringField("id", p.id());
            out.writeNumberField("based_on", p.basedOn());
            out.writeStringField("why", p.why());
            out.writeNumberField("at_ms", p.atMillis());
            out.writeObjectFieldStart("entries");
            for (var e : p.entries().entrySet()) {
                out.writeStringField(e.getKey(), e.getValue());
            }
            out.writeEndObject();
        });
    }

    /** Reads one that came to the door; what can't be taken is an {@link IOException} with its reason. */
    public static Proposal readProposal(byte[] body) throws IOException {
        String id = null;
        long basedOn = -1;
        String why = "";
        long atMillis = 0;
        SortedMap<String, String> entries = null;
        try (JsonParser in = Listing.JSON.createParser(body)) {
            need(in.nextToken() == JsonToken.START_OBJECT, "a proposal must be an object");
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
                        DifferenceLine.entries(in, entries);
                    }
                    default -> in.skipChildren();
                }
            }
            need(in.currentToken() == JsonToken.END_OBJECT, "the proposal ends early");
        }
        need(id != null && id.matches("[!-~]{1,64}"), "a proposal needs an id of 1 to 64 printable characters");
        need(
                why.length() <= 200 && why.chars().noneMatch(c -> c < ' '),
                "why must be one line of 200 characters at most");
        need(entries != null, "a proposal needs entries");
        String wrong = FleetConfiguration.wrong(entries);
        need(wrong == null, wrong);
        return new Proposal(id, basedOn, entries, why, atMillis);
    }

    private static void need(boolean ok, String otherwise) throws IOException {
        if (!ok) {
            throw new IOException(otherwise);
        }
    }
}
