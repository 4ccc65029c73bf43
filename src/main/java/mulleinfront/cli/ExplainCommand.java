package mulleinfront.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import mulleinfront.emulator.Cause;
import mulleinfront.emulator.Explain;
import mulleinfront.emulator.Scenario;
import mulleinfront.emulator.ScenarioReader;
import mulleinfront.settings.BadFileException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code emulate explain}: what happened to single requests. */
@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description = "Tells what happened to one request, or to the first that a cause has lost.")
final class ExplainCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "SCENARIO")
    private Path file;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "default ${DEFAULT-VALUE}")
    private long seed;

    @Option(names = "--request", paramLabel = "ID", description = "a request by the id of one of its tries, as q17")
    private String request;

    @Option(names = "--cause", paramLabel = "WORD", description = "requests lost by this, as in the report's JSON")
    private String cause;

    @Option(
            names = "--from",
            paramLabel = "SECONDS",
            defaultValue = "0",
            description = "with --cause: asked for at this second or later")
    private double from;

    @Option(
            names = "--most",
            paramLabel = "N",
            defaultValue = "5",
            description = "with --cause: so many at most (default ${DEFAULT-VALUE})")
    private int most;

    @Override
    public Integer call() throws BadFileException {
        if (request == null == (cause == null)) {
            throw new ParameterException(spec.commandLine(), "explain takes either --request or --cause");
        }
        Scenario scenario = ScenarioReader.read(file);
        List<String> lines = request != null
                ? Explain.request(scenario, seed, request)
                : Explain.cause(scenario, seed, cause(), (long) (from * 1e6), most);
        PrintWriter out = spec.commandLine().getOut();
        lines.forEach(out::println);
        out.flush();
        if (lines.isEmpty()) {
            String under = " under seed " + seed;
            throw new BadFileException(
                    request != null
                            ? "there was no request " + request + under
                            : "nothing was lost by " + cause + under + (from > 0 ? " from then on" : ""));
        }
        return CommandLine.KEPT;
    }

    private Cause cause() {
        return Arrays.stream(Cause.values())
                .filter(c -> c.word().equals(cause))
                .findFirst()
                .orElseThrow(() -> new ParameterException(
                        spec.commandLine(),
                        "--cause: there is no '" + cause
                                + "'; there are "
                                + Arrays.stream(Cause.values()).map(Cause::word).collect(Collectors.joining(", "))));
    }
}
