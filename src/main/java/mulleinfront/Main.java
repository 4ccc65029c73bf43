package mulleinfront;

import mulleinfront.benchlink.Adapter;
import mulleinfront.proxy.Serve;
import mulleinfront.settings.Config;

/**
 * Command line entry: {@code java -jar mulleinfront.jar serve}, or {@code benchlink} for the bench;
 * {@code rehearse} is for the build. All other words are {@link mulleinfront.cli.CommandLine}'s.
 */
public final class Main {
    private Main() {}

    /**
     * Starts the client proxy that {@code NODE_CONFIG} describes, or the bench adapter on standard input
     * and output.
     *
     * @param args {@code serve}, also with {@code --machine FILE} or {@code --fleet FILE}, {@code benchlink} or
     *        {@code rehearse}, or a command line
     */
    public static void main(String[] args) {
        String mode = args.length == 1 ? args[0] : "";
        try {
            switch (mode) {
                case "benchlink" -> Adapter.run(System.in, System.out);
                case "serve" -> Serve.serve(null, null);
                case "rehearse" -> Serve.rehearse();
                default -> {
                    if (args.length == 3 && args[0].equals("serve") && args[1].equals("--machine")) {
                        Serve.serve(args[2], null);
                    } else if (args.length == 3 && args[0].equals("serve") && args[1].equals("--fleet")) {
                        Serve.serve(null, args[2]);
                    } else {
                        // What is not deployed loads more, so nothing of it is named above.
                        System.exit(mulleinfront.cli.CommandLine.run(args));
                    }
                }
            }
        } catch (Exception e) {
            System.err.println("mulleinfront: " + Config.plain(e));
            System.exit(1);
        }
    }
}
