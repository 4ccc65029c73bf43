package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import java.io.File;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;

/** The listening socket's end. Alone: it counts the descriptors of the whole process, those of other tests too. */
@Isolated
class ClientChannelTest {
    private static int descriptors() {
        return new File("/proc/self/fd").list().length;
    }

    @Test
    void whatWaitsIsTakenWithoutHoldingMoreThanAReadOfIt() throws Exception {
        // Guards the limit on descriptors: one that is closed to make room is freed with the loop's next select.
        int waiting = 300;
        int[] taken = new int[1];
        int[] most = new int[1];
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        List<Socket> clients = new ArrayList<>();
        try {
            EventLoop loop = group.next();
            ClientChannel.Listener listener = (ClientChannel.Listener) new ServerBootstrap()
                    .group(loop)
                    .channelFactory(() -> new ClientChannel.Listener(null, n -> {}))
                    .option(ChannelOption.SO_BACKLOG, 1024)
                    .option(ChannelOption.AUTO_READ, false)
                    .childHandler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel ch) {
                            taken[0]++;
                            most[0] = Math.max(most[0], descriptors());
                            ch.close();
                        }
                    })
                    .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .sync()
                    .channel();
            for (int i = 0; i < waiting; i++) {
                clients.add(new Socket(
                        InetAddress.getLoopbackAddress(),
                        listener.localAddress().getPort()));
            }
            int before = descriptors();
            CountDownLatch closed = new CountDownLatch(1);
            loop.execute(() -> {
                listener.config().setAutoRead(true);
                listener.closeAfterAll(1024, closed::countDown);
            });
            assertTrue(closed.await(Peers.PATIENCE_S, TimeUnit.SECONDS));
            assertEquals(waiting, taken[0]);
            assertTrue(most[0] - before < 50, "descriptors held at once: " + (most[0] - before));
        } finally {
            for (Socket client : clients) {
                client.close();
            }
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
