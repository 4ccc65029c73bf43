package mulleinfront.config;

/**
 * A difference that does not lead from the version held to the one it says: damaged, or of another history.
 */
public final class MisfitException extends Exception {
    private static final long serialVersionUID = 1;

    public MisfitException(String message) {
        super(message);
    }
}
