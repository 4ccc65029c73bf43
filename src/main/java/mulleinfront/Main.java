package mulleinfront;

import mulleinfront.benchlink.Adapter;
import mulleinfront.proxy.Serve;
import mulleinfront.settings.Config;

/**
 * Command line entry: {@code java -jar mulleinfront.jar serve}, or {@code benchlink} for the bench;
 * {@code rehearse} is for the build. All other words are {@link mulleinfront.cli.CommandLine}'s.
 */
public final class Main {
    /** What {@code serve} may be given, each with a file, in the order of {@link Serve#serve}. */
    private static final String[] SERVE_WITH = {"--machine", "--fleet", "--config-watch"};

    private Main() {}

    /**
     * Starts the client proxy that {@code NODE_CONFIG} describes, or the bench adapter on standard input
     * and output.
     *
     * @param args {@code serve}, also with {@code --machine FILE}, {@code --fleet FILE} or {@code --config-watch
     *        FILE}, {@code benchlink} or {@code rehearse}, or a command line
     */
    public static void main(String[] args) {
        String mode = args.length == 1 ? args[0] : "";
        try {
            switch (mode) {
                case "benchlink" -> Adapter.run(System.in, System.out);
                case "serve" -> Serve.serve(null, null, null);
                case "rehearse" -> Serve.warmUp();
                default -> {
                    String[] files = files(args);
                    if (files != null) {
                        Serve.serve(files[0], files[1], files[2]);
                    } else {
                        // What is not deployed loads more, so nothing of it is named above.
                        System.exit(mulleinfront.cli.CommandLine.run(args));
                    }
                }
            }
        } catch (Exception e) {
            System.err.println("mulleinfront: " + Config.rootCauseMessage(e));
            System.exit(1);
        }
    }

    /** The files of {@link #SERVE_WITH} that {@code serve} was given; null if it is not so written. */
    private static String[] files(String[] args) {
        String[] files = new String[SERVE_WITH.length];
        boolean well = args.length > 1 && args.length % 2 == 1 && args[0].equals("serve");
        for (int i = 1; well && i < args.length; i += 2) {
            int which = 0;
            while (which < files.length && !SERVE_WITH[which].equals(args[i])) {
                which++;
            }
            well = which < files.length && files[which] == null;
            if (well) {
                files[which] = args[i + 1];
            }
        }
        return well ? files : null;
    }
}
