package mulleinfront.kit;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * An address that is not there: connections to it never come up. Without privileges nothing can drop packets, but a
 * listener whose queue of connections is full and never emptied does (listen(2), tcp_abort_on_overflow is off): the
 * queue has room for one more than asked for, and it is filled at once.
 */
final class BlackHole implements AutoCloseable {
    private static final int FILL = 3;

    private final ServerSocketChannel listener;
    private final List<SocketChannel> fill = new ArrayList<>();

    BlackHole(InetSocketAddress address) throws IOException {
        listener = ServerSocketChannel.open();
        try {
            listener.bind(address, 1);
            for (int i = 0; i < FILL; i++) {
                SocketChannel one = SocketChannel.open();
                fill.add(one);
                one.configureBlocking(false);
                one.connect(address);
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
            for (SocketChannel one : fill) {
                one.close();
            }
        } catch (IOException e) {
            throw new IllegalStateException("a socket that can't be closed: " + e.getMessage(), e);
        }
    }
}
