package mulleinfront.core;

/**
 * Accounts for the bytes that clients, endpoints and the requests between them make a client proxy hold: heads and
 * bodies that are incomplete, waiting and open requests, and data that waits to be written. Each connection may hold a
 * fraction of what is free (a dynamic threshold, as switches use for shared buffers), so the account does not overflow
 * however many connections there are, and what one connection holds takes little from the others.
 */
public final class MemoryAccount {
    /** What any connection may hold: a small request, so that ordinary clients are served beside any crowd. */
    static final int MIN_ALLOWANCE_BYTES = 4 * 1024;
    /** Fraction of the free bytes that one connection may hold. */
    private static final int ALLOWANCE_DIVISOR = 16;

    private static final long BYTES_PER_MB = 1_000_000;
    /** Memory of a process that holds nothing for others: the JVM with its code, and the smallest heap. */
    private static final long PROCESS_BYTES = 64 * BYTES_PER_MB;
    /** Memory of a connection that holds no data. */
    private static final long CONNECTION_BYTES = 8 * 1024;
    /** Heap that the collector needs for each byte held, in addition to garbage that is not collected yet. */
    private static final int HEAP_FACTOR = 4;

    private static final long MIN_LIMIT_BYTES = 2 * BYTES_PER_MB;
    private static final long MAX_LIMIT_BYTES = 16 * BYTES_PER_MB;

    private final long limitBytes;
    private long usedBytes;
    private long peakBytes;

    /**
     * Creates an account.
     *
     * @param limitBytes what all connections together may hold, bytes
     */
    public MemoryAccount(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Returns the limit of a process's account.
     *
     * @param memoryMb the platform's memory limit
     * @param sockets the platform's descriptor limit
     * @param processes number of processes that share the memory limit
     * @return the limit in bytes
     */
    public static long limitBytes(int memoryMb, int sockets, int processes) {
        long freeBytes = memoryMb * BYTES_PER_MB / processes - PROCESS_BYTES - sockets * CONNECTION_BYTES;
        return Math.max(MIN_LIMIT_BYTES, Math.min(MAX_LIMIT_BYTES, freeBytes / HEAP_FACTOR));
    }

    /** Adds bytes that are held from now on; a negative number of them is released. */
    public void add(long bytes) {
        usedBytes += bytes;
        peakBytes = Math.max(peakBytes, usedBytes);
    }

    /** Returns what one connection may hold now, bytes. */
    public long allowanceBytes() {
        return Math.max(MIN_ALLOWANCE_BYTES, (limitBytes - usedBytes) / ALLOWANCE_DIVISOR);
    }

    /** Returns the bytes that are held. */
    public long usedBytes() {
        return usedBytes;
    }

    /** Returns the most that has been held at one time, bytes. */
    public long peakBytes() {
        return peakBytes;
    }

    /** Returns whether more is held than the limit, so that only small requests are accepted. */
    public boolean isFull() {
        return usedBytes >= limitBytes;
    }
}
