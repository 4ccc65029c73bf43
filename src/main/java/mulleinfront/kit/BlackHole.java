package mulleinfront.kit;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * An unresponsive address: connection attempts to it time out. Dropping packets needs privileges, but a listener with a
 * full accept queue has the same effect (listen(2), with tcp_abort_on_overflow off). The queue holds one connection
 * more than the requested backlog; the constructor fills it, and nothing accepts from it.
 */
final class BlackHole implements AutoCloseable {
    private static final int FILLER_CONNECTIONS = 3;

    private final ServerSocketChannel listener;
    private final List<SocketChannel> fillers = new ArrayList<>();

    BlackHole(InetSocketAddress address) throws IOException {
        listener = ServerSocketChannel.open();
        try {
            listener.bind(address, 1);
            for (int i = 0; i < FILLER_CONNECTIONS; i++) {
                SocketChannel filler = SocketChannel.open();
                fillers.add(filler);
                filler.configureBlocking(false);
                filler.connect(address);
            }
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    @Override
    public void close() {
        try {
            listener.close();
            for (SocketChannel filler : fillers) {
                filler.close();
            }
        } catch (IOException e) {
            throw new IllegalStateException("failed to close a socket: " + e.getMessage(), e);
        }
    }
}
