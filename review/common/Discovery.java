package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Discovery by PROTOCOL-peatpin.md: {@code GET /api/targets} gives the whole list, with {@code watch=1} a chunked
 * answer with one JSON object a line, and an empty line every 2 s while nothing changes.
 */
class Discovery {
    /** An entry of the list. */
    record Entry(String id, String addr, String zone, String kind, int cell, String state, long startedMs) {
        Entry with(String newState) {
            return new Entry(id, addr, zone, kind, cell, newState, startedMs);
        }

        String json() {
            return String.format(
                    java.util.Locale.ROOT,
                    "{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"kind\":\"%s\",\"cell\":%d,\"state\":\"%s\","
                            + "\"weight\":1.0,\"started_ms\":%d}",
                    id,
                    addr,
                    zone,
                    kind,
                    cell,
                    state,
                    startedMs);
        }
    }

    final String name;
    final ServerSocket listener;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Entry> history = new ArrayList<>();
    private final List<Watch> watches = new CopyOnWriteArrayList<>();

    Discovery(String name) throws IOException {
        this.name = name;
        this.listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        Threads.run(() -> {
            while (true) {
                Socket socket = listener.accept();
                Threads.run(() -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Adds or changes an entry and tells the open watches. */
    synchronized void put(Entry entry) {
        if (entry.state().equals("terminated")) {
            entries.remove(entry.id());
        } else {
            entries.put(entry.id(), entry);
        }
        history.add(entry);
        Record.line("%s: version %d: %s is %s", name, history.size(), entry.id(), entry.state());
        String line = json(history.size(), false, List.of(entry));
        watches.forEach(watch -> watch.lines.add(line));
    }

    synchronized int version() {
        return history.size();
    }

    synchronized String wholeList() {
        return json(history.size(), true, List.copyOf(entries.values()));
    }

    private static String json(int version, boolean full, List<Entry> servers) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":["
                + String.join(",", servers.stream().map(Entry::json).toList()) + "]}";
    }

    /** Resets all open watches. */
    void resetWatches() {
        for (Watch watch : watches) {
            watch.reset();
        }
    }

    /** Called before a call is answered; returns false if the call has been ended here. */
    boolean admit(Socket socket, String target) throws Exception {
        return true;
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            String requestLine = in.readLine();
            for (String line = requestLine; line != null && !line.isEmpty(); line = in.readLine()) {
                continue;
            }
            if (requestLine == null) {
                return;
            }
            String target = requestLine.split(" ")[1];
            Record.line("%s: call %s", name, target);
            if (!admit(socket, target)) {
                return;
            }
            if (!target.contains("watch=1")) {
                byte[] body = wholeList().getBytes(StandardCharsets.UTF_8);
                socket.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n"
                                        + "Content-Length: " + body.length + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                socket.getOutputStream().write(body);
                return;
            }
            int at = target.indexOf("after=");
            long after = at < 0 ? -1 : Long.parseLong(target.substring(at + 6).split("&")[0]);
            new Watch(socket).run(after);
        } catch (IOException e) {
            // The caller has closed.
        }
    }

    /** One watch. */
    private final class Watch {
        final LinkedBlockingQueue<String> lines = new LinkedBlockingQueue<>();
        private final Socket socket;

        Watch(Socket socket) {
            this.socket = socket;
        }

        void reset() {
            try {
                Record.line("%s: resets a watch", name);
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }

        void run(long after) throws IOException, InterruptedException {
            synchronized (Discovery.this) {
                List<Entry> missed =
                        after < 0 || after > history.size() ? null : history.subList((int) after, history.size());
                lines.add(missed == null ? wholeList() : json(history.size(), false, List.copyOf(missed)));
                watches.add(this);
            }
            try {
                OutputStream out = socket.getOutputStream();
                out.write(
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                while (true) {
                    String line = lines.poll(2, TimeUnit.SECONDS);
                    byte[] bytes = ((line == null ? "" : line) + "\n").getBytes(StandardCharsets.UTF_8);
                    byte[] head = (Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII);
                    byte[] chunk = new byte[head.length + bytes.length + 2];
                    System.arraycopy(head, 0, chunk, 0, head.length);
                    System.arraycopy(bytes, 0, chunk, head.length, bytes.length);
                    chunk[chunk.length - 2] = '\r';
                    chunk[chunk.length - 1] = '\n';
                    out.write(chunk);
                    if (line != null) {
                        Record.line("%s: wrote %s", name, line);
                    }
                }
            } finally {
                watches.remove(this);
            }
        }
    }
}
