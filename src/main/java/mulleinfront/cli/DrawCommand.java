package mulleinfront.cli;

import java.util.Arrays;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import mulleinfront.emulator.GeneratedScenario;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code emulate draw}: generates a scenario file with random values from ranges. */
@Command(
        name = "draw",
        mixinStandardHelpOptions = true,
        description = "Generates a scenario file of a family from a seed and writes it to standard output.")
final class DrawCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FAMILY")
    private String family;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "default ${DEFAULT-VALUE}")
    private long seed;

    @Option(
            names = "--instances",
            paramLabel = "N",
            defaultValue = "100",
            description = "client proxies (default ${DEFAULT-VALUE})")
    private int instances;

    @Option(
            names = "--start-ms",
            paramLabel = "MS",
            defaultValue = "-1",
            description = "time from a client proxy's start until it is ready (default: random)")
    private long startMs;

    static GeneratedScenario.Family parseFamily(CommandSpec spec, String name) {
        GeneratedScenario.Family parsed = GeneratedScenario.Family.forName(name);
        if (parsed == null) {
            throw new ParameterException(
                    spec.commandLine(),
                    "unknown family '" + name + "'; there are "
                            + Arrays.stream(GeneratedScenario.Family.values())
                                    .map(GeneratedScenario.Family::outputName)
                                    .collect(Collectors.joining(", ")));
        }
        return parsed;
    }

    static int requirePositive(CommandSpec spec, int instances) {
        if (instances < 1) {
            throw new ParameterException(spec.commandLine(), "--instances must be 1 or more");
        }
        return instances;
    }

    @Override
    public Integer call() {
        spec.commandLine()
                .getOut()
                .print(GeneratedScenario.generate(
                        parseFamily(spec, family),
                        seed,
                        requirePositive(spec, instances),
                        startMs < 0 ? -1 : startMs * 1000));
        spec.commandLine().getOut().flush();
        return CommandLine.SUCCESS;
    }
}
