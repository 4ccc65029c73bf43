package mulleinfront.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import mulleinfront.settings.BadFileException;
import mulleinfront.settings.Section;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A scenario file is either read completely or rejected with file, line and reason. */
class ScenarioReaderTest {
    private static String rejectionMessage(String lines) {
        return assertThrows(BadFileException.class, () -> Worlds.of(lines), lines)
                .getMessage();
    }

    /** The lines begin at line 4 of the file; {@code \n} in a case is a line break. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            lenght = "5s"                              | scenarios/test.toml:4: scenario.lenght: unknown key
            length = 5                                 | scenarios/test.toml:4: scenario.length: '5' is not a time
            length = "5"                               | scenarios/test.toml:4: scenario.length: '5' is not a time
            length = "5 minutes"                       | scenarios/test.toml:4: scenario.length: '5 minutes' is not a time
            length = "-5s"                             | scenarios/test.toml:4: scenario.length: '-5s' must be a number with its unit
            length = "0s"                              | scenarios/test.toml:4: scenario.length: must be more than
            length = "five s"                          | scenarios/test.toml:4: scenario.length: 'five s' must be a number with its unit
            length = "5s"\\nlength = "6s"              | scenarios/test.toml:5: length previously defined
            length = 5s                                | scenarios/test.toml:4: Unexpected
            [netwrok]                                  | scenarios/test.toml:4: netwrok: unknown key
            [network]\\nsame = ["2ms", "1ms"]          | scenarios/test.toml:5: network.same: the lower bound 2ms exceeds the upper bound 1ms
            [network]\\nsame = ["2ms"]                 | scenarios/test.toml:5: network.same: a range must have two bounds, such as ["1ms", "2ms"]
            [network]\\nzones = []                     | scenarios/test.toml:4: network: zones must name at least one zone, and none of them twice
            [network]\\nzones = ["a", "a"]             | scenarios/test.toml:4: network: zones must name at least one zone, and none of them twice
            [network]\\nzones = [1]                    | scenarios/test.toml:5: network.zones: must be an array of strings
            [network]\\njitter = 0.2                   | scenarios/test.toml:5: network.jitter: '0.2' is not a share: it must be a percentage, such as "17%"
            [discovery]\\nmode = "dns"                 | scenarios/test.toml:5: discovery.mode: 'dns' is not one of ask, push
            [proxies]\\ncount = 0                      | scenarios/test.toml:5: proxies.count: must be a whole number, 1
            [proxies]\\ncount = 1.5                    | scenarios/test.toml:5: proxies.count: must be a whole number
            [proxies]\\nghosts = 2                     | scenarios/test.toml:5: proxies.ghosts: only a stale list names servers that are gone: it needs known = "stale"
            [clients]\\nhonour = "120%"                | scenarios/test.toml:5: clients.honour: '120%' is more than 100%
            [clients]\\npatience = ["0%", "10%"]       | scenarios/test.toml:5: clients.patience: must be more than
            [clients]\\ndoubling = "yes"               | scenarios/test.toml:5: clients.doubling: must be true or false
            [load]\\nrate = 240                        | scenarios/test.toml:5: load.rate: '240' is not a rate: it must be a number per second, such as "240/s"
            [load]\\nrate = "24/s"\\nof-capacity = "5%" | scenarios/test.toml:5: load.rate: of-capacity already sets the rate: give only one of the two
            [load]\\nend-rate = "24/s"                 | scenarios/test.toml:5: load.end-rate: only allowed with shape = "ramp"
            [load]\\nshape = "wave"                    | scenarios/test.toml:5: load.shape: 'wave' is not one of
            [limits]\\nattempts = 0                    | scenarios/test.toml:5: limits.attempts: must be a whole
            [rules]\\ncold-multiple = 0.5              | scenarios/test.toml:5: rules.cold-multiple: must be a plain
            [service]\\nwhole = "90%"                  | scenarios/test.toml:4: service: the weights add up to 150%, not 100%
            [load]\\nx.y = 1                           | scenarios/test.toml:5: load.x: unknown key
            [[scenario]]                               | scenarios/test.toml:4:
            servers = 3                                | scenarios/test.toml:4: scenario.servers: unknown key
            [servers]                                  | scenarios/test.toml:4: servers: must be an array of tables
            [[servers]]\\nname = "a"\\ncount = 2       | scenarios/test.toml:4: servers: missing cores
            [[servers]]\\nname = "a"\\ncores = 2\\ncount = 2\\nwarm-by = "work" | test.toml:8: servers.warm-by: warm-by = "work" and warm-work must be given together
            [[servers]]\\nname = "a"\\ncores = 2\\ncount = 2\\nspeed = 0 | test.toml:8: servers.speed: must be more than
            [[servers]]\\nname = "a"\\ncores = 2\\ncount = 2\\nerrors = 0.1 | test.toml:8: servers.errors: '0.1' is not a share: it must be a percentage, such as "17%"
            [[class]]\\nname = "a"\\nshare = "50%"\\nwork = "1ms"\\neffect = "safe"\\naim = "1s"\\ndeadline = "2s" | class: the shares of all [[class]] tables add up to 50%, not 100%
            [[class]]\\nname = "a"\\nshare = "100%"\\nwork = "1ms"\\neffect = "safe"\\naim = "3s"\\ndeadline = "2s" | test.toml:9: class.aim: must not be later than the deadline
            [[class]]\\nname = "a"\\nshare = "100%"\\nwork = "1ms"\\neffect = "safe"\\nwindow = "3s" | test.toml:9: class.window: only allowed with effect = "keyed"
            [[class]]\\nname = "a"\\nshare = "100%"\\nwork = "1ms"\\neffect = "twice" | test.toml:8: class.effect: 'twice' is not one of safe, keyed, unsafe
            [[tenant]]\\nname = "a"\\nshare = "50%"    | tenant: the shares of all [[tenant]] tables add up to 50%, not 100%
            [[tenant]]\\nname = "a"\\nshare = "50%"\\n[[tenant]]\\nname = "a" | test.toml:8: tenant.name: duplicate tenant name "a"
            [[fault]]\\ndo = "explode"\\nat = "1s"     | test.toml:5: fault.do: 'explode' is not one of
            [[fault]]\\ndo = "hang"                    | test.toml:4: fault: missing at
            [[fault]]\\ndo = "hang"\\nat = "1s"        | test.toml:4: fault: names no target
            [[fault]]\\ndo = "hang"\\nat = "2h"\\ncount = 1 | test.toml:6: fault.at: must not be after the end of the scenario
            [[fault]]\\ndo = "hang"\\nat = "1s"\\nservers = ["nobody"] | test.toml:7: fault.servers: unknown server "nobody"
            [[fault]]\\ndo = "hang"\\nat = "1s"\\nservers = [] | test.toml:4: fault: names no target
            [[fault]]\\ndo = "hang"\\nat = "1s"\\ncount = 15 | test.toml:7: fault.count: there are only 14 servers
            [[fault]]\\ndo = "hang"\\nat = "1s"\\nzone = "mars" | test.toml:7: fault.zone: unknown zone "mars"
            [[fault]]\\ndo = "hang"\\nat = "1s"\\ncount = 1\\nservers = ["new-1"] | test.toml:8: fault.servers: cannot be combined with count, part or zone
            [[fault]]\\ndo = "slow"\\nat = "1s"\\ncount = 1 | test.toml:4: fault: missing factor
            [[fault]]\\ndo = "slow"\\nat = "1s"\\ncount = 1\\nfactor = 2\\nrate = "5%" | test.toml:9: fault.rate: unknown key
            [[fault]]\\ndo = "drain"\\nat = "1s"\\ncount = 1\\nfor = "2s" | test.toml:8: fault.for: unknown key
            [[fault]]\\ndo = "kill-proxy"\\nat = "1s"  | test.toml:4: fault: names no target
            [[fault]]\\ndo = "kill-proxy"\\nat = "1s"\\nproxy = 5 | test.toml:7: fault.proxy: there are only 5 client proxies, numbered from 0
            [[fault]]\\ndo = "surge"\\nat = "1s"\\nfactor = 2\\ntenant = "paris" | test.toml:8: fault.tenant: unknown tenant "paris"
            [[fault]]\\ndo = "deploy"\\nat = "1s"\\npart = "50%"\\nbatch = "10%" | test.toml:4: fault: a deploy needs
            """)
    void rejectsInvalidLines(String lines, String expected) {
        String message = rejectionMessage(lines.replace("\\n", "\n"));
        assertTrue(message.contains(expected), message);
        assertTrue(message.startsWith("scenarios/") && !message.contains("\n"), message);
    }

    @Test
    void errorsInTheBaseFileNameThatFile() {
        String wrong = assertThrows(
                        BadFileException.class,
                        () -> ScenarioReader.read(
                                "a.toml", "[scenario]\ntitle = \"t\"\nworld = \"b.toml\"\nlength = \"5s\"\n", world ->
                                        new String[] {world, "[network]\nzones = [\"a\"]\n\nsame = 7\n"}))
                .getMessage();
        assertTrue(wrong.startsWith("b.toml:4: network.same: '7' is not a time"), wrong);
        String unknown = assertThrows(
                        BadFileException.class,
                        () -> ScenarioReader.read("a.toml", "[scenario]\ntitle = \"t\"\nworld = \"b.toml\"\n", world ->
                                new String[] {world, Worlds.text("calm.toml") + "\n[extra]\n"}))
                .getMessage();
        assertTrue(unknown.matches("b\\.toml:\\d+: extra: unknown key"), unknown);
        String chain = assertThrows(
                        BadFileException.class,
                        () -> ScenarioReader.read("a.toml", "[scenario]\ntitle = \"t\"\nworld = \"b.toml\"\n", world ->
                                new String[] {world, "[scenario]\nworld = \"c.toml\"\n"}))
                .getMessage();
        assertEquals("a.toml:3: scenario.world: b.toml must not have a base scenario (world) itself", chain);
    }

    @Test
    void scenarioInheritsFromItsBaseFile() throws Exception {
        Scenario world = ScenarioReader.read(Path.of("scenarios/calm.toml"));
        Scenario other = Worlds.of("length = \"5s\"\n[proxies]\ncount = 9\n[load]\nof-capacity = \"50%\"\n");
        assertEquals(9, other.proxies().count());
        assertEquals(world.proxies().spread(), other.proxies().spread());
        assertEquals(world.servers(), other.servers());
        assertEquals(world.classes(), other.classes());
        double work = other.classes().stream()
                .mapToDouble(c -> c.share() * c.workUs())
                .sum();
        assertEquals(0.5, other.load().perSecond() * work / 1e6 / other.capacity(), 1e-9);
        assertEquals(240, world.load().perSecond());
    }

    @Test
    void everyKeyIsDocumented() throws Exception {
        String page = Files.readString(Path.of("docs/emulator.md"));
        Set<String> missing = new TreeSet<>();
        Pattern keys = Pattern.compile(
                "(?:time|timeRange|share|shareRange|number|numberRange|count|rate|string|strings|bool|enumValue"
                        + "|table|tables|ownTables|positiveTime\\(\\s*section,|positiveTime\\(\\s*head,"
                        + "|indexOfName\\(\\s*section,)\\(?\\s*\"([a-z-]+)\"");
        int found = 0;
        for (String source : new String[] {"ScenarioReader", "FaultReader"}) {
            Matcher matcher =
                    keys.matcher(Files.readString(Path.of("src/main/java/mulleinfront/emulator/" + source + ".java")));
            while (matcher.find()) {
                found++;
                if (!page.contains("`" + matcher.group(1) + "`")) {
                    missing.add(matcher.group(1));
                }
            }
        }
        for (Scenario.Kind kind : Scenario.Kind.values()) {
            if (!page.contains("`" + Section.outputName(kind) + "`")) {
                missing.add(Section.outputName(kind));
            }
        }
        assertTrue(found > 80, "only " + found + " keys seen");
        assertEquals(Set.of(), missing);
    }
}
