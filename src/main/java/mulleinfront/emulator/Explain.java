package mulleinfront.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Explains single requests of a simulation: one by its id, or the first that were lost by a cause. */
public final class Explain {
    private Explain() {}

    /**
     * Runs a simulation and describes one request.
     *
     * @param id the id of any of its tries
     * @return lines of text, none if there was no such request
     */
    public static List<String> request(Scenario scenario, long seed, String id) {
        List<String> lines = new ArrayList<>();
        World world = World.of(scenario, seed, null);
        world.account.listen((ask, cause) -> {
            if (ask.tried.contains(id)) {
                tell(world, ask, cause, lines::add);
            }
        });
        world.play();
        return lines;
    }

    /**
     * Runs a simulation and describes the first requests that were lost by a cause.
     *
     * @param from earliest arrival time of these requests, microseconds
     * @param most maximum number of requests
     */
    public static List<String> cause(Scenario scenario, long seed, Cause wanted, long from, int most) {
        List<String> lines = new ArrayList<>();
        int[] told = {0};
        World world = World.of(scenario, seed, null);
        world.account.listen((ask, cause) -> {
            if (cause == wanted && ask.bornAt >= from && told[0] < most) {
                told[0]++;
                tell(world, ask, cause, lines::add);
            }
        });
        world.play();
        return lines;
    }

    private static void tell(World world, Clients.Ask ask, Cause cause, Consumer<String> to) {
        world.account.tell(ask).forEach(to);
        to.accept(cause == null ? "             served in time" : "             lost: " + cause.words());
        to.accept("");
    }
}
