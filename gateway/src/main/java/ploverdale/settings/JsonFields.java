package ploverdale.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads the fields of one JSON object by name. A field whose value is null counts as absent. The methods throw an
 * {@link InvalidSettingsException}, which names the owner and the field, if a required field is absent or a value has
 * another type than requested. Immutable.
 */
public final class JsonFields {
    private final String owner;
    private final Map<String, Object> values;

    /** @param owner the name of the object in error messages */
    public JsonFields(String owner, Map<String, Object> values) {
        this.owner = owner;
        this.values = values;
    }

    /**
     * Parses a text that consists of one JSON object.
     *
     * @param owner the name of the text in error messages
     * @throws InvalidSettingsException if the text is not a JSON object
     */
    public static JsonFields parse(String owner, String text) {
        try (JsonParser parser = new JsonFactory().createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidSettingsException(owner + " is not a JSON object");
            }
            return of(owner, read(parser));
        } catch (JsonProcessingException malformed) {
            throw new InvalidSettingsException(owner + " is not JSON: " + malformed.getOriginalMessage());
        } catch (IOException failure) {
            throw new InvalidSettingsException(owner + " cannot be read: " + failure.getMessage());
        }
    }

    /** Reads the value at the parser's current token; returns a map, list, string, long, double, boolean or null. */
    public static Object read(JsonParser parser) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT:
                return readObject(parser);
            case START_ARRAY:
                return readArray(parser);
            case VALUE_STRING:
                return parser.getText();
            case VALUE_NUMBER_INT:
                return readInteger(parser);
            case VALUE_NUMBER_FLOAT:
                return parser.getDoubleValue();
            case VALUE_TRUE:
                return true;
            case VALUE_FALSE:
                return false;
            default:
                return null;
        }
    }

    private static Map<String, Object> readObject(JsonParser parser) throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            fields.put(name, read(parser));
        }
        return fields;
    }

    private static List<Object> readArray(JsonParser parser) throws IOException {
        List<Object> elements = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            elements.add(read(parser));
        }
        return elements;
    }

    /** Returns a long, or a double if the number does not fit into a long. */
    private static Object readInteger(JsonParser parser) throws IOException {
        if (parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
            return parser.getDoubleValue();
        }
        return parser.getLongValue();
    }

    /**
     * Returns the fields of a value that has to be a JSON object.
     *
     * @param owner the name of the value in error messages
     * @throws InvalidSettingsException if the value is not an object
     */
    public static JsonFields of(String owner, Object value) {
        if (!(value instanceof Map<?, ?> map)) {
            throw new InvalidSettingsException(owner + " is not an object");
        }
        Map<String, Object> copy = new LinkedHashMap<>();
        map.forEach((name, field) -> copy.put((String) name, field));
        return new JsonFields(owner, copy);
    }

    /** Throws if there is a field whose name is not among these. */
    public void allowOnly(Set<String> names) {
        for (String name : values.keySet()) {
            if (!names.contains(name)) {
                throw InvalidSettingsException.unknownField(owner, name);
            }
        }
    }

    /** Returns whether the field is present and not null. */
    public boolean has(String name) {
        return values.get(name) != null;
    }

    /** Throws if the field is absent. */
    public void require(String name) {
        required(name);
    }

    private Object required(String name) {
        Object value = values.get(name);
        if (value == null) {
            throw InvalidSettingsException.missingField(owner, name);
        }
        return value;
    }

    private InvalidSettingsException wrongType(String name, String expected) {
        return InvalidSettingsException.wrongType(owner, name, values.get(name), expected);
    }

    /** Returns a required string. */
    public String text(String name) {
        if (required(name) instanceof String text) {
            return text;
        }
        throw wrongType(name, "a string");
    }

    /** Returns a string, or the default if the field is absent. */
    public String text(String name, String defaultValue) {
        return has(name) ? text(name) : defaultValue;
    }

    /** Returns a required number without its fraction. */
    public long integer(String name) {
        if (required(name) instanceof Number number) {
            return number.longValue();
        }
        throw wrongType(name, "a number");
    }

    /** Returns a number without its fraction, or the default if the field is absent. */
    public long integer(String name, long defaultValue) {
        return has(name) ? integer(name) : defaultValue;
    }

    /** Returns a required number. */
    public double number(String name) {
        if (required(name) instanceof Number number) {
            return number.doubleValue();
        }
        throw wrongType(name, "a number");
    }

    /** Returns a number, or the default if the field is absent. */
    public double number(String name, double defaultValue) {
        return has(name) ? number(name) : defaultValue;
    }

    /** Returns whether the field is {@code true}; false for any other value and if the field is absent. */
    public boolean flag(String name) {
        return Boolean.TRUE.equals(values.get(name));
    }

    /** Returns the fields of a nested object; without any fields if the object is absent. */
    public JsonFields object(String name) {
        String nestedOwner = owner + "." + name;
        return has(name) ? of(nestedOwner, values.get(name)) : new JsonFields(nestedOwner, Map.of());
    }

    /** Returns a copy of the elements of an array; empty if the field is absent. */
    public List<Object> list(String name) {
        if (!has(name)) {
            return List.of();
        }
        if (values.get(name) instanceof List<?> elements) {
            return new ArrayList<>(elements);
        }
        throw wrongType(name, "an array");
    }

    /** Converts milliseconds to tenths of a millisecond, rounded down. */
    public static long tenthsRoundedDown(double milliseconds) {
        return Math.floorDiv(Math.round(milliseconds * 1000), 100);
    }

    /** Converts milliseconds to tenths of a millisecond, rounded up. */
    public static long tenthsRoundedUp(double milliseconds) {
        return -Math.floorDiv(-Math.round(milliseconds * 1000), 100);
    }
}
