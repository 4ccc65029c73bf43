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

/** {@code emulate explain}: prints the history of single requests. */
@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description = "Prints the history of one request, or of the first requests lost to a cause.")
final class ExplainCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "SCENARIO")
    private Path file;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "default ${DEFAULT-VALUE}")
    private long seed;

    @Option(names = "--request", paramLabel = "ID", description = "id of one of the request's tries, such as q17")
    private String request;

    @Option(names = "--cause", paramLabel = "WORD", description = "cause of the loss, as named in the JSON report")
    private String cause;

    @Option(
            names = "--from",
            paramLabel = "SECONDS",
            defaultValue = "0",
            description = "with --cause: only requests sent at this second or later")
    private double fromSecond;

    @Option(
            names = "--most",
            paramLabel = "N",
            defaultValue = "5",
            description = "with --cause: maximum number of requests (default ${DEFAULT-VALUE})")
    private int maxRequests;

    @Override
    public Integer call() throws BadFileException {
        if (request == null == (cause == null)) {
            throw new ParameterException(spec.commandLine(), "give either --request or --cause");
        }
        Scenario scenario = ScenarioReader.read(file);
        List<String> lines = request != null
                ? Explain.request(scenario, seed, request)
                : Explain.requestsLostBy(scenario, seed, parseCause(), (long) (fromSecond * 1e6), maxRequests);
        PrintWriter out = spec.commandLine().getOut();
        lines.forEach(out::println);
        out.flush();
        if (lines.isEmpty()) {
            String withSeed = " under seed " + seed;
            throw new BadFileException(
                    request != null
                            ? "no such request: " + request + withSeed
                            : "no request was lost to " + cause + withSeed
                                    + (fromSecond > 0 ? " from that second on" : ""));
        }
        return CommandLine.SUCCESS;
    }

    private Cause parseCause() {
        return Arrays.stream(Cause.values())
                .filter(candidate -> candidate.outputName().equals(cause))
                .findFirst()
                .orElseThrow(() -> new ParameterException(
                        spec.commandLine(),
                        "--cause: unknown cause '" + cause
                                + "'; there are "
                                + Arrays.stream(Cause.values())
                                        .map(Cause::outputName)
                                        .collect(Collectors.joining(", "))));
    }
}
