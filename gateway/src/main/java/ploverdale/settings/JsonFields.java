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
 * The fields of one JSON object, read by name. A field that is null counts as absent. A value of another type than asked
 * for is an {@link InvalidSettingsException} that names owner and field. Immutable.
 */
public final class JsonFields {
    private final String owner;
    private final Map<String, Object> values;

    /** @param owner how messages name the object */
    public JsonFields(String owner, Map<String, Object> values) {
        this.owner = owner;
        this.values = values;
    }

    /**
     * The fields of a text that is one JSON object.
     *
     * @param owner how messages name the text
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

    /** Reads the value at the parser's current token: a map, list, string, long, double, boolean or null. */
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

    /** A long, or a double where it does not fit one. */
    private static Object readInteger(JsonParser parser) throws IOException {
        if (parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
            return parser.getDoubleValue();
        }
        return parser.getLongValue();
    }

    /**
     * The fields of a value that has to be an object.
     *
     * @param owner how messages name the value
     */
    public static JsonFields of(String owner, Object value) {
        if (!(value instanceof Map<?, ?> map)) {
            throw new InvalidSettingsException(owner + " is not an object");
        }
        Map<String, Object> copy = new LinkedHashMap<>();
        map.forEach((name, field) -> copy.put((String) name, field));
        return new JsonFields(owner, copy);
    }

    /** Fails if there is a field that is not among these. */
    public void allowOnly(Set<String> names) {
        for (String name : values.keySet()) {
            if (!names.contains(name)) {
                throw InvalidSettingsException.unknownField(owner, name);
            }
        }
    }

    /** Whether the field is present and not null. */
    public boolean has(String name) {
        return values.get(name) != null;
    }

    /** Fails if the field is absent. */
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

    private InvalidSettingsException wrongType(String name, String wanted) {
        return InvalidSettingsException.wrongType(owner, name, values.get(name), wanted);
    }

    /** A required string. */
    public String text(String name) {
        if (required(name) instanceof String text) {
            return text;
        }
        throw wrongType(name, "a string");
    }

    /** A string, or the default where the field is absent. */
    public String text(String name, String defaultValue) {
        return has(name) ? text(name) : defaultValue;
    }

    /** A required whole number; the fraction of another one is cut off. */
    public long integer(String name) {
        if (required(name) instanceof Number number) {
            return number.longValue();
        }
        throw wrongType(name, "a number");
    }

    /** A whole number, or the default where the field is absent; the fraction of another one is cut off. */
    public long integer(String name, long defaultValue) {
        return has(name) ? integer(name) : defaultValue;
    }

    /** A required number. */
    public double number(String name) {
        if (required(name) instanceof Number number) {
            return number.doubleValue();
        }
        throw wrongType(name, "a number");
    }

    /** A number, or the default where the field is absent. */
    public double number(String name, double defaultValue) {
        return has(name) ? number(name) : defaultValue;
    }

    /** Whether the field is {@code true}; anything else, or an absent field, counts as false. */
    public boolean flag(String name) {
        return Boolean.TRUE.equals(values.get(name));
    }

    /** The fields of a nested object; none where the field is absent. */
    public JsonFields object(String name) {
        String nestedOwner = owner + "." + name;
        return has(name) ? of(nestedOwner, values.get(name)) : new JsonFields(nestedOwner, Map.of());
    }

    /** The elements of an array, a copy; none where the field is absent. */
    public List<Object> list(String name) {
        if (!has(name)) {
            return List.of();
        }
        if (values.get(name) instanceof List<?> elements) {
            return new ArrayList<>(elements);
        }
        throw wrongType(name, "an array");
    }

    /** Milliseconds to tenths of a millisecond, rounded down. */
    public static long tenthsRoundedDown(double milliseconds) {
        return Math.floorDiv(Math.round(milliseconds * 1000), 100);
    }

    /** Milliseconds to tenths of a millisecond, rounded up. */
    public static long tenthsRoundedUp(double milliseconds) {
        return -Math.floorDiv(-Math.round(milliseconds * 1000), 100);
    }
}
