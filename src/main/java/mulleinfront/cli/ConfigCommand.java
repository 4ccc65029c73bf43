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

/** {@code config}: checks and proposes the fleet-wide configuration, and shows its status and history. */
@Command(
        name = "config",
        mixinStandardHelpOptions = true,
        subcommands = {
            ConfigCommand.Check.class,
            ConfigCommand.Propose.class,
            ConfigCommand.Status.class,
            ConfigCommand.History.class
        },
        description = "The fleet-wide configuration, which the control-plane nodes commit and distribute.")
final class ConfigCommand implements Runnable {
    /** A client proxy lacks the newest version, or a control-plane node does not answer or has no quorum contact. */
    static final int NOT_CURRENT = 6;
    /** The proposal was rejected, for example because another version was committed first. */
    static final int REFUSED = 7;
    /** It is unknown whether the proposal was committed. */
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
            description = "Validates a configuration file without proposing it.",
            footer = {"", "Exit codes: 0 valid, 2 invalid (one line with file, line and reason)."})
    static final class Check implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "TOML")
        private Path file;

        @Override
        public Integer call() throws BadFileException {
            SortedMap<String, String> entries = FleetConfiguration.load(file);
            int bytes = DifferenceLine.write(Difference.full(new Version(1, entries, "", 0))).length;
            spec.commandLine()
                    .getOut()
                    .printf(
                            Locale.ROOT,
                            "%s: %d keys; %d bytes are sent to a client proxy" + " without a cached copy%n",
                            file,
                            entries.size(),
                            bytes);
            spec.commandLine().getOut().flush();
            return CommandLine.SUCCESS;
        }
    }

    /** A command that calls control-plane nodes. */
    abstract static class NodeCommand implements Callable<Integer> {
        @Spec
        CommandSpec spec;

        @Option(
                names = "--config",
                paramLabel = "FILE",
                defaultValue = "deploy/control.toml",
                description = "the control-plane file (default ${DEFAULT-VALUE})")
        Path config;

        PrintWriter out() {
            return spec.commandLine().getOut();
        }

        /**
         * Calls one node and returns the JSON object of its response, which may be an error response.
         *
         * @param body body of a POST request; null for a GET request
         * @throws IOException if there is no response or it is not a JSON object
         */
        static Map<String, Object> call(ControlFile.Node node, String path, byte[] body, int timeoutMs)
                throws IOException {
            InetSocketAddress address = node.clientAddress();
            String host = address.getAddress().getHostAddress();
            URI uri = URI.create(
                    "http://" + (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + address.getPort() + path);
            HttpURLConnection http = (HttpURLConnection) uri.toURL().openConnection(Proxy.NO_PROXY);
            try {
                http.setConnectTimeout(1_000);
                http.setReadTimeout(timeoutMs);
                if (body != null) {
                    http.setDoOutput(true);
                    http.setRequestMethod("POST");
                    http.getOutputStream().write(body);
                }
                boolean success = http.getResponseCode() == 200;
                try (JsonParser in = JSON.createParser(success ? http.getInputStream() : http.getErrorStream())) {
                    in.nextToken();
                    return readObject(in);
                }
            } finally {
                http.disconnect();
            }
        }

        private static Map<String, Object> readObject(JsonParser in) throws IOException {
            if (in.currentToken() != JsonToken.START_OBJECT) {
                throw new IOException("the response is not from a control-plane node");
            }
            Map<String, Object> map = new HashMap<>();
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                if (in.nextToken() == JsonToken.START_ARRAY) {
                    List<Map<String, Object>> list = new ArrayList<>();
                    while (in.nextToken() == JsonToken.START_OBJECT) {
                        list.add(readObject(in));
                    }
                    map.put(name, list);
                } else {
                    map.put(name, in.getText());
                }
            }
            return map;
        }

        @SuppressWarnings("unchecked") // readObject() stores a JSON array only as a list of such maps
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
            description = "Proposes a file as the next version for all client proxies.",
            footer = {
                "",
                "Exit codes: 0 committed; 2 bad input; 7 refused; 8 unknown (repeat with the --id that is"
                        + " printed); 1 no control-plane node answers."
            })
    static final class Propose extends NodeCommand {
        private static final int TIMEOUT_MS = 4_000;
        private static final long TOTAL_TIMEOUT_MS = 12_000;
        private static final long RETRY_DELAY_MS = 200;

        @Parameters(paramLabel = "FILE", description = "complete configuration, TOML")
        private Path file;

        @Option(names = "--why", required = true, paramLabel = "TEXT", description = "reason, one line for operators")
        private String why;

        @Option(
                names = "--based-on",
                paramLabel = "N",
                defaultValue = "-1",
                description = "number of the version that the file is based on; refused unless it is the newest")
        private long basedOn;

        @Option(
                names = "--id",
                paramLabel = "ID",
                description = "id of an earlier proposal that may have been committed")
        private String id;

        @Override
        public Integer call() throws BadFileException, IOException, InterruptedException {
            SortedMap<String, String> entries = FleetConfiguration.load(file);
            ControlFile control = ControlFile.load(config);
            String proposalId = id == null ? UUID.randomUUID().toString() : id;
            byte[] body =
                    WatchLine.proposal(new Proposal(proposalId, basedOn, entries, why, System.currentTimeMillis()));
            long deadline = System.nanoTime() + TOTAL_TIMEOUT_MS * 1_000_000;
            boolean possiblyCommitted = false;
            String lastError = "";
            for (int attempt = 0; attempt == 0 || System.nanoTime() < deadline; attempt++) {
                ControlFile.Node node =
                        control.nodes().get(attempt % control.nodes().size());
                try {
                    Map<String, Object> answer = call(node, "/config/propose", body, TIMEOUT_MS);
                    String reason = String.valueOf(answer.getOrDefault("reason", ""));
                    switch (String.valueOf(answer.get("what"))) {
                        case "decided" -> {
                            out().println("version " + answer.get("version") + " is decided");
                            out().flush();
                            return CommandLine.SUCCESS;
                        }
                        case "bad" -> throw new BadFileException(file + ": " + reason);
                        case "refused" -> {
                            spec.commandLine().getErr().println("mulleinfront: refused: " + reason);
                            return REFUSED;
                        }
                        default -> {
                            possiblyCommitted = true;
                            lastError = node.name() + ": " + reason;
                        }
                    }
                } catch (IOException exception) {
                    // The proposal may have been accepted before the response was lost. Repeating it with the same
                    // id commits it at most once.
                    possiblyCommitted |= !(exception instanceof java.net.ConnectException);
                    lastError = node.name() + ": " + exception.getMessage();
                }
                Thread.sleep(RETRY_DELAY_MS);
            }
            spec.commandLine()
                    .getErr()
                    .println("mulleinfront: "
                            + (possiblyCommitted
                                    ? "unknown whether the proposal is committed; repeat it with --id " + proposalId
                                    : "no control-plane node answers")
                            + " (" + lastError + ")");
            return possiblyCommitted ? UNKNOWN : CommandLine.FAILED;
        }
    }

    /** {@code config status}. */
    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Shows the newest version and the active versions of the client proxies.",
            footer = {
                "",
                "Exit codes: 0 all client proxies have the newest version; 6 a client proxy is behind or a"
                        + " control-plane node is down or has no quorum; 1 no control-plane node answers; 2 bad input."
            })
    static final class Status extends NodeCommand {
        private static final int TIMEOUT_MS = 2_000;

        @Option(names = "--all", description = "lists all client proxies, also those that have the newest version")
        private boolean all;

        /**
         * The status of one client proxy, reported by the node that it watches, else by the node that heard from it
         * last.
         */
        private record ProxyStatus(
                String name, long version, boolean checksumMatches, boolean watching, long heardMs, String node) {
            boolean isNewerThan(ProxyStatus other) {
                return watching != other.watching ? watching : heardMs < other.heardMs;
            }
        }

        @Override
        public Integer call() throws BadFileException, IOException {
            ControlFile control = ControlFile.load(config);
            Map<String, ProxyStatus> proxies = new TreeMap<>();
            long newest = 0;
            int reachableNodes = 0;
            boolean healthy = true;
            for (ControlFile.Node node : control.nodes()) {
                try {
                    Map<String, Object> response = call(node, "/config/status", null, TIMEOUT_MS);
                    reachableNodes++;
                    long nodeVersion = number(response, "newest");
                    newest = Math.max(newest, nodeVersion);
                    boolean hasQuorumContact = "true".equals(response.get("in_touch"));
                    healthy &= hasQuorumContact;
                    int watching = 0;
                    for (Map<String, Object> subscriber : list(response, "readers")) {
                        ProxyStatus proxy = new ProxyStatus(
                                String.valueOf(subscriber.get("name")),
                                number(subscriber, "at"),
                                "true".equals(subscriber.get("same")),
                                "true".equals(subscriber.get("watching")),
                                number(subscriber, "heard_ms"),
                                node.name());
                        watching += proxy.watching() ? 1 : 0;
                        ProxyStatus previous = proxies.get(proxy.name());
                        if (previous == null || proxy.isNewerThan(previous)) {
                            proxies.put(proxy.name(), proxy);
                        }
                    }
                    out().printf(
                                    Locale.ROOT,
                                    "%-16s version %d, %s, %d watching%n",
                                    node.name(),
                                    nodeVersion,
                                    hasQuorumContact ? "has quorum contact" : "has no quorum contact",
                                    watching);
                } catch (IOException exception) {
                    healthy = false;
                    out().printf(Locale.ROOT, "%-16s does not answer: %s%n", node.name(), exception.getMessage());
                }
            }
            if (reachableNodes == 0) {
                throw new IOException("no control-plane node answers");
            }
            int upToDate = 0;
            for (ProxyStatus proxy : proxies.values()) {
                boolean isUpToDate = proxy.watching() && proxy.checksumMatches() && proxy.version() == newest;
                upToDate += isUpToDate ? 1 : 0;
                if (all || !isUpToDate) {
                    out().printf(
                                    Locale.ROOT,
                                    "  %-20s version %d%s, %s by %s, heard %.1f s ago%n",
                                    proxy.name(),
                                    proxy.version(),
                                    proxy.checksumMatches() ? "" : " of another history",
                                    proxy.watching() ? "watched" : "last watched",
                                    proxy.node(),
                                    proxy.heardMs() / 1e3);
                }
            }
            out().printf(
                            Locale.ROOT,
                            "version %d is in force at %d of %d client proxies%n",
                            newest,
                            upToDate,
                            proxies.size());
            out().flush();
            return healthy && upToDate == proxies.size() ? CommandLine.SUCCESS : NOT_CURRENT;
        }
    }

    /** {@code config history}. */
    @Command(
            name = "history",
            mixinStandardHelpOptions = true,
            description = "Lists the versions that the control plane still stores.",
            footer = {"", "Exit codes: 0 listed; 1 no control-plane node answers; 2 bad input."})
    static final class History extends NodeCommand {
        private static final int TIMEOUT_MS = 2_000;

        @Override
        public Integer call() throws BadFileException, IOException {
            ControlFile control = ControlFile.load(config);
            IOException lastError = null;
            List<Map<String, Object>> longest = null;
            for (ControlFile.Node node : control.nodes()) {
                try {
                    List<Map<String, Object>> versions =
                            list(call(node, "/config/history", null, TIMEOUT_MS), "versions");
                    if (longest == null || newestVersion(versions) > newestVersion(longest)) {
                        longest = versions;
                    }
                } catch (IOException e) {
                    lastError = new IOException(node.name() + ": " + e.getMessage(), e);
                }
            }
            if (longest == null) {
                throw lastError;
            }
            for (Map<String, Object> version : longest) {
                out().printf(
                                Locale.ROOT,
                                "%6s  %s  %5s keys, %s changed, %s removed  %s%n",
                                version.get("version"),
                                Instant.ofEpochMilli(number(version, "proposed_ms")),
                                version.get("keys"),
                                version.getOrDefault("changed", "?"),
                                version.getOrDefault("removed", "?"),
                                version.get("why"));
            }
            out().flush();
            return CommandLine.SUCCESS;
        }

        private static long newestVersion(List<Map<String, Object>> versions) {
            return versions.isEmpty() ? 0 : number(versions.get(0), "version");
        }
    }
}
