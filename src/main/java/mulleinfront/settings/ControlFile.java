package mulleinfront.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mulleinfront.config.PublisherSettings;
import mulleinfront.config.SubscriberSettings;

/**
 * The control-plane file: addresses of the control-plane nodes, settings of the configuration server and settings of
 * the subscribers. It is read only where the control plane is enabled.
 *
 * @param nodes all control-plane nodes, in the same order in every process
 * @param publisher settings of the configuration server
 * @param subscriber settings of a configuration subscriber
 * @param cacheDirectory directory of a client proxy's cached copy of the last good version, with {@code %n} for the
 *        proxy's name; null to cache nothing
 * @param eventLogFile file of a control-plane node's event log, with {@code %n} for the node's name; null to write none
 */
public record ControlFile(
        List<Node> nodes,
        PublisherSettings publisher,
        SubscriberSettings subscriber,
        String cacheDirectory,
        String eventLogFile) {

    /**
     * One control-plane node.
     *
     * @param name unique name, never reused for another node
     * @param consensus address for the other replicas
     * @param clientAddress address for client proxies and operators
     */
    public record Node(String name, InetSocketAddress consensus, InetSocketAddress clientAddress) {}

    /**
     * Reads and validates a control-plane file.
     *
     * @throws BadFileException naming file, line and reason
     */
    public static ControlFile load(Path file) throws BadFileException {
        Section root = Section.root(file.toString(), readFile(file), null);
        List<Node> nodes = new ArrayList<>();
        Set<Object> seen = new HashSet<>();
        for (Section section : root.tables("machine")) {
            String name = section.string("name", null);
            if (!name.matches("[A-Za-z0-9._-]{1,64}")) {
                throw section.error("name", "must have 1 to 64 letters, digits, '.', '_' or '-'");
            }
            Node node = new Node(name, readAddress(section, "consensus"), readAddress(section, "door"));
            if (!seen.add(name)) {
                throw section.error("name", "the name " + name + " is already used in this file");
            }
            if (!seen.add(node.consensus())) {
                throw section.error("consensus", "this address is already used in this file");
            }
            if (!seen.add(node.clientAddress())) {
                throw section.error("door", "this address is already used in this file");
            }
            section.rejectUnknownKeys();
            nodes.add(node);
        }
        if (nodes.size() != 3) {
            throw root.error("machine", "there must be three [[machine]] tables, not " + nodes.size());
        }
        PublisherSettings publisher = readPublisherSettings(root.table("handout"));
        SubscriberSettings subscriber =
                readSubscriberSettings(root.table("follow"), nodes.size(), publisher.heartbeatIntervalUs());
        String cacheDirectory = root.string("state", "");
        String eventLogFile = root.string("events", "");
        root.rejectUnknownKeys();
        return new ControlFile(
                List.copyOf(nodes),
                publisher,
                subscriber,
                cacheDirectory.isEmpty() ? null : cacheDirectory,
                eventLogFile.isEmpty() ? null : eventLogFile);
    }

    private static PublisherSettings readPublisherSettings(Section section) throws BadFileException {
        PublisherSettings defaults = PublisherSettings.DEFAULTS;
        long heartbeat = timeWithin(section, "heartbeat", defaults.heartbeatIntervalUs(), 50_000, 60_000_000);
        double bytesPerS = section.rate("bytes", (double) defaults.bytesPerS());
        if (bytesPerS < 1_000 || bytesPerS > 10_000_000) {
            throw section.error("bytes", "must be from 1000/s to 10000000/s");
        }
        int burst = section.count("burst", defaults.burstBytes(), 1_200);
        long subscriberTimeout =
                timeWithin(section, "reader-silence", defaults.subscriberTimeoutUs(), heartbeat, 3_600_000_000L);
        long sendTimeout = timeWithin(section, "reader-patience", defaults.sendTimeoutUs(), 1_000_000, 3_600_000_000L);
        int maxSubscribers = section.count("readers", defaults.maxSubscribers(), 1);
        section.rejectUnknownKeys();
        return new PublisherSettings(heartbeat, (int) bytesPerS, burst, subscriberTimeout, sendTimeout, maxSubscribers);
    }

    private static SubscriberSettings readSubscriberSettings(Section section, int nodes, long heartbeatUs)
            throws BadFileException {
        SubscriberSettings defaults = SubscriberSettings.defaults(nodes);
        long idleTimeout = timeWithin(section, "silence", defaults.watchTimeoutUs(), 2 * heartbeatUs, 3_600_000_000L);
        long connectTimeout = timeWithin(section, "connect", defaults.connectTimeoutUs(), 10_000, idleTimeout);
        long spread = timeWithin(section, "spread", defaults.reconnectSpreadUs(), 1_000, 60_000_000);
        long retry = timeWithin(section, "retry", defaults.retryDelayUs(), 1_000, 60_000_000);
        long maxRetry =
                timeWithin(section, "retry-most", Math.max(retry, defaults.maxRetryDelayUs()), retry, 3_600_000_000L);
        long behind = timeWithin(section, "behind", defaults.behindTimeoutUs(), 1_000, 60_000_000);
        long report = timeWithin(section, "report", defaults.reportIntervalUs(), 50_000, 60_000_000);
        section.rejectUnknownKeys();
        return new SubscriberSettings(nodes, idleTimeout, connectTimeout, spread, retry, maxRetry, behind, report);
    }

    private static long timeWithin(Section section, String key, long defaultUs, long minUs, long maxUs)
            throws BadFileException {
        long us = section.time(key, defaultUs);
        if (us < minUs || us > maxUs) {
            throw section.error(key, "must be from " + minUs / 1_000 + "ms to " + maxUs / 1_000 + "ms");
        }
        return us;
    }

    private static InetSocketAddress readAddress(Section section, String key) throws BadFileException {
        try {
            return EndpointList.parseAddress(section.string(key, null));
        } catch (IOException e) {
            throw section.error(key, e.getMessage());
        }
    }

    static String readFile(Path file) throws BadFileException {
        try {
            return Files.readString(file);
        } catch (NoSuchFileException e) {
            throw new BadFileException(file + ": no such file");
        } catch (IOException e) {
            throw new BadFileException(file + ": can't be read (" + e.getMessage() + ")");
        }
    }
}
