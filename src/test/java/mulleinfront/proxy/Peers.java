package mulleinfront.proxy;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The other ends of a client proxy, as small as they can be: plain sockets that do what a test says. */
final class Peers {
    /** Bound of every wait; a test that passes waits for no more than it needs. */
    static final long PATIENCE_S = 30;

    private Peers() {}

    static <T> T next(BlockingQueue<T> queue, String what) throws InterruptedException {
        T got = queue.poll(PATIENCE_S, TimeUnit.SECONDS);
        if (got == null) {
            throw new AssertionError("never came: " + what);
        }
        return got;
    }

    /** A message as it came: its first line and headers in lower case names, and its body. */
    record Message(String first, List<String> headers, byte[] body) {
        String header(String name) {
            return headers.stream()
                    .filter(h -> h.toLowerCase(Locale.ROOT).startsWith(name + ":"))
                    .map(h -> h.substring(name.length() + 1).strip())
                    .findFirst()
                    .orElse(null);
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    /**
     * Reads one message with a Content-Length, in chunks or without a body; an end of the stream is an
     * {@link IOException}.
     */
    static Message read(InputStream in) throws IOException {
        Message bare = readHead(in);
        if ("chunked".equals(bare.header("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (byte[] chunk; (chunk = readChunk(in)).length > 0; ) {
                body.write(chunk);
            }
            return new Message(bare.first(), bare.headers(), body.toByteArray());
        }
        String stated = bare.header("content-length");
        int length = stated == null ? 0 : Integer.parseInt(stated);
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("ended in the body");
        }
        return new Message(bare.first(), bare.headers(), body);
    }

    /** Reads one chunk; the last one is empty. */
    static byte[] readChunk(InputStream in) throws IOException {
        StringBuilder size = new StringBuilder();
        for (int b; (b = in.read()) != '\n'; ) {
            if (b < 0) {
                throw new EOFException("ended before a chunk");
            }
            size.append((char) b);
        }
        byte[] chunk = in.readNBytes(Integer.parseInt(size.toString().strip(), 16));
        if (in.read() != '\r' || in.read() != '\n') {
            throw new EOFException("ended in a chunk");
        }
        return chunk;
    }

    static Message readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                throw new EOFException("ended after '" + head + "'");
            }
            head.write(b);
        }
        List<String> lines =
                List.of(head.toString(StandardCharsets.ISO_8859_1).strip().split("\r\n"));
        return new Message(lines.get(0), lines.subList(1, lines.size()), new byte[0]);
    }

    /** A listening peer: each message that comes is noted, then the script deals with it. */
    static final class Server implements AutoCloseable {
        final ServerSocket socket;
        final BlockingQueue<Seen> seen = new LinkedBlockingQueue<>();
        final List<Socket> connections = new CopyOnWriteArrayList<>();
        private final Consumer<Seen> script;

        Server(Consumer<Seen> script) throws IOException {
            this.script = script;
            this.socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            start(this::accept);
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        private static void start(Runnable task) {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            thread.start();
        }

        private final CompletableFuture<Void> deaf = new CompletableFuture<>();

        private void accept() {
            try {
                while (true) {
                    Socket s = socket.accept();
                    connections.add(s);
                    start(() -> serve(s));
                }
            } catch (IOException e) {
                // closed
                deaf.complete(null);
            }
        }

        /** Listens no more; returns once nobody takes a connection: a close alone leaves who waits for one a moment. */
        void listenNoMore() throws Exception {
            socket.close();
            deaf.get(PATIENCE_S, TimeUnit.SECONDS);
        }

        private void serve(Socket s) {
            CompletableFuture<Void> ended = new CompletableFuture<>();
            try {
                InputStream in = new BufferedInputStream(s.getInputStream());
                while (true) {
                    Seen one = new Seen(read(in), s, ended);
                    seen.add(one);
                    script.accept(one);
                }
            } catch (IOException e) {
                ended.complete(null);
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
            for (Socket s : connections) {
                s.close();
            }
        }
    }

    /** A message that a server got; {@code ended} is done when its connection is. */
    record Seen(Message message, Socket socket, CompletableFuture<Void> ended) {
        void write(String text) {
            try {
                socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                // the peer has closed
            }
        }

        void answer(int status, String headers, String body) {
            write("HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
        }

        void served(String body) {
            answer(200, "", body);
        }

        void notRun() {
            answer(503, "X-Not-Run: 1\r\n", "");
        }

        void finish() {
            try {
                socket.shutdownOutput();
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        }

        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        }

        void awaitEnd() throws Exception {
            ended.get(PATIENCE_S, TimeUnit.SECONDS);
        }
    }

    /** The application's end of one connection. */
    static final class Client implements AutoCloseable {
        final Socket socket;
        final InputStream in;

        Client(int port) throws IOException {
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setSoTimeout((int) PATIENCE_S * 1000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        Client write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        Client unsafe(String id, long deadlineMs) throws IOException {
            return write("POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: " + id
                    + "\r\nX-Class: unsafe\r\nX-Deadline-Ms: " + deadlineMs
                    + "\r\nContent-Length: 4\r\n\r\nbody");
        }

        Client safe(String id, long deadlineMs) throws IOException {
            return write("GET /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: " + id
                    + "\r\nX-Class: safe\r\nX-Deadline-Ms: " + deadlineMs + "\r\n\r\n");
        }

        Message read() throws IOException {
            return Peers.read(in);
        }

        /** The head of an answer; its body is left to be read from {@link #in}. */
        Message readHead() throws IOException {
            return Peers.readHead(in);
        }

        /** Whether the proxy has closed, with nothing more sent. */
        boolean closed() throws IOException {
            try {
                return in.read() < 0;
            } catch (SocketException e) {
                return true;
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Discovery: answers a watch when the test asks for it, and leaves it open for {@link #push}. */
    static final class Discovery implements AutoCloseable {
        final Server server = new Server(seen -> {});

        Discovery() throws IOException {}

        Seen asked() throws InterruptedException {
            Seen watch = next(server.seen, "a watch");
            watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            return watch;
        }

        static void push(Seen watch, String line) {
            watch.write(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** A host whose queue of connections is full, so that none comes up until {@link #hear}. */
    static final class Deaf implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final List<Socket> fill = new ArrayList<>();
        private Socket last;

        Deaf() throws Exception {
            for (int i = 0; i < 8; i++) {
                Socket s = new Socket();
                try {
                    s.connect(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), 1000);
                } catch (SocketTimeoutException full) {
                    s.close();
                    return;
                }
                fill.add(s);
            }
            throw new AssertionError("the queue never filled");
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        /** Takes the connections that fill the queue, and then the one that waited. */
        void hear() throws Exception {
            server.setSoTimeout((int) Peers.PATIENCE_S * 1000);
            for (int i = 0; i <= fill.size(); i++) {
                last = server.accept();
            }
        }

        InputStream in() throws IOException {
            last.setSoTimeout((int) Peers.PATIENCE_S * 1000);
            return last.getInputStream();
        }

        void write(String text) throws IOException {
            last.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        Message readHead() throws IOException {
            return Peers.readHead(in());
        }

        boolean silent() throws Exception {
            last.setSoTimeout((int) Peers.PATIENCE_S * 1000);
            return last.getInputStream().read() < 0;
        }

        @Override
        public void close() throws IOException {
            server.close();
            for (Socket s : fill) {
                s.close();
            }
        }
    }

    static String host(String id, String address, String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"east\","
                + "\"kind\":\"m\",\"cell\":1,\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    static String list(int version, boolean full, String... hosts) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", hosts) + "]}";
    }

    /** A configuration; {@code limits} are further ones, each with a comma before it. */
    static String config(int port, String discovery, String limits, String known) {
        String one = "{\"name\":\"%s\",\"effect\":\"%s\",\"dedupScope\":\"zone\",\"dedupWindowUs\":20000000,"
                + "\"onTimeUs\":20000000,\"deadlineUs\":20000000,\"worth\":1}";
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"known\":" + known
                + ",\"limits\":{\"cores\":1.0,\"sockets\":160},\"peers\":[],\"settings\":{"
                + "\"azs\":[\"west\",\"east\"],\"kinds\":[\"m\"],\"balancers\":3,"
                + "\"membershipMode\":\"subscribe\","
                + "\"customers\":[{\"name\":\"acme\",\"share\":1}],\"classes\":["
                + String.format(one, "safe", "retryable") + "," + String.format(one, "keyed", "dedup") + ","
                + String.format(one, "unsafe", "fragile") + "],\"limits\":{"
                + "\"maxAttempts\":4,\"mayCancel\":true,\"mayProbe\":true,\"retryAfter\":true,"
                + "\"maxRetryAfterUs\":2000000,\"dialTimeoutUs\":20000000"
                + limits + "},\"contract\":{\"askWithinUs\":10000000}}}";
    }
}
