package mulleinfront.benchlink;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import mulleinfront.Balancer.Availability;
import mulleinfront.Balancer.Endpoint;
import mulleinfront.settings.LoadReport;
import mulleinfront.settings.SettingsReader;

/** Reads the events of a batch, grouped by instance, into event objects that are reused for the next batch. */
final class EventReader {
    private final JsonParser in;
    private final List<Event> pool = new ArrayList<>();
    private int eventCount;
    /** Three numbers per group: instance number, index of the first event, index after the last event. */
    private int[] groups = new int[48];

    private int groupCount;

    EventReader(JsonParser in) {
        this.in = in;
    }

    /** The fields of an event; absent fields have the values set by {@link #clear}. */
    static final class Event {
        String type;
        String requestId;
        String endpointId;
        String key;
        String outcome;
        String updateKind;
        long budgetUs;
        long expectedUs;
        long latencyUs;
        long seed;
        int flags;
        int classIndex;
        int tenant;
        int attempt;
        /** Requests in flight at the endpoint by its load report; NaN without one. */
        double inFlight;

        int tableIndex;
        boolean requestDone;
        List<Endpoint> endpoints;
        SettingsReader settings;

        void clear() {
            type = requestId = endpointId = key = outcome = updateKind = null;
            budgetUs = expectedUs = latencyUs = seed = 0;
            flags = classIndex = tenant = attempt = 0;
            tableIndex = -1;
            inFlight = Double.NaN;
            requestDone = false;
            endpoints = List.of();
            settings = null;
        }
    }

    void reset() {
        eventCount = 0;
        groupCount = 0;
    }

    int groups() {
        return groupCount;
    }

    int instance(int group) {
        return groups[3 * group];
    }

    int firstEvent(int group) {
        return groups[3 * group + 1];
    }

    int endEvent(int group) {
        return groups[3 * group + 2];
    }

    Event event(int index) {
        return pool.get(index);
    }

    void readGroups() throws IOException {
        expect(JsonToken.START_ARRAY, "proxys must be an array");
        while (in.nextToken() == JsonToken.START_OBJECT) {
            readGroup();
        }
        expect(JsonToken.END_ARRAY, "proxys must be an array of objects");
    }

    private void readGroup() throws IOException {
        boolean hasNumber = false;
        int number = 0;
        int firstEvent = eventCount;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            if (name.equals("i")) {
                number = in.getIntValue();
                hasNumber = true;
            } else if (name.equals("in")) {
                expect(JsonToken.START_ARRAY, "in must be an array");
                while (in.nextToken() == JsonToken.START_OBJECT) {
                    readEvent();
                }
                expect(JsonToken.END_ARRAY, "in must be an array of objects");
            } else {
                in.skipChildren();
            }
        }
        if (!hasNumber) {
            throw new ProtocolException("an instance must have i");
        }
        if (3 * groupCount + 3 > groups.length) {
            groups = java.util.Arrays.copyOf(groups, 2 * groups.length);
        }
        groups[3 * groupCount] = number;
        groups[3 * groupCount + 1] = firstEvent;
        groups[3 * groupCount + 2] = eventCount;
        groupCount++;
    }

    private void readEvent() throws IOException {
        if (eventCount == pool.size()) {
            pool.add(new Event());
        }
        Event event = pool.get(eventCount++);
        event.clear();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            if (in.nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (name) {
                case "m" -> event.type = in.getText();
                case "xid" -> event.requestId = in.getText();
                case "host" -> event.endpointId = in.getText();
                case "routeKey" -> event.key = in.getText();
                case "outcome" -> event.outcome = in.getText();
                case "how" -> event.updateKind = in.getText();
                case "budgetUs" -> event.budgetUs = in.getLongValue();
                case "expectedUs" -> event.expectedUs = in.getLongValue();
                case "lagUs" -> event.latencyUs = in.getLongValue();
                case "rngSeed" -> event.seed = in.getNumberValue().longValue();
                case "bits" -> event.flags = in.getIntValue();
                case "tierClass" -> event.classIndex = in.getIntValue();
                case "customer" -> event.tenant = in.getIntValue();
                case "hop" -> event.attempt = in.getIntValue();
                case "table" -> event.tableIndex = in.getIntValue();
                case "complete" -> event.requestDone = in.getBooleanValue();
                case "report" -> event.inFlight = LoadReport.inFlight(in);
                case "rowsIn" -> event.endpoints = readEndpoints();
                case "bootInfo" -> event.settings = SettingsReader.read(in);
                default -> in.skipChildren();
            }
        }
    }

    private List<Endpoint> readEndpoints() throws IOException {
        expect(JsonToken.START_ARRAY, "rowsIn must be an array");
        List<Endpoint> endpoints = new ArrayList<>();
        while (in.nextToken() == JsonToken.START_OBJECT) {
            String id = null;
            int zone = 0;
            int cell = 0;
            double weight = 1;
            int kind = 0;
            long startedAtUs = 0;
            Availability availability = Availability.READY;
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                if (in.nextToken() == JsonToken.VALUE_NULL) {
                    continue;
                }
                switch (name) {
                    case "host" -> id = in.getText();
                    case "az" -> zone = in.getIntValue();
                    case "machine" -> kind = in.getIntValue();
                    case "cohort" -> cell = in.getIntValue();
                    case "availability" -> availability = availability(in.getText());
                    case "rating" -> weight = in.getDoubleValue();
                    case "cameUpUs" -> startedAtUs = in.getLongValue();
                    default -> in.skipChildren();
                }
            }
            if (id == null) {
                throw new ProtocolException("CATALOG: a row must have host");
            }
            endpoints.add(new Endpoint(id, zone, cell, kind, availability, weight, startedAtUs));
        }
        expect(JsonToken.END_ARRAY, "rowsIn must be an array of objects");
        return List.copyOf(endpoints);
    }

    private static Availability availability(String text) throws ProtocolException {
        return switch (text) {
            case "Ready" -> Availability.READY;
            case "Terminating" -> Availability.DRAINING;
            case "Gone" -> Availability.GONE;
            default -> throw new ProtocolException("CATALOG: unknown availability " + text);
        };
    }

    private void expect(JsonToken token, String message) throws IOException {
        if (in.currentToken() != token) {
            throw new ProtocolException(message);
        }
    }
}
