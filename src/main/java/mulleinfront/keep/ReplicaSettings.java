package mulleinfront.keep;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Settings of a replica.
 *
 * @param name the name of this replica, one of the keys of {@code replicas}
 * @param replicas for each of the three replicas, this one included, its name and the loopback address on
 *        which it listens for the others
 * @param directory the directory for the log of this replica alone; created if it doesn't exist
 */
public record ReplicaSettings(String name, SortedMap<String, InetSocketAddress> replicas, Path directory) {
    /** @throws IllegalArgumentException with a message of one line, if a setting is invalid */
    public ReplicaSettings {
        replicas = Collections.unmodifiableSortedMap(new TreeMap<>(replicas));
        if (replicas.size() != 3) {
            throw new IllegalArgumentException("there must be 3 replicas, not " + replicas.size());
        }
        if (!replicas.containsKey(name)) {
            throw new IllegalArgumentException("replica " + name + " is not one of " + replicas.keySet());
        }
        replicas.forEach((replica, address) -> {
            if (!replica.matches("[A-Za-z0-9._-]{1,64}")) {
                throw new IllegalArgumentException(
                        "a replica's name must be 1 to 64 letters, digits, " + "'.', '_' or '-', not " + replica);
            }
            if (address.isUnresolved() || !address.getAddress().isLoopbackAddress()) {
                throw new IllegalArgumentException(
                        "address of replica " + replica + " is not in 127.0.0.0/8: " + address);
            }
        });
        if (replicas.values().stream().distinct().count() < replicas.size()) {
            throw new IllegalArgumentException("two replicas have the same address");
        }
    }
}
