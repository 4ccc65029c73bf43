package mulleinfront.settings;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * One table of a TOML file, read strictly: values need the right type and unit, the lower bound of a range must not
 * exceed the upper one, and unknown keys are errors. Every error names file, line and reason.
 */
public final class Section {
    private static final Map<String, Long> MICROS_PER_UNIT =
            Map.of("us", 1L, "ms", 1_000L, "s", 1_000_000L, "m", 60_000_000L, "h", 3_600_000_000L);

    private final String file;
    private final TomlTable table;
    private final String name;
    private final int line;
    /** The corresponding table of the base file, which supplies omitted values; null if there is none. */
    private final Section base;

    private final Set<String> readKeys = new HashSet<>();

    /** Creates a section over a parsed table; {@code base} supplies the values that the table omits, or is null. */
    public Section(String file, TomlTable table, String name, int line, Section base) {
        this.file = file;
        this.table = table;
        this.name = name;
        this.line = line;
        this.base = base;
    }

    /**
     * Parses a file and returns its root table.
     *
     * @param file file name for error messages
     * @param base root table of the base file, which supplies omitted values; may be null
     */
    public static Section root(String file, String text, Section base) throws BadFileException {
        TomlParseResult parsed = Toml.parse(text);
        if (parsed.hasErrors()) {
            TomlParseError first = parsed.errors().get(0);
            throw new BadFileException(file + ":" + first.position().line() + ": "
                    + first.getMessage().replace('\n', ' '));
        }
        return new Section(file, parsed, "", 1, base);
    }

    /** Returns whether the file itself has this key, regardless of the base file. */
    public boolean statesOwn(String key) {
        return table.contains(List.of(key));
    }

    /** Marks a key as known without using its value, for a base file's key that this file replaces with another key. */
    public void markRead(String key) {
        readKeys.add(key);
    }

    public boolean has(String key) {
        return statesOwn(key) || base != null && base.has(key);
    }

    /** Returns the subtable of this key, which is empty if the file has none. */
    public Section table(String key) throws BadFileException {
        readKeys.add(key);
        Object value = table.get(List.of(key));
        Section baseTable = base == null ? null : base.table(key);
        if (value == null) {
            return new Section(file, Toml.parse(""), key, line, baseTable);
        }
        if (value instanceof TomlTable subtable) {
            return new Section(file, subtable, key, lineOf(key), baseTable);
        }
        throw error(key, "must be a table: [" + key + "]");
    }

    /** Reads an array of tables, {@code [[key]]}; a missing array is taken from the base file. */
    public List<Section> tables(String key) throws BadFileException {
        readKeys.add(key);
        Object value = table.get(List.of(key));
        List<Section> sections = new ArrayList<>();
        if (value == null) {
            return base == null ? sections : base.tables(key);
        }
        if (!(value instanceof TomlArray array)) {
            throw error(key, "must be an array of tables: [[" + key + "]]");
        }
        for (int i = 0; i < array.size(); i++) {
            if (!(array.get(i) instanceof TomlTable)) {
                throw error(key, "must be an array of tables: [[" + key + "]]");
            }
            sections.add(new Section(
                    file, array.getTable(i), key, array.inputPositionOf(i).line(), null));
        }
        return sections;
    }

    /** Reads an array of tables from this file only, ignoring the base file. */
    public List<Section> ownTables(String key) throws BadFileException {
        readKeys.add(key);
        return statesOwn(key) ? tables(key) : List.of();
    }

    /** Creates, without throwing it, an exception that names the file, the line, the key and the reason. */
    public BadFileException error(String key, String reason) {
        if (!statesOwn(key) && base != null && base.has(key)) {
            return base.error(key, reason);
        }
        return new BadFileException(
                file + ":" + lineOf(key) + ": " + (name.isEmpty() ? "" : name + ".") + key + ": " + reason);
    }

    public BadFileException error(String reason) {
        return new BadFileException(file + ":" + line + ": " + name + ": " + reason);
    }

    private int lineOf(String key) {
        TomlPosition position = table.inputPositionOf(List.of(key));
        return position == null ? line : position.line();
    }

    /**
     * Rejects unknown keys, which are probably misspelled, in this table and the base table. Call it after all keys
     * have been read.
     */
    public void rejectUnknownKeys() throws BadFileException {
        for (String key : table.keySet()) {
            if (!readKeys.contains(key)) {
                throw error(key, "unknown key");
            }
        }
        if (base != null) {
            base.readKeys.addAll(readKeys);
            base.rejectUnknownKeys();
        }
    }

    private Object get(String key, boolean required) throws BadFileException {
        readKeys.add(key);
        Object value = table.get(List.of(key));
        if (value == null && base != null) {
            value = base.get(key, false);
        }
        if (value == null && required) {
            throw error("missing " + key);
        }
        return value;
    }

    /** Reads a string; a missing key gives {@code defaultValue}, or is an error if that is null. */
    public String string(String key, String defaultValue) throws BadFileException {
        Object value = get(key, defaultValue == null);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof String string) {
            return string;
        }
        throw error(key, "must be a string");
    }

    /** Reads a boolean; a missing key gives {@code defaultValue}. */
    public boolean bool(String key, boolean defaultValue) throws BadFileException {
        Object value = get(key, false);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw error(key, "must be true or false");
    }

    /**
     * Reads an enum constant by its output name; a missing key gives {@code defaultValue}, or is an error if that is
     * null.
     */
    public <E extends Enum<E>> E enumValue(String key, E defaultValue, Class<E> type) throws BadFileException {
        String text = string(key, defaultValue == null ? null : outputName(defaultValue));
        for (E constant : type.getEnumConstants()) {
            if (outputName(constant).equals(text)) {
                return constant;
            }
        }
        List<String> names = new ArrayList<>();
        for (E constant : type.getEnumConstants()) {
            names.add(outputName(constant));
        }
        throw error(key, "'" + text + "' is not one of " + String.join(", ", names));
    }

    /** Returns the output name of an enum constant: lower case, with hyphens. */
    public static String outputName(Enum<?> constant) {
        return constant.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }

    /** Reads an array of strings; a missing key gives an empty list. */
    public List<String> strings(String key) throws BadFileException {
        Object value = get(key, false);
        List<String> strings = new ArrayList<>();
        if (value == null) {
            return strings;
        }
        if (!(value instanceof TomlArray array)) {
            throw error(key, "must be an array of strings");
        }
        for (int i = 0; i < array.size(); i++) {
            if (!(array.get(i) instanceof String string)) {
                throw error(key, "must be an array of strings");
            }
            strings.add(string);
        }
        return strings;
    }

    /**
     * Reads an integer of at least {@code min}; a missing key gives {@code defaultValue}, or is an error if that is
     * null.
     */
    public int count(String key, Integer defaultValue, int min) throws BadFileException {
        Object value = get(key, defaultValue == null);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Long whole && whole >= min && whole <= 10_000_000) {
            return (int) (long) whole;
        }
        throw error(key, "must be a whole number, " + min + " or more");
    }

    public double number(String key, Double defaultValue, double min) throws BadFileException {
        Object value = get(key, defaultValue == null);
        return value == null ? defaultValue : plainNumber(key, value, min);
    }

    public Range numberRange(String key, Range defaultValue, double min) throws BadFileException {
        return range(key, defaultValue, v -> plainNumber(key, v, min));
    }

    private double plainNumber(String key, Object value, double min) throws BadFileException {
        double number = value instanceof Long whole ? whole : value instanceof Double decimal ? decimal : Double.NaN;
        if (!(number >= min) || Double.isInfinite(number)) {
            throw error(
                    key,
                    "must be a plain number, "
                            + BigDecimal.valueOf(min).stripTrailingZeros().toPlainString() + " or more");
        }
        return number;
    }

    /** Reads a duration in microseconds, written with its unit, such as "250ms". */
    public long time(String key, Long defaultValue) throws BadFileException {
        Object value = get(key, defaultValue == null);
        return value == null ? defaultValue : Math.round(time(key, value));
    }

    public Range timeRange(String key, Range defaultValue) throws BadFileException {
        return range(key, defaultValue, v -> time(key, v));
    }

    private double time(String key, Object value) throws BadFileException {
        String text = value instanceof String string ? string.strip() : String.valueOf(value);
        int unitStart = text.length();
        while (unitStart > 0 && Character.isLetter(text.charAt(unitStart - 1))) {
            unitStart--;
        }
        Long factor = MICROS_PER_UNIT.get(text.substring(unitStart));
        if (factor == null) {
            throw error(
                    key, "'" + text + "' is not a time: it must be a number with us, ms, s, m or h, such as \"250ms\"");
        }
        return parseNumber(key, text, text.substring(0, unitStart)) * factor;
    }

    /** Reads a fraction of 1, written as a percentage, such as "17%". */
    public double share(String key, Double defaultValue, double max) throws BadFileException {
        Object value = get(key, defaultValue == null);
        return value == null ? defaultValue : share(key, value, max);
    }

    public Range shareRange(String key, Range defaultValue, double max) throws BadFileException {
        return range(key, defaultValue, v -> share(key, v, max));
    }

    private double share(String key, Object value, double max) throws BadFileException {
        String text = value instanceof String string ? string.strip() : String.valueOf(value);
        if (!text.endsWith("%")) {
            throw error(key, "'" + text + "' is not a share: it must be a percentage, such as \"17%\"");
        }
        double fraction = parseNumber(key, text, text.substring(0, text.length() - 1)) / 100;
        if (fraction > max) {
            throw error(key, "'" + text + "' is more than " + Math.round(max * 100) + "%");
        }
        return fraction;
    }

    /** Reads a rate per second, written as "240/s". */
    public double rate(String key, Double defaultValue) throws BadFileException {
        Object value = get(key, defaultValue == null);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof String text && text.strip().endsWith("/s")) {
            return parseNumber(key, text, text.strip().substring(0, text.strip().length() - 2));
        }
        throw error(key, "'" + value + "' is not a rate: it must be a number per second, such as \"240/s\"");
    }

    private double parseNumber(String key, String original, String number) throws BadFileException {
        try {
            double parsed = new BigDecimal(number.strip()).doubleValue();
            if (parsed >= 0 && parsed <= 1e12) {
                return parsed;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw error(key, "'" + original + "' must be a number with its unit");
    }

    /** Converts one TOML value to a number, or rejects it. */
    private interface ValueParser {
        double parse(Object value) throws BadFileException;
    }

    private Range range(String key, Range defaultValue, ValueParser parser) throws BadFileException {
        Object value = get(key, defaultValue == null);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof TomlArray array)) {
            return Range.of(parser.parse(value));
        }
        if (array.size() != 2) {
            throw error(key, "a range must have two bounds, such as [\"1ms\", \"2ms\"]");
        }
        Range range = new Range(parser.parse(array.get(0)), parser.parse(array.get(1)));
        if (range.low() > range.high()) {
            throw error(key, "the lower bound " + array.get(0) + " exceeds the upper bound " + array.get(1));
        }
        return range;
    }
}
