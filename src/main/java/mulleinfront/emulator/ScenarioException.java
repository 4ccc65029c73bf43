package mulleinfront.emulator;

/** A scenario that can't be played as it is written: one line with file, line and reason. */
public final class ScenarioException extends Exception {
    private static final long serialVersionUID = 1;

    public ScenarioException(String message) {
        super(message);
    }
}
