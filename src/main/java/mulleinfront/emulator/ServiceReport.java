package mulleinfront.emulator;

import java.util.List;
import java.util.Map;
import mulleinfront.core.UnservedCounts;

/**
 * The service that clients received in a simulation: value earned over value asked for, where a client's retries count
 * as part of its first try, less prices.
 *
 * @param service the service score: weighted parts less prices
 * @param overallShare value earned over value asked for in the whole run
 * @param worstWindow the same of the worst window
 * @param worstClass the same of the worst-served class
 * @param worstTenant the same of the worst-served tenant, within its share
 * @param prices deductions from the score, by name
 * @param requests number of first tries
 * @param classes by class
 * @param tenants by tenant
 * @param windows by window of 5 s
 * @param tries number of tries by result
 * @param outcomes number of attempts by result
 * @param counts further counts, by name
 * @param servers statistics of each server
 * @param faults faults, with their times
 * @param losses value that was not earned, by cause
 * @param unserved reasons for which client proxies gave requests up; empty if the proxies are processes
 * @param unservedByWindow {@code unserved} by window
 * @param restarts requests to restarted client proxies in the first 10 s in which they accept requests, and requests to
 *        the other client proxies from the first of these restarts to 10 s after the last
 */
public record ServiceReport(
        double service,
        double overallShare,
        double worstWindow,
        double worstClass,
        double worstTenant,
        Map<String, Double> prices,
        long requests,
        List<GroupStatistics> classes,
        List<GroupStatistics> tenants,
        List<Window> windows,
        Map<String, Long> tries,
        Map<String, Long> outcomes,
        Map<String, Long> counts,
        List<Server> servers,
        List<FaultRecord> faults,
        LossReport losses,
        UnservedCounts unserved,
        List<UnservedCounts> unservedByWindow,
        List<RestartStatistics> restarts) {

    /**
     * Statistics of a class or tenant.
     *
     * @param requests first tries
     * @param onTime requests answered within the target latency
     * @param served requests answered at all
     * @param share value earned over value asked for
     * @param p50Us median time to the answer of answered requests; -1 if there is none
     * @param p99Us 99th percentile of that time
     */
    public record GroupStatistics(
            String name, long requests, long onTime, long served, double share, long p50Us, long p99Us) {}

    /** Requests, requests served in time, value earned over value asked for, tries and refused tries. */
    public record RestartStatistics(String name, long requests, long onTime, double share, long tries, long refused) {}

    /** A time window: its start, the first tries in it, and value earned over value asked for. */
    public record Window(long atUs, long requests, double share) {}

    /** A server's statistics over all its processes. */
    public record Server(String name, int processes, ServerModel.Statistics statistics) {}

    /** A fault: when it began, its duration, and its description. */
    public record FaultRecord(long atUs, long forUs, String description) {}
}
