package mulleinfront;

import mulleinfront.benchlink.Adapter;

/** Command line entry: {@code java -jar mulleinfront.jar benchlink}. */
public final class Main {
    private Main() {}

    /**
     * Starts the bench adapter on standard input and output.
     *
     * @param args exactly one word, {@code benchlink}
     */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: java -jar mulleinfront.jar benchlink");
            System.exit(2);
        }
        try {
            Adapter.run(System.in, System.out);
        } catch (Exception e) {
            System.err.println("mulleinfront: " + Adapter.plain(e));
            System.exit(1);
        }
    }
}
