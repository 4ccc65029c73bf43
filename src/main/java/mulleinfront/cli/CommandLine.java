package mulleinfront.cli;

import java.io.PrintWriter;
import mulleinfront.settings.BadFileException;
import mulleinfront.settings.Version;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The words of the command line and what is common to them: exit codes, and errors in one line. */
@Command(
        name = "mulleinfront",
        subcommands = {
            Emulate.class,
            Kit.class,
            Bench.class,
            FleetCommand.class,
            KeepCommand.class,
            ConfigCommand.class,
            HollowCommand.class
        },
        mixinStandardHelpOptions = true,
        versionProvider = CommandLine.Own.class,
        description = "A client proxy, and a world to rehearse it in.",
        footer = {
            "",
            "serve      a client proxy on sockets, as NODE_CONFIG says",
            "benchlink  the same decisions on the simulator's wire",
            "rehearse   for the build"
        })
public final class CommandLine implements Runnable {
    /** All is well and the rules were kept. */
    public static final int KEPT = 0;
    /** Something went wrong that is not the user's doing. */
    public static final int FAILED = 1;
    /** What was asked for can't be done as it was written. */
    public static final int BAD_INPUT = 2;
    /** A rule was broken. */
    public static final int RULE_BROKEN = 3;

    /** {@code --version}. */
    static final class Own implements picocli.CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            return new String[] {"mulleinfront " + Version.OWN};
        }
    }

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(
                spec.commandLine(),
                "a word is missing: emulate, kit, bench," + " fleet, keep, config, serve or benchlink");
    }

    /** Runs a command line; gives the exit code. */
    public static int run(String... args) {
        return run(new PrintWriter(System.out, true), new PrintWriter(System.err, true), args);
    }

    /** The same with its output elsewhere. */
    public static int run(PrintWriter out, PrintWriter err, String... args) {
        picocli.CommandLine line =
                new picocli.CommandLine(new CommandLine()).setOut(out).setErr(err);
        line.setParameterExceptionHandler((wrong, words) -> {
            wrong.getCommandLine().getErr().println("mulleinfront: " + plain(wrong));
            return BAD_INPUT;
        });
        line.setExecutionExceptionHandler((failure, at, parsed) -> {
            boolean bad = failure instanceof BadFileException;
            at.getErr().println("mulleinfront: " + plain(failure));
            return bad ? BAD_INPUT : FAILED;
        });
        return line.execute(args);
    }

    private static String plain(Exception e) {
        return String.valueOf(e.getMessage() == null ? e : e.getMessage()).replace('\n', ' ');
    }
}
