package mulleinfront.capacity;

import java.util.Map;
import java.util.TreeMap;

/**
 * The size that is asked for and what it allows, as numbers by name; the names are those of
 * docs/capacity.json.
 *
 * @param given as the operators gave them
 */
public record Size(Map<String, Double> given) {
    /** Names without which nothing can be worked out. */
    private static final String[] NEEDED = {
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

    /** @throws IllegalArgumentException if one is missing or not above 0 */
    public Size {
        given = new TreeMap<>(given);
        for (String name : NEEDED) {
            if (!(given.getOrDefault(name, 0.0) > 0)) {
                throw new IllegalArgumentException("size: " + name + " must be above 0");
            }
        }
    }

    /** The same with another number of hosts, and the calls in proportion. */
    public Size withHosts(int hosts) {
        Map<String, Double> other = new TreeMap<>(given);
        other.put("calls-per-s", given.get("calls-per-s") * hosts / given.get("hosts"));
        other.put("hosts", (double) hosts);
        return new Size(other);
    }

    /**
     * A number by its name: one of those given, or what follows from them.
     *
     * @throws IllegalArgumentException if there is none of this name
     */
    public double of(String name) {
        double hosts = given.get("hosts");
        return switch (name) {
            case "one" -> 1;
            // Both readings of the calls: all of them, or those at the edge, each of which makes up to so
            // many.
            case "calls-per-proxy" -> given.get("calls-per-s") / hosts;
            case "calls-per-proxy-deep" -> given.get("calls-per-s") / hosts * given.get("depth");
            case "proxies-per-machine" -> Math.ceil(hosts / given.get("machines"));
            case "proxies-per-machine-one-gone" -> Math.ceil(hosts / Math.max(1, given.get("machines") - 1));
            case "hosts-per-service" -> hosts / given.get("services");
            // Both readings of the zones: so many in all, or in each region.
            case "zone-hosts" -> hosts / given.get("zones");
            case "zone-hosts-least" -> hosts / (given.get("zones") * given.get("regions"));
            case "region-hosts" -> hosts / given.get("regions");
            default -> {
                Double value = given.get(name);
                if (value == null) {
                    throw new IllegalArgumentException("size: there is no " + name);
                }
                yield value;
            }
        };
    }
}
