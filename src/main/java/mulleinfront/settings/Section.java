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
 * One table of a TOML file, read strictly: every value has its form and unit, ranges run upwards, and a key
 * that nobody asked for is an error. Whatever is wrong is said with file, line and reason.
 */
public final class Section {
    private static final Map<String, Long> UNITS =
            Map.of("us", 1L, "ms", 1_000L, "s", 1_000_000L, "m", 60_000_000L, "h", 3_600_000_000L);

    private final String file;
    private final TomlTable table;
    private final String name;
    private final int line;
    /** The same table of the file that this one stands on; null if it stands on none. */
    private final Section base;

    private final Set<String> asked = new HashSet<>();

    /** Creates a section over a parsed table; {@code base} supplies the values that the table omits, or is null. */
    public Section(String file, TomlTable table, String name, int line, Section base) {
        this.file = file;
        this.table = table;
        this.name = name;
        this.line = line;
        this.base = base;
    }

    /**
     * The whole of a file.
     *
     * @param file how to call it in messages
     * @param base the file that it stands on, or null
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

    /** Whether the file itself says it, rather than the one that it stands on. */
    public boolean statesOwn(String key) {
        return table.contains(List.of(key));
    }

    /** It may be there and does not count: the file says in another way what the one under it says by this. */
    public void markRead(String key) {
        asked.add(key);
    }

    public boolean has(String key) {
        return statesOwn(key) || base != null && base.has(key);
    }

    /** Returns the subtable of this key, which is empty if the file has none. */
    public Section table(String key) throws BadFileException {
        asked.add(key);
        Object value = table.get(List.of(key));
        Section under = base == null ? null : base.table(key);
        if (value == null) {
            return new Section(file, Toml.parse(""), key, line, under);
        }
        if (value instanceof TomlTable t) {
            return new Section(file, t, key, at(key), under);
        }
        throw wrong(key, "must be a table: [" + key + "]");
    }

    /** An array of tables, {@code [[key]]}. */
    public List<Section> tables(String key) throws BadFileException {
        asked.add(key);
        Object value = table.get(List.of(key));
        List<Section> all = new ArrayList<>();
        if (value == null) {
            return base == null ? all : base.tables(key);
        }
        if (!(value instanceof TomlArray array)) {
            throw wrong(key, "must be an array of tables: [[" + key + "]]");
        }
        for (int i = 0; i < array.size(); i++) {
            if (!(array.get(i) instanceof TomlTable)) {
                throw wrong(key, "must be an array of tables: [[" + key + "]]");
            }
            all.add(new Section(
                    file, array.getTable(i), key, array.inputPositionOf(i).line(), null));
        }
        return all;
    }

    /** The same, but none of the file that this one stands on. */
    public List<Section> ownTables(String key) throws BadFileException {
        asked.add(key);
        return statesOwn(key) ? tables(key) : List.of();
    }

    /** Creates, without throwing it, an exception that names the file, the line, the key and the reason. */
    public BadFileException wrong(String key, String reason) {
        if (!statesOwn(key) && base != null && base.has(key)) {
            return base.wrong(key, reason);
        }
        return new BadFileException(
                file + ":" + at(key) + ": " + (name.isEmpty() ? "" : name + ".") + key + ": " + reason);
    }

    public BadFileException wrong(String reason) {
        return new BadFileException(file + ":" + line + ": " + name + ": " + reason);
    }

    private int at(String key) {
        TomlPosition position = table.inputPositionOf(List.of(key));
        return position == null ? line : position.line();
    }

    /** To be called when all is read: whatever is left is a slip of the pen. */
    public void done() throws BadFileException {
        for (String key : table.keySet()) {
            if (!asked.contains(key)) {
                throw wrong(key, "unknown key");
            }
        }
        if (base != null) {
            base.asked.addAll(asked);
            base.done();
        }
    }

    private Object get(String key, boolean needed) throws BadFileException {
        asked.add(key);
        Object value = table.get(List.of(key));
        if (value == null && base != null) {
            value = base.get(key, false);
        }
        if (value == null && needed) {
            throw wrong("missing " + key);
        }
        return value;
    }

    /** Reads a string; a missing key gives {@code absent}, or is an error if that is null. */
    public String text(String key, String absent) throws BadFileException {
        Object value = get(key, absent == null);
        if (value == null) {
            return absent;
        }
        if (value instanceof String s) {
            return s;
        }
        throw wrong(key, "must be a text");
    }

    /** Reads a boolean; a missing key gives {@code absent}. */
    public boolean flag(String key, boolean absent) throws BadFileException {
        Object value = get(key, false);
        if (value == null) {
            return absent;
        }
        if (value instanceof Boolean b) {
            return b;
        }
        throw wrong(key, "must be true or false");
    }

    /** One of some words. */
    public <E extends Enum<E>> E word(String key, E absent, Class<E> words) throws BadFileException {
        String text = text(key, absent == null ? null : form(absent));
        for (E e : words.getEnumConstants()) {
            if (form(e).equals(text)) {
                return e;
            }
        }
        List<String> known = new ArrayList<>();
        for (E e : words.getEnumConstants()) {
            known.add(form(e));
        }
        throw wrong(key, "'" + text + "' is none of " + String.join(", ", known));
    }

    public static String form(Enum<?> word) {
        return word.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }

    /** Reads an array of strings; a missing key gives an empty list. */
    public List<String> texts(String key) throws BadFileException {
        Object value = get(key, false);
        List<String> all = new ArrayList<>();
        if (value == null) {
            return all;
        }
        if (!(value instanceof TomlArray array)) {
            throw wrong(key, "must be a list of texts");
        }
        for (int i = 0; i < array.size(); i++) {
            if (!(array.get(i) instanceof String s)) {
                throw wrong(key, "must be a list of texts");
            }
            all.add(s);
        }
        return all;
    }

    /**
     * Reads an integer of at least {@code least}; a missing key gives {@code absent}, or is an error if that is
     * null.
     */
    public int count(String key, Integer absent, int least) throws BadFileException {
        Object value = get(key, absent == null);
        if (value == null) {
            return absent;
        }
        if (value instanceof Long l && l >= least && l <= 10_000_000) {
            return (int) (long) l;
        }
        throw wrong(key, "must be a whole number, " + least + " or more");
    }

    public double number(String key, Double absent, double least) throws BadFileException {
        Object value = get(key, absent == null);
        return value == null ? absent : plain(key, value, least);
    }

    public Range numbers(String key, Range absent, double least) throws BadFileException {
        return range(key, absent, v -> plain(key, v, least));
    }

    private double plain(String key, Object value, double least) throws BadFileException {
        double d = value instanceof Long l ? l : value instanceof Double f ? f : Double.NaN;
        if (!(d >= least) || Double.isInfinite(d)) {
            throw wrong(
                    key,
                    "must be a plain number, "
                            + BigDecimal.valueOf(least).stripTrailingZeros().toPlainString() + " or more");
        }
        return d;
    }

    /** A time in microseconds: a number with its unit, as "250ms". */
    public long time(String key, Long absent) throws BadFileException {
        Object value = get(key, absent == null);
        return value == null ? absent : Math.round(time(key, value));
    }

    public Range times(String key, Range absent) throws BadFileException {
        return range(key, absent, v -> time(key, v));
    }

    private double time(String key, Object value) throws BadFileException {
        String text = value instanceof String s ? s.strip() : String.valueOf(value);
        int unit = text.length();
        while (unit > 0 && Character.isLetter(text.charAt(unit - 1))) {
            unit--;
        }
        Long factor = UNITS.get(text.substring(unit));
        if (factor == null) {
            throw wrong(key, "'" + text + "' is no time: a number with us, ms, s, m or h, as \"250ms\"");
        }
        return digits(key, text, text.substring(0, unit)) * factor;
    }

    /** A part of 1: a percentage, as "17%". */
    public double share(String key, Double absent, double most) throws BadFileException {
        Object value = get(key, absent == null);
        return value == null ? absent : share(key, value, most);
    }

    public Range shares(String key, Range absent, double most) throws BadFileException {
        return range(key, absent, v -> share(key, v, most));
    }

    private double share(String key, Object value, double most) throws BadFileException {
        String text = value instanceof String s ? s.strip() : String.valueOf(value);
        if (!text.endsWith("%")) {
            throw wrong(key, "'" + text + "' is no share: a percentage, as \"17%\"");
        }
        double part = digits(key, text, text.substring(0, text.length() - 1)) / 100;
        if (part > most) {
            throw wrong(key, "'" + text + "' is more than " + Math.round(most * 100) + "%");
        }
        return part;
    }

    /** Requests a second, as "240/s". */
    public double rate(String key, Double absent) throws BadFileException {
        Object value = get(key, absent == null);
        if (value == null) {
            return absent;
        }
        if (value instanceof String s && s.strip().endsWith("/s")) {
            return digits(key, s, s.strip().substring(0, s.strip().length() - 2));
        }
        throw wrong(key, "'" + value + "' is no rate: a number for each second, as \"240/s\"");
    }

    private double digits(String key, String whole, String number) throws BadFileException {
        try {
            double d = new BigDecimal(number.strip()).doubleValue();
            if (d >= 0 && d <= 1e12) {
                return d;
            }
        } catch (NumberFormatException e) {
            // said below
        }
        throw wrong(key, "'" + whole + "' is no number with its unit");
    }

    /** Converts one TOML value to a number, or rejects it. */
    private interface Reading {
        double of(Object value) throws BadFileException;
    }

    private Range range(String key, Range absent, Reading reading) throws BadFileException {
        Object value = get(key, absent == null);
        if (value == null) {
            return absent;
        }
        if (!(value instanceof TomlArray array)) {
            return Range.of(reading.of(value));
        }
        if (array.size() != 2) {
            throw wrong(key, "a range has two ends, as [\"1ms\", \"2ms\"]");
        }
        Range range = new Range(reading.of(array.get(0)), reading.of(array.get(1)));
        if (range.low() > range.high()) {
            throw wrong(key, "the range is turned round: " + array.get(0) + " is more than " + array.get(1));
        }
        return range;
    }
}
