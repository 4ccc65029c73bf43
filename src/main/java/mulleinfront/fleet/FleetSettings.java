package mulleinfront.fleet;

/**
 * What a member of a fleet goes by; times are microseconds. All members need the same list of peers in the same
 * order, and do best with the same figures.
 *
 * @param fleet the fleet's name: datagrams of another are not read
 * @param name this member's name, for people; printable ASCII, {@link Datagram#LONGEST_NAME} at most
 * @param number its place in the list of peers, from 0
 * @param peers how many the list holds
 * @param periodUs each member pings one other in this time
 * @param answerUs time for the answer to a ping, before others are asked to try
 * @param concludeUs time from a ping until one that answered nobody is suspected
 * @param helpers how many are asked to try
 * @param suspicionFactor periods that a suspicion lasts at the least, for each tenfold size of the fleet
 * @param suspicionMost how many times as long it lasts while one member alone has it
 * @param accusers further ones that bring it down to the least
 * @param newsUs news are passed on this often, while there are any
 * @param newsTo to how many
 * @param newsFactor how often each is passed on by one member, for each tenfold size of the fleet
 * @param compareUs time between comparisons of views that this member begins
 * @param retryUs time between pings to those who are thought to have failed
 * @param settledUs time without change, and with equal views among those heard, after which a view is settled
 * @param goneUs time after which one that was not seen counts as gone for good; a cut may last so long
 * @param datagramsPerS datagrams that this member sends in a second at most
 * @param bytesPerS bytes, likewise
 * @param suspicion whether who does not answer is suspected first; if not, it has failed at once
 * @param selfDoubt whether this member gives others more time when it seems to be slow itself
 */
public record FleetSettings(
        String fleet,
        String name,
        int number,
        int peers,
        long periodUs,
        long answerUs,
        long concludeUs,
        int helpers,
        double suspicionFactor,
        double suspicionMost,
        int accusers,
        long newsUs,
        int newsTo,
        int newsFactor,
        long compareUs,
        long retryUs,
        long settledUs,
        long goneUs,
        int datagramsPerS,
        int bytesPerS,
        boolean suspicion,
        boolean selfDoubt) {

    /** Rejects what can't be gone by. */
    public FleetSettings {
        need(number >= 0 && number < peers, "number must be one of the " + peers + " peers'");
        need(peers <= Members.MOST, "peers: there is room for " + Members.MOST);
        need(periodUs > 0, "period must be above 0");
        need(answerUs > 0 && answerUs < concludeUs, "answer must be above 0 and below conclude");
        need(concludeUs <= periodUs, "conclude must not be above period");
        need(name.length() <= Datagram.LONGEST_NAME, "name: " + Datagram.LONGEST_NAME + " characters at most");
    }

    private static void need(boolean ok, String otherwise) {
        if (!ok) {
            throw new IllegalArgumentException("fleet: " + otherwise);
        }
    }

    /**
     * The usual ones, in proportion to a period: a fleet that may take twice as long to notice costs half.
     *
     * @param goneUs see above
     */
    public static FleetSettings defaults(String fleet, String name, int number, int peers, long periodUs, long goneUs) {
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
                goneUs,
                64,
                12_000,
                true,
                true);
    }

    /** The same detector as it was first published: no suspicion, no doubt of itself. */
    public FleetSettings withoutSuspicion() {
        return new FleetSettings(
                fleet,
                name,
                number,
                peers,
                periodUs,
                answerUs,
                concludeUs,
                helpers,
                suspicionFactor,
                suspicionMost,
                accusers,
                newsUs,
                newsTo,
                newsFactor,
                compareUs,
                retryUs,
                settledUs,
                goneUs,
                datagramsPerS,
                bytesPerS,
                false,
                false);
    }

    /** How many tenfold sizes a fleet has, at least one. */
    static double tenfolds(int members) {
        return Math.max(1, StrictMath.log10(Math.max(1, members)));
    }

    /** How long a suspicion lasts at the least among so many. */
    long leastSuspicionUs(int members) {
        return (long) (suspicionFactor * tenfolds(members) * periodUs);
    }

    /** How often one member passes a word on among so many. */
    int newsTimes(int members) {
        return newsFactor * (int) Math.ceil(StrictMath.log10(members + 1));
    }

    /**
     * Time within which all who are connected have agreed on one that died, or on one that is back, if not more
     * than one datagram in ten is lost: what a judge may hold a fleet to. Two periods until somebody pings it, each
     * twice as long where that one had a reason to doubt itself; the longest suspicion, if no second accuser comes
     * for long; and time for the news, and for a comparison of views where it misses somebody.
     */
    public long convergenceBoundUs(int members) {
        double rounds = StrictMath.log(members + 1) / StrictMath.log(2);
        return (long) (4 * periodUs
                        + suspicionMost * leastSuspicionUs(members)
                        + 3 * rounds * newsUs
                        + 2 * rounds * compareUs)
                + 2 * retryUs;
    }
}
