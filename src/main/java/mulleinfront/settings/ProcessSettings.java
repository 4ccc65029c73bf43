package mulleinfront.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;

/**
 * What one process may use of a machine beyond the deployed one core, 192 MB and 1,024 descriptors.
 *
 * @param loops event loops, each a client proxy of its own on the same port, with its own module, connections and
 *        watch of discovery
 * @param sockets descriptors at most, whatever the configuration's limits allow; 0: as many as those allow
 */
public record ProcessSettings(int loops, int sockets) {
    /** The most event loops that are of use: each is a thread that wants a core. */
    public static final int MOST_LOOPS = 64;
    /**
     * Heap that a descriptor may come to need: the deployed 96 MB bear 1,024. Of that a busy client may hold 64 KB
     * ahead of its answers, a host's answer 64 KB, and a connection at rest some 6 KB.
     */
    public static final long HEAP_PER_SOCKET = 96L * 1024;

    /**
     * Reads a file.
     *
     * @throws BadFileException saying file, line and reason
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
        if (loops > MOST_LOOPS) {
            throw root.wrong("loops", "must be " + MOST_LOOPS + " at most");
        }
        ProcessSettings machine = new ProcessSettings(loops, root.count("sockets", 0, 0));
        root.done();
        return machine;
    }

    /**
     * Descriptors that a process may hold.
     *
     * @param limit what the platform allows
     * @param heapBytes the most that the heap may grow to
     */
    int mostSockets(int limit, long heapBytes) {
        long borne = Math.max(1, heapBytes / HEAP_PER_SOCKET);
        return (int) Math.min(sockets == 0 ? limit : Math.min(limit, sockets), borne);
    }

    /**
     * The configurations of the loops: each counts as an instance of its own, with its own part of the descriptors and
     * its own chance.
     *
     * @param config what the platform told, with {@link Config#limit} as it stands there
     * @param heapBytes the most that the heap may grow to
     * @param ownSockets descriptors that a process needs for itself, and each loop beyond the first
     * @param loopSockets descriptors that each further loop needs for itself
     */
    public List<Config> split(Config config, long heapBytes, int ownSockets, int loopSockets) throws BadFileException {
        int all = mostSockets(config.limit(), heapBytes);
        int each = (all - ownSockets - loopSockets * (loops - 1)) / loops;
        if (each < 2) {
            throw new BadFileException("loops: " + loops + " event loops need more than the " + all
                    + " descriptors that limits and memory (" + HEAP_PER_SOCKET / 1024 + " KB each) allow");
        }
        return IntStream.range(0, loops)
                .mapToObj(i -> config.part(i, loops, each + ownSockets))
                .toList();
    }
}
