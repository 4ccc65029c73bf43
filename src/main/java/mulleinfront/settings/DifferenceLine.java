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

/**
 * Reads and writes a configuration delta as one line of JSON. Watches carry deltas in this form, and a client proxy's
 * cached copy is a delta from the empty version.
 */
public final class DifferenceLine {
    private DifferenceLine() {}

    /** Returns the delta as JSON, ending with a line feed. */
    public static byte[] write(Difference delta) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (JsonGenerator out = EndpointList.JSON.createGenerator(bytes)) {
            out.writeStartObject();
            out.writeNumberField("from", delta.from());
            out.writeNumberField("to", delta.to());
            out.writeObjectFieldStart("changed");
            for (Map.Entry<String, String> entry : delta.changed().entrySet()) {
                out.writeStringField(entry.getKey(), entry.getValue());
            }
            out.writeEndObject();
            if (!delta.removed().isEmpty()) {
                out.writeArrayFieldStart("removed");
                for (String key : delta.removed()) {
                    out.writeString(key);
                }
                out.writeEndArray();
            }
            out.writeStringField("why", delta.description());
            out.writeNumberField("at_ms", delta.proposedAtMs());
            out.writeStringField("checksum", Long.toHexString(delta.checksum()));
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        bytes.write('\n');
        return bytes.toByteArray();
    }

    /** Reads the rest of an object; the parser is at the name of its first field. */
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
                case "changed" -> readEntries(in, changed);
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
            throw new IOException("delta lacks from, to or checksum, or to does not exceed from");
        }
        return new Difference(from, to, changed, removed, why, atMillis, parseChecksum(checksum));
    }

    static void readEntries(JsonParser in, SortedMap<String, String> into) throws IOException {
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

    /** Parses a checksum, which is written as a hexadecimal number. */
    public static long parseChecksum(String hex) throws IOException {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new IOException("checksum must be hexadecimal: " + hex, e);
        }
    }

    /** Reads a delta from one line, which must contain nothing else. */
    public static Difference read(byte[] line) throws IOException {
        try (JsonParser in = EndpointList.JSON.createParser(line)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("a delta must be an object");
            }
            in.nextToken();
            Difference delta = read(in);
            if (in.nextToken() != null) {
                throw new IOException("unexpected text after the delta");
            }
            return delta;
        }
    }

    /**
     * Reads a cached version, which is stored as a delta from the empty version.
     *
     * @throws IOException if the file is truncated, malformed or fails its checksum
     */
    public static Version readCached(byte[] file) throws IOException {
        try {
            // The line feed is written last, so a file without it is truncated.
            if (file.length == 0 || file[file.length - 1] != '\n') {
                throw new IOException("the cached copy is truncated");
            }
            Difference delta = read(file);
            if (!delta.isFull()) {
                throw new IOException("the cached copy is not a complete version");
            }
            return delta.applyTo(Version.NONE);
        } catch (JsonProcessingException | VersionMismatchException e) {
            throw new IOException(Config.rootCauseMessage(e), e);
        }
    }
}
