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
 * How far a store has got, in a small file beside it: two sectors written in turn, each a number and its
 * checksum, so that one torn by a loss of power leaves the other. The greater that is whole counts.
 */
final class Mark implements AutoCloseable {
    private static final int SECTOR = 512;

    private final FileChannel channel;
    private long number;

    private Mark(FileChannel channel, long number) {
        this.channel = channel;
        this.number = number;
    }

    /**
     * Opens it, or creates one at 0, whole or not at all.
     *
     * @throws IOException one line, if it is there and not whole
     */
    static Mark open(Path file) throws IOException {
        if (!Files.exists(file)) {
            Path fresh = file.resolveSibling(file.getFileName() + ".new");
            try (FileChannel c = FileChannel.open(
                    fresh, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
                write(c, sector(0), 0);
                write(c, sector(0), SECTOR);
                c.force(true);
            }
            Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE);
            try (FileChannel directory = FileChannel.open(file.toAbsolutePath().getParent())) {
                directory.force(true);
            }
        }
        FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
        long size = channel.size();
        long number = size == 2 * SECTOR ? Math.max(read(channel, 0), read(channel, SECTOR)) : -1;
        if (number < 0) {
            channel.close();
            throw new IOException(file + ": is not whole (" + size + " bytes)");
        }
        return new Mark(channel, number);
    }

    long number() {
        return number;
    }

    /** Makes a number durable. */
    void write(long next) throws IOException {
        write(channel, sector(next), next % 2 * SECTOR);
        channel.force(false);
        number = next;
    }

    private static void write(FileChannel channel, ByteBuffer bytes, long at) throws IOException {
        while (bytes.hasRemaining()) {
            at += channel.write(bytes, at);
        }
    }

    private static ByteBuffer sector(long number) {
        return ByteBuffer.allocate(SECTOR)
                .putLong(number)
                .putLong(checksum(number))
                .rewind();
    }

    private static long checksum(long number) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(Long.BYTES).putLong(number).array());
        return crc.getValue();
    }

    /** @return the number of the sector at an offset, or -1 if it isn't whole */
    private static long read(FileChannel channel, long at) throws IOException {
        ByteBuffer sector = ByteBuffer.allocate(2 * Long.BYTES);
        while (sector.hasRemaining() && channel.read(sector, at + sector.position()) > 0) {
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
