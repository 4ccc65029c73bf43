package mulleinfront.cli;

import java.io.PrintWriter;
import mulleinfront.settings.BadFileException;
import mulleinfront.settings.Version;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The root command, with the exit codes and the one-line error messages that all commands share. */
@Command(
        name = "mulleinfront",
        subcommands = {
            EmulateCommand.class,
            KitCommand.class,
            BenchCommand.class,
            FleetCommand.class,
            KeepCommand.class,
            ConfigCommand.class,
            HollowCommand.class
        },
        mixinStandardHelpOptions = true,
        versionProvider = CommandLine.ProgramVersion.class,
        description = "A client-side load-balancing proxy, with an emulator and a test kit.",
        footer = {
            "",
            "serve      runs a client proxy with the configuration that NODE_CONFIG names",
            "benchlink  runs the balancer over the simulator's protocol",
            "rehearse   warm-up run, for the build"
        })
public final class CommandLine implements Runnable {
    /** Success; no invariant was violated. */
    public static final int SUCCESS = 0;
    /** The command failed for a reason other than its input. */
    public static final int FAILED = 1;
    /** The arguments or an input file are invalid. */
    public static final int BAD_INPUT = 2;
    /** An invariant was violated, or a budget exceeded. */
    public static final int VIOLATION = 3;

    /** Prints the version for {@code --version}. */
    static final class ProgramVersion implements picocli.CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            return new String[] {"mulleinfront " + Version.CURRENT};
        }
    }

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(
                spec.commandLine(),
                "a command is missing: emulate, kit, bench," + " fleet, keep, config, serve or benchlink");
    }

    /** Runs a command line on standard output and error; returns the exit code. */
    public static int run(String... args) {
        return run(new PrintWriter(System.out, true), new PrintWriter(System.err, true), args);
    }

    /** Runs a command line with the given output and error streams; returns the exit code. */
    public static int run(PrintWriter out, PrintWriter err, String... args) {
        picocli.CommandLine line =
                new picocli.CommandLine(new CommandLine()).setOut(out).setErr(err);
        line.setParameterExceptionHandler((wrong, words) -> {
            wrong.getCommandLine().getErr().println("mulleinfront: " + singleLine(wrong));
            return BAD_INPUT;
        });
        line.setExecutionExceptionHandler((failure, at, parsed) -> {
            boolean bad = failure instanceof BadFileException;
            at.getErr().println("mulleinfront: " + singleLine(failure));
            return bad ? BAD_INPUT : FAILED;
        });
        return line.execute(args);
    }

    private static String singleLine(Exception exception) {
        return String.valueOf(exception.getMessage() == null ? exception : exception.getMessage())
                .replace('\n', ' ');
    }
}
