package mulleinfront.benchlink;

import java.io.IOException;

/** The input is JSON but not the wire. */
final class WireException extends IOException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super("malformed input: " + message);
    }
}
