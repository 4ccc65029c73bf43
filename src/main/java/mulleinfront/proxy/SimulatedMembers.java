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
 * Simulated members: many client proxies in one process, for tests at the size of a whole fleet. Each runs the real
 * control code on real sockets at its own addresses: the discovery watch and the balancer that receives the lists, the
 * fleet membership, the configuration watch, and the sockets for clients and endpoints. Left out are a JVM of its own,
 * the warm-up before it is ready, the drain at its end and the management endpoint. No requests arrive, so the data
 * path has no load.
 */
public final class SimulatedMembers {
    /** Time for the gossip updates to be sent after the members have announced that they leave. */
    private static final long LEAVE_ANNOUNCEMENT_MS = 300;

    private final List<ClientProxy> proxies = new ArrayList<>();
    private final EventLoopGroup group;

    private SimulatedMembers(int loops) {
        this.group = new MultiThreadIoEventLoopGroup(loops, NioIoHandler.newFactory());
    }

    /**
     * Starts one member for each configuration; returns once all listen.
     *
     * @param files configuration files, each as {@code NODE_CONFIG} would name it
     * @param loops number of event loops that the members share
     * @param control the control plane whose configuration is watched; null for no configuration watch
     * @throws IOException if a file can't be read or is invalid, or an address is not available
     */
    public static SimulatedMembers start(List<Path> files, int loops, ControlFile control) throws Exception {
        SimulatedMembers members = new SimulatedMembers(loops);
        try {
            for (Path file : files) {
                Config config = Config.load(file.toString());
                ClientProxy proxy = ClientProxy.startSimulated(config, members.group);
                members.proxies.add(proxy);
                byte[] json = Files.readAllBytes(file);
                if (config.fleetFile() != null) {
                    proxy.joinFleet(FleetFile.load(Path.of(config.fleetFile()), json));
                }
                if (control != null) {
                    proxy.watchConfiguration(control, FleetFile.name(json), List.of(proxy));
                }
            }
            return members;
        } catch (Exception failure) {
            members.group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw failure;
        }
    }

    /** The number of members. */
    public int size() {
        return proxies.size();
    }

    /**
     * Announces that all members leave; returns when this has had time to be sent. They run on until the process ends.
     */
    public void leave() throws InterruptedException {
        proxies.forEach(ClientProxy::leaveFleet);
        Thread.sleep(LEAVE_ANNOUNCEMENT_MS);
    }

    /** Stops all members at once without an announcement, as if the process were killed. */
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
