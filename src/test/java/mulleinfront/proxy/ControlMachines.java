package mulleinfront.proxy;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import mulleinfront.cli.CommandLine;
import mulleinfront.follow.ConfigWatcher;
import mulleinfront.settings.ControlFile;

/**
 * Three control machines as processes, and readers in this one, each with a watch of its own on a real
 * socket.
 */
final class ControlMachines implements AutoCloseable {
    /** One that follows and notes what is in force, and when. */
    static final class Reader {
        final List<Long> history = new CopyOnWriteArrayList<>();
        final List<Long> atNanos = new CopyOnWriteArrayList<>();
        ConfigWatcher following;
        EventLoop loop;

        long newest() {
            return history.isEmpty() ? 0 : history.get(history.size() - 1);
        }

        /** When a version or a later one was in force; below 0: not yet. */
        long at(long version) {
            for (int i = 0; i < history.size(); i++) {
                if (history.get(i) >= version) {
                    return atNanos.get(i);
                }
            }
            return -1;
        }
    }

    final Path folder;
    final Path file;
    final Process[] machines = new Process[3];
    final List<Reader> readers = new ArrayList<>();
    private final MultiThreadIoEventLoopGroup group;

    ControlMachines(Path folder) throws Exception {
        this(folder, true, 1);
    }

    /**
     * @param keep whether readers keep copies
     * @param loops event loops of the readers
     */
    ControlMachines(Path folder, boolean keep, int loops) throws Exception {
        this.group = new MultiThreadIoEventLoopGroup(loops, NioIoHandler.newFactory());
        this.folder = folder;
        this.file = folder.resolve("control.toml");
        StringBuilder text = new StringBuilder(keep ? "state = \"" + folder.resolve("state") + "/%n\"\n" : "")
                .append("events = \"" + folder.resolve("events-%n.json") + "\"\n");
        Set<Integer> ports = new HashSet<>();
        for (int i = 1; i <= 3; i++) {
            text.append("[[machine]]\nname = \"c")
                    .append(i)
                    .append("\"\nconsensus = \"127.0.0.1:")
                    .append(port(ports))
                    .append("\"\ndoor = \"127.0.0.1:")
                    .append(port(ports))
                    .append("\"\n");
        }
        Files.writeString(file, text);
    }

    /** One that nobody has now; below those that the system gives out itself. */
    private static int port(Set<Integer> not) {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(20_000, 30_000);
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                if (not.add(port)) {
                    return s.getLocalPort();
                }
            } catch (java.io.IOException e) {
                // taken: try another
            }
        }
    }

    void start(int machine) throws Exception {
        List<String> command = new ArrayList<>(ServeTest.command());
        command.remove("serve");
        command.addAll(List.of(
                "keep",
                "--config",
                file.toString(),
                "--me",
                String.valueOf(machine),
                "--dir",
                folder.resolve("dir" + machine).toString()));
        Path errors = folder.resolve("errors" + machine);
        Files.deleteIfExists(errors);
        machines[machine - 1] =
                new ProcessBuilder(command).redirectError(errors.toFile()).start();
        await("machine " + machine + " hands out", () -> text(errors).contains("hands out on"));
    }

    void startAll() throws Exception {
        for (int i = 1; i <= 3; i++) {
            start(i);
        }
    }

    private static String text(Path file) {
        try {
            return Files.exists(file) ? Files.readString(file) : "";
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** At once, as a machine that loses its power. */
    void kill(int machine) throws Exception {
        machines[machine - 1].destroyForcibly().waitFor();
    }

    static void signal(Process process, String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    /** So many more that follow, with names of their own. */
    void follow(int count) throws Exception {
        ControlFile control = ControlFile.load(file);
        for (int i = 0; i < count; i++) {
            Reader reader = new Reader();
            EventLoop loop = group.next();
            reader.loop = loop;
            reader.following = new ConfigWatcher(
                    loop,
                    UnpooledByteBufAllocator.DEFAULT,
                    control,
                    "r" + readers.size(),
                    ThreadLocalRandom.current().nextLong(),
                    (v, how) -> {
                        reader.history.add(v.number());
                        reader.atNanos.add(System.nanoTime());
                    });
            readers.add(reader);
            reader.following.start();
        }
    }

    /** What the command line says: its exit code, a line's end, its output. */
    String config(String... words) {
        StringWriter text = new StringWriter();
        PrintWriter out = new PrintWriter(text, true);
        List<String> all = new ArrayList<>(List.of("config"));
        all.addAll(List.of(words));
        all.addAll(List.of("--config", file.toString()));
        int code = CommandLine.run(out, out, all.toArray(String[]::new));
        return code + "\n" + text;
    }

    /** Has a file decided; gives the instant before it was proposed. */
    long propose(int number, String more) throws Exception {
        Path toml = Files.writeString(folder.resolve("fleet-" + number + ".toml"), "number = " + number + "\n" + more);
        long before = System.nanoTime();
        String said = config("propose", toml.toString(), "--why", "number " + number);
        if (!said.equals("0\nversion " + number + " is decided\n")) {
            throw new AssertionError("not version " + number + ": " + said);
        }
        return before;
    }

    void awaitAll(long version) throws Exception {
        await("all have version " + version, () -> readers.stream().allMatch(r -> r.newest() >= version));
    }

    static void await(String what, BooleanSupplier is) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Peers.PATIENCE_S);
        while (!is.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("never: " + what);
            }
            Thread.sleep(10);
        }
    }

    /** Nobody ever had an older version after a newer one. */
    void check() {
        for (Reader r : readers) {
            for (int i = 1; i < r.history.size(); i++) {
                if (r.history.get(i) <= r.history.get(i - 1)) {
                    throw new AssertionError("a reader went back: " + r.history);
                }
            }
        }
    }

    InetSocketAddress door(int machine) throws Exception {
        return ControlFile.load(file).machines().get(machine - 1).clientAddress();
    }

    @Override
    public void close() throws Exception {
        for (Reader r : readers) {
            r.loop.submit(r.following::close).await();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
        for (Process p : machines) {
            if (p != null) {
                p.destroyForcibly().waitFor();
            }
        }
    }
}
