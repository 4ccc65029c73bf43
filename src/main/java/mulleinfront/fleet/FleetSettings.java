package mulleinfront.fleet;

/**
 * Parameters of one member; times are in microseconds. All members need the same list of peers in the same order, and
 * work best with equal parameters.
 *
 * @param fleet name of the fleet; datagrams of other fleets are discarded
 * @param name name of this member for people: printable ASCII, at most {@link Datagram#MAX_NAME_CHARACTERS} characters
 * @param number index of this member in the list of peers, from 0
 * @param peers length of the list of peers
 * @param periodUs protocol period: each member probes one other member per period
 * @param ackTimeoutUs time from a ping until indirect probes are sent for lack of an ack
 * @param probeTimeoutUs time from a ping until the target is suspected for lack of any ack
 * @param indirectProbes members that are asked for an indirect probe
 * @param minSuspicionFactor shortest suspicion timeout, in periods per factor of ten of the number of members
 * @param maxSuspicionRatio ratio of the longest suspicion timeout, with no confirmation, to the shortest one
 * @param confirmations confirmations by other members that reduce the suspicion timeout to the shortest one
 * @param gossipIntervalUs interval between gossip rounds, while there are updates to send
 * @param gossipFanout members that receive gossip in each round
 * @param transmissionFactor transmissions of each update by one member, per factor of ten of the number of members
 * @param comparisonIntervalUs shortest interval between anti-entropy comparisons started by this member
 * @param reconnectIntervalUs shortest mean interval between pings to failed or unknown peers
 * @param convergedAfterUs time without a change, and with equal views in all messages received, until the view has
 *     converged
 * @param memberExpiryUs time until a member that was not seen expires; a network partition may last that long
 * @param datagramsPerS limit on the datagrams sent per second
 * @param bytesPerS limit on the bytes sent per second
 * @param suspicion whether a member that does not answer is suspected first; if not, it is recorded as failed at once
 * @param localHealth whether local health is used: this member gives others more time when it seems to be slow itself
 */
public record FleetSettings(
        String fleet,
        String name,
        int number,
        int peers,
        long periodUs,
        long ackTimeoutUs,
        long probeTimeoutUs,
        int indirectProbes,
        double minSuspicionFactor,
        double maxSuspicionRatio,
        int confirmations,
        long gossipIntervalUs,
        int gossipFanout,
        int transmissionFactor,
        long comparisonIntervalUs,
        long reconnectIntervalUs,
        long convergedAfterUs,
        long memberExpiryUs,
        int datagramsPerS,
        int bytesPerS,
        boolean suspicion,
        boolean localHealth) {

    /** Validates the parameters. */
    public FleetSettings {
        require(number >= 0 && number < peers, "number must be the index of one of the " + peers + " peers, from 0");
        require(peers <= Members.MAX_MEMBERS, "the number of peers must not exceed " + Members.MAX_MEMBERS);
        require(periodUs > 0, "period must be above 0");
        require(ackTimeoutUs > 0 && ackTimeoutUs < probeTimeoutUs, "answer must be above 0 and below conclude");
        require(probeTimeoutUs <= periodUs, "conclude must not be above period");
        require(
                name.length() <= Datagram.MAX_NAME_CHARACTERS,
                "name must have at most " + Datagram.MAX_NAME_CHARACTERS + " characters");
    }

    private static void require(boolean valid, String message) {
        if (!valid) {
            throw new IllegalArgumentException("fleet: " + message);
        }
    }

    /**
     * Default parameters, in proportion to the period: twice the period halves the traffic and doubles the detection
     * time.
     *
     * @param memberExpiryUs time until a member that was not seen expires
     */
    public static FleetSettings defaults(
            String fleet, String name, int number, int peers, long periodUs, long memberExpiryUs) {
        return new FleetSettings(
                fleet,
                name,
                number,
                peers,
                periodUs,
                periodUs / 4,
                periodUs * 3 / 5,
                3,
                4,
                6,
                2,
                periodUs / 5,
                3,
                4,
                periodUs / 2,
                5 * periodUs,
                4 * periodUs,
                memberExpiryUs,
                64,
                12_000,
                true,
                true);
    }

    /** The same parameters for the basic SWIM detector: no suspicion and no local health. */
    public FleetSettings withoutSuspicion() {
        return new FleetSettings(
                fleet,
                name,
                number,
                peers,
                periodUs,
                ackTimeoutUs,
                probeTimeoutUs,
                indirectProbes,
                minSuspicionFactor,
                maxSuspicionRatio,
                confirmations,
                gossipIntervalUs,
                gossipFanout,
                transmissionFactor,
                comparisonIntervalUs,
                reconnectIntervalUs,
                convergedAfterUs,
                memberExpiryUs,
                datagramsPerS,
                bytesPerS,
                false,
                false);
    }

    /** Decimal logarithm of the number of members, at least 1. */
    static double log10Members(int members) {
        return Math.max(1, StrictMath.log10(Math.max(1, members)));
    }

    /** Shortest suspicion timeout in a fleet of this size. */
    long minSuspicionUs(int members) {
        return (long) (minSuspicionFactor * log10Members(members) * periodUs);
    }

    /** Transmissions of one update by one member in a fleet of this size. */
    int updateTransmissions(int members) {
        return transmissionFactor * (int) Math.ceil(StrictMath.log10(members + 1));
    }

    /**
     * Time within which all connected members agree on a member that failed or came back, provided that at most one
     * datagram in ten is lost; audits use it as their bound. It adds two periods until some member probes the failed
     * one, each doubled in case the local health of the probing member is reduced; the longest suspicion timeout, in
     * case confirmations come late; time for gossip, and for anti-entropy where gossip misses a member; and two
     * intervals between pings to failed peers.
     */
    public long convergenceBoundUs(int members) {
        double rounds = StrictMath.log(members + 1) / StrictMath.log(2);
        return (long) (4 * periodUs
                        + maxSuspicionRatio * minSuspicionUs(members)
                        + 3 * rounds * gossipIntervalUs
                        + 2 * rounds * comparisonIntervalUs)
                + 2 * reconnectIntervalUs;
    }
}
