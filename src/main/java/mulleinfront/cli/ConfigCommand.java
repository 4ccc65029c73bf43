package mulleinfront.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.net.URI;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.Callable;
import mulleinfront.config.Difference;
import mulleinfront.config.Proposal;
import mulleinfront.config.Version;
import mulleinfront.settings.BadFileException;
import mulleinfront.settings.ControlFile;
import mulleinfront.settings.DifferenceLine;
import mulleinfront.settings.FleetConfiguration;
import mulleinfront.settings.WatchLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code config}: the fleet's configuration: looked at, proposed, and who is at what. */
@Command(
        name = "config",
        mixinStandardHelpOptions = true,
        subcommands = {
            ConfigCommand.Check.class,
            ConfigCommand.Propose.class,
            ConfigCommand.Status.class,
            ConfigCommand.History.class
        },
        description = "The configuration of the whole fleet, which the control machines decide and hand out.")
final class ConfigCommand implements Runnable {
    /** Somebody is behind, or a control machine is not there. */
    static final int BEHIND = 6;
    /** It was not decided: another version was since, say. */
    static final int REFUSED = 7;
    /** Nobody can say whether it was decided. */
    static final int UNKNOWN = 8;

    private static final JsonFactory JSON = new JsonFactory();

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }

    /** {@code config check}. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Reads a file of the fleet's configuration as a proposal would.",
            footer = {"", "Exit codes: 0 it can be proposed, 2 it can't (one line with file, line and reason)."})
    static final class Check implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "TOML")
        private Path file;

        @Override
        public Integer call() throws BadFileException {
            SortedMap<String, String> entries = FleetConfiguration.load(file);
            int bytes = DifferenceLine.write(Difference.whole(new Version(1, entries, "", 0))).length;
            spec.commandLine()
                    .getOut()
                    .printf(
                            Locale.ROOT,
                            "%s: %d keys; the whole is %d bytes on the way to one that" + " starts with nothing%n",
                            file,
                            entries.size(),
                            bytes);
            spec.commandLine().getOut().flush();
            return CommandLine.KEPT;
        }
    }

    /** What asks control machines. */
    abstract static class Asking implements Callable<Integer> {
        @Spec
        CommandSpec spec;

        @Option(
                names = "--config",
                paramLabel = "FILE",
                defaultValue = "deploy/control.toml",
                description = "where the control machines are (default ${DEFAULT-VALUE})")
        Path config;

        PrintWriter out() {
            return spec.commandLine().getOut();
        }

        /** Asks one; a body is a POST. Throws if it does not answer in words. */
        static Map<String, Object> ask(ControlFile.Machine machine, String call, byte[] body, int patienceMs)
                throws IOException {
            InetSocketAddress door = machine.clientAddress();
            String host = door.getAddress().getHostAddress();
            URI at = URI.create(
                    "http://" + (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + door.getPort() + call);
            HttpURLConnection http = (HttpURLConnection) at.toURL().openConnection(Proxy.NO_PROXY);
            try {
                http.setConnectTimeout(1_000);
                http.setReadTimeout(patienceMs);
                if (body != null) {
                    http.setDoOutput(true);
                    http.setRequestMethod("POST");
                    http.getOutputStream().write(body);
                }
                boolean well = http.getResponseCode() == 200;
                try (JsonParser in = JSON.createParser(well ? http.getInputStream() : http.getErrorStream())) {
                    in.nextToken();
                    return object(in);
                }
            } finally {
                http.disconnect();
            }
        }

        private static Map<String, Object> object(JsonParser in) throws IOException {
            if (in.currentToken() != JsonToken.START_OBJECT) {
                throw new IOException("it does not answer as a control machine");
            }
            Map<String, Object> map = new HashMap<>();
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                if (in.nextToken() == JsonToken.START_ARRAY) {
                    List<Map<String, Object>> list = new ArrayList<>();
                    while (in.nextToken() == JsonToken.START_OBJECT) {
                        list.add(object(in));
                    }
                    map.put(name, list);
                } else {
                    map.put(name, in.getText());
                }
            }
            return map;
        }

        @SuppressWarnings("unchecked") // object() stores a JSON array only as a list of such maps
        static List<Map<String, Object>> list(Map<String, Object> map, String name) {
            return (List<Map<String, Object>>) map.getOrDefault(name, List.of());
        }

        static long number(Map<String, Object> map, String name) {
            return Long.parseLong(String.valueOf(map.getOrDefault(name, "0")));
        }
    }

    /** {@code config propose}. */
    @Command(
            name = "propose",
            mixinStandardHelpOptions = true,
            description = "Has a file decided as the next version, in force at all client proxies.",
            footer = {
                "",
                "Exit codes: 0 decided; 2 bad input; 7 refused; 8 unknown (ask again with the --id that it"
                        + " says); 1 no control machine answers."
            })
    static final class Propose extends Asking {
        private static final int PATIENCE_MS = 4_000;
        private static final long GIVE_UP_MS = 12_000;
        private static final long AGAIN_MS = 200;

        @Parameters(paramLabel = "FILE", description = "TOML, the whole")
        private Path file;

        @Option(names = "--why", required = true, paramLabel = "TEXT", description = "one line for people")
        private String why;

        @Option(
                names = "--based-on",
                paramLabel = "N",
                defaultValue = "-1",
                description = "refused if another version than this is the newest")
        private long basedOn;

        @Option(names = "--id", paramLabel = "ID", description = "of a proposal that may have been decided already")
        private String id;

        @Override
        public Integer call() throws BadFileException, IOException, InterruptedException {
            SortedMap<String, String> entries = FleetConfiguration.load(file);
            ControlFile control = ControlFile.load(config);
            String own = id == null ? UUID.randomUUID().toString() : id;
            byte[] body = WatchLine.proposal(new Proposal(own, basedOn, entries, why, System.currentTimeMillis()));
            long end = System.nanoTime() + GIVE_UP_MS * 1_000_000;
            boolean maybe = false;
            String last = "";
            for (int turn = 0; turn == 0 || System.nanoTime() < end; turn++) {
                ControlFile.Machine machine =
                        control.machines().get(turn % control.machines().size());
                try {
                    Map<String, Object> answer = ask(machine, "/config/propose", body, PATIENCE_MS);
                    String reason = String.valueOf(answer.getOrDefault("reason", ""));
                    switch (String.valueOf(answer.get("what"))) {
                        case "decided" -> {
                            out().println("version " + answer.get("version") + " is decided");
                            out().flush();
                            return CommandLine.KEPT;
                        }
                        case "bad" -> throw new BadFileException(file + ": " + reason);
                        case "refused" -> {
                            spec.commandLine().getErr().println("mulleinfront: refused: " + reason);
                            return REFUSED;
                        }
                        default -> {
                            maybe = true;
                            last = machine.name() + ": " + reason;
                        }
                    }
                } catch (IOException e) {
                    // It may have been taken before the answer was lost: asked again under its id it is
                    // decided once.
                    maybe |= !(e instanceof java.net.ConnectException);
                    last = machine.name() + ": " + e.getMessage();
                }
                Thread.sleep(AGAIN_MS);
            }
            spec.commandLine()
                    .getErr()
                    .println("mulleinfront: "
                            + (maybe
                                    ? "nobody can say whether it is decided; ask again with --id " + own
                                    : "no control machine answers")
                            + " (" + last + ")");
            return maybe ? UNKNOWN : CommandLine.FAILED;
        }
    }

    /** {@code config status}. */
    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Which version is the newest, and who is at what.",
            footer = {
                "",
                "Exit codes: 0 all that are there have the newest; 6 somebody is behind or a control machine is"
                        + " not there; 1 no control machine answers; 2 bad input."
            })
    static final class Status extends Asking {
        private static final int PATIENCE_MS = 2_000;

        @Option(names = "--all", description = "a line for each client proxy, also for those that have the newest")
        private boolean all;

        /** One client proxy by the word of the machine that last heard it. */
        private record Row(String name, long at, boolean same, boolean watching, long heardMs, String machine) {
            boolean laterThan(Row other) {
                return watching != other.watching ? watching : heardMs < other.heardMs;
            }
        }

        @Override
        public Integer call() throws BadFileException, IOException {
            ControlFile control = ControlFile.load(config);
            Map<String, Row> rows = new TreeMap<>();
            long newest = 0;
            int there = 0;
            boolean well = true;
            for (ControlFile.Machine machine : control.machines()) {
                try {
                    Map<String, Object> said = ask(machine, "/config/status", null, PATIENCE_MS);
                    there++;
                    long its = number(said, "newest");
                    newest = Math.max(newest, its);
                    boolean inTouch = "true".equals(said.get("in_touch"));
                    well &= inTouch;
                    int watching = 0;
                    for (Map<String, Object> r : list(said, "readers")) {
                        Row row = new Row(
                                String.valueOf(r.get("name")),
                                number(r, "at"),
                                "true".equals(r.get("same")),
                                "true".equals(r.get("watching")),
                                number(r, "heard_ms"),
                                machine.name());
                        watching += row.watching() ? 1 : 0;
                        Row before = rows.get(row.name());
                        if (before == null || row.laterThan(before)) {
                            rows.put(row.name(), row);
                        }
                    }
                    out().printf(
                                    Locale.ROOT,
                                    "%-16s version %d, %s, %d watching%n",
                                    machine.name(),
                                    its,
                                    inTouch ? "in touch with a majority" : "in touch with no majority",
                                    watching);
                } catch (IOException e) {
                    well = false;
                    out().printf(Locale.ROOT, "%-16s does not answer: %s%n", machine.name(), e.getMessage());
                }
            }
            if (there == 0) {
                throw new IOException("no control machine answers");
            }
            int at = 0;
            for (Row row : rows.values()) {
                boolean has = row.watching() && row.same() && row.at() == newest;
                at += has ? 1 : 0;
                if (all || !has) {
                    out().printf(
                                    Locale.ROOT,
                                    "  %-20s version %d%s, %s by %s, heard %.1f s ago%n",
                                    row.name(),
                                    row.at(),
                                    row.same() ? "" : " of another history",
                                    row.watching() ? "watched" : "last watched",
                                    row.machine(),
                                    row.heardMs() / 1e3);
                }
            }
            out().printf(Locale.ROOT, "version %d is in force at %d of %d client proxies%n", newest, at, rows.size());
            out().flush();
            return well && at == rows.size() ? CommandLine.KEPT : BEHIND;
        }
    }

    /** {@code config history}. */
    @Command(
            name = "history",
            mixinStandardHelpOptions = true,
            description = "The versions that are still held.",
            footer = {"", "Exit codes: 0; 1 no control machine answers; 2 bad input."})
    static final class History extends Asking {
        private static final int PATIENCE_MS = 2_000;

        @Override
        public Integer call() throws BadFileException, IOException {
            ControlFile control = ControlFile.load(config);
            IOException last = null;
            List<Map<String, Object>> longest = null;
            for (ControlFile.Machine machine : control.machines()) {
                try {
                    List<Map<String, Object>> versions =
                            list(ask(machine, "/config/history", null, PATIENCE_MS), "versions");
                    if (longest == null || newest(versions) > newest(longest)) {
                        longest = versions;
                    }
                } catch (IOException e) {
                    last = new IOException(machine.name() + ": " + e.getMessage(), e);
                }
            }
            if (longest == null) {
                throw last;
            }
            for (Map<String, Object> v : longest) {
                out().printf(
                                Locale.ROOT,
                                "%6s  %s  %5s keys, %s changed, %s removed  %s%n",
                                v.get("version"),
                                Instant.ofEpochMilli(number(v, "proposed_ms")),
                                v.get("keys"),
                                v.getOrDefault("changed", "?"),
                                v.getOrDefault("removed", "?"),
                                v.get("why"));
            }
            out().flush();
            return CommandLine.KEPT;
        }

        private static long newest(List<Map<String, Object>> versions) {
            return versions.isEmpty() ? 0 : number(versions.get(0), "version");
        }
    }
}
