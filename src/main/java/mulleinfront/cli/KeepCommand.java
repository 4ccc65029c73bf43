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
import mulleinfront.handout.HandoutServer;
import mulleinfront.keep.ReplicaNode;
import mulleinfront.keep.ReplicaSettings;
import mulleinfront.settings.BadFileException;
import mulleinfront.settings.ControlFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code keep}: one of three control machines, until it is ended. */
@Command(
        name = "keep",
        mixinStandardHelpOptions = true,
        description = "One of three control machines: decides versions of the fleet's configuration with the"
                + " others,"
                + " keeps them and hands them out.",
        footer = {"", "Exit codes: 0 ended by SIGTERM; 1 it can't go on; 2 bad input."})
final class KeepCommand implements Callable<Integer> {
    /** How often it is looked whether it still takes part. */
    private static final long LOOK_MS = 200;

    @Spec
    private CommandSpec spec;

    @Option(names = "--config", required = true, paramLabel = "FILE", description = "such as deploy/control.toml")
    private Path config;

    @Option(names = "--me", required = true, paramLabel = "N", description = "which [[machine]] it is, from 1")
    private int me;

    @Option(
            names = "--dir",
            required = true,
            paramLabel = "DIR",
            description = "its own folder: the log of what was decided")
    private Path folder;

    @Override
    public Integer call() throws BadFileException, IOException, InterruptedException {
        ControlFile file = ControlFile.load(config);
        if (me < 1 || me > file.machines().size()) {
            throw new BadFileException(
                    "--me: must be from 1 to " + file.machines().size());
        }
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        ControlFile.Machine own = file.machines().get(me - 1);
        TreeMap<String, InetSocketAddress> keepers = new TreeMap<>();
        file.machines().forEach(m -> keepers.put(m.name(), m.consensus()));
        ReplicaSettings settings;
        try {
            settings = new ReplicaSettings(own.name(), keepers, folder);
        } catch (IllegalArgumentException e) {
            throw new BadFileException(config + ": " + e.getMessage());
        }
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        ReplicaNode node = new ReplicaNode(settings, loop);
        HandoutServer server;
        try {
            server = HandoutServer.start(
                    own.name(),
                    loop,
                    own.clientAddress(),
                    node,
                    file.handout(),
                    file.events() == null ? null : Path.of(file.events().replace("%n", own.name())));
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
                LOOK_MS,
                LOOK_MS,
                TimeUnit.MILLISECONDS);
        AtomicBoolean told = new AtomicBoolean();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            told.set(true);
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
                .println("mulleinfront: control machine " + own.name() + " hands out on "
                        + NetUtil.toSocketAddressString(server.address()));
        ended.await();
        if (told.get()) {
            return CommandLine.KEPT;
        }
        // Whoever watches it finds another; it takes no part until somebody has looked at its folder.
        throw new IOException(
                "control machine " + own.name() + " ends: " + node.status().fault());
    }
}
