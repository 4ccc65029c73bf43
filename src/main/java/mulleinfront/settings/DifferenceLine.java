package mulleinfront.settings;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import mulleinfront.config.Difference;
import mulleinfront.config.Version;
import mulleinfront.config.VersionMismatchException;

/** Differences as a line of JSON: on a watch, and over nothing as the copy that a client proxy keeps. */
public final class DifferenceLine {
    private DifferenceLine() {}

    /** A line with its end. */
    public static byte[] write(Difference d) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (JsonGenerator out = Listing.JSON.createGenerator(bytes)) {
            out.writeStartObject();
            out.writeNumberField("from", d.from());
            out.writeNumberField("to", d.to());
            out.writeObjectFieldStart("changed");
            for (Map.Entry<String, String> e : d.changed().entrySet()) {
                out.writeStringField(e.getKey(), e.getValue());
            }
            out.writeEndObject();
            if (!d.removed().isEmpty()) {
                out.writeArrayFieldStart("removed");
                for (String key : d.removed()) {
                    out.writeString(key);
                }
                out.writeEndArray();
            }
            out.writeStringField("why", d.why());
            out.writeNumberField("at_ms", d.decidedAtMillis());
            out.writeStringField("checksum", Long.toHexString(d.checksum()));
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        bytes.write('\n');
        return bytes.toByteArray();
    }

    /** Reads an object whose first field the parser stands on. */
    static Difference read(JsonParser in) throws IOException {
        long from = -1;
        long to = -1;
        SortedMap<String, String> changed = new TreeMap<>();
        SortedSet<String> removed = new TreeSet<>();
        String why = "";
        long atMillis = 0;
        String checksum = null;
        for (; in.currentToken() == JsonToken.FIELD_NAME; in.nextToken()) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "from" -> from = in.getLongValue();
                case "to" -> to = in.getLongValue();
                case "changed" -> entries(in, changed);
                case "removed" -> {
                    while (in.nextToken() == JsonToken.VALUE_STRING) {
                        removed.add(in.getText());
                    }
                }
                case "why" -> why = in.getText();
                case "at_ms" -> atMillis = in.getLongValue();
                case "checksum" -> checksum = in.getText();
                default -> in.skipChildren();
            }
        }
        if (from < 0 || to <= from || checksum == null) {
            throw new IOException("a difference without from, to or checksum");
        }
        return new Difference(from, to, changed, removed, why, atMillis, checksum(checksum));
    }

    static void entries(JsonParser in, SortedMap<String, String> into) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new IOException("entries must be an object");
        }
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String key = in.currentName();
            if (in.nextToken() != JsonToken.VALUE_STRING) {
                throw new IOException(key + ": a value must be a text");
            }
            into.put(key, in.getText());
        }
    }

    /** A checksum as it is written. */
    public static long checksum(String hex) throws IOException {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new IOException("a checksum of other than hex digits: " + hex, e);
        }
    }

    /** Reads one line. */
    public static Difference read(byte[] line) throws IOException {
        try (JsonParser in = Listing.JSON.createParser(line)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("not an object");
            }
            in.nextToken();
            Difference d = read(in);
            if (in.nextToken() != null) {
                throw new IOException("text after the difference");
            }
            return d;
        }
    }

    /**
     * Reads a version that was kept as a difference over nothing.
     *
     * @throws IOException if it is not whole
     */
    public static Version kept(byte[] file) throws IOException {
        try {
            // The end of the line is written last.
            if (file.length == 0 || file[file.length - 1] != '\n') {
                throw new IOException("it is cut off");
            }
            Difference d = read(file);
            if (!d.isWhole()) {
                throw new IOException("it is not a whole version");
            }
            return d.on(Version.NONE);
        } catch (JsonProcessingException | VersionMismatchException e) {
            throw new IOException(Config.rootCauseMessage(e), e);
        }
    }
}
