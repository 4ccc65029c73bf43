package mulleinfront.follow;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.atomic.AtomicReference;
import mulleinfront.config.Difference;
import mulleinfront.config.Version;
import mulleinfront.settings.DifferenceLine;

/**
 * The last good version on disk: written beside, forced and moved into place, so that there is always a whole
 * one; its checksum tells a damaged one. Writing has a thread of its own, since a disk may take its time and
 * the event loop may not; of several that wait the last one is written.
 */
final class KeptCopy {
    private static final String FILE = "configuration.json";
    /** A write that failed, for want of room say, is made again after this. */
    private static final long AGAIN_MS = 1_000;

    private final Path folder;
    private final AtomicReference<Version> waiting = new AtomicReference<>();
    private boolean said;

    KeptCopy(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
    }

    /** The version kept, or {@link Version#NONE} if there is none or it is damaged, which is said. */
    Version load() {
        Path file = folder.resolve(FILE);
        if (!Files.exists(file)) {
            return Version.NONE;
        }
        try {
            return DifferenceLine.kept(Files.readAllBytes(file));
        } catch (IOException e) {
            System.err.println("mulleinfront: " + file + ": not taken: "
                    + String.valueOf(e.getMessage()).replace('\n', ' '));
            return Version.NONE;
        }
    }

    /** Keeps it soon. */
    void keep(Version version) {
        if (waiting.getAndSet(version) == null) {
            Thread writer = new Thread(this::writeWaiting, "configuration copy");
            writer.setDaemon(true);
            writer.start();
        }
    }

    private synchronized void writeWaiting() {
        for (Version version; (version = waiting.get()) != null; ) {
            try {
                write(version);
                said = false;
                waiting.compareAndSet(version, null);
            } catch (IOException e) {
                if (!said) {
                    said = true;
                    System.err.println("mulleinfront: version " + version.number() + " can't be kept, tried on: " + e);
                }
                if (!sleep()) {
                    return;
                }
            }
        }
    }

    /** Before it is written once more: what was taken is owed until it is kept. */
    private static boolean sleep() {
        try {
            Thread.sleep(AGAIN_MS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void write(Version version) throws IOException {
        Path part = folder.resolve(FILE + ".part");
        try (FileChannel out = FileChannel.open(
                part, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.wrap(DifferenceLine.write(Difference.whole(version)));
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        Files.move(part, folder.resolve(FILE), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }
}
