package mulleinfront.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Resources that one process may use beyond the default deployment of one core, 192 MB and 1,024 file descriptors.
 *
 * @param loops number of event loops; each runs a client proxy of its own on the same port, with its own balancer,
 *        connections and discovery watch
 * @param sockets upper limit on file descriptors, applied in addition to the configuration's limit; 0 for no further
 *        limit
 */
public record ProcessSettings(int loops, int sockets) {
    /** Limit on the number of event loops; each is a thread that needs a core. */
    public static final int MAX_LOOPS = 64;
    /**
     * Heap budget of one descriptor, so that the default heap of 96 MB serves 1,024 descriptors. A busy client may
     * buffer 64 KB ahead of its responses, an endpoint's response takes up to 64 KB, and an idle connection about 6 KB.
     */
    public static final long HEAP_BYTES_PER_SOCKET = 96L * 1024;

    /**
     * Reads and validates a process settings file.
     *
     * @throws BadFileException naming file, line and reason
     */
    public static ProcessSettings load(Path file) throws BadFileException {
        String text;
        try {
            text = Files.readString(file);
        } catch (NoSuchFileException e) {
            throw new BadFileException(file + ": no such file");
        } catch (IOException e) {
            throw new BadFileException(file + ": can't be read (" + e.getMessage() + ")");
        }
        Section root = Section.root(file.toString(), text, null);
        int loops = root.count("loops", 1, 1);
        if (loops > MAX_LOOPS) {
            throw root.error("loops", "must be " + MAX_LOOPS + " at most");
        }
        ProcessSettings settings = new ProcessSettings(loops, root.count("sockets", 0, 0));
        root.rejectUnknownKeys();
        return settings;
    }

    /**
     * Returns the number of file descriptors that the process may use.
     *
     * @param descriptorLimit file descriptors that the platform grants
     * @param heapBytes maximum heap size
     */
    int maxSockets(int descriptorLimit, long heapBytes) {
        long heapLimit = Math.max(1, heapBytes / HEAP_BYTES_PER_SOCKET);
        return (int) Math.min(sockets == 0 ? descriptorLimit : Math.min(descriptorLimit, sockets), heapLimit);
    }

    /**
     * Returns the configuration of each event loop. Each loop counts as a separate balancer instance, with its own seed
     * and an equal share of the descriptors.
     *
     * @param config configuration of the process, with the platform's descriptor limit
     * @param heapBytes maximum heap size
     * @param ownSockets descriptors reserved for the process itself; included in each loop's share
     * @param loopSockets further descriptors reserved for each loop after the first
     * @throws BadFileException if a loop would get fewer than 2 descriptors
     */
    public List<Config> split(Config config, long heapBytes, int ownSockets, int loopSockets) throws BadFileException {
        int totalSockets = maxSockets(config.descriptorLimit(), heapBytes);
        int socketsPerLoop = (totalSockets - ownSockets - loopSockets * (loops - 1)) / loops;
        if (socketsPerLoop < 2) {
            throw new BadFileException("loops: " + loops + " event loops need more than the " + totalSockets
                    + " descriptors that its limits and heap (" + HEAP_BYTES_PER_SOCKET / 1024 + " KB each) allow");
        }
        return IntStream.range(0, loops)
                .mapToObj(i -> config.forLoop(i, loops, socketsPerLoop + ownSockets))
                .toList();
    }
}
