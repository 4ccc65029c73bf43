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
 * Cached copy of the last good version on disk. It is written to a temporary file, forced to disk and moved into
 * place, so that there is always a complete file; the checksum detects a damaged one. A separate thread writes,
 * because the disk may be slow and must not block the event loop. If several versions are pending, only the last one
 * is written.
 */
final class CachedCopy {
    private static final String FILE_NAME = "configuration.json";
    /** Delay before a failed write, for example on a full disk, is retried. */
    private static final long RETRY_DELAY_MS = 1_000;

    private final Path folder;
    private final AtomicReference<Version> pendingVersion = new AtomicReference<>();
    private boolean failureReported;

    CachedCopy(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
    }

    /**
     * Reads the cached version.
     *
     * @return that version, or {@link Version#NONE} if there is none or the file can't be read or is damaged, which
     *         is reported on standard error
     */
    Version load() {
        Path file = folder.resolve(FILE_NAME);
        if (!Files.exists(file)) {
            return Version.NONE;
        }
        try {
            return DifferenceLine.readCached(Files.readAllBytes(file));
        } catch (IOException e) {
            System.err.println("mulleinfront: " + file + ": cached configuration ignored: "
                    + String.valueOf(e.getMessage()).replace('\n', ' '));
            return Version.NONE;
        }
    }

    /** Writes a version in the background. */
    void save(Version version) {
        if (pendingVersion.getAndSet(version) == null) {
            Thread writer = new Thread(this::writePending, "configuration copy");
            writer.setDaemon(true);
            writer.start();
        }
    }

    private synchronized void writePending() {
        for (Version version; (version = pendingVersion.get()) != null; ) {
            try {
                write(version);
                failureReported = false;
                pendingVersion.compareAndSet(version, null);
            } catch (IOException e) {
                if (!failureReported) {
                    failureReported = true;
                    System.err.println(
                            "mulleinfront: version " + version.number() + " can't be written to disk, retrying: " + e);
                }
                if (!waitForRetry()) {
                    return;
                }
            }
        }
    }

    /** Waits before the next attempt to write. Returns false if the thread was interrupted. */
    private static boolean waitForRetry() {
        try {
            Thread.sleep(RETRY_DELAY_MS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void write(Version version) throws IOException {
        Path temporaryFile = folder.resolve(FILE_NAME + ".part");
        try (FileChannel out = FileChannel.open(
                temporaryFile,
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.wrap(DifferenceLine.write(Difference.full(version)));
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        Files.move(
                temporaryFile,
                folder.resolve(FILE_NAME),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }
}
