package mulleinfront.fleet;

import java.util.Locale;

/** Why a datagram was discarded. A discarded datagram is counted and has no other effect. */
public enum DropReason {
    /** It is longer than the protocol allows. */
    TOO_LONG,
    /** It is shorter than the header and checksum, or the checksum is wrong: truncated or corrupted in transit. */
    DAMAGED,
    /** It belongs to another fleet. */
    OTHER_FLEET,
    /** Its protocol version is not supported. */
    OTHER_VERSION,
    /** It came from an address that belongs to no peer. */
    STRANGER,
    /** Its sender number does not match the peer whose address it came from. */
    NOT_ITS_ADDRESS,
    /** It carries the number of this instance as its sender. */
    OUR_NUMBER,
    /** It is addressed to another member, which may have had this address before. */
    NOT_FOR_US,
    /** The checksum is right, but the content is not a valid message. */
    MALFORMED;

    /** The name written to logs and operator output. */
    public String outputName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
