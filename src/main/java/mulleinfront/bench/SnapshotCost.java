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
import mulleinfront.settings.EndpointList;
import mulleinfront.settings.SettingsReader;

/**
 * Measures the size and parsing time of the concatenated settings of several services: what a configuration for all
 * services would send to a client proxy, as a whole or for one service.
 */
public final class SnapshotCost {
    private static final int ROUNDS = 20_000;

    private SnapshotCost() {}

    /**
     * Measures the given numbers of services.
     *
     * @param sample a client proxy's configuration; its settings are used for every service
     */
    public static List<Slope> measure(int[] services, Path sample, String command) throws IOException {
        byte[] service = settings(Files.readAllBytes(sample));
        SlopeCollector out = new SlopeCollector("services", command);
        secondsToRead(service, 1);
        for (int count : services) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int i = 0; i < count; i++) {
                all.write(("{\"service\":\"service-" + i + "\",\"settings\":").getBytes(StandardCharsets.US_ASCII));
                all.write(service);
                all.write("}\n".getBytes(StandardCharsets.US_ASCII));
            }
            out.add(count, "configuration.whole.bytes", "the settings of all services", "bytes", all.size());
            out.add(
                    count,
                    "configuration.change.bytes",
                    "the settings of one service",
                    "bytes",
                    all.size() / (double) count);
            out.add(
                    count,
                    "configuration.whole.processor",
                    "processor time to read the settings of all services",
                    "s",
                    secondsToRead(service, count));
        }
        return out.slopes();
    }

    /** The settings object of a configuration, without white space. */
    private static byte[] settings(byte[] configuration) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonParser in = EndpointList.JSON.createParser(configuration);
                JsonGenerator out = EndpointList.JSON.createGenerator(bytes)) {
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

    private static double secondsToRead(byte[] service, int services) throws IOException {
        int rounds = Math.max(10, ROUNDS / services);
        long from = 0;
        for (int i = -rounds / 2; i < rounds; i++) {
            from = i == 0 ? threadCpuNanos() : from;
            for (int j = 0; j < services; j++) {
                try (JsonParser in = EndpointList.JSON.createParser(service)) {
                    in.nextToken();
                    SettingsReader.read(in).toSettings();
                }
            }
        }
        return (threadCpuNanos() - from) / 1e9 / rounds;
    }

    private static long threadCpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
