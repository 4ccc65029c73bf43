import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages with a stated length, in chunks, or up to the end of the connection. */
final class Http {
    /** A message as read; header names are in lower case. */
    record Message(String startLine, Map<String, String> headers, byte[] body, long firstByteNanos) {
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Sets the time that a socket may wait for its next byte, so that a message that goes on for ever ends too. */
    private static final class Until extends FilterInputStream {
        private final Socket socket;
        private final long untilNanos;

        Until(InputStream in, Socket socket, long untilNanos) {
            super(in);
            this.socket = socket;
            this.untilNanos = untilNanos;
        }

        private void limit() throws IOException {
            long leftMs = (untilNanos - System.nanoTime()) / 1_000_000;
            if (leftMs <= 0) {
                throw new SocketTimeoutException("not whole in time");
            }
            socket.setSoTimeout((int) leftMs);
        }

        @Override
        public int read() throws IOException {
            limit();
            return super.read();
        }

        @Override
        public int read(byte[] bytes, int from, int length) throws IOException {
            limit();
            return super.read(bytes, from, length);
        }
    }

    private Http() {}

    /**
     * Reads the next message of a socket.
     *
     * @param in the socket's input, buffered
     * @param untilNanos the time by which it has to be whole, as told by {@link System#nanoTime}
     * @throws SocketTimeoutException if it is not whole by then
     * @throws EOFException if the connection ends before the message is whole
     */
    static Message readMessage(InputStream in, Socket socket, long untilNanos) throws IOException {
        return readMessage(new Until(in, socket, untilNanos));
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c; (c = in.read()) != '\n'; ) {
            if (c < 0) {
                throw new EOFException("ended in a line");
            }
            line.write(c);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    /**
     * Reads the next message.
     *
     * @throws EOFException if the connection ends before the message is whole
     */
    static Message readMessage(InputStream in) throws IOException {
        in.mark(1);
        if (in.read() < 0) {
            throw new EOFException("ended between messages");
        }
        in.reset();
        long firstByteNanos = System.nanoTime();
        String startLine = readLine(in);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line; !(line = readLine(in)).isEmpty(); ) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) {
                throw new EOFException("ended in a body");
            }
            body.write(bytes);
        } else if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            for (int length; (length = Integer.parseInt(readLine(in).trim(), 16)) > 0; ) {
                byte[] bytes = in.readNBytes(length);
                if (bytes.length < length) {
                    throw new EOFException("ended in a chunk");
                }
                body.write(bytes);
                readLine(in);
            }
            readLine(in);
        }
        return new Message(startLine, headers, body.toByteArray(), firstByteNanos);
    }
}
