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

/** Closing the listening socket. Isolated, as it counts all descriptors of the process, including other tests'. */
@Isolated
class ClientChannelTest {
    private static int openDescriptors() {
        return new File("/proc/self/fd").list().length;
    }

    @Test
    void pendingConnectionsAreAcceptedInBatchesBeforeTheClose() throws Exception {
        // Guards the descriptor limit: the descriptor of a closed connection is released only by the loop's next
        // select.
        int pendingCount = 300;
        int[] accepted = new int[1];
        int[] maxDescriptors = new int[1];
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
                            accepted[0]++;
                            maxDescriptors[0] = Math.max(maxDescriptors[0], openDescriptors());
                            ch.close();
                        }
                    })
                    .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .sync()
                    .channel();
            for (int i = 0; i < pendingCount; i++) {
                clients.add(new Socket(
                        InetAddress.getLoopbackAddress(),
                        listener.localAddress().getPort()));
            }
            int descriptorsBefore = openDescriptors();
            CountDownLatch closed = new CountDownLatch(1);
            loop.execute(() -> {
                listener.config().setAutoRead(true);
                listener.closeAfterBacklog(1024, closed::countDown);
            });
            assertTrue(closed.await(StandIns.TIMEOUT_S, TimeUnit.SECONDS));
            assertEquals(pendingCount, accepted[0]);
            assertTrue(
                    maxDescriptors[0] - descriptorsBefore < 50,
                    "descriptors held at once: " + (maxDescriptors[0] - descriptorsBefore));
        } finally {
            for (Socket client : clients) {
                client.close();
            }
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
