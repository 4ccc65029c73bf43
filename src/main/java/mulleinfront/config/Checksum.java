package mulleinfront.config;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;

/** One number for all that a version holds: against damage and mixed-up histories, not against forgers. */
public final class Checksum {
    private Checksum() {}

    /** XXH3 with 64 bits over number, time, reason, and each key and value with its length. */
    public static long of(Version version) {
        HashStream64 hash = Hashing.xxh3_64().hashStream();
        hash.putLong(version.number()).putLong(version.decidedAtMillis()).putString(version.why());
        hash.putInt(version.entries().size());
        version.entries().forEach((key, value) -> hash.putString(key).putString(value));
        return hash.getAsLong();
    }
}
