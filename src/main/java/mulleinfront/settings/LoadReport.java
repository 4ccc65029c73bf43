package mulleinfront.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * An endpoint's load report: a JSON object of names and numbers, sent as the value of a response header. The content is
 * untrusted, so a malformed report is ignored.
 */
public final class LoadReport {
    /** Name of the response header. */
    public static final String HEADER = "X-Load";
    /** Key of the number of requests in flight, as the settings name it. */
    private static final String SETTINGS_KEY = "outstanding";

    /** Key of the number of requests in flight, as the protocol names it. */
    private static final String PROTOCOL_KEY = "inflight";
    /** Limit on the characters of a report: a valid report has at most four values, and a longer text is ignored. */
    private static final int MAX_CHARACTERS = 512;

    private LoadReport() {}

    /**
     * Returns the number of requests in flight that the endpoint reports.
     *
     * @param text the header's value, or null
     * @return the number, at least 0; NaN if the report is absent, malformed or lacks it
     */
    public static double inFlight(String text) {
        if (text == null || text.length() > MAX_CHARACTERS) {
            return Double.NaN;
        }
        try (JsonParser in = EndpointList.JSON.createParser(text)) {
            in.nextToken();
            double inFlight = inFlight(in);
            // Text after the object means that the endpoint is faulty.
            return in.nextToken() == null ? inFlight : Double.NaN;
        } catch (IOException ignored) {
            return Double.NaN;
        }
    }

    /**
     * Reads a report to its end and returns the number of requests in flight; the parser is at the start of its object.
     *
     * @return the number, at least 0; NaN if the value is not an object or lacks it
     * @throws IOException if the object is truncated or malformed
     */
    public static double inFlight(JsonParser in) throws IOException {
        double inFlight = Double.NaN;
        if (in.currentToken() != JsonToken.START_OBJECT) {
            in.skipChildren();
            return inFlight;
        }
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            JsonToken value = in.nextToken();
            if (value == JsonToken.VALUE_NUMBER_INT || value == JsonToken.VALUE_NUMBER_FLOAT) {
                inFlight = name.equals(SETTINGS_KEY) || name.equals(PROTOCOL_KEY) ? in.getDoubleValue() : inFlight;
            } else {
                in.skipChildren();
            }
        }
        if (in.currentToken() != JsonToken.END_OBJECT) {
            throw new IOException("malformed input: the load report ends early");
        }
        return inFlight >= 0 && inFlight < Double.POSITIVE_INFINITY ? inFlight : Double.NaN;
    }
}
