package mulleinfront.bench;

import com.sun.management.ThreadMXBean;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import mulleinfront.proxy.ClientProxy;
import mulleinfront.proxy.Serve;
import mulleinfront.settings.Config;
import mulleinfront.settings.ProcessSettings;

/**
 * One part of a benchmark as a process. It prints the ports where it listens, responds to each line on standard input
 * with its own resource usage, and exits when standard input closes. {@link Handle} is the parent's side.
 */
public final class Child {
    private Child() {}

    /** Resources that a process has used since its start. */
    record ResourceUsage(long cpuNanos, long allocatedBytes) {
        ResourceUsage since(ResourceUsage before) {
            return new ResourceUsage(cpuNanos - before.cpuNanos, allocatedBytes - before.allocatedBytes);
        }
    }

    /**
     * Runs the part that the arguments name.
     *
     * @param args {@code hosts COUNT MICROS}, {@code timed COUNT MICROS}, {@code relay PORT} or
     *        {@code proxy CONFIG-JSON LOOPS}
     */
    public static void main(String... args) throws Exception {
        String ports;
        switch (args[0]) {
            case "hosts", "timed" -> {
                EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
                List<String> all = new ArrayList<>();
                for (int i = 0; i < Integer.parseInt(args[1]); i++) {
                    long micros = Long.parseLong(args[2]);
                    all.add(""
                            + (args[0].equals("timed")
                                    ? TimedServer.listen(group, micros)
                                    : StandIn.server(group, micros)));
                }
                ports = String.join(",", all);
            }
            case "relay" ->
                ports = ""
                        + StandIn.relay(
                                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()),
                                Integer.parseInt(args[1]));
            case "proxy" -> {
                Config config = Config.parse(args[1].getBytes(StandardCharsets.UTF_8));
                int loops = Integer.parseInt(args[2]);
                ports = ""
                        + (loops == 1
                                        ? ClientProxy.start(config)
                                        : Serve.start(config, new ProcessSettings(loops, 0))
                                                .get(0))
                                .port();
            }
            default -> throw new IllegalArgumentException("unknown part " + args[0]);
        }
        System.out.println(ports);
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        var system = (com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII));
        while (in.readLine() != null) {
            long allocated = 0;
            for (long bytes : threads.getThreadAllocatedBytes(threads.getAllThreadIds())) {
                allocated += Math.max(0, bytes);
            }
            System.out.println(system.getProcessCpuTime() + " " + allocated);
        }
        System.exit(0);
    }

    /** A child process as its parent sees it. */
    static final class Handle implements AutoCloseable {
        private final Process process;
        private final BufferedReader out;
        final List<Integer> ports = new ArrayList<>();

        /**
         * Starts a part.
         *
         * @param cpus processors to pin the process to, or empty; applied only where {@code taskset} is installed
         */
        Handle(String cpus, List<String> jvm, String... args) throws IOException {
            List<String> command = new ArrayList<>();
            if (!cpus.isEmpty() && Path.of("/usr/bin/taskset").toFile().canExecute()) {
                command.addAll(List.of("/usr/bin/taskset", "-c", cpus));
            }
            command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
            command.addAll(jvm);
            command.addAll(List.of("-cp", System.getProperty("java.class.path"), Child.class.getName()));
            command.addAll(List.of(args));
            process = new ProcessBuilder(command)
                    .redirectError(ProcessBuilder.Redirect.DISCARD)
                    .start();
            out = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.US_ASCII));
            String line = out.readLine();
            while (line != null && !line.matches("[0-9,]+")) {
                line = out.readLine(); // Skips output of the JVM itself, such as a profiler's.
            }
            if (line == null) {
                throw new IOException("child process " + args[0] + " did not start");
            }
            for (String port : line.split(",")) {
                ports.add(Integer.parseInt(port));
            }
        }

        ResourceUsage resourceUsage() {
            try {
                process.getOutputStream().write('\n');
                process.getOutputStream().flush();
                String[] words = out.readLine().split(" ");
                return new ResourceUsage(Long.parseLong(words[0]), Long.parseLong(words[1]));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public void close() {
            process.destroyForcibly();
        }
    }
}
