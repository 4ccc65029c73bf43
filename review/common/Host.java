package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.BooleanSupplier;

/** A host by PROTOCOL-peatpin.md: one request at a time on a connection; a handler says how each is answered. */
final class Host {
    /** A request that has come whole. */
    record Request(String line, Map<String, String> headers, byte[] body, Socket socket) {
        String id() {
            return headers.get("x-request-id");
        }

        /** Whether a further byte has come on the connection. */
        boolean moreArrived() throws IOException {
            return socket.getInputStream().available() > 0;
        }

        void answer(String body) throws IOException {
            answer(200, "", body);
        }

        void answer(int status, String headers, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            send("HTTP/1.1 " + status + " x\r\nContent-Type: text/plain\r\nContent-Length: " + bytes.length + "\r\n"
                    + headers + "\r\n" + body);
        }

        void send(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
    }

    /** Answers a request, at its own pace, on the connection's thread. */
    interface Handler {
        void handle(Request request) throws Exception;
    }

    /** Of a long body only the first part is kept. */
    private static final int MAX_KEPT_BYTES = 65_536;

    final String id;
    private final ServerSocket listener;

    Host(String id, Handler handler) throws IOException {
        this(id, () -> false, handler);
    }

    /** @param hangs whether it hangs now: it reads nothing then */
    Host(String id, BooleanSupplier hangs, Handler handler) throws IOException {
        this.id = id;
        this.listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Threads.run(() -> {
            while (true) {
                Socket socket = listener.accept();
                Threads.run(() -> serve(socket, hangs, handler));
            }
        });
    }

    int port() {
        return listener.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    private static void serve(Socket socket, BooleanSupplier hangs, Handler handler) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            // Not buffered beyond a request, so that available() of the socket shows what has come behind it.
            InputStream in = socket.getInputStream();
            while (true) {
                Request request = read(in, socket, hangs);
                if (request == null) {
                    return;
                }
                if (request.line().startsWith("GET /-/healthy")) {
                    request.answer("");
                } else {
                    handler.handle(request);
                }
            }
        }
    }

    private static Request read(InputStream in, Socket socket, BooleanSupplier hangs)
            throws IOException, InterruptedException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int state = 0;
        while (state < 4) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.write(next);
            state = next == (state % 2 == 0 ? '\r' : '\n') ? state + 1 : next == '\r' ? 1 : 0;
        }
        String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = new byte[Math.min(length, MAX_KEPT_BYTES)];
        byte[] buffer = new byte[16_384];
        for (int read = 0; read < length; ) {
            while (hangs.getAsBoolean()) {
                Thread.sleep(20);
            }
            int count = in.read(buffer, 0, Math.min(buffer.length, length - read));
            if (count < 0) {
                return null;
            }
            if (read < body.length) {
                System.arraycopy(buffer, 0, body, read, Math.min(count, body.length - read));
            }
            read += count;
        }
        return new Request(lines[0], headers, body, socket);
    }

}
