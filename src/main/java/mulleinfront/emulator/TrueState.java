package mulleinfront.emulator;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import mulleinfront.emulator.reference.ServerKnowledge;

/**
 * The true state of a simulation's servers, now or some time ago. Past states are recorded at regular intervals, so a
 * past state may be up to one interval older than requested.
 */
final class TrueState {
    private static final long RECORD_INTERVAL_US = 50_000;

    private final World world;
    private final long delayUs;
    private final Map<String, Host> byId = new HashMap<>();
    private int indexedHosts;
    /**
     * Recorded states, the oldest first; the first is the oldest that was at most {@code delayUs} old at the last
     * recording.
     */
    private final ArrayDeque<Record> records = new ArrayDeque<>();

    /** The state of one server. */
    private record ServerState(boolean answers, double workAhead, double coreSpeed, int cores, int inFlight) {
        private static final ServerState AWAY = new ServerState(false, 0, 0, 1, 0);

        /** Time until this much work would be finished there, microseconds. */
        double answerUs(double work) {
            if (!answers || coreSpeed <= 0) {
                return ServerKnowledge.NEVER;
            }
            return (inFlight < cores ? 0 : workAhead / (cores * coreSpeed)) + work / coreSpeed;
        }
    }

    /** The state of every server at one instant. */
    private record Record(long at, Map<Host, ServerState> servers) {}

    TrueState(World world, long delayUs) {
        this.world = world;
        this.delayUs = delayUs;
        if (delayUs > 0) {
            record();
        }
    }

    private void record() {
        Map<Host, ServerState> servers = new HashMap<>();
        world.hosts.forEach(host -> servers.put(host, stateOf(host)));
        records.add(new Record(world.queue.now(), servers));
        while (records.size() > 1 && world.queue.now() - records.peek().at > delayUs) {
            records.poll();
        }
        world.queue.after(RECORD_INTERVAL_US, this::record);
    }

    private static ServerState stateOf(Host host) {
        if (!host.alive() || host.process.draining() || host.disconnected) {
            return ServerState.AWAY;
        }
        ServerModel process = host.process;
        return new ServerState(
                !process.hung(),
                process.pendingWork(),
                process.coreSpeed(),
                process.spec().cores(),
                process.inFlight());
    }

    private Host host(String id) {
        for (; indexedHosts < world.hosts.size(); indexedHosts++) {
            byId.put(world.hosts.get(indexedHosts).id, world.hosts.get(indexedHosts));
        }
        return byId.get(id);
    }

    /** Server knowledge for the client proxies of a zone; network reachability is always the current one. */
    ServerKnowledge forZone(int zone) {
        return (server, key, classIndex) -> {
            Host host = host(server);
            if (host == null || !host.alive() || !world.network.delivers(zone, host)) {
                return ServerKnowledge.NEVER;
            }
            ServerState state =
                    delayUs == 0 ? stateOf(host) : records.peek().servers.getOrDefault(host, ServerState.AWAY);
            return state.answerUs(
                    world.scenario.classes().get(classIndex).workUs() * host.process.remainingWorkFraction(key));
        };
    }
}
