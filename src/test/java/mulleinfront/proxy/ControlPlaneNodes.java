package mulleinfront.proxy;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import mulleinfront.FreePorts;
import mulleinfront.cli.CommandLine;
import mulleinfront.follow.ConfigWatcher;
import mulleinfront.settings.ControlFile;

/**
 * Three control-plane nodes as processes, and configuration subscribers in this process, each with a watch of its own
 * on a real socket.
 */
final class ControlPlaneNodes implements AutoCloseable {
    /** A configuration subscriber that records each active version and when it became active. */
    static final class Subscriber {
        final List<Long> activeVersions = new CopyOnWriteArrayList<>();
        final List<Long> activeAtNanos = new CopyOnWriteArrayList<>();
        ConfigWatcher watcher;
        EventLoop loop;

        long newestVersion() {
            return activeVersions.isEmpty() ? 0 : activeVersions.get(activeVersions.size() - 1);
        }

        /** When this version or a later one became active, in nanoseconds; -1 if none has yet. */
        long activationNanos(long version) {
            for (int i = 0; i < activeVersions.size(); i++) {
                if (activeVersions.get(i) >= version) {
                    return activeAtNanos.get(i);
                }
            }
            return -1;
        }
    }

    final Path folder;
    final Path controlFile;
    final Process[] nodes = new Process[3];
    final List<Subscriber> subscribers = new ArrayList<>();
    private final MultiThreadIoEventLoopGroup group;

    ControlPlaneNodes(Path folder) throws Exception {
        this(folder, true, 1);
    }

    /**
     * @param cacheCopies whether subscribers keep cached copies
     * @param loopCount number of event loops that the subscribers share
     */
    ControlPlaneNodes(Path folder, boolean cacheCopies, int loopCount) throws Exception {
        this.group = new MultiThreadIoEventLoopGroup(loopCount, NioIoHandler.newFactory());
        this.folder = folder;
        this.controlFile = folder.resolve("control.toml");
        StringBuilder toml = new StringBuilder(cacheCopies ? "state = \"" + folder.resolve("state") + "/%n\"\n" : "")
                .append("events = \"" + folder.resolve("events-%n.json") + "\"\n");
        for (int i = 1; i <= 3; i++) {
            toml.append("[[machine]]\nname = \"c")
                    .append(i)
                    .append("\"\nconsensus = \"127.0.0.1:")
                    .append(FreePorts.next())
                    .append("\"\ndoor = \"127.0.0.1:")
                    .append(FreePorts.next())
                    .append("\"\n");
        }
        Files.writeString(controlFile, toml);
    }

    void startNode(int node) throws Exception {
        List<String> command = new ArrayList<>(ServeTest.serveCommand());
        command.remove("serve");
        command.addAll(List.of(
                "keep",
                "--config",
                controlFile.toString(),
                "--me",
                String.valueOf(node),
                "--dir",
                folder.resolve("dir" + node).toString()));
        Path errors = folder.resolve("errors" + node);
        Files.deleteIfExists(errors);
        nodes[node - 1] =
                new ProcessBuilder(command).redirectError(errors.toFile()).start();
        await("machine " + node + " hands out", () -> readIfPresent(errors).contains("hands out on"));
    }

    void startAll() throws Exception {
        for (int i = 1; i <= 3; i++) {
            startNode(i);
        }
    }

    private static String readIfPresent(Path file) {
        try {
            return Files.exists(file) ? Files.readString(file) : "";
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** Kills a node without shutdown, as a power failure would. */
    void kill(int node) throws Exception {
        nodes[node - 1].destroyForcibly().waitFor();
    }

    static void signal(Process process, String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    /** Starts {@code count} further subscribers, each with a name of its own. */
    void addSubscribers(int count) throws Exception {
        ControlFile control = ControlFile.load(controlFile);
        for (int i = 0; i < count; i++) {
            Subscriber subscriber = new Subscriber();
            EventLoop loop = group.next();
            subscriber.loop = loop;
            subscriber.watcher = new ConfigWatcher(
                    loop,
                    UnpooledByteBufAllocator.DEFAULT,
                    control,
                    "r" + subscribers.size(),
                    ThreadLocalRandom.current().nextLong(),
                    (version, how) -> {
                        subscriber.activeVersions.add(version.number());
                        subscriber.activeAtNanos.add(System.nanoTime());
                    });
            subscribers.add(subscriber);
            subscriber.watcher.start();
        }
    }

    /** Runs a {@code config} command; returns its exit code, a line break and its output. */
    String runConfigCommand(String... arguments) {
        StringWriter output = new StringWriter();
        PrintWriter writer = new PrintWriter(output, true);
        List<String> commandLine = new ArrayList<>(List.of("config"));
        commandLine.addAll(List.of(arguments));
        commandLine.addAll(List.of("--config", controlFile.toString()));
        int exitCode = CommandLine.run(writer, writer, commandLine.toArray(String[]::new));
        return exitCode + "\n" + output;
    }

    /**
     * Proposes a configuration and requires that it is committed; returns the time before the proposal, in nanoseconds.
     */
    long propose(int number, String moreToml) throws Exception {
        Path toml =
                Files.writeString(folder.resolve("fleet-" + number + ".toml"), "number = " + number + "\n" + moreToml);
        long beforeNanos = System.nanoTime();
        String output = runConfigCommand("propose", toml.toString(), "--why", "number " + number);
        if (!output.equals("0\nversion " + number + " is decided\n")) {
            throw new AssertionError("expected version " + number + ": " + output);
        }
        return beforeNanos;
    }

    void awaitActiveEverywhere(long version) throws Exception {
        await(
                "all have version " + version,
                () -> subscribers.stream().allMatch(subscriber -> subscriber.newestVersion() >= version));
    }

    static void await(String description, BooleanSupplier condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(StandIns.TIMEOUT_S);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("timed out waiting for: " + description);
            }
            Thread.sleep(10);
        }
    }

    /** Checks that the versions of each subscriber only ever increased. */
    void checkVersionsIncrease() {
        for (Subscriber subscriber : subscribers) {
            for (int i = 1; i < subscriber.activeVersions.size(); i++) {
                if (subscriber.activeVersions.get(i) <= subscriber.activeVersions.get(i - 1)) {
                    throw new AssertionError(
                            "a subscriber went back to an older version: " + subscriber.activeVersions);
                }
            }
        }
    }

    InetSocketAddress clientAddress(int node) throws Exception {
        return ControlFile.load(controlFile).nodes().get(node - 1).clientAddress();
    }

    @Override
    public void close() throws Exception {
        for (Subscriber subscriber : subscribers) {
            subscriber.loop.submit(subscriber.watcher::close).await();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
        for (Process process : nodes) {
            if (process != null) {
                process.destroyForcibly().waitFor();
            }
        }
    }
}
