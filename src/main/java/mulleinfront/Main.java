package mulleinfront;

import mulleinfront.benchlink.Adapter;
import mulleinfront.proxy.ClientProxy;
import mulleinfront.proxy.Config;

/** Command line entry: {@code java -jar mulleinfront.jar serve}, or {@code benchlink} for the bench. */
public final class Main {
    private Main() {}

    /**
     * Starts the client proxy that {@code NODE_CONFIG} describes, or the bench adapter on standard input
     * and output.
     *
     * @param args exactly one word, {@code serve} or {@code benchlink}
     */
    public static void main(String[] args) {
        String mode = args.length == 1 ? args[0] : "";
        try {
            switch (mode) {
                case "benchlink" -> Adapter.run(System.in, System.out);
                case "serve" -> serve();
                default -> {
                    System.err.println("usage: java -jar mulleinfront.jar serve|benchlink");
                    System.exit(2);
                }
            }
        } catch (Exception e) {
            System.err.println("mulleinfront: " + Adapter.plain(e));
            System.exit(1);
        }
    }

    /** Returns once it serves; SIGTERM lets it finish what it has taken before the process ends. */
    private static void serve() throws Exception {
        ClientProxy proxy = ClientProxy.start(Config.load(System.getenv("NODE_CONFIG")));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> proxy.drain().awaitUninterruptibly()));
    }
}
