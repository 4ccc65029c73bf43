package mulleinfront.benchlink;

import java.io.IOException;

/** The input is valid JSON but violates the simulator's protocol. */
final class ProtocolException extends IOException {
    private static final long serialVersionUID = 1L;

    ProtocolException(String message) {
        super("malformed input: " + message);
    }
}
