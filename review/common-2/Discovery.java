import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Discovery as PROTOCOL describes it: a watch is a chunked answer with one list a line, the whole list first, changes
 * afterwards, and an empty line every 2 s while nothing changes.
 */
final class Discovery implements AutoCloseable {
    /** One host of the list. */
    record Entry(String id, int port, String zone, String state, long startedMs) {
        String json() {
            return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                    + "\",\"kind\":\"new\",\"cell\":0,\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":" + startedMs
                    + "}";
        }
    }

    private ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    private final int port = listener.getLocalPort();
    private final Record record;
    private final List<Entry> entries = new ArrayList<>();
    private final List<Socket> watches = new ArrayList<>();
    private int version = 41;
    /** Open watches on which nothing is written any more. */
    private final Set<Socket> silentWatches = new HashSet<>();
    private boolean fallingSilent;
    /** Whether new calls are accepted and not answered. */
    private boolean unanswering;

    Discovery(Record record, List<Entry> initial) throws IOException {
        this.record = record;
        entries.addAll(initial);
        ServerSocket first = listener;
        daemon(() -> accept(first));
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return port;
    }

    /** Returns the whole list as JSON. */
    synchronized String whole() {
        return list(true, entries);
    }

    private String list(boolean full, List<Entry> named) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":["
                + String.join(",", named.stream().map(Entry::json).toList()) + "]}";
    }

    /** Changes an entry and tells it on all watches; returns when it has been written. */
    synchronized void change(Entry entry) {
        entries.removeIf(old -> old.id().equals(entry.id()));
        if (!entry.state().equals("terminated")) {
            entries.add(entry);
        }
        version++;
        record.line("discovery has %s", entry.json());
        for (Socket watch : List.copyOf(watches)) {
            if (!silentWatches.contains(watch)) {
                record.line("discovery tells it");
                send(watch, list(false, List.of(entry)) + "\n");
            }
        }
    }

    /**
     * All open watches fall silent after their next empty line; returns when that has come. New calls are answered.
     */
    synchronized void silenceOpenWatches() throws InterruptedException {
        fallingSilent = true;
        while (!silentWatches.containsAll(watches)) {
            wait();
        }
        fallingSilent = false;
        record.line("the open watches have had their last line and fall silent");
    }

    /**
     * Nothing is written any more, neither on open watches nor to new calls, as by an agent while discovery is down;
     * until {@link #speakAgain}.
     */
    synchronized void fallSilent() {
        record.line("discovery is down: its agent is silent");
        unanswering = true;
        silentWatches.addAll(watches);
    }

    /** Calls are answered again, those that wait too. */
    synchronized void speakAgain() {
        record.line("discovery is back");
        unanswering = false;
        notifyAll();
    }

    /** Ends all watches; until {@link #comeBack} new calls are refused. */
    synchronized void goDown() throws IOException {
        record.line("discovery is down: watches end, calls are refused");
        listener.close();
        for (Socket watch : List.copyOf(watches)) {
            watch.close();
        }
        watches.clear();
    }

    /** Discovery is there again at the same address, with all that has changed. */
    synchronized void comeBack() throws IOException {
        listener = new ServerSocket(port, 200, InetAddress.getByName("127.0.0.1"));
        ServerSocket next = listener;
        daemon(() -> accept(next));
        record.line("discovery is back");
    }

    private void accept(ServerSocket listening) {
        while (!listening.isClosed()) {
            try {
                Socket socket = listening.accept();
                daemon(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            Http.Message call = Http.readMessage(new BufferedInputStream(socket.getInputStream()));
            record.line("discovery call %s", call.startLine());
            synchronized (this) {
                while (unanswering) {
                    wait();
                }
                socket.getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                send(socket, whole() + "\n");
                if (!call.startLine().contains("watch=1")) {
                    socket.getOutputStream().write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    return;
                }
                watches.add(socket);
            }
            while (!socket.isClosed()) {
                Thread.sleep(2000);
                synchronized (this) {
                    if (!silentWatches.contains(socket)) {
                        send(socket, "\n");
                        if (fallingSilent) {
                            silentWatches.add(socket);
                            notifyAll();
                        }
                    }
                }
            }
        } catch (IOException | InterruptedException ended) {
            record.line("discovery call ended");
        }
    }

    private void send(Socket watch, String text) {
        try {
            OutputStream out = watch.getOutputStream();
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            out.write((Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
        } catch (IOException gone) {
            watches.remove(watch);
            try {
                watch.close();
            } catch (IOException ignored) {
                // It is closed already.
            }
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
