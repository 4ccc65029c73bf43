package mulleinfront;

import mulleinfront.benchlink.Adapter;
import mulleinfront.proxy.Serve;
import mulleinfront.settings.Config;

/**
 * Entry point of the program: {@code java -jar mulleinfront.jar serve}, {@code benchlink} for the bench, or
 * {@code rehearse}, the warm-up that the build runs. {@link mulleinfront.cli.CommandLine} runs all other commands.
 */
public final class Main {
    /** Options of {@code serve}, each with a file, in the order of the parameters of {@link Serve#serve}. */
    private static final String[] SERVE_OPTIONS = {"--machine", "--fleet", "--config-watch"};

    private Main() {}

    /**
     * Starts the client proxy that {@code NODE_CONFIG} describes, the bench adapter on standard input and output, or a
     * command.
     *
     * @param args {@code serve}, also with {@code --machine FILE}, {@code --fleet FILE} or {@code --config-watch FILE};
     *     {@code benchlink}; {@code rehearse}; or a command with its arguments
     */
    public static void main(String[] args) {
        String mode = args.length == 1 ? args[0] : "";
        try {
            switch (mode) {
                case "benchlink" -> Adapter.run(System.in, System.out);
                case "serve" -> Serve.serve(null, null, null);
                case "rehearse" -> Serve.warmUp();
                default -> {
                    String[] files = serveFiles(args);
                    if (files != null) {
                        Serve.serve(files[0], files[1], files[2]);
                    } else {
                        // Commands load classes that a proxy does not need, so they are referenced only here.
                        System.exit(mulleinfront.cli.CommandLine.run(args));
                    }
                }
            }
        } catch (Exception e) {
            System.err.println("mulleinfront: " + Config.rootCauseMessage(e));
            System.exit(1);
        }
    }

    /** The files given for {@link #SERVE_OPTIONS}; null if the arguments are not {@code serve} with valid options. */
    private static String[] serveFiles(String[] args) {
        String[] files = new String[SERVE_OPTIONS.length];
        boolean valid = args.length > 1 && args.length % 2 == 1 && args[0].equals("serve");
        for (int i = 1; valid && i < args.length; i += 2) {
            int option = 0;
            while (option < files.length && !SERVE_OPTIONS[option].equals(args[i])) {
                option++;
            }
            valid = option < files.length && files[option] == null;
            if (valid) {
                files[option] = args[i + 1];
            }
        }
        return valid ? files : null;
    }
}
