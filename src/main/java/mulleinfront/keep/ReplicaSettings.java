package mulleinfront.keep;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What a keeper has to be told.
 *
 * @param name its own name, one of the keepers'
 * @param keepers where each keeper hears the others, this one among them; three of them on loopback
 * @param directory where its log is; its own, made if it isn't there
 */
public record ReplicaSettings(String name, SortedMap<String, InetSocketAddress> keepers, Path directory) {
    /** @throws IllegalArgumentException one line, if these can't be */
    public ReplicaSettings {
        keepers = Collections.unmodifiableSortedMap(new TreeMap<>(keepers));
        if (keepers.size() != 3) {
            throw new IllegalArgumentException("there have to be 3 keepers, not " + keepers.size());
        }
        if (!keepers.containsKey(name)) {
            throw new IllegalArgumentException("keeper " + name + " is not one of " + keepers.keySet());
        }
        keepers.forEach((keeper, address) -> {
            if (!keeper.matches("[A-Za-z0-9._-]{1,64}")) {
                throw new IllegalArgumentException(
                        "a keeper's name is 1 to 64 letters, digits, " + "'.', '_' or '-', not " + keeper);
            }
            if (address.isUnresolved() || !address.getAddress().isLoopbackAddress()) {
                throw new IllegalArgumentException("keeper " + keeper + " is not in 127.0.0.0/8: " + address);
            }
        });
        if (keepers.values().stream().distinct().count() < keepers.size()) {
            throw new IllegalArgumentException("two keepers have the same address");
        }
    }
}
