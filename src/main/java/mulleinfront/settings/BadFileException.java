package mulleinfront.settings;

/** A file that can't be taken as it is written: one line with file, line and reason. */
public final class BadFileException extends Exception {
    private static final long serialVersionUID = 1;

    public BadFileException(String message) {
        super(message);
    }
}
