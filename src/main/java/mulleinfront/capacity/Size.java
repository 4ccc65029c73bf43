package mulleinfront.capacity;

import java.util.Map;
import java.util.TreeMap;

/**
 * The fleet size and the budgets, as numbers by name; the names are the keys in docs/capacity.json.
 *
 * @param given the numbers that the operators provide
 */
public record Size(Map<String, Double> given) {
    /** Names of the required numbers. */
    private static final String[] REQUIRED = {
        "hosts",
        "services",
        "calls-per-s",
        "depth",
        "regions",
        "zones",
        "rack-hosts",
        "machines",
        "changes-per-day",
        "failures-per-day",
        "restarts-per-day"
    };

    /** @throws IllegalArgumentException if a required number is missing or not above 0 */
    public Size {
        given = new TreeMap<>(given);
        for (String name : REQUIRED) {
            if (!(given.getOrDefault(name, 0.0) > 0)) {
                throw new IllegalArgumentException("size: " + name + " must be above 0");
            }
        }
    }

    /** Returns a copy with another number of hosts; the calls per second change in proportion. */
    public Size withHosts(int hosts) {
        Map<String, Double> changed = new TreeMap<>(given);
        changed.put("calls-per-s", given.get("calls-per-s") * hosts / given.get("hosts"));
        changed.put("hosts", (double) hosts);
        return new Size(changed);
    }

    /**
     * Returns a provided number, or one derived from the provided numbers, by its name.
     *
     * @throws IllegalArgumentException if the name is unknown
     */
    public double of(String name) {
        double hosts = given.get("hosts");
        return switch (name) {
            case "one" -> 1;
            // The given rate can mean all calls, or only calls at the edge, each of which causes up to depth calls.
            // Both are computed.
            case "calls-per-proxy" -> given.get("calls-per-s") / hosts;
            case "calls-per-proxy-deep" -> given.get("calls-per-s") / hosts * given.get("depth");
            case "proxies-per-machine" -> Math.ceil(hosts / given.get("machines"));
            case "proxies-per-machine-one-gone" -> Math.ceil(hosts / Math.max(1, given.get("machines") - 1));
            case "hosts-per-service" -> hosts / given.get("services");
            // The given number of zones can mean all zones, or the zones of each region. Both are computed.
            case "zone-hosts" -> hosts / given.get("zones");
            case "zone-hosts-least" -> hosts / (given.get("zones") * given.get("regions"));
            case "region-hosts" -> hosts / given.get("regions");
            default -> {
                Double value = given.get(name);
                if (value == null) {
                    throw new IllegalArgumentException("size: unknown name " + name);
                }
                yield value;
            }
        };
    }
}
