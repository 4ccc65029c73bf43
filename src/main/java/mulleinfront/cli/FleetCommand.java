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
import mulleinfront.settings.FleetFile;
import mulleinfront.settings.Listing;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code fleet}: asks a client proxy, at its operators' door, what it knows of the others. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        subcommands = {
            FleetCommand.Members.class,
            FleetCommand.Watch.class,
            FleetCommand.Leave.class,
            FleetCommand.Check.class
        },
        description = "Who is there, by the word of one client proxy; and the file that makes it a member.")
final class FleetCommand implements Runnable {
    /** The view is not settled, or only a minority of the fleet is in reach. */
    static final int UNSETTLED = 6;

    private static final int PATIENCE_MS = 5_000;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }

    /** What is asked at a door. */
    abstract static class Asking implements Callable<Integer> {
        @Spec
        CommandSpec spec;

        @Option(
                names = "--door",
                required = true,
                paramLabel = "ADDRESS:PORT",
                description = "the client proxy's management address")
        private String door;

        PrintWriter out() {
            return spec.commandLine().getOut();
        }

        /** Opens the door and says a line; what comes back is read from the socket. */
        Socket ask(String line) throws IOException, BadFileException {
            InetSocketAddress address;
            try {
                address = Listing.address(door);
            } catch (IOException e) {
                throw new BadFileException("--door: " + e.getMessage());
            }
            Socket socket = new Socket();
            try {
                socket.connect(address, PATIENCE_MS);
                socket.setSoTimeout(PATIENCE_MS);
                socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
                return socket;
            } catch (IOException e) {
                socket.close();
                throw new IOException("nobody at " + door + ": " + e.getMessage(), e);
            }
        }

        /** The answer in words, if it was yes. */
        static String yes(BufferedReader in) throws IOException {
            String answer = in.readLine();
            if (answer == null || !answer.startsWith("+OK ")) {
                throw new IOException(
                        answer == null ? "the door closed without an answer" : answer.replaceFirst("^-ERR ", ""));
            }
            return answer.substring("+OK ".length());
        }

        static BufferedReader reader(Socket socket) throws IOException {
            return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        }
    }

    /** {@code fleet members}. */
    @Command(
            name = "members",
            mixinStandardHelpOptions = true,
            description = "Who is there, since when and by whose word.",
            footer = {
                "",
                "Exit codes: 0 settled, with all or most in reach; 6 not settled, or a minority in reach;",
                "1 nobody answers; 2 bad input."
            })
    static final class Members extends Asking {
        @Option(names = "--json", description = "as one JSON object")
        private boolean json;

        @Override
        public Integer call() throws IOException, BadFileException {
            try (Socket socket = ask("fleet members")) {
                String answer = yes(reader(socket));
                Map<String, String> head = new LinkedHashMap<>();
                StringBuilder table = new StringBuilder();
                read(answer, head, table);
                if (json) {
                    out().println(answer);
                } else {
                    head.forEach((k, v) -> out().printf("%-12s %s%n", k, v));
                    out().print(table);
                }
                out().flush();
                boolean well = "true".equals(head.get("settled"))
                        && !"minority".equals(head.get("reach"))
                        && !"alone".equals(head.get("reach"));
                return well ? CommandLine.KEPT : UNSETTLED;
            }
        }

        private static void read(String answer, Map<String, String> head, StringBuilder table) throws IOException {
            table.append(String.format(
                    Locale.ROOT,
                    "%n%-8s %-20s %-10s %10s  %s%n",
                    "member",
                    "name",
                    "state",
                    "since",
                    "by the word of"));
            try (JsonParser in = new JsonFactory().createParser(answer)) {
                in.nextToken();
                while (in.nextToken() == JsonToken.FIELD_NAME) {
                    String field = in.currentName();
                    in.nextToken();
                    if (field.equals("members")) {
                        while (in.nextToken() == JsonToken.START_OBJECT) {
                            Map<String, String> m = flat(in);
                            table.append(String.format(
                                    Locale.ROOT,
                                    "%-8s %-20s %-10s %8.1f s  %s%n",
                                    m.get("member"),
                                    m.get("name"),
                                    m.get("state"),
                                    Long.parseLong(m.get("since_ms")) / 1e3,
                                    m.get("word")));
                        }
                    } else if (in.currentToken() == JsonToken.START_OBJECT) {
                        Map<String, String> counts = flat(in);
                        head.put(field, counts.isEmpty() ? "none" : counts.toString());
                    } else {
                        head.put(field, in.getText());
                    }
                }
            }
        }

        private static Map<String, String> flat(JsonParser in) throws IOException {
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
            description = "Prints each change as a line of JSON, until it is ended or the client proxy is gone.")
    static final class Watch extends Asking {
        @Override
        public Integer call() throws IOException, BadFileException {
            try (Socket socket = ask("fleet watch")) {
                BufferedReader in = reader(socket);
                spec.commandLine().getErr().println(yes(in));
                socket.setSoTimeout(0);
                for (String line; (line = in.readLine()) != null; ) {
                    out().println(line);
                    out().flush();
                }
            }
            return CommandLine.KEPT;
        }
    }

    /** {@code fleet leave}. */
    @Command(
            name = "leave",
            mixinStandardHelpOptions = true,
            description = "Has a quiesced client proxy say to the others that it leaves; resume brings it back.")
    static final class Leave extends Asking {
        @Override
        public Integer call() throws IOException, BadFileException {
            try (Socket socket = ask("fleet leave")) {
                out().println(yes(reader(socket)));
                out().flush();
            }
            return CommandLine.KEPT;
        }
    }

    /** {@code fleet check}. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Reads a fleet file, and a configuration beside it, as a start would.",
            footer = {"", "Exit codes: 0 it can be taken, 2 it can't (one line with file, line and reason)."})
    static final class Check implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "such as deploy/fleet.toml")
        private Path file;

        @Option(names = "--config", paramLabel = "JSON", description = "the configuration of one client proxy")
        private Path config;

        @Override
        public Integer call() throws BadFileException {
            FleetFile read;
            if (config == null) {
                read = FleetFile.check(file);
            } else {
                try {
                    read = FleetFile.load(file, Files.readAllBytes(config));
                } catch (IOException e) {
                    throw new BadFileException(config + ": " + e.getMessage());
                }
            }
            int members = config == null ? 100 : read.peers().size();
            spec.commandLine()
                    .getOut()
                    .printf(
                            Locale.ROOT,
                            "fleet %s: one that dies is suspected after %.1f s on the"
                                    + " average, and known to have failed by all within %.0f s at the most among %d members%n",
                            read.figures().fleet(),
                            1.5 * read.figures().periodUs() / 1e6,
                            read.figures().convergenceBoundUs(members) / 1e6,
                            members);
            spec.commandLine().getOut().flush();
            return CommandLine.KEPT;
        }
    }
}
