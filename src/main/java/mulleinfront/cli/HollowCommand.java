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

/** {@code hollow}: many client proxies in one process, for {@code kit scale}. */
@Command(
        name = "hollow",
        mixinStandardHelpOptions = true,
        hidden = true,
        description = "Runs many client proxies that nobody calls in one process; NODE_CONFIG names a file that names"
                + " the configuration of each, one a line.")
final class HollowCommand implements Callable<Integer> {
    @Option(names = "--loops", defaultValue = "2", description = "event loops that they share")
    private int loops;

    @Option(names = "--config-watch", paramLabel = "FILE", description = "where the fleet's configuration is watched")
    private Path control;

    @Override
    public Integer call() throws Exception {
        String list = System.getenv("NODE_CONFIG");
        if (list == null) {
            throw new IOException("NODE_CONFIG is not set");
        }
        List<Path> files = Files.readAllLines(Path.of(list)).stream()
                .filter(l -> !l.isBlank())
                .map(Path::of)
                .toList();
        SimulatedMembers all = SimulatedMembers.start(files, loops, control == null ? null : ControlFile.load(control));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                all.leave();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }));
        Thread.currentThread().join();
        return CommandLine.KEPT;
    }
}
