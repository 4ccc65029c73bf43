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
        World world = World.create(scenario, seed, null);
        world.lossAttribution.setListener((request, cause) -> {
            if (request.tryIds.contains(id)) {
                describe(world, request, cause, lines::add);
            }
        });
        world.run();
        return lines;
    }

    /**
     * Runs a simulation and describes the first requests that were lost by a cause.
     *
     * @param from earliest arrival time of these requests, microseconds
     * @param maxRequests maximum number of requests
     */
    public static List<String> requestsLostBy(Scenario scenario, long seed, Cause wanted, long from, int maxRequests) {
        List<String> lines = new ArrayList<>();
        int[] described = {0};
        World world = World.create(scenario, seed, null);
        world.lossAttribution.setListener((request, cause) -> {
            if (cause == wanted && request.arrivedAt >= from && described[0] < maxRequests) {
                described[0]++;
                describe(world, request, cause, lines::add);
            }
        });
        world.run();
        return lines;
    }

    private static void describe(World world, Clients.ClientRequest request, Cause cause, Consumer<String> output) {
        world.lossAttribution.history(request).forEach(output);
        output.accept(cause == null ? "             served in time" : "             lost: " + cause.description());
        output.accept("");
    }
}
