package mulleinfront.config;

/**
 * Thrown when a delta can't be applied: its base version differs from the current one, or the result does not match
 * the checksum because of damage or a diverged history.
 */
public final class VersionMismatchException extends Exception {
    private static final long serialVersionUID = 1;

    public VersionMismatchException(String message) {
        super(message);
    }
}
