package mulleinfront.settings;

/** An input file is missing, malformed or invalid; the message is one line with file, line and reason. */
public final class BadFileException extends Exception {
    private static final long serialVersionUID = 1;

    public BadFileException(String message) {
        super(message);
    }
}
