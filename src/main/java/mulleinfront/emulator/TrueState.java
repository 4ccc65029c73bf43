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
    private static final long STEP_US = 50_000;

    private final World world;
    private final long lateUs;
    private final Map<String, Host> byId = new HashMap<>();
    private int known;
    /**
     * Recorded states, the oldest first; the first is the oldest that was at most {@code lateUs} old at the last
     * recording.
     */
    private final ArrayDeque<Look> looks = new ArrayDeque<>();

    /** The state of one server. */
    private record Seen(boolean answers, double workAhead, double coreSpeed, int cores, int held) {
        private static final Seen AWAY = new Seen(false, 0, 0, 1, 0);

        /** Time until this much work would be finished there, microseconds. */
        double answerUs(double work) {
            if (!answers || coreSpeed <= 0) {
                return ServerKnowledge.NEVER;
            }
            return (held < cores ? 0 : workAhead / (cores * coreSpeed)) + work / coreSpeed;
        }
    }

    /** The state of every server at one instant. */
    private record Look(long at, Map<Host, Seen> servers) {}

    TrueState(World world, long lateUs) {
        this.world = world;
        this.lateUs = lateUs;
        if (lateUs > 0) {
            step();
        }
    }

    private void step() {
        Map<Host, Seen> servers = new HashMap<>();
        world.hosts.forEach(h -> servers.put(h, see(h)));
        looks.add(new Look(world.queue.now(), servers));
        while (looks.size() > 1 && world.queue.now() - looks.peek().at > lateUs) {
            looks.poll();
        }
        world.queue.after(STEP_US, this::step);
    }

    private static Seen see(Host h) {
        if (!h.alive() || h.life.draining() || h.vanished) {
            return Seen.AWAY;
        }
        ServerModel s = h.life;
        return new Seen(!s.hung(), s.workAhead(), s.coreSpeed(), s.machine().cores(), s.held());
    }

    private Host host(String id) {
        for (; known < world.hosts.size(); known++) {
            byId.put(world.hosts.get(known).id, world.hosts.get(known));
        }
        return byId.get(id);
    }

    /** Server knowledge for the client proxies of a zone; network reachability is always the current one. */
    ServerKnowledge from(int zone) {
        return (server, key, classIndex) -> {
            Host h = host(server);
            if (h == null || !h.alive() || !world.network.passes(zone, h)) {
                return ServerKnowledge.NEVER;
            }
            Seen seen = lateUs == 0 ? see(h) : looks.peek().servers.getOrDefault(h, Seen.AWAY);
            return seen.answerUs(world.scenario.classes().get(classIndex).workUs() * h.life.workLeftOf(key));
        };
    }
}
