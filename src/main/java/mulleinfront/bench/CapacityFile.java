package mulleinfront.bench;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mulleinfront.capacity.Capacity;
import mulleinfront.capacity.Estimate;
import mulleinfront.capacity.Fit;
import mulleinfront.capacity.Requirement;
import mulleinfront.capacity.Row;
import mulleinfront.capacity.Size;
import mulleinfront.capacity.Slope;
import mulleinfront.settings.BadFileException;

/**
 * Reads and writes docs/capacity.json: the size, the measured slopes, the rows and the mechanisms, one entry a line.
 */
public final class CapacityFile {
    private static final JsonFactory JSON = new JsonFactory();

    private final Path file;

    private CapacityFile(Path file) {
        this.file = file;
    }

    /** @throws BadFileException with file, line and reason if the file is invalid */
    public static Capacity read(Path file) throws BadFileException {
        return new CapacityFile(file).read();
    }

    private Capacity read() throws BadFileException {
        JsonObject root;
        try (JsonParser in = JSON.createParser(Files.readAllBytes(file))) {
            in.nextToken();
            if (!(value(in) instanceof JsonObject entry) || in.nextToken() != null) {
                throw new BadFileException(file + ": must contain exactly one JSON object");
            }
            root = entry;
        } catch (JsonProcessingException e) {
            throw new BadFileException(file + ":"
                    + (e.getLocation() == null ? 1 : e.getLocation().getLineNr()) + ": " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new BadFileException(file + ": can't be read");
        }
        Map<String, Double> size = new LinkedHashMap<>();
        JsonObject given = root.object("size");
        for (String name : given.names()) {
            size.put(name, given.number(name));
        }
        List<Slope> slopes = new ArrayList<>();
        for (JsonObject entry : root.objects("slopes")) {
            List<Fit.Point> points = new ArrayList<>();
            for (Object element : entry.list("points")) {
                if (!(element instanceof List<?> pair
                        && pair.size() == 2
                        && pair.get(0) instanceof Double x
                        && pair.get(1) instanceof Double y)) {
                    throw entry.error("points must be pairs of a size and a value");
                }
                points.add(new Fit.Point(x, y));
            }
            slopes.add(entry.build(() -> new Slope(
                    entry.text("id"),
                    entry.text("what"),
                    entry.text("unit"),
                    entry.text("per"),
                    points,
                    entry.text("command"))));
        }
        List<Row> rows = new ArrayList<>();
        for (JsonObject entry : root.objects("rows")) {
            List<Row.Cell> cells = new ArrayList<>();
            for (JsonObject cellEntry : entry.objects("cells")) {
                cells.add(cell(cellEntry));
            }
            rows.add(new Row(
                    entry.text("role"), entry.text("part"), entry.text("when"), entry.text("mechanism"), cells));
            entry.rejectUnknownKeys();
        }
        List<Requirement> needs = new ArrayList<>();
        for (JsonObject entry : root.objects("needs")) {
            needs.add(
                    new Requirement(entry.text("name"), entry.text("rows"), entry.texts("faults"), entry.text("why")));
            entry.rejectUnknownKeys();
        }
        root.has("figures"); // Written for people; computed again when the file is read.
        root.rejectUnknownKeys();
        return root.build(() -> new Capacity(new Size(size), slopes, rows, needs));
    }

    private static Row.Cell cell(JsonObject cellEntry) throws BadFileException {
        List<Row.Term> terms = new ArrayList<>();
        for (JsonObject entry : cellEntry.has("terms") ? cellEntry.objects("terms") : List.<JsonObject>of()) {
            terms.add(new Row.Term(
                    entry.text("slope"), entry.text("at"), entry.has("times") ? entry.texts("times") : List.of()));
            entry.rejectUnknownKeys();
        }
        Row.Cell cell = cellEntry.build(() -> new Row.Cell(
                Row.Measure.of(cellEntry.text("measure")),
                terms,
                cellEntry.has("budget") ? cellEntry.text("budget") : null,
                cellEntry.has("source") ? cellEntry.text("source") : null,
                cellEntry.has("given") ? cellEntry.number("given") : Double.NaN));
        if (!Double.isNaN(cell.given()) && (cell.source() == null)) {
            throw cellEntry.error("a given value needs a source");
        }
        cellEntry.rejectUnknownKeys();
        return cell;
    }

    /** Writes the whole file, including the values computed from the rows. */
    public static void write(Path file, Capacity capacity) throws IOException {
        Files.writeString(file, text(capacity));
    }

    static String text(Capacity capacity) throws IOException {
        List<String> slopes = new ArrayList<>();
        for (Slope slope : capacity.slopes()) {
            slopes.add(object(out -> {
                out.writeStringField("id", slope.id());
                out.writeStringField("what", slope.what());
                out.writeStringField("unit", slope.unit());
                out.writeStringField("per", slope.per());
                out.writeArrayFieldStart("points");
                for (Fit.Point point : slope.points()) {
                    out.writeStartArray();
                    number(out, point.x());
                    number(out, point.y());
                    out.writeEndArray();
                }
                out.writeEndArray();
                out.writeStringField("command", slope.command());
            }));
        }
        List<String> rows = new ArrayList<>();
        for (Row row : capacity.rows()) {
            rows.add(object(out -> {
                out.writeStringField("role", row.role());
                out.writeStringField("part", row.part());
                out.writeStringField("when", row.when());
                out.writeStringField("mechanism", row.mechanism());
                out.writeArrayFieldStart("cells");
                for (Row.Cell cell : row.cells()) {
                    cell(out, cell);
                }
                out.writeEndArray();
            }));
        }
        List<String> needs = new ArrayList<>();
        for (Requirement need : capacity.requirements()) {
            needs.add(object(out -> {
                out.writeStringField("name", need.name());
                out.writeStringField("rows", need.rows());
                texts(out, "faults", need.faults());
                out.writeStringField("why", need.why());
            }));
        }
        List<String> figures = new ArrayList<>();
        for (Estimate figure : capacity.estimates()) {
            figures.add(object(out -> {
                out.writeStringField(
                        "row",
                        figure.row().role() + ", " + figure.row().part() + ", "
                                + figure.row().when());
                out.writeStringField("measure", figure.cell().measure().outputName());
                out.writeStringField("unit", figure.cell().measure().unit());
                out.writeFieldName("value");
                number(out, figure.value());
                out.writeFieldName("budget");
                number(out, figure.budget());
                out.writeFieldName("over");
                out.writeBoolean(figure.isOverBudget());
            }));
        }
        return "{\n\"size\": "
                + object(out -> {
                    for (var size : capacity.size().given().entrySet()) {
                        out.writeFieldName(size.getKey());
                        number(out, size.getValue());
                    }
                })
                + ",\n" + array("slopes", slopes) + ",\n" + array("rows", rows) + ",\n" + array("needs", needs)
                + ",\n"
                + array("figures", figures) + "\n}\n";
    }

    private static void cell(JsonGenerator out, Row.Cell cell) throws IOException {
        out.writeStartObject();
        out.writeStringField("measure", cell.measure().outputName());
        if (!cell.terms().isEmpty()) {
            out.writeArrayFieldStart("terms");
            for (Row.Term term : cell.terms()) {
                out.writeStartObject();
                out.writeStringField("slope", term.slope());
                out.writeStringField("at", term.at());
                if (!term.times().isEmpty()) {
                    texts(out, "times", term.times());
                }
                out.writeEndObject();
            }
            out.writeEndArray();
        }
        if (!Double.isNaN(cell.given())) {
            out.writeFieldName("given");
            number(out, cell.given());
        }
        if (cell.budget() != null) {
            out.writeStringField("budget", cell.budget());
        }
        if (cell.source() != null) {
            out.writeStringField("source", cell.source());
        }
        out.writeEndObject();
    }

    private static void texts(JsonGenerator out, String name, List<String> all) throws IOException {
        out.writeArrayFieldStart(name);
        for (String text : all) {
            out.writeString(text);
        }
        out.writeEndArray();
    }

    /** Writes a number in its shortest form, and null for an unknown one. */
    private static void number(JsonGenerator out, double value) throws IOException {
        if (!Double.isFinite(value)) {
            out.writeNull();
        } else if (value == Math.rint(value) && Math.abs(value) < 1e15) {
            out.writeNumber((long) value);
        } else {
            out.writeNumber(value);
        }
    }

    private static String array(String name, List<String> lines) {
        return "\"" + name + "\": [\n" + String.join(",\n", lines) + "\n]";
    }

    /** Writes the fields of one JSON object. */
    private interface Fields {
        void write(JsonGenerator out) throws IOException;
    }

    private static String object(Fields fields) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            fields.write(out);
            out.writeEndObject();
        }
        return text.toString();
    }

    // ---- reading -------------------------------------------------------------------------------------

    private Object value(JsonParser in) throws IOException {
        switch (in.currentToken()) {
            case START_OBJECT -> {
                JsonObject table = new JsonObject(in.currentLocation().getLineNr());
                while (in.nextToken() == JsonToken.FIELD_NAME) {
                    String name = in.currentName();
                    in.nextToken();
                    table.fields.put(name, value(in));
                }
                return table;
            }
            case START_ARRAY -> {
                List<Object> all = new ArrayList<>();
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    all.add(value(in));
                }
                return all;
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> {
                return in.getDoubleValue();
            }
            case VALUE_STRING -> {
                return in.getText();
            }
            default -> {
                return "";
            }
        }
    }

    /** Builds an object from the fields of a JSON object. */
    private interface Builder<T> {
        T build() throws BadFileException;
    }

    /** A JSON object of the file, with the line where it begins and the keys read so far. */
    private final class JsonObject {
        private final int line;
        private final Map<String, Object> fields = new LinkedHashMap<>();
        private final Set<String> readKeys = new HashSet<>();

        JsonObject(int line) {
            this.line = line;
        }

        BadFileException error(String message) {
            return new BadFileException(file + ":" + line + ": " + message);
        }

        <T> T build(Builder<T> builder) throws BadFileException {
            try {
                return builder.build();
            } catch (IllegalArgumentException e) {
                throw error(e.getMessage());
            }
        }

        Set<String> names() {
            return fields.keySet();
        }

        boolean has(String name) {
            readKeys.add(name);
            return fields.containsKey(name);
        }

        String text(String name) throws BadFileException {
            if (has(name) && fields.get(name) instanceof String text) {
                return text;
            }
            throw error(name + " must be a string");
        }

        double number(String name) throws BadFileException {
            if (has(name) && fields.get(name) instanceof Double number) {
                return number;
            }
            throw error(name + " must be a number");
        }

        JsonObject object(String name) throws BadFileException {
            if (has(name) && fields.get(name) instanceof JsonObject entry) {
                return entry;
            }
            throw error(name + " must be an object");
        }

        List<?> list(String name) throws BadFileException {
            if (has(name) && fields.get(name) instanceof List<?> list) {
                return list;
            }
            throw error(name + " must be an array");
        }

        List<JsonObject> objects(String name) throws BadFileException {
            List<JsonObject> all = new ArrayList<>();
            for (Object element : list(name)) {
                if (!(element instanceof JsonObject entry)) {
                    throw error(name + " must contain only objects");
                }
                all.add(entry);
            }
            return all;
        }

        List<String> texts(String name) throws BadFileException {
            List<String> all = new ArrayList<>();
            for (Object element : list(name)) {
                if (!(element instanceof String text)) {
                    throw error(name + " must contain only strings");
                }
                all.add(text);
            }
            return all;
        }

        void rejectUnknownKeys() throws BadFileException {
            for (String name : fields.keySet()) {
                if (!readKeys.contains(name)) {
                    throw error("unknown key " + name);
                }
            }
        }
    }
}
