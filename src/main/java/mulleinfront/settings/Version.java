package mulleinfront.settings;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** The program's version, as recorded by the build. The test kit compares its version with the proxy's. */
public final class Version {
    /** Response header of {@code /-/ready} that carries the version. */
    public static final String HEADER = "x-mulleinfront-version";
    /** Version of this program, or {@code unknown}. */
    public static final String CURRENT = read();

    private Version() {}

    private static String read() {
        try (InputStream in = Version.class.getResourceAsStream("/mulleinfront/version.txt")) {
            return in == null ? "unknown" : new String(in.readAllBytes(), StandardCharsets.US_ASCII).strip();
        } catch (IOException e) {
            return "unknown";
        }
    }
}
