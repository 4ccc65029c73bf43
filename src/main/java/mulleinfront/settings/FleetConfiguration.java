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

/** The configuration of the whole fleet: the operators' file, and what may be in it. */
public final class FleetConfiguration {
    /** Where all client proxies ask for hosts, in place of what each was told at its start. */
    public static final String DISCOVERY = "discovery";
    /** Characters of all keys and values together: what one that starts with nothing can be sent in 6 s. */
    public static final int MOST_CHARACTERS = 36_000;

    private static final int MOST_KEYS = 5_000;
    private static final int LONGEST_VALUE = 4_096;
    private static final Pattern KEY = Pattern.compile("[A-Za-z0-9_-]+(\\.[A-Za-z0-9_-]+)*");
    private static final int LONGEST_KEY = 200;

    private FleetConfiguration() {}

    /** Reads an operators' file; whatever can't be gone by is said with file, line and reason. */
    public static SortedMap<String, String> load(Path file) throws BadFileException {
        return read(file.toString(), ControlFile.text(file));
    }

    static SortedMap<String, String> read(String file, String text) throws BadFileException {
        TomlParseResult parsed = Toml.parse(text);
        if (parsed.hasErrors()) {
            TomlParseError first = parsed.errors().get(0);
            throw new BadFileException(file + ":" + first.position().line() + ": "
                    + first.getMessage().replace('\n', ' '));
        }
        Flattened all = new Flattened(file);
        all.table("", parsed);
        String wrong = wrong(all.entries);
        if (wrong != null) {
            throw new BadFileException(file + ": " + wrong);
        }
        return all.entries;
    }

    /** Dotted keys of nested tables and lists. */
    private static final class Flattened {
        final String file;
        final SortedMap<String, String> entries = new TreeMap<>();

        Flattened(String file) {
            this.file = file;
        }

        void table(String prefix, TomlTable table) throws BadFileException {
            for (String name : table.keySet()) {
                TomlPosition at = table.inputPositionOf(List.of(name));
                int line = at == null ? 1 : at.line();
                if (name.indexOf('.') >= 0) {
                    throw new BadFileException(file + ":" + line + ": " + prefix + name
                            + ": a name with a dot in it can't be told from two");
                }
                value(prefix + name, table.get(List.of(name)), line);
            }
        }

        private void value(String key, Object value, int line) throws BadFileException {
            if (value instanceof TomlTable t) {
                table(key + ".", t);
            } else if (value instanceof TomlArray a) {
                for (int i = 0; i < a.size(); i++) {
                    value(key + "." + i, a.get(i), a.inputPositionOf(i).line());
                }
            } else {
                String wrong = wrong(key, String.valueOf(value));
                if (wrong != null) {
                    throw new BadFileException(file + ":" + line + ": " + key + ": " + wrong);
                }
                entries.put(key, String.valueOf(value));
            }
        }
    }

    /** What is wrong with one entry; null: nothing. */
    private static String wrong(String key, String value) {
        if (key.length() > LONGEST_KEY || !KEY.matcher(key).matches()) {
            return "a key has letters, digits, '_' and '-', with dots between its parts, " + LONGEST_KEY + " at most";
        }
        if (value.length() > LONGEST_VALUE) {
            return "a value has " + LONGEST_VALUE + " characters at most, not " + value.length();
        }
        if (value.chars().anyMatch(c -> Character.isSurrogate((char) c))) {
            return "a character beyond U+FFFF";
        }
        if (key.equals(DISCOVERY)) {
            try {
                Listing.address(value);
            } catch (IOException e) {
                return e.getMessage();
            }
        }
        return null;
    }

    /** What is wrong with a whole configuration, as it came from somewhere; null: nothing. */
    public static String wrong(SortedMap<String, String> entries) {
        if (entries.size() > MOST_KEYS) {
            return MOST_KEYS + " keys at most, not " + entries.size();
        }
        int characters = 0;
        for (Map.Entry<String, String> e : entries.entrySet()) {
            String wrong = wrong(e.getKey(), e.getValue());
            if (wrong != null) {
                return e.getKey() + ": " + wrong;
            }
            characters += e.getKey().length() + e.getValue().length();
        }
        return characters <= MOST_CHARACTERS
                ? null
                : "keys and values have " + MOST_CHARACTERS + " characters at most, not " + characters;
    }
}
