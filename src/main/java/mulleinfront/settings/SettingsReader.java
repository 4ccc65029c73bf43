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
 * The settings of a start, kept as read so that what is wrong with them can be said by name, and the
 * defaults of those that are absent. The client proxy on sockets reads the same object by it.
 */
public final class SettingsReader {
    private final Map<String, Object> root;

    private SettingsReader(Map<String, Object> root) {
        this.root = root;
    }

    /** Reads the object at the parser's place. */
    public static SettingsReader read(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new IOException("malformed input: settings must be an object");
        }
        return new SettingsReader(object(in));
    }

    private static Map<String, Object> object(JsonParser in) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            map.put(name, value(in));
        }
        return map;
    }

    private static Object value(JsonParser in) throws IOException {
        return switch (in.currentToken()) {
            case START_OBJECT -> object(in);
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(in));
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

    /** The names of zones ({@code azs}) or of {@code kinds}: a place in the list is the number meant. */
    public List<String> names(String list) {
        List<String> names = new ArrayList<>();
        list(root, list).forEach(o -> names.add(String.valueOf(o)));
        return names;
    }

    /** The names of the tenants, in the order of their numbers. */
    public List<String> tenants() {
        List<String> names = new ArrayList<>();
        for (Object o : list(root, "customers")) {
            names.add(text(map(o, "customers"), "name", ""));
        }
        return names;
    }

    /**
     * Requests a second that the tenants together may send to one instance, by their allowances; 0 if none
     * are given.
     */
    public double requestsPerS() {
        double all = 0;
        for (Object o : list(root, "customers")) {
            all += number(map(o, "customers"), "allowancePerS", 0);
        }
        return all / Math.max(1, number(root, "balancers", 1));
    }

    /** Time within which a connection must have come up, microseconds. */
    public long dialTimeoutUs() {
        return (long) number(map(root.get("limits"), "limits"), "dialTimeoutUs", 250_000);
    }

    /** The module's settings; throws {@link IllegalArgumentException} naming what is nonsensical. */
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

    private static RequestClass requestClass(Map<String, Object> c) {
        String name = text(c, "name", "unnamed");
        Effect effect = switch (text(c, "effect", "fragile")) {
            case "retryable" -> Effect.RETRYABLE;
            case "dedup" -> Effect.DEDUP;
            case "fragile" -> Effect.FRAGILE;
            default -> throw new IllegalArgumentException("settings: " + name + ": unknown effect " + c.get("effect"));
        };
        DedupScope scope = switch (text(c, "dedupScope", "none")) {
            case "all" -> DedupScope.ALL;
            case "zone" -> DedupScope.ZONE;
            case "cell" -> DedupScope.CELL;
            case "none", "" -> null;
            default ->
                throw new IllegalArgumentException("settings: " + name + ": unknown dedupScope " + c.get("dedupScope"));
        };
        long aim = (long) number(c, "onTimeUs", number(c, "deadlineUs", 1_000_000));
        return new RequestClass(
                name,
                effect,
                scope,
                (long) number(c, "dedupWindowUs", 0),
                number(c, "worth", 1),
                number(c, "lateWorth", 0),
                aim,
                number(c, "aimStretch", 0),
                (long) number(c, "deadlineUs", aim));
    }

    private static double number(Map<String, Object> map, String name, double absent) {
        return value(map, name, Double.class, absent, "a number");
    }

    private static boolean flag(Map<String, Object> map, String name, boolean absent) {
        return value(map, name, Boolean.class, absent, "true or false");
    }

    private static String text(Map<String, Object> map, String name, String absent) {
        return value(map, name, String.class, absent, "a text");
    }

    private static List<?> list(Map<String, Object> map, String name) {
        return value(map, name, List.class, List.of(), "a list");
    }

    private static <T> T value(Map<String, Object> map, String name, Class<T> type, T absent, String kind) {
        Object o = map.get(name);
        if (o == null) {
            return absent;
        }
        if (type.isInstance(o)) {
            return type.cast(o);
        }
        throw new IllegalArgumentException("settings: " + name + " must be " + kind);
    }

    private static Map<String, Object> map(Object o, String name) {
        Map<String, Object> result = new LinkedHashMap<>();
        if (o instanceof Map<?, ?> m) {
            m.forEach((k, v) -> result.put(String.valueOf(k), v));
        } else if (o != null) {
            throw new IllegalArgumentException("settings: " + name + " must be an object");
        }
        return result;
    }
}
