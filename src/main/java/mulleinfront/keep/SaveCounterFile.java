package mulleinfront.keep;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32C;

/**
 * A small file beside the log store with the number of saves made so far. It has two sectors that are written
 * alternately, each with the number and its checksum, so that a write torn by a power failure leaves the other
 * sector intact. The greater number with a correct checksum is valid.
 */
final class SaveCounterFile implements AutoCloseable {
    private static final int SECTOR_BYTES = 512;

    private final FileChannel channel;
    private long saveCount;

    private SaveCounterFile(FileChannel channel, long saveCount) {
        this.channel = channel;
        this.saveCount = saveCount;
    }

    /**
     * Opens the file, or creates it atomically with the number 0.
     *
     * @throws IOException with a message of one line, if the file exists but has a wrong size or no sector with
     *        a correct checksum
     */
    static SaveCounterFile open(Path file) throws IOException {
        if (!Files.exists(file)) {
            Path newFile = file.resolveSibling(file.getFileName() + ".new");
            try (FileChannel newChannel = FileChannel.open(
                    newFile,
                    StandardOpenOption.CREATE,
                    StandardOpenOption.WRITE,
                    StandardOpenOption.TRUNCATE_EXISTING)) {
                write(newChannel, sector(0), 0);
                write(newChannel, sector(0), SECTOR_BYTES);
                newChannel.force(true);
            }
            Files.move(newFile, file, StandardCopyOption.ATOMIC_MOVE);
            try (FileChannel directory = FileChannel.open(file.toAbsolutePath().getParent())) {
                directory.force(true);
            }
        }
        FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
        long size = channel.size();
        long saveCount =
                size == 2 * SECTOR_BYTES ? Math.max(readSector(channel, 0), readSector(channel, SECTOR_BYTES)) : -1;
        if (saveCount < 0) {
            channel.close();
            throw new IOException(file + ": is damaged or incomplete (" + size + " bytes)");
        }
        return new SaveCounterFile(channel, saveCount);
    }

    long saveCount() {
        return saveCount;
    }

    /** Writes a number and forces it to the disk. */
    void write(long newSaveCount) throws IOException {
        write(channel, sector(newSaveCount), newSaveCount % 2 * SECTOR_BYTES);
        channel.force(false);
        saveCount = newSaveCount;
    }

    private static void write(FileChannel channel, ByteBuffer bytes, long offset) throws IOException {
        while (bytes.hasRemaining()) {
            offset += channel.write(bytes, offset);
        }
    }

    private static ByteBuffer sector(long number) {
        return ByteBuffer.allocate(SECTOR_BYTES)
                .putLong(number)
                .putLong(checksum(number))
                .rewind();
    }

    private static long checksum(long number) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(Long.BYTES).putLong(number).array());
        return crc.getValue();
    }

    /** @return the number in the sector at an offset, or -1 if the sector is incomplete or damaged */
    private static long readSector(FileChannel channel, long offset) throws IOException {
        ByteBuffer sector = ByteBuffer.allocate(2 * Long.BYTES);
        while (sector.hasRemaining() && channel.read(sector, offset + sector.position()) > 0) {
            continue;
        }
        if (sector.hasRemaining()) {
            return -1;
        }
        long number = sector.flip().getLong();
        return number >= 0 && sector.getLong() == checksum(number) ? number : -1;
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
