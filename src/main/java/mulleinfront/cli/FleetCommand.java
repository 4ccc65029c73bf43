package mulleinfront.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import mulleinfront.settings.BadFileException;
import mulleinfront.settings.EndpointList;
import mulleinfront.settings.FleetFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code fleet}: queries a client proxy's management endpoint for its view of the fleet, and checks fleet files. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        subcommands = {
            FleetCommand.Members.class,
            FleetCommand.Watch.class,
            FleetCommand.Leave.class,
            FleetCommand.Check.class
        },
        description = "Shows the fleet as one client proxy sees it, and checks fleet files.")
final class FleetCommand implements Runnable {
    /** The view has not converged, or at most a minority of the fleet is reachable. */
    static final int NOT_CONVERGED = 6;

    private static final int TIMEOUT_MS = 5_000;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }

    /** A command that is sent to a management endpoint. */
    abstract static class ManagementCommand implements Callable<Integer> {
        @Spec
        CommandSpec spec;

        @Option(
                names = "--door",
                required = true,
                paramLabel = "ADDRESS:PORT",
                description = "the client proxy's management address")
        private String address;

        PrintWriter out() {
            return spec.commandLine().getOut();
        }

        /** Connects to the management endpoint and sends a command; the reply is read from the returned socket. */
        Socket send(String command) throws IOException, BadFileException {
            InetSocketAddress socketAddress;
            try {
                socketAddress = EndpointList.parseAddress(address);
            } catch (IOException e) {
                throw new BadFileException("--door: " + e.getMessage());
            }
            Socket socket = new Socket();
            try {
                socket.connect(socketAddress, TIMEOUT_MS);
                socket.setSoTimeout(TIMEOUT_MS);
                socket.getOutputStream().write((command + "\n").getBytes(StandardCharsets.US_ASCII));
                return socket;
            } catch (IOException e) {
                socket.close();
                throw new IOException("failed to connect to " + address + ": " + e.getMessage(), e);
            }
        }

        /**
         * Reads a reply and returns its text.
         *
         * @throws IOException if the connection is closed or the reply is an error
         */
        static String readReply(BufferedReader in) throws IOException {
            String reply = in.readLine();
            if (reply == null || !reply.startsWith("+OK ")) {
                throw new IOException(
                        reply == null ? "the connection was closed without a reply" : reply.replaceFirst("^-ERR ", ""));
            }
            return reply.substring("+OK ".length());
        }

        static BufferedReader reader(Socket socket) throws IOException {
            return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        }
    }

    /** {@code fleet members}. */
    @Command(
            name = "members",
            mixinStandardHelpOptions = true,
            description = "Lists the members with their states.",
            footer = {
                "",
                "Exit codes: 0 converged, with all or most reachable; 6 not converged, or a minority reachable;",
                "1 no answer; 2 bad input."
            })
    static final class Members extends ManagementCommand {
        @Option(names = "--json", description = "prints one JSON object")
        private boolean json;

        @Override
        public Integer call() throws IOException, BadFileException {
            try (Socket socket = send("fleet members")) {
                String reply = readReply(reader(socket));
                Map<String, String> summary = new LinkedHashMap<>();
                StringBuilder table = new StringBuilder();
                parse(reply, summary, table);
                if (json) {
                    out().println(reply);
                } else {
                    summary.forEach((k, v) -> out().printf("%-12s %s%n", k, v));
                    out().print(table);
                }
                out().flush();
                boolean healthy = "true".equals(summary.get("settled"))
                        && !"minority".equals(summary.get("reach"))
                        && !"alone".equals(summary.get("reach"));
                return healthy ? CommandLine.SUCCESS : NOT_CONVERGED;
            }
        }

        private static void parse(String reply, Map<String, String> summary, StringBuilder table) throws IOException {
            table.append(String.format(
                    Locale.ROOT, "%n%-8s %-20s %-10s %10s  %s%n", "member", "name", "state", "since", "reported by"));
            try (JsonParser in = new JsonFactory().createParser(reply)) {
                in.nextToken();
                while (in.nextToken() == JsonToken.FIELD_NAME) {
                    String field = in.currentName();
                    in.nextToken();
                    if (field.equals("members")) {
                        while (in.nextToken() == JsonToken.START_OBJECT) {
                            Map<String, String> member = readFlatObject(in);
                            table.append(String.format(
                                    Locale.ROOT,
                                    "%-8s %-20s %-10s %8.1f s  %s%n",
                                    member.get("member"),
                                    member.get("name"),
                                    member.get("state"),
                                    Long.parseLong(member.get("since_ms")) / 1e3,
                                    member.get("word")));
                        }
                    } else if (in.currentToken() == JsonToken.START_OBJECT) {
                        Map<String, String> counts = readFlatObject(in);
                        summary.put(field, counts.isEmpty() ? "none" : counts.toString());
                    } else {
                        summary.put(field, in.getText());
                    }
                }
            }
        }

        private static Map<String, String> readFlatObject(JsonParser in) throws IOException {
            Map<String, String> fields = new LinkedHashMap<>();
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                in.nextToken();
                fields.put(name, in.getText());
            }
            return fields;
        }
    }

    /** {@code fleet watch}. */
    @Command(
            name = "watch",
            mixinStandardHelpOptions = true,
            description = "Prints each change as a line of JSON, until interrupted or disconnected.")
    static final class Watch extends ManagementCommand {
        @Override
        public Integer call() throws IOException, BadFileException {
            try (Socket socket = send("fleet watch")) {
                BufferedReader in = reader(socket);
                spec.commandLine().getErr().println(readReply(in));
                socket.setSoTimeout(0);
                for (String line; (line = in.readLine()) != null; ) {
                    out().println(line);
                    out().flush();
                }
            }
            return CommandLine.SUCCESS;
        }
    }

    /** {@code fleet leave}. */
    @Command(
            name = "leave",
            mixinStandardHelpOptions = true,
            description = "Makes a quiesced client proxy leave the fleet; resume makes it rejoin.")
    static final class Leave extends ManagementCommand {
        @Override
        public Integer call() throws IOException, BadFileException {
            try (Socket socket = send("fleet leave")) {
                out().println(readReply(reader(socket)));
                out().flush();
            }
            return CommandLine.SUCCESS;
        }
    }

    /** {@code fleet check}. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Validates a fleet file, and optionally a client proxy's configuration.",
            footer = {"", "Exit codes: 0 valid, 2 invalid (one line with file, line and reason)."})
    static final class Check implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "such as deploy/fleet.toml")
        private Path file;

        @Option(names = "--config", paramLabel = "JSON", description = "the configuration of one client proxy")
        private Path config;

        @Override
        public Integer call() throws BadFileException {
            FleetFile fleet;
            if (config == null) {
                fleet = FleetFile.check(file);
            } else {
                try {
                    fleet = FleetFile.load(file, Files.readAllBytes(config));
                } catch (IOException e) {
                    throw new BadFileException(config + ": " + e.getMessage());
                }
            }
            int members = config == null ? 100 : fleet.peers().size();
            spec.commandLine()
                    .getOut()
                    .printf(
                            Locale.ROOT,
                            "fleet %s: a failed member is suspected after %.1f s on"
                                    + " average, and recorded as failed by all within %.0f s among %d members%n",
                            fleet.settings().fleet(),
                            1.5 * fleet.settings().periodUs() / 1e6,
                            fleet.settings().convergenceBoundUs(members) / 1e6,
                            members);
            spec.commandLine().getOut().flush();
            return CommandLine.SUCCESS;
        }
    }
}
