package mulleinfront.emulator;

import java.util.List;
import java.util.Map;
import mulleinfront.core.UnservedCounts;

/**
 * What clients had of a world, counted as the operators define it: worth answered within the aim over worth
 * asked for, a client's retries as part of its first try, less what is priced.
 *
 * @param service the figure for all: weighted parts less prices
 * @param whole worth of the whole run, as a share of what was asked
 * @param worstWindow the worst window's
 * @param worstClass the worst-served class's
 * @param worstTenant the worst-served tenant's, within its share
 * @param prices what was taken off, by name
 * @param asks first tries
 * @param classes by class
 * @param tenants by tenant
 * @param windows by window of 5 s
 * @param tries how tries ended, by name
 * @param outcomes how attempts ended, by name
 * @param counts further counts, by name
 * @param servers what each server saw, by name
 * @param faults what happened, and when
 * @param losses what was not served within its aim, by cause
 * @param unserved why client proxies gave requests up; nothing where those are processes
 * @param unservedIn the same by window
 * @param starts requests to client proxies that were started again, in their first 10 s of taking requests,
 *        and to those that were not, from the first of these starts to 10 s after the last
 */
public record ServiceReport(
        double service,
        double whole,
        double worstWindow,
        double worstClass,
        double worstTenant,
        Map<String, Double> prices,
        long asks,
        List<Part> classes,
        List<Part> tenants,
        List<Window> windows,
        Map<String, Long> tries,
        Map<String, Long> outcomes,
        Map<String, Long> counts,
        List<Server> servers,
        List<Happened> faults,
        LossReport losses,
        UnservedCounts unserved,
        List<UnservedCounts> unservedIn,
        List<Starts> starts) {

    /**
     * A class or tenant.
     *
     * @param asked first tries
     * @param onTime answered within the aim
     * @param served answered at all
     * @param share worth earned over worth asked for
     * @param p50Us median time to the answer, of those that were answered; -1 without any
     * @param p99Us the same that all but one in a hundred keep
     */
    public record Part(String name, long asked, long onTime, long served, double share, long p50Us, long p99Us) {}

    /** Requests, those served in time, worth earned over worth asked for, tries and those refused. */
    public record Starts(String name, long asked, long onTime, double share, long tries, long refused) {}

    /** A window of time: when it begins, first tries in it, and worth earned over worth asked for. */
    public record Window(long atUs, long asked, double share) {}

    /** A server over all its lives. */
    public record Server(String name, int lives, ServerModel.Figures figures) {}

    /** A fault as it began. */
    public record Happened(long atUs, long forUs, String what) {}
}
