package mulleinfront.proxy;

import io.netty.buffer.ByteBuf;

/**
 * Finds the end of a message head (RFC 9112, 2.1), so that a head is decoded when all of it has arrived: until then it
 * takes its own bytes, while decoded fields take many times theirs. Only the outline of each line is checked, which is
 * enough to reject noise before more of it arrives.
 */
final class HeadScanner {
    /** Size limit of a start line and its fields with their line ends. */
    static final int MAX_HEAD_BYTES = 16 * 1024;
    /** Size limit of a start line, as that of the codec. */
    static final int MAX_START_LINE_BYTES = 4 * 1024;

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';

    /** What the bytes read so far are. */
    enum Result {
        INCOMPLETE,
        COMPLETE,
        /** A line that no head contains. */
        UNSOUND,
        START_LINE_TOO_LONG,
        FIELDS_TOO_LONG
    }

    /** Offset of the first byte that has not been scanned. */
    private int scannedBytes;
    /** Offset of the line that is being scanned. */
    private int lineOffset;

    /** Prepares for the next head. */
    void reset() {
        scannedBytes = 0;
        lineOffset = 0;
    }

    /**
     * Scans what has arrived since the last call. Empty lines before the start line are consumed (RFC 9112, 2.2); all
     * else remains in the buffer.
     */
    Result scan(ByteBuf in) {
        if (scannedBytes == 0) {
            skipEmptyLines(in);
        }
        int start = in.readerIndex();
        for (int lineEnd; (lineEnd = in.indexOf(start + scannedBytes, in.writerIndex(), LINE_FEED)) >= 0; ) {
            Result result = scanLine(in, start + lineOffset, lineEnd);
            scannedBytes = lineEnd + 1 - start;
            lineOffset = scannedBytes;
            if (result != Result.INCOMPLETE) {
                return result;
            }
        }
        scannedBytes = in.readableBytes();
        if (lineOffset == 0 && scannedBytes > MAX_START_LINE_BYTES) {
            return Result.START_LINE_TOO_LONG;
        }
        return scannedBytes > MAX_HEAD_BYTES ? Result.FIELDS_TOO_LONG : Result.INCOMPLETE;
    }

    private static void skipEmptyLines(ByteBuf in) {
        while (in.isReadable() && isLineEnd(in.getByte(in.readerIndex()))) {
            in.skipBytes(1);
        }
    }

    private static boolean isLineEnd(byte b) {
        return b == CARRIAGE_RETURN || b == LINE_FEED;
    }

    private Result scanLine(ByteBuf in, int from, int lineFeed) {
        int to = lineFeed > from && in.getByte(lineFeed - 1) == CARRIAGE_RETURN ? lineFeed - 1 : lineFeed;
        if (from == to) {
            return Result.COMPLETE;
        }
        boolean startLine = lineOffset == 0;
        if (startLine && to - from > MAX_START_LINE_BYTES) {
            return Result.START_LINE_TOO_LONG;
        }
        boolean sound = startLine ? in.indexOf(from, to, (byte) '/') >= 0 : isField(in, from, to);
        return sound ? Result.INCOMPLETE : Result.UNSOUND;
    }

    /** Whether a line can be a field, or the continuation of one. */
    private static boolean isField(ByteBuf in, int from, int to) {
        byte first = in.getByte(from);
        return first == ' ' || first == '\t' || in.indexOf(from, to, (byte) ':') > from;
    }
}
