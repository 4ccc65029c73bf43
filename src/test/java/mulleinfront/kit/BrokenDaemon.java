package mulleinfront.kit;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import mulleinfront.settings.Version;

/**
 * A minimal client proxy with a thread for each connection and the fixed list of its configuration. It misbehaves in
 * the way its argument names, to prove that the kit detects such faults.
 */
public final class BrokenDaemon {
    private static final List<InetSocketAddress> SERVERS = new ArrayList<>();
    private static final List<Socket> LEAKED = new ArrayList<>();
    private static String fault;

    private BrokenDaemon() {}

    /** Starts the proxy; the argument is {@code none} or the name of a fault. */
    public static void main(String... args) throws Exception {
        fault = args[0];
        InetSocketAddress listen = read(Path.of(System.getenv("NODE_CONFIG")));
        try (ServerSocket server = new ServerSocket(listen.getPort(), 1024, listen.getAddress())) {
            while (true) {
                Socket client = server.accept();
                Thread thread = new Thread(() -> serve(client));
                thread.setDaemon(true);
                thread.start();
            }
        }
    }

    private static InetSocketAddress read(Path config) throws IOException {
        InetSocketAddress listen = null;
        try (JsonParser in = new JsonFactory().createParser(Files.readAllBytes(config))) {
            for (JsonToken token; (token = in.nextToken()) != null; ) {
                if (token == JsonToken.VALUE_STRING && "listen".equals(in.currentName())) {
                    listen = address(in.getText());
                } else if (token == JsonToken.VALUE_STRING && "addr".equals(in.currentName())) {
                    SERVERS.add(address(in.getText()));
                }
            }
        }
        return listen;
    }

    private static InetSocketAddress address(String text) throws IOException {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                InetAddress.getByName(text.substring(0, colon)), Integer.parseInt(text.substring(colon + 1)));
    }

    private static void serve(Socket client) {
        try (client) {
            InputStream in = new BufferedInputStream(client.getInputStream());
            for (String head; !(head = head(in)).isEmpty(); ) {
                if (head.startsWith("GET /-/ready")) {
                    String version = fault.equals("other-version") ? "9.9.9" : Version.CURRENT;
                    write(
                            client,
                            "HTTP/1.1 200 OK\r\n" + Version.HEADER + ": " + version
                                    + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
                    return;
                }
                String answer = forward(head);
                write(client, answer);
                if (fault.equals("answers-twice")) {
                    write(client, answer);
                }
            }
        } catch (IOException e) {
            // The client disconnected.
        }
    }

    private static void write(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Forwards a request in one attempt, or in up to three with the fault that resends possibly executed requests. */
    private static String forward(String head) {
        String status = "502";
        for (int tries = fault.equals("resends") ? 3 : 1; tries > 0; tries--) {
            // Scenarios inject their fault into the first server of the list.
            int server =
                    fault.equals("floods") ? 0 : ThreadLocalRandom.current().nextInt(SERVERS.size());
            try (Socket socket = new Socket()) {
                socket.connect(SERVERS.get(server), 250);
                socket.setSoTimeout(900);
                write(socket, head);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                String answer = head(in);
                String body = new String(in.readNBytes(length(answer)), StandardCharsets.ISO_8859_1);
                if (fault.equals("leaks")) {
                    synchronized (LEAKED) {
                        LEAKED.add(new Socket(
                                SERVERS.get(server).getAddress(),
                                SERVERS.get(server).getPort()));
                    }
                }
                if (answer.contains(" 200 ")) {
                    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
                }
                status = fault.equals("calls-it-harmless") ? "503" : "502";
            } catch (IOException e) {
                status = fault.equals("calls-it-harmless") ? "503" : "502";
            }
        }
        return "HTTP/1.1 " + status + " x\r\nContent-Length: 0\r\n\r\n";
    }

    private static int length(String head) throws IOException {
        int at = head.indexOf("Content-Length: ");
        if (at < 0) {
            throw new IOException("no length in " + head);
        }
        return Integer.parseInt(head.substring(at + 16, head.indexOf('\r', at)));
    }

    /** Reads a message head with its blank line; empty at the end of input. Requests have no body here. */
    private static String head(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int ends = 0;
        for (int next; ends < 2 && (next = in.read()) >= 0; ) {
            head.write(next);
            ends = next == '\n' ? ends + 1 : next == '\r' ? ends : 0;
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }
}
