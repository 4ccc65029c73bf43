package mulleinfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Several customers run the program. The names of their sites occur only in their settings, not in the program. */
class OwnNamesTest {
    /** Classes, tenants, zones and server types of sites that are not in the repository. */
    private static final List<String> EXTERNAL_SITE_NAMES = List.of(
            "ub-factoring",
            "invoice-lookup",
            "advance-payout",
            "invoice-submit",
            "ulaanbaatar",
            "erdenet",
            "darkhan",
            "choibalsan",
            "dalanzadgad",
            "khovd",
            "murun",
            "arvaikheer",
            "ulgii",
            "khan-uul",
            "bayanzurkh",
            "sukhbaatar",
            "new-2core",
            "old-2core",
            "factoring-api",
            "liga-glowna",
            "sklad-odczyt",
            "zakup-kredyty",
            "serwery-gry",
            "warszawa",
            "poznan",
            "krakow",
            "duzy",
            "maly");
    /** Line of a site file with a name or zones. */
    private static final Pattern NAME_OR_ZONES = Pattern.compile("^(?:name|zones) = (.*)$", Pattern.MULTILINE);
    /** A fault in a site file ({@code [[trouble]]}); its name is chosen by the bench, not by the customer. */
    private static final Pattern TROUBLE = Pattern.compile("\\[\\[trouble\\]\\]\\nname = .*");

    private static final Pattern QUOTED = Pattern.compile("\"([^\"]+)\"");

    private static List<Path> files(String root, String ending) throws IOException {
        try (Stream<Path> all = Files.walk(Path.of(root))) {
            return all.filter(p -> p.toString().endsWith(ending)).sorted().toList();
        }
    }

    private static Set<String> siteNames() throws IOException {
        Set<String> names = new TreeSet<>(EXTERNAL_SITE_NAMES);
        for (Path site : files("deploy/sites", ".toml")) {
            Matcher named = NAME_OR_ZONES.matcher(
                    TROUBLE.matcher(Files.readString(site)).replaceAll(""));
            while (named.find()) {
                Matcher quoted = QUOTED.matcher(named.group(1));
                while (quoted.find()) {
                    names.add(quoted.group(1));
                }
            }
        }
        return names;
    }

    @Test
    void programAndDeployFileContainNoSiteNames() throws Exception {
        Set<String> names = siteNames();
        assertTrue(names.containsAll(List.of("cotizar", "muelle-sur", "haku", "lappeenranta")), names.toString());
        List<Path> program = new ArrayList<>(files("src/main", ""));
        program.removeIf(Files::isDirectory);
        program.add(Path.of("deploy/balancer.toml"));
        assertTrue(program.size() > 100, "all source files are read");
        List<String> found = new ArrayList<>();
        for (Path file : program) {
            String text = Files.readString(file);
            for (String name : names) {
                if (Pattern.compile("(?<![\\w-])" + Pattern.quote(name) + "(?![\\w-])")
                        .matcher(text)
                        .find()) {
                    found.add(file + ": " + name);
                }
            }
        }
        assertEquals(List.of(), found);
    }
}
