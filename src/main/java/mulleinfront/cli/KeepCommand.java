package mulleinfront.cli;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.NetUtil;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import mulleinfront.handout.ConfigServer;
import mulleinfront.keep.ReplicaNode;
import mulleinfront.keep.ReplicaSettings;
import mulleinfront.settings.BadFileException;
import mulleinfront.settings.ControlFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code keep}: runs one of the three control-plane nodes until the process is terminated. */
@Command(
        name = "keep",
        mixinStandardHelpOptions = true,
        description = "Runs one of three control-plane nodes, which commit versions of the fleet-wide configuration"
                + " together,"
                + " store them and distribute them.",
        footer = {"", "Exit codes: 0 terminated by SIGTERM; 1 fatal error; 2 bad input."})
final class KeepCommand implements Callable<Integer> {
    /** Interval between checks whether the replica has failed. */
    private static final long HEALTH_CHECK_INTERVAL_MS = 200;

    @Spec
    private CommandSpec spec;

    @Option(names = "--config", required = true, paramLabel = "FILE", description = "such as deploy/control.toml")
    private Path config;

    @Option(
            names = "--me",
            required = true,
            paramLabel = "N",
            description = "number of this node's [[machine]] entry, from 1")
    private int nodeNumber;

    @Option(
            names = "--dir",
            required = true,
            paramLabel = "DIR",
            description = "data directory of this node, with its log")
    private Path directory;

    @Override
    public Integer call() throws BadFileException, IOException, InterruptedException {
        ControlFile file = ControlFile.load(config);
        if (nodeNumber < 1 || nodeNumber > file.nodes().size()) {
            throw new BadFileException("--me: must be from 1 to " + file.nodes().size());
        }
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        ControlFile.Node self = file.nodes().get(nodeNumber - 1);
        TreeMap<String, InetSocketAddress> replicas = new TreeMap<>();
        file.nodes().forEach(node -> replicas.put(node.name(), node.consensus()));
        ReplicaSettings settings;
        try {
            settings = new ReplicaSettings(self.name(), replicas, directory);
        } catch (IllegalArgumentException e) {
            throw new BadFileException(config + ": " + e.getMessage());
        }
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        ReplicaNode node = new ReplicaNode(settings, loop);
        ConfigServer server;
        try {
            server = ConfigServer.start(
                    self.name(),
                    loop,
                    self.clientAddress(),
                    node,
                    file.publisher(),
                    file.eventLogFile() == null
                            ? null
                            : Path.of(file.eventLogFile().replace("%n", self.name())));
        } catch (IOException e) {
            loop.submit(node::close).await();
            group.shutdownGracefully();
            throw e;
        }
        loop.execute(node::start);
        CountDownLatch ended = new CountDownLatch(1);
        loop.scheduleWithFixedDelay(
                () -> {
                    if (node.status().fault() != null) {
                        ended.countDown();
                    }
                },
                HEALTH_CHECK_INTERVAL_MS,
                HEALTH_CHECK_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
        AtomicBoolean terminated = new AtomicBoolean();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            terminated.set(true);
            try {
                server.close();
                loop.submit(node::close).await();
            } catch (IOException | InterruptedException e) {
                System.err.println("mulleinfront: " + e);
            }
            ended.countDown();
        }));
        spec.commandLine()
                .getErr()
                .println("mulleinfront: control-plane node " + self.name() + " hands out on "
                        + NetUtil.toSocketAddressString(server.address()));
        ended.await();
        if (terminated.get()) {
            return CommandLine.SUCCESS;
        }
        // Subscribers fail over to another node. The failed replica stays out until an operator checks its data
        // directory.
        throw new IOException("control-plane node " + self.name() + " failed: "
                + node.status().fault());
    }
}
