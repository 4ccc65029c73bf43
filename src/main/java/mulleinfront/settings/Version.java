package mulleinfront.settings;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** The program's version, as the build wrote it down; daemon and kit say it to each other. */
public final class Version {
    /** The header of {@code /-/ready} that says it. */
    public static final String HEADER = "x-mulleinfront-version";
    /** The version of this program. */
    public static final String OWN = read();

    private Version() {}

    private static String read() {
        try (InputStream in = Version.class.getResourceAsStream("/mulleinfront/version.txt")) {
            return in == null ? "unknown" : new String(in.readAllBytes(), StandardCharsets.US_ASCII).strip();
        } catch (IOException e) {
            return "unknown";
        }
    }
}
