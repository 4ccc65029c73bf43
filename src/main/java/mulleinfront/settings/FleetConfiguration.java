package mulleinfront.settings;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Pattern;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * The fleet-wide configuration: reads the operators' TOML file into a flat map with dotted keys, and validates it.
 */
public final class FleetConfiguration {
    /** Key of the discovery address; it overrides the address in each client proxy's start-up configuration. */
    public static final String DISCOVERY_KEY = "discovery";
    /** Limit on the characters of all keys and values together: a new subscriber receives this much within 6 s. */
    public static final int MAX_TOTAL_CHARACTERS = 36_000;

    private static final int MAX_KEYS = 5_000;
    private static final int MAX_VALUE_CHARACTERS = 4_096;
    private static final Pattern KEY_PATTERN = Pattern.compile("[A-Za-z0-9_-]+(\\.[A-Za-z0-9_-]+)*");
    private static final int MAX_KEY_CHARACTERS = 200;

    private FleetConfiguration() {}

    /**
     * Reads and validates an operators' file.
     *
     * @throws BadFileException naming file, line and reason
     */
    public static SortedMap<String, String> load(Path file) throws BadFileException {
        return parse(file.toString(), ControlFile.readFile(file));
    }

    static SortedMap<String, String> parse(String file, String text) throws BadFileException {
        TomlParseResult parsed = Toml.parse(text);
        if (parsed.hasErrors()) {
            TomlParseError first = parsed.errors().get(0);
            throw new BadFileException(file + ":" + first.position().line() + ": "
                    + first.getMessage().replace('\n', ' '));
        }
        EntryCollector collector = new EntryCollector(file);
        collector.addTable("", parsed);
        String error = validationError(collector.entries);
        if (error != null) {
            throw new BadFileException(file + ": " + error);
        }
        return collector.entries;
    }

    /** Collects nested tables and arrays as entries with dotted keys; array elements are keyed by index. */
    private static final class EntryCollector {
        final String file;
        final SortedMap<String, String> entries = new TreeMap<>();

        EntryCollector(String file) {
            this.file = file;
        }

        void addTable(String prefix, TomlTable table) throws BadFileException {
            for (String name : table.keySet()) {
                TomlPosition position = table.inputPositionOf(List.of(name));
                int line = position == null ? 1 : position.line();
                if (name.indexOf('.') >= 0) {
                    throw new BadFileException(file + ":" + line + ": " + prefix + name
                            + ": a name with a dot in it can't be told from two");
                }
                addValue(prefix + name, table.get(List.of(name)), line);
            }
        }

        private void addValue(String key, Object value, int line) throws BadFileException {
            if (value instanceof TomlTable table) {
                addTable(key + ".", table);
            } else if (value instanceof TomlArray array) {
                for (int i = 0; i < array.size(); i++) {
                    addValue(
                            key + "." + i,
                            array.get(i),
                            array.inputPositionOf(i).line());
                }
            } else {
                String error = validationError(key, String.valueOf(value));
                if (error != null) {
                    throw new BadFileException(file + ":" + line + ": " + key + ": " + error);
                }
                entries.put(key, String.valueOf(value));
            }
        }
    }

    /** Returns the reason why one entry is invalid, or null if it is valid. */
    private static String validationError(String key, String value) {
        if (key.length() > MAX_KEY_CHARACTERS || !KEY_PATTERN.matcher(key).matches()) {
            return "a key has letters, digits, '_' and '-', with dots between its parts, " + MAX_KEY_CHARACTERS
                    + " at most";
        }
        if (value.length() > MAX_VALUE_CHARACTERS) {
            return "a value has " + MAX_VALUE_CHARACTERS + " characters at most, not " + value.length();
        }
        if (value.chars().anyMatch(c -> Character.isSurrogate((char) c))) {
            return "a character beyond U+FFFF";
        }
        if (key.equals(DISCOVERY_KEY)) {
            try {
                EndpointList.parseAddress(value);
            } catch (IOException e) {
                return e.getMessage();
            }
        }
        return null;
    }

    /** Returns the reason why a configuration is invalid, or null if it is valid. */
    public static String validationError(SortedMap<String, String> entries) {
        if (entries.size() > MAX_KEYS) {
            return MAX_KEYS + " keys at most, not " + entries.size();
        }
        int characters = 0;
        for (Map.Entry<String, String> entry : entries.entrySet()) {
            String error = validationError(entry.getKey(), entry.getValue());
            if (error != null) {
                return entry.getKey() + ": " + error;
            }
            characters += entry.getKey().length() + entry.getValue().length();
        }
        return characters <= MAX_TOTAL_CHARACTERS
                ? null
                : "keys and values have " + MAX_TOTAL_CHARACTERS + " characters at most, not " + characters;
    }
}
