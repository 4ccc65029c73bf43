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

/** Reads the groups of a batch into events that are used again from batch to batch. */
final class EventReader {
    private final JsonParser in;
    private final List<Event> pool = new ArrayList<>();
    private int size;
    /** Three numbers a group: instance, first event, end of events. */
    private int[] groups = new int[48];

    private int groupCount;

    EventReader(JsonParser in) {
        this.in = in;
    }

    /** The fields of an event; absent ones keep the values of {@link #clear}. */
    static final class Event {
        String type;
        String requestId;
        String host;
        String key;
        String outcome;
        String how;
        long budgetUs;
        long expectedUs;
        long lagUs;
        long seed;
        int bits;
        int classIndex;
        int tenant;
        int attempt;
        /** Requests that the host says it holds; NaN if it does not say. */
        double held;

        int table;
        boolean complete;
        List<Endpoint> rows;
        SettingsReader settings;

        void clear() {
            type = requestId = host = key = outcome = how = null;
            budgetUs = expectedUs = lagUs = seed = 0;
            bits = classIndex = tenant = attempt = 0;
            table = -1;
            held = Double.NaN;
            complete = false;
            rows = List.of();
            settings = null;
        }
    }

    void reset() {
        size = 0;
        groupCount = 0;
    }

    int groups() {
        return groupCount;
    }

    int instance(int group) {
        return groups[3 * group];
    }

    int from(int group) {
        return groups[3 * group + 1];
    }

    int to(int group) {
        return groups[3 * group + 2];
    }

    Event event(int i) {
        return pool.get(i);
    }

    void readGroups() throws IOException {
        expect(JsonToken.START_ARRAY, "proxys must be an array");
        while (in.nextToken() == JsonToken.START_OBJECT) {
            readGroup();
        }
        expect(JsonToken.END_ARRAY, "proxys must hold objects");
    }

    private void readGroup() throws IOException {
        boolean named = false;
        int number = 0;
        int from = size;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            if (name.equals("i")) {
                number = in.getIntValue();
                named = true;
            } else if (name.equals("in")) {
                expect(JsonToken.START_ARRAY, "in must be an array");
                while (in.nextToken() == JsonToken.START_OBJECT) {
                    readEvent();
                }
                expect(JsonToken.END_ARRAY, "in must hold objects");
            } else {
                in.skipChildren();
            }
        }
        if (!named) {
            throw new WireException("an instance without i");
        }
        if (3 * groupCount + 3 > groups.length) {
            groups = java.util.Arrays.copyOf(groups, 2 * groups.length);
        }
        groups[3 * groupCount] = number;
        groups[3 * groupCount + 1] = from;
        groups[3 * groupCount + 2] = size;
        groupCount++;
    }

    private void readEvent() throws IOException {
        if (size == pool.size()) {
            pool.add(new Event());
        }
        Event e = pool.get(size++);
        e.clear();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            if (in.nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (name) {
                case "m" -> e.type = in.getText();
                case "xid" -> e.requestId = in.getText();
                case "host" -> e.host = in.getText();
                case "routeKey" -> e.key = in.getText();
                case "outcome" -> e.outcome = in.getText();
                case "how" -> e.how = in.getText();
                case "budgetUs" -> e.budgetUs = in.getLongValue();
                case "expectedUs" -> e.expectedUs = in.getLongValue();
                case "lagUs" -> e.lagUs = in.getLongValue();
                case "rngSeed" -> e.seed = in.getNumberValue().longValue();
                case "bits" -> e.bits = in.getIntValue();
                case "tierClass" -> e.classIndex = in.getIntValue();
                case "customer" -> e.tenant = in.getIntValue();
                case "hop" -> e.attempt = in.getIntValue();
                case "table" -> e.table = in.getIntValue();
                case "complete" -> e.complete = in.getBooleanValue();
                case "report" -> e.held = LoadReport.held(in);
                case "rowsIn" -> e.rows = readRows();
                case "bootInfo" -> e.settings = SettingsReader.read(in);
                default -> in.skipChildren();
            }
        }
    }

    private List<Endpoint> readRows() throws IOException {
        expect(JsonToken.START_ARRAY, "rowsIn must be an array");
        List<Endpoint> rows = new ArrayList<>();
        while (in.nextToken() == JsonToken.START_OBJECT) {
            String host = null;
            int zone = 0;
            int cell = 0;
            double weight = 1;
            int kind = 0;
            long startedAt = 0;
            Availability availability = Availability.READY;
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                if (in.nextToken() == JsonToken.VALUE_NULL) {
                    continue;
                }
                switch (name) {
                    case "host" -> host = in.getText();
                    case "az" -> zone = in.getIntValue();
                    case "machine" -> kind = in.getIntValue();
                    case "cohort" -> cell = in.getIntValue();
                    case "availability" -> availability = availability(in.getText());
                    case "rating" -> weight = in.getDoubleValue();
                    case "cameUpUs" -> startedAt = in.getLongValue();
                    default -> in.skipChildren();
                }
            }
            if (host == null) {
                throw new WireException("CATALOG: a row without host");
            }
            rows.add(new Endpoint(host, zone, cell, kind, availability, weight, startedAt));
        }
        expect(JsonToken.END_ARRAY, "rowsIn must hold objects");
        return List.copyOf(rows);
    }

    private static Availability availability(String word) throws WireException {
        return switch (word) {
            case "Ready" -> Availability.READY;
            case "Terminating" -> Availability.DRAINING;
            case "Gone" -> Availability.GONE;
            default -> throw new WireException("CATALOG: unknown availability " + word);
        };
    }

    private void expect(JsonToken token, String otherwise) throws IOException {
        if (in.currentToken() != token) {
            throw new WireException(otherwise);
        }
    }
}
