package ploverdale.settings;

/** Something told to the program that cannot be read; the message names the field. */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public InvalidSettingsException(String message) {
        super(message);
    }
}
