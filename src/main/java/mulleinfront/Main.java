package mulleinfront;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import mulleinfront.benchlink.Adapter;
import mulleinfront.proxy.ClientProxy;
import mulleinfront.proxy.Config;
import sun.misc.Signal;

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
     * @param args one word, {@code serve}, {@code benchlink} or {@code rehearse}, or a command line
     */
    public static void main(String[] args) {
        String mode = args.length == 1 ? args[0] : "";
        try {
            switch (mode) {
                case "benchlink" -> Adapter.run(System.in, System.out);
                case "serve" -> serve();
                case "rehearse" -> rehearse();
                // What is not deployed loads more, so nothing of it is named above.
                default -> System.exit(mulleinfront.cli.CommandLine.run(args));
            }
        } catch (Exception e) {
            System.err.println("mulleinfront: " + Adapter.plain(e));
            System.exit(1);
        }
    }

    /**
     * Returns once it serves. SIGTERM lets it finish what it has taken before the process ends; SIGHUP makes
     * it read its configuration again, also one that comes before it is ready.
     */
    private static void serve() throws Exception {
        logPlainly();
        String file = System.getenv("NODE_CONFIG");
        CompletableFuture<ClientProxy> started = new CompletableFuture<>();
        Signal.handle(new Signal("HUP"), hup -> started.thenAccept(proxy -> reload(proxy, file)));
        ClientProxy proxy = ClientProxy.start(Config.load(file));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> proxy.drain().awaitUninterruptibly()));
        started.complete(proxy);
    }

    /**
     * Starts as a client proxy does, refuses one request for want of hosts and ends: while it does, the build
     * lets the JVM note which classes a start needs, so that the deployed one has them at hand.
     */
    private static void rehearse() throws Exception {
        logPlainly();
        try (InputStream sample = Main.class.getResourceAsStream("/rehearsal.json")) {
            ClientProxy proxy = ClientProxy.start(Config.parse(sample.readAllBytes()));
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), proxy.port())) {
                client.getOutputStream().write(("GET /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n"
                        + "X-Class: sample\r\nX-Deadline-Ms: 100\r\nConnection: close\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                client.getInputStream().readAllBytes();
            }
            proxy.drain().awaitUninterruptibly();
        }
    }

    /** One at a time, since each signal has its own thread: the file as it is last must be taken last. */
    private static synchronized void reload(ClientProxy proxy, String file) {
        try {
            proxy.reload(Config.load(file));
        } catch (IOException | RuntimeException e) {
            System.err.println("mulleinfront: the configuration stays as it was: " + Adapter.plain(e));
        }
    }

    /**
     * What libraries have to say goes to standard error in plain lines. The platform's own form needs a file
     * for the time zone: a warning that descriptors have run out would end the thread that gives it.
     */
    private static void logPlainly() {
        LogManager.getLogManager().reset();
        Logger.getLogger("").addHandler(new Handler() {
            @Override
            public void publish(LogRecord line) {
                System.err.println("mulleinfront: " + line.getMessage()
                        + (line.getThrown() == null ? "" : ": " + line.getThrown()));
            }

            @Override
            public void flush() { }

            @Override
            public void close() { }
        });
    }
}
