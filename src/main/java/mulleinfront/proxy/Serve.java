package mulleinfront.proxy;

import io.netty.util.concurrent.Future;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import mulleinfront.settings.Config;
import mulleinfront.settings.ControlFile;
import mulleinfront.settings.FleetFile;
import mulleinfront.settings.ProcessSettings;
import sun.misc.Signal;

/** The commands {@code serve} and {@code rehearse}: client proxies as a process, with signals, logging and shutdown. */
public final class Serve {
    private Serve() {}

    /**
     * Starts the client proxies of this process; returns once they serve. On SIGTERM the process finishes the requests
     * that it has accepted and ends. On SIGHUP it reloads its configuration; a SIGHUP during the start takes effect
     * after it.
     *
     * @param processFile the process settings (event loops and sockets), or null for one event loop as in deployment
     * @param fleetFile the fleet file, which makes the proxy a member; null for the one named in the configuration, if
     *     any
     * @param controlFile the control-plane file, whose configuration is watched; null for no configuration watch
     */
    public static void serve(String processFile, String fleetFile, String controlFile) throws Exception {
        ProcessStart.initialize();
        configureLogging();
        FatalErrors.endProcessOnFatalErrors();
        String file = System.getenv("NODE_CONFIG");
        CompletableFuture<List<ClientProxy>> started = new CompletableFuture<>();
        Signal.handle(new Signal("HUP"), signal -> started.thenAccept(proxies -> reload(proxies, file)));
        Config config = Config.load(file);
        ServerSocketChannel inheritedSocket = inheritedSocket(System.getenv("NODE_INHERITED_FD"));
        if (inheritedSocket != null && processFile != null) {
            throw new IOException(
                    "--machine can't be combined with NODE_INHERITED_FD: a socket belongs to one event loop");
        }
        String fleetPath = fleetFile == null ? config.fleetFile() : fleetFile;
        if (fleetPath != null && processFile != null) {
            throw new IOException(
                    "--machine can't be combined with a fleet: each event loop would be a separate member");
        }
        FleetFile fleetMember =
                fleetPath == null ? null : FleetFile.load(Path.of(fleetPath), Files.readAllBytes(Path.of(file)));
        ControlFile control = controlFile == null ? null : ControlFile.load(Path.of(controlFile));
        // Installed before clients can connect, so that requests accepted during the start are finished as well.
        List<ClientProxy> created = new CopyOnWriteArrayList<>();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            created.stream().map(ClientProxy::drain).toList().forEach(Future::awaitUninterruptibly);
        }));
        try {
            List<ClientProxy> proxies = processFile == null
                    ? List.of(ClientProxy.start(config, inheritedSocket, created::add))
                    : start(config, ProcessSettings.load(Path.of(processFile)), created::add);
            ClientProxy.openManagement(proxies);
            proxies.forEach(proxy -> proxy.processStarted(ProcessStart.elapsedUs()));
            if (fleetMember != null) {
                proxies.get(0).joinFleet(fleetMember);
            }
            if (control != null) {
                proxies.get(0).watchConfiguration(control, FleetFile.name(Files.readAllBytes(Path.of(file))), proxies);
            }
            started.complete(proxies);
        } catch (Exception failure) {
            // The start failed: the process ends with this error and drains nothing.
            created.clear();
            throw failure;
        }
    }

    /**
     * The listening socket that the process inherits at each start; null if there is none. Java can use an inherited
     * socket only as descriptor 0.
     */
    private static ServerSocketChannel inheritedSocket(String descriptor) throws IOException {
        if (descriptor == null || descriptor.isEmpty()) {
            return null;
        }
        if (!descriptor.equals("0")) {
            throw new IOException("NODE_INHERITED_FD: only descriptor 0 can be used, not " + descriptor);
        }
        if (System.inheritedChannel() instanceof ServerSocketChannel socket) {
            return socket;
        }
        throw new IOException("NODE_INHERITED_FD: descriptor 0 is not a listening socket");
    }

    /** Starts the client proxies of a process, one for each event loop; they listen on one port. */
    public static List<ClientProxy> start(Config config, ProcessSettings processSettings) throws Exception {
        return start(config, processSettings, onCreated -> {});
    }

    private static List<ClientProxy> start(
            Config config, ProcessSettings processSettings, Consumer<ClientProxy> onCreated) throws Exception {
        return ClientProxy.startAll(
                processSettings.split(
                        config,
                        Runtime.getRuntime().maxMemory(),
                        ClientProxy.RESERVED_SOCKETS,
                        ClientProxy.RESERVED_SOCKETS_PER_LOOP),
                onCreated);
    }

    /**
     * Starts a client proxy, refuses one request since there are no endpoints, and ends. The build runs this to let the
     * JVM record the classes that a start needs, for the class archive of the deployed process.
     */
    public static void warmUp() throws Exception {
        configureLogging();
        try (InputStream sample = Serve.class.getResourceAsStream("/rehearsal.json")) {
            ClientProxy proxy = ClientProxy.start(Config.parse(sample.readAllBytes()));
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), proxy.port())) {
                client.getOutputStream()
                        .write(("GET /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n"
                                        + "X-Class: sample\r\nX-Deadline-Ms: 100\r\nConnection: close\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                client.getInputStream().readAllBytes();
            }
            proxy.drain().awaitUninterruptibly();
        }
    }

    /** Synchronized, since each signal has its own thread: the latest state of the file must be applied last. */
    private static synchronized void reload(List<ClientProxy> proxies, String file) {
        try {
            Config changed = Config.load(file);
            proxies.forEach(proxy -> proxy.reload(changed));
        } catch (IOException | RuntimeException failure) {
            System.err.println("mulleinfront: reload failed, keeping the previous configuration: "
                    + Config.rootCauseMessage(failure));
        }
    }

    /**
     * Sends the libraries' log messages to standard error as plain lines. Java's own log format opens a time zone file:
     * a warning that the descriptors are exhausted would then end the thread that logs it.
     */
    static void configureLogging() {
        // By default Netty would use the logging library of the event log, which is loaded only where that is
        // configured.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        LogManager.getLogManager().reset();
        Logger.getLogger("").addHandler(new Handler() {
            @Override
            public void publish(LogRecord entry) {
                System.err.println("mulleinfront: " + entry.getMessage()
                        + (entry.getThrown() == null ? "" : ": " + entry.getThrown()));
                // The event loop catches what its tasks throw, and logs it.
                FatalErrors.endProcessIfFatal(entry.getThrown());
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        });
    }
}
