package mulleinfront.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import mulleinfront.proxy.SimulatedMembers;
import mulleinfront.settings.ControlFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code hollow}: runs many simulated members in one process, for {@code kit scale}. */
@Command(
        name = "hollow",
        mixinStandardHelpOptions = true,
        hidden = true,
        description = "Runs many client proxies without traffic in one process; NODE_CONFIG names a file with the path"
                + " of each one's configuration, one per line.")
final class HollowCommand implements Callable<Integer> {
    @Option(names = "--loops", defaultValue = "2", description = "number of shared event loops")
    private int loops;

    @Option(
            names = "--config-watch",
            paramLabel = "FILE",
            description = "control-plane file, to watch the fleet-wide configuration")
    private Path controlFile;

    @Override
    public Integer call() throws Exception {
        String listFile = System.getenv("NODE_CONFIG");
        if (listFile == null) {
            throw new IOException("NODE_CONFIG is not set");
        }
        List<Path> files = Files.readAllLines(Path.of(listFile)).stream()
                .filter(line -> !line.isBlank())
                .map(Path::of)
                .toList();
        SimulatedMembers members =
                SimulatedMembers.start(files, loops, controlFile == null ? null : ControlFile.load(controlFile));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                members.leave();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }));
        Thread.currentThread().join();
        return CommandLine.SUCCESS;
    }
}
