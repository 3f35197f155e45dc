package ploverdale.settings;

/**
 * Thrown if a configuration file, settings or a message from outside is invalid. The exception's message is one line
 * that names the source and the field. If a single field is at fault, the accessors return the source, the field, the
 * value found and the value expected.
 */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String source;
    private final String field;
    private final String found;
    private final String expected;

    /** Creates an exception for a fault that does not belong to a single field. */
    public InvalidSettingsException(String message) {
        this(message, null, null, null, null);
    }

    private InvalidSettingsException(String message, String source, String field, String found, String expected) {
        super(message);
        this.source = source;
        this.field = field;
        this.found = found;
        this.expected = expected;
    }

    /** Creates an exception for a single field, with the given message; for the other parameters see the accessors. */
    public static InvalidSettingsException ofField(
            String message, String source, String field, Object found, String expected) {
        return new InvalidSettingsException(message, source, field, String.valueOf(found), expected);
    }

    /** Creates an exception for a required field that is absent. */
    public static InvalidSettingsException missingField(String source, String field) {
        return new InvalidSettingsException(source + ": field " + field + " is missing", source, field, "nothing", "a value");
    }

    /** Creates an exception for a field that is not defined. */
    public static InvalidSettingsException unknownField(String source, String field) {
        return new InvalidSettingsException(
                source + ": unknown field " + field, source, field, "an unknown field", "a known field");
    }

    /** Creates an exception for a field whose value has the wrong JSON type. */
    public static InvalidSettingsException wrongType(String source, String field, Object found, String expected) {
        String message = source + ": field " + field + " has the wrong type";
        return ofField(message, source, field, found, expected);
    }

    /** Creates an exception for a number that is too small or too large. */
    public static InvalidSettingsException outOfRange(String source, String field, Number found, String expected) {
        String message = source + ": field " + field + " is out of range: " + found;
        return ofField(message, source, field, found, expected);
    }

    /**
     * Returns the file, message or object that has the field, as the message names it; null if no single field is at
     * fault.
     */
    public String source() {
        return source;
    }

    /** Returns the name of the field; null if no single field is at fault. */
    public String field() {
        return field;
    }

    /** Returns the value found; null if no single field is at fault. */
    public String found() {
        return found;
    }

    /** Returns a description of the valid values; null if no single field is at fault. */
    public String expected() {
        return expected;
    }
}
