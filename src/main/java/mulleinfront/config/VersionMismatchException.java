package mulleinfront.config;

/**
 * A difference that does not lead from the version held to the one it says: damaged, or of another history.
 */
public final class VersionMismatchException extends Exception {
    private static final long serialVersionUID = 1;

    public VersionMismatchException(String message) {
        super(message);
    }
}
