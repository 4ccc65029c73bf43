package mulleinfront.emulator;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import mulleinfront.emulator.reference.ServerKnowledge;

/**
 * The true state of a world's servers, now or as it was some time ago. What it was is written down at even
 * steps, so a late look is up to one step later than it says.
 */
final class TrueState {
    private static final long STEP_US = 50_000;

    private final World world;
    private final long lateUs;
    private final Map<String, Host> byId = new HashMap<>();
    private int known;
    /**
     * What was seen at each step, the oldest first; the first is as old as is asked for, or the first of all.
     */
    private final ArrayDeque<Look> looks = new ArrayDeque<>();

    /** How one server was. */
    private record Seen(boolean answers, double workAhead, double coreSpeed, int cores, int held) {
        private static final Seen AWAY = new Seen(false, 0, 0, 1, 0);

        /** Time until work of this much would be done there, microseconds. */
        double answerUs(double work) {
            if (!answers || coreSpeed <= 0) {
                return ServerKnowledge.NEVER;
            }
            return (held < cores ? 0 : workAhead / (cores * coreSpeed)) + work / coreSpeed;
        }
    }

    /** The state of every server as recorded at one instant. */
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

    /** What a client proxy in a zone would meet; ways to it are seen as they are. */
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
