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

/** {@code serve} and {@code rehearse}: client proxies as a process, with its signals, log and end. */
public final class Serve {
    private Serve() {}

    /**
     * Returns once it serves. SIGTERM lets it finish what it has taken before the process ends; SIGHUP makes
     * it read its configuration again, also one that comes before it is ready.
     *
     * @param machine the file that says what to use of a machine, or null: one event loop, as deployed
     * @param fleetFile the file that makes it a member of a fleet, or null: the one that the configuration names, if any
     * @param controlFile the file that says where the fleet's configuration is watched, or null: it is not
     */
    public static void serve(String machine, String fleetFile, String controlFile) throws Exception {
        ProcessStart.note();
        logPlainly();
        String file = System.getenv("NODE_CONFIG");
        CompletableFuture<List<ClientProxy>> started = new CompletableFuture<>();
        Signal.handle(new Signal("HUP"), hup -> started.thenAccept(proxies -> reload(proxies, file)));
        Config config = Config.load(file);
        ServerSocketChannel inherited = inherited(System.getenv("NODE_INHERITED_FD"));
        if (inherited != null && machine != null) {
            throw new IOException("--machine can't go with NODE_INHERITED_FD: one socket has one event loop");
        }
        String fleet = fleetFile == null ? config.fleet() : fleetFile;
        if (fleet != null && machine != null) {
            throw new IOException("--machine can't go with a fleet: each event loop would be a member of its own");
        }
        FleetFile member = fleet == null ? null : FleetFile.load(Path.of(fleet), Files.readAllBytes(Path.of(file)));
        ControlFile control = controlFile == null ? null : ControlFile.load(Path.of(controlFile));
        // Before anybody can connect: what is taken between the first connection and the end of the start counts too.
        List<ClientProxy> begun = new CopyOnWriteArrayList<>();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            begun.stream().map(ClientProxy::drain).toList().forEach(Future::awaitUninterruptibly);
        }));
        try {
            List<ClientProxy> proxies = machine == null
                    ? List.of(ClientProxy.start(config, inherited, begun::add))
                    : start(config, ProcessSettings.load(Path.of(machine)), begun::add);
            ClientProxy.operate(proxies);
            proxies.forEach(proxy -> proxy.processStarted(ProcessStart.agoUs()));
            if (member != null) {
                proxies.get(0).join(member);
            }
            if (control != null) {
                proxies.get(0).follow(control, FleetFile.name(Files.readAllBytes(Path.of(file))), proxies);
            }
            started.complete(proxies);
        } catch (Exception e) {
            // There is nothing to finish: the process ends by what went wrong.
            begun.clear();
            throw e;
        }
    }

    /**
     * The listening socket that the platform holds and every start inherits; null if there is none. The Java platform
     * can take up descriptor 0 and no other.
     */
    private static ServerSocketChannel inherited(String descriptor) throws IOException {
        if (descriptor == null || descriptor.isEmpty()) {
            return null;
        }
        if (!descriptor.equals("0")) {
            throw new IOException("NODE_INHERITED_FD: only descriptor 0 can be taken up, not " + descriptor);
        }
        if (System.inheritedChannel() instanceof ServerSocketChannel listening) {
            return listening;
        }
        throw new IOException("NODE_INHERITED_FD: descriptor 0 is no listening socket");
    }

    /** Starts the client proxies of a machine file; they listen on one port. */
    public static List<ClientProxy> start(Config config, ProcessSettings machine) throws Exception {
        return start(config, machine, begun -> {});
    }

    private static List<ClientProxy> start(Config config, ProcessSettings machine, Consumer<ClientProxy> begun)
            throws Exception {
        return ClientProxy.startAll(
                machine.split(
                        config, Runtime.getRuntime().maxMemory(), ClientProxy.OWN_SOCKETS, ClientProxy.LOOP_SOCKETS),
                begun);
    }

    /**
     * Starts as a client proxy does, refuses one request for want of hosts and ends: while it does, the build
     * lets the JVM note which classes a start needs, so that the deployed one has them at hand.
     */
    public static void warmUp() throws Exception {
        logPlainly();
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

    /** One at a time, since each signal has its own thread: the file as it is last must be taken last. */
    private static synchronized void reload(List<ClientProxy> proxies, String file) {
        try {
            Config changed = Config.load(file);
            proxies.forEach(proxy -> proxy.reload(changed));
        } catch (IOException | RuntimeException e) {
            System.err.println("mulleinfront: the configuration stays as it was: " + Config.rootCauseMessage(e));
        }
    }

    /**
     * What libraries have to say goes to standard error in plain lines. The platform's own form needs a file
     * for the time zone: a warning that descriptors have run out would end the thread that gives it.
     */
    private static void logPlainly() {
        // By itself Netty would take up the library that keeps event logs, which is loaded only where one is kept.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        LogManager.getLogManager().reset();
        Logger.getLogger("").addHandler(new Handler() {
            @Override
            public void publish(LogRecord line) {
                System.err.println("mulleinfront: " + line.getMessage()
                        + (line.getThrown() == null ? "" : ": " + line.getThrown()));
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        });
    }
}
