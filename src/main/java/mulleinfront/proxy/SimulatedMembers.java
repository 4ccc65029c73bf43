package mulleinfront.proxy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import mulleinfront.settings.Config;
import mulleinfront.settings.ControlFile;
import mulleinfront.settings.FleetFile;

/**
 * Hollow client proxies: many in one process, for tests at the size of a whole fleet. Each runs the real control code on
 * real sockets at addresses of its own: its watch of discovery and the module that takes the lists, its membership of
 * the fleet, its watch of the fleet's configuration, its door for clients and hosts. What it leaves out: a JVM of its own, the rehearsal of its code before it
 * is ready, the drain at its end, the operators' door, and, since nobody calls, the data path's load.
 */
public final class SimulatedMembers {
    /** After they have said that they leave, the news get this long to go out. */
    private static final long LEAVE_MS = 300;

    private final List<ClientProxy> proxies = new ArrayList<>();
    private final EventLoopGroup group;

    private SimulatedMembers(int loops) {
        this.group = new MultiThreadIoEventLoopGroup(loops, NioIoHandler.newFactory());
    }

    /**
     * Starts one for each configuration; returns once all listen.
     *
     * @param files configurations, each as {@code NODE_CONFIG} has one
     * @param loops event loops that they share
     * @param control where the fleet's configuration is watched; null: it is not
     * @throws IOException if one can't be read or taken, or an address can't be had
     */
    public static SimulatedMembers start(List<Path> files, int loops, ControlFile control) throws Exception {
        SimulatedMembers all = new SimulatedMembers(loops);
        try {
            for (Path file : files) {
                Config config = Config.load(file.toString());
                ClientProxy proxy = ClientProxy.hollow(config, all.group);
                all.proxies.add(proxy);
                byte[] json = Files.readAllBytes(file);
                if (config.fleet() != null) {
                    proxy.join(FleetFile.load(Path.of(config.fleet()), json));
                }
                if (control != null) {
                    proxy.follow(control, FleetFile.name(json), List.of(proxy));
                }
            }
            return all;
        } catch (Exception e) {
            all.group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw e;
        }
    }

    /** How many there are. */
    public int size() {
        return proxies.size();
    }

    /** All say that they leave; returns when that had time to go out. They end with the process. */
    public void leave() throws InterruptedException {
        proxies.forEach(ClientProxy::leaveFleet);
        Thread.sleep(LEAVE_MS);
    }

    /** Ends all at once and says nothing, as a kill does. */
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
