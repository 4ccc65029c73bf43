package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** One connection of the calling application to its client proxy: one request at a time. */
final class Client implements AutoCloseable {
    /**
     * What became of a request.
     *
     * @param status of the answer; 0 if there was no whole answer
     * @param body of a whole answer; else what had come of it
     * @param end how it ended: {@code whole}, {@code close}, {@code reset}, or {@code open} if nothing had ended it by
     *     the time that the client stopped waiting
     * @param tookMs time from the last byte of the request to this end, milliseconds
     */
    record Answer(int status, String body, String end, double tookMs) {}

    private final InetSocketAddress address;
    private Socket socket;

    Client(InetSocketAddress address) {
        this.address = address;
    }

    static String get(String id, String requestClass, String tenant, String key, long deadlineMs) {
        return head("GET", id, requestClass, tenant, key, deadlineMs) + "\r\n";
    }

    static String post(
            String id, String requestClass, String tenant, String key, long deadlineMs, String idempotency, String body) {
        return head("POST", id, requestClass, tenant, key, deadlineMs)
                + (idempotency == null ? "" : "Idempotency-Key: " + idempotency + "\r\n") + "Content-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    private static String head(
            String method, String id, String requestClass, String tenant, String key, long deadlineMs) {
        return method + " /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: " + id + "\r\nX-Class: " + requestClass
                + "\r\nX-Tenant: " + tenant + "\r\n" + (key == null ? "" : "X-Key: " + key + "\r\n")
                + "X-Deadline-Ms: " + deadlineMs + "\r\n";
    }

    /** Sends a request and waits for its answer, at most for the given time after its last byte. */
    Answer call(String request, long waitMs) throws IOException {
        if (socket == null) {
            socket = new Socket();
            socket.connect(address, 2_000);
            socket.setTcpNoDelay(true);
        }
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        return read(Record.ms(), waitMs);
    }

    private Answer read(double sentMs, long waitMs) {
        ByteArrayOutputStream seen = new ByteArrayOutputStream();
        int status = 0;
        try {
            InputStream in = socket.getInputStream();
            double end = sentMs + waitMs;
            String line = line(in, end);
            status = Integer.parseInt(line.split(" ")[1]);
            long length = -1;
            boolean chunked = false;
            boolean close = false;
            while (!(line = line(in, end)).isEmpty()) {
                String header = line.toLowerCase(Locale.ROOT);
                length = header.startsWith("content-length:") ? Long.parseLong(header.substring(15).strip()) : length;
                chunked |= header.startsWith("transfer-encoding:") && header.contains("chunked");
                close |= header.startsWith("connection:") && header.contains("close");
            }
            if (chunked) {
                for (int size; (size = Integer.parseInt(line(in, end), 16)) > 0; ) {
                    bytes(in, size, end, seen);
                    line(in, end);
                }
                line(in, end);
            } else {
                bytes(in, Math.max(0, length), end, seen);
            }
            if (close) {
                close();
            }
            return new Answer(status, seen.toString(StandardCharsets.UTF_8), "whole", Record.ms() - sentMs);
        } catch (IOException e) {
            close();
            String how = e instanceof SocketTimeoutException ? "open" : e instanceof EOFException ? "close" : "reset";
            return new Answer(0, seen.toString(StandardCharsets.UTF_8), how, Record.ms() - sentMs);
        }
    }

    private String line(InputStream in, double end) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int next; (next = next(in, end)) != '\n'; ) {
            if (next != '\r') {
                text.append((char) next);
            }
        }
        return text.toString();
    }

    private void bytes(InputStream in, long count, double end, ByteArrayOutputStream into) throws IOException {
        for (long i = 0; i < count; i++) {
            into.write(next(in, end));
        }
    }

    private int next(InputStream in, double end) throws IOException {
        if (in.available() == 0) {
            double left = end - Record.ms();
            if (left < 1) {
                throw new SocketTimeoutException();
            }
            socket.setSoTimeout((int) left);
        }
        int next = in.read();
        if (next < 0) {
            throw new EOFException();
        }
        return next;
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // It is closed already.
        }
        socket = null;
    }
}
