package ploverdale.settings;

/**
 * A configuration, settings or message from outside that cannot be used. The message is one line that names the source
 * and the field; where the fault is that of one field, source, field, what was found and what is wanted are available
 * each by itself.
 */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String source;
    private final String field;
    private final String found;
    private final String wanted;

    /** A fault that is not that of one field. */
    public InvalidSettingsException(String message) {
        this(message, null, null, null, null);
    }

    private InvalidSettingsException(String message, String source, String field, String found, String wanted) {
        super(message);
        this.source = source;
        this.field = field;
        this.found = found;
        this.wanted = wanted;
    }

    /** A fault of one field, in words of its own; see the accessors for the parameters. */
    public static InvalidSettingsException ofField(
            String message, String source, String field, Object found, String wanted) {
        return new InvalidSettingsException(message, source, field, String.valueOf(found), wanted);
    }

    /** A required field is absent. */
    public static InvalidSettingsException missingField(String source, String field) {
        return new InvalidSettingsException(source + " without field " + field, source, field, "nothing", "a value");
    }

    /** A field that nothing reads. */
    public static InvalidSettingsException unknownField(String source, String field) {
        return new InvalidSettingsException(
                source + " with an unknown field " + field, source, field, "an unknown field", "a known field");
    }

    /** A field whose value has another JSON type. */
    public static InvalidSettingsException wrongType(String source, String field, Object found, String wanted) {
        String message = source + " with a field " + field + " of the wrong form";
        return ofField(message, source, field, found, wanted);
    }

    /** A number that is too small or too large. */
    public static InvalidSettingsException outOfRange(String source, String field, Number found, String wanted) {
        String message = source + " with a field " + field + " out of range: " + found;
        return ofField(message, source, field, found, wanted);
    }

    /** The file, message or part of one that is at fault, as the message names it; null where it is not one field's. */
    public String source() {
        return source;
    }

    /** The name of the field; null where the fault is not one field's. */
    public String field() {
        return field;
    }

    /** The value found; null where the fault is not one field's. */
    public String found() {
        return found;
    }

    /** What the value has to be; null where the fault is not one field's. */
    public String wanted() {
        return wanted;
    }
}
