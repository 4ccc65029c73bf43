package mulleinfront.bench;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import mulleinfront.capacity.Slope;
import mulleinfront.settings.Listing;
import mulleinfront.settings.SettingsReader;

/**
 * What the settings of several services weigh as they are written today, one service's after the other: what
 * a configuration for all of them would have to bring to a client proxy, whole or one service's part.
 */
public final class SnapshotCost {
    private static final int ROUNDS = 20_000;

    private SnapshotCost() {}

    /**
     * Measures so many services.
     *
     * @param sample a client proxy's configuration; its settings stand for each service's
     */
    public static List<Slope> measure(int[] services, Path sample, String command) throws IOException {
        byte[] one = settings(Files.readAllBytes(sample));
        Measured out = new Measured("services", command);
        read(one, 1);
        for (int n : services) {
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            for (int i = 0; i < n; i++) {
                whole.write(("{\"service\":\"service-" + i + "\",\"settings\":").getBytes(StandardCharsets.US_ASCII));
                whole.write(one);
                whole.write("}\n".getBytes(StandardCharsets.US_ASCII));
            }
            out.add(n, "configuration.whole.bytes", "the settings of all services", "bytes", whole.size());
            out.add(n, "configuration.change.bytes", "the settings of one service", "bytes", whole.size() / (double) n);
            out.add(
                    n,
                    "configuration.whole.processor",
                    "processor time to read the settings of all services",
                    "s",
                    read(one, n));
        }
        return out.slopes();
    }

    /** The settings object alone, without white space. */
    private static byte[] settings(byte[] configuration) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonParser in = Listing.JSON.createParser(configuration);
                JsonGenerator out = Listing.JSON.createGenerator(bytes)) {
            in.nextToken();
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                boolean wanted = in.currentName().equals("settings");
                in.nextToken();
                if (wanted) {
                    out.copyCurrentStructure(in);
                } else {
                    in.skipChildren();
                }
            }
        }
        if (bytes.size() == 0) {
            throw new IOException("the sample has no settings");
        }
        return bytes.toByteArray();
    }

    private static double read(byte[] one, int services) throws IOException {
        int rounds = Math.max(10, ROUNDS / services);
        long from = 0;
        for (int i = -rounds / 2; i < rounds; i++) {
            from = i == 0 ? cpu() : from;
            for (int s = 0; s < services; s++) {
                try (JsonParser in = Listing.JSON.createParser(one)) {
                    in.nextToken();
                    SettingsReader.read(in).toSettings();
                }
            }
        }
        return (cpu() - from) / 1e9 / rounds;
    }

    private static long cpu() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
