package mulleinfront.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mulleinfront.Balancer.Contract;
import mulleinfront.Balancer.DedupScope;
import mulleinfront.Balancer.Effect;
import mulleinfront.Balancer.Limits;
import mulleinfront.Balancer.RequestClass;
import mulleinfront.Balancer.Settings;

/**
 * Reads the balancer settings from a JSON object and supplies the defaults of absent ones. The JSON values are kept as
 * parsed, so that errors can name the setting. Both the simulator's start message and the proxy's configuration file
 * contain this object.
 */
public final class SettingsReader {
    private final Map<String, Object> root;

    private SettingsReader(Map<String, Object> root) {
        this.root = root;
    }

    /** Reads the settings; the parser is at the start of their object. */
    public static SettingsReader read(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new IOException("malformed input: settings must be an object");
        }
        return new SettingsReader(readObject(in));
    }

    private static Map<String, Object> readObject(JsonParser in) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            map.put(name, readValue(in));
        }
        return map;
    }

    private static Object readValue(JsonParser in) throws IOException {
        return switch (in.currentToken()) {
            case START_OBJECT -> readObject(in);
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    list.add(readValue(in));
                }
                yield list;
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> in.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_STRING -> in.getText();
            default -> null;
        };
    }

    /** Returns the names of zones ({@code azs}) or server types ({@code kinds}); a name's index is its number. */
    public List<String> names(String list) {
        List<String> names = new ArrayList<>();
        list(root, list).forEach(o -> names.add(String.valueOf(o)));
        return names;
    }

    /** Returns the tenant names, indexed by tenant number. */
    public List<String> tenantNames() {
        List<String> names = new ArrayList<>();
        for (Object tenant : list(root, "customers")) {
            names.add(text(map(tenant, "customers"), "name", ""));
        }
        return names;
    }

    /**
     * Returns the requests per second that all tenants together may send to one instance: the sum of their allowances
     * divided by the number of instances; 0 if no allowances are given.
     */
    public double requestsPerS() {
        double total = 0;
        for (Object tenant : list(root, "customers")) {
            total += number(map(tenant, "customers"), "allowancePerS", 0);
        }
        return total / Math.max(1, number(root, "balancers", 1));
    }

    /** Returns the timeout for establishing a connection, microseconds. */
    public long dialTimeoutUs() {
        return (long) number(map(root.get("limits"), "limits"), "dialTimeoutUs", 250_000);
    }

    /**
     * Returns the balancer settings.
     *
     * @throws IllegalArgumentException naming the invalid setting
     */
    public Settings toSettings() {
        List<RequestClass> classes = new ArrayList<>();
        for (Object o : list(root, "classes")) {
            classes.add(requestClass(map(o, "classes")));
        }
        List<Double> shares = new ArrayList<>();
        for (Object o : list(root, "customers")) {
            shares.add(number(map(o, "customers"), "share", 1));
        }
        Map<String, Object> limits = map(root.get("limits"), "limits");
        Map<String, Object> contract = map(root.get("contract"), "contract");
        boolean retryAfter = flag(limits, "retryAfter", false);
        return new Settings(
                classes,
                shares,
                number(root, "overShareWorth", 1),
                (int) number(root, "balancers", 1),
                number(map(root.get("prices"), "prices"), "probe", 0),
                "subscribe".equals(text(root, "membershipMode", "automatic")),
                "live".equals(text(root, "weights", "none")),
                new Limits(
                        (int) number(limits, "maxAttempts", 1),
                        flag(limits, "mayCancel", false),
                        flag(limits, "mayProbe", false),
                        retryAfter ? (long) number(limits, "maxRetryAfterUs", 0) : 0,
                        (long) number(limits, "connIdleUs", 15_000_000)),
                new Contract(
                        (long) number(contract, "askWithinUs", 10_000_000),
                        number(contract, "coldFrom", 1),
                        (long) number(contract, "coldUs", 0),
                        number(contract, "overloadFactor", 2)),
                (int) number(root, "me", -1));
    }

    private static RequestClass requestClass(Map<String, Object> settings) {
        String name = text(settings, "name", "unnamed");
        Effect effect = switch (text(settings, "effect", "fragile")) {
            case "retryable" -> Effect.RETRYABLE;
            case "dedup" -> Effect.DEDUP;
            case "fragile" -> Effect.FRAGILE;
            default ->
                throw new IllegalArgumentException("settings: " + name + ": unknown effect " + settings.get("effect"));
        };
        DedupScope scope = switch (text(settings, "dedupScope", "none")) {
            case "all" -> DedupScope.ALL;
            case "zone" -> DedupScope.ZONE;
            case "cell" -> DedupScope.CELL;
            case "none", "" -> null;
            default ->
                throw new IllegalArgumentException(
                        "settings: " + name + ": unknown dedupScope " + settings.get("dedupScope"));
        };
        long targetLatencyUs = (long) number(settings, "onTimeUs", number(settings, "deadlineUs", 1_000_000));
        return new RequestClass(
                name,
                effect,
                scope,
                (long) number(settings, "dedupWindowUs", 0),
                number(settings, "worth", 1),
                number(settings, "lateWorth", 0),
                targetLatencyUs,
                number(settings, "aimStretch", 0),
                (long) number(settings, "deadlineUs", targetLatencyUs));
    }

    private static double number(Map<String, Object> map, String name, double defaultValue) {
        return typedValue(map, name, Double.class, defaultValue, "a number");
    }

    private static boolean flag(Map<String, Object> map, String name, boolean defaultValue) {
        return typedValue(map, name, Boolean.class, defaultValue, "true or false");
    }

    private static String text(Map<String, Object> map, String name, String defaultValue) {
        return typedValue(map, name, String.class, defaultValue, "a text");
    }

    private static List<?> list(Map<String, Object> map, String name) {
        return typedValue(map, name, List.class, List.of(), "a list");
    }

    private static <T> T typedValue(
            Map<String, Object> map, String name, Class<T> type, T defaultValue, String expected) {
        Object value = map.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (type.isInstance(value)) {
            return type.cast(value);
        }
        throw new IllegalArgumentException("settings: " + name + " must be " + expected);
    }

    private static Map<String, Object> map(Object value, String name) {
        Map<String, Object> result = new LinkedHashMap<>();
        if (value instanceof Map<?, ?> source) {
            source.forEach((k, v) -> result.put(String.valueOf(k), v));
        } else if (value != null) {
            throw new IllegalArgumentException("settings: " + name + " must be an object");
        }
        return result;
    }
}
