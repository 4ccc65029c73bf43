package mulleinfront.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * A host's word on its load: a JSON object of names and numbers, on sockets as the value of a header. Anybody
 * may write anything there, so what can't be read says nothing and harms nobody.
 */
public final class LoadReport {
    /** The header that carries it. */
    public static final String HEADER = "X-Load";
    /** Requests that the host holds: the name in the settings, and the one on the protocol's page. */
    private static final String HELD = "outstanding";

    private static final String HELD_TOO = "inflight";
    /** A report has four values at most: a longer text is none. */
    private static final int LONGEST = 512;

    private LoadReport() {}

    /**
     * Requests that the host says it holds.
     *
     * @param text the header's value, or null
     * @return at least 0; NaN if it does not say
     */
    public static double held(String text) {
        if (text == null || text.length() > LONGEST) {
            return Double.NaN;
        }
        try (JsonParser in = Listing.JSON.createParser(text)) {
            in.nextToken();
            double held = held(in);
            // What goes on behind its end was not written by a host that is well.
            return in.nextToken() == null ? held : Double.NaN;
        } catch (IOException unreadable) {
            return Double.NaN;
        }
    }

    /**
     * The same of an object at the parser's place, read to its end.
     *
     * @throws IOException if it breaks off or is no JSON
     */
    public static double held(JsonParser in) throws IOException {
        double held = Double.NaN;
        if (in.currentToken() != JsonToken.START_OBJECT) {
            in.skipChildren();
            return held;
        }
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            JsonToken value = in.nextToken();
            if (value == JsonToken.VALUE_NUMBER_INT || value == JsonToken.VALUE_NUMBER_FLOAT) {
                held = name.equals(HELD) || name.equals(HELD_TOO) ? in.getDoubleValue() : held;
            } else {
                in.skipChildren();
            }
        }
        if (in.currentToken() != JsonToken.END_OBJECT) {
            throw new IOException("malformed input: a load report breaks off");
        }
        return held >= 0 && held < Double.POSITIVE_INFINITY ? held : Double.NaN;
    }
}
