package mulleinfront.config;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;

/** Checksum of a configuration version. It detects damage and diverged histories, not deliberate forgery. */
public final class Checksum {
    private Checksum() {}

    /**
     * The 64-bit XXH3 hash of the number, the proposal time, the description, and each key and value. Strings are
     * hashed with their lengths, so that moving a character from a key to its value changes the checksum.
     */
    public static long of(Version version) {
        HashStream64 hash = Hashing.xxh3_64().hashStream();
        hash.putLong(version.number()).putLong(version.proposedAtMs()).putString(version.description());
        hash.putInt(version.entries().size());
        version.entries().forEach((key, value) -> hash.putString(key).putString(value));
        return hash.getAsLong();
    }
}
