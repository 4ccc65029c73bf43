package mulleinfront.fleet;

import java.util.Locale;

/** Why a datagram was not read. Each is counted; none changes anything else. */
public enum DropReason {
    /** Longer than the protocol allows. */
    TOO_LONG,
    /** Shorter than any, or its check does not fit: cut or changed on the way. */
    DAMAGED,
    /** Of another fleet. */
    OTHER_FLEET,
    /** Of a version of the wire that is not spoken here. */
    OTHER_VERSION,
    /** From an address that is no peer's. */
    STRANGER,
    /** It says that it is from another than the one whose address it came from. */
    NOT_ITS_ADDRESS,
    /** Somebody says that it is this instance. */
    OUR_NUMBER,
    /** Meant for whoever had this address before. */
    NOT_FOR_US,
    /** Whole, and not a message. */
    MALFORMED;

    /** One word for people and logs. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
