package ploverdale.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The fields of one JSON object, read by name; absent numbers are 0, absent marks false. */
public final class JsonFields {
    private final String owner;
    private final Map<String, Object> values;

    public JsonFields(String owner, Map<String, Object> values) {
        this.owner = owner;
        this.values = values;
    }

    /** Reads the value that the parser stands on: map, list, text, long, double, boolean or null. */
    public static Object read(JsonParser p) throws IOException {
        switch (p.currentToken()) {
            case START_OBJECT: {
                Map<String, Object> map = new LinkedHashMap<>();
                while (p.nextToken() != JsonToken.END_OBJECT) {
                    String name = p.currentName();
                    p.nextToken();
                    map.put(name, read(p));
                }
                return map;
            }
            case START_ARRAY: {
                List<Object> list = new ArrayList<>();
                while (p.nextToken() != JsonToken.END_ARRAY) {
                    list.add(read(p));
                }
                return list;
            }
            case VALUE_STRING:
                return p.getText();
            case VALUE_NUMBER_INT:
                return p.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? p.getDoubleValue()
                        : (Object) p.getLongValue();
            case VALUE_NUMBER_FLOAT:
                return p.getDoubleValue();
            case VALUE_TRUE:
                return true;
            case VALUE_FALSE:
                return false;
            default:
                return null;
        }
    }

    /** The object that a named value holds. */
    public static JsonFields of(String owner, Object value) {
        if (!(value instanceof Map<?, ?> map)) {
            throw new InvalidSettingsException(owner + " is not an object");
        }
        Map<String, Object> copy = new LinkedHashMap<>();
        map.forEach((k, v) -> copy.put((String) k, v));
        return new JsonFields(owner, copy);
    }

    /** Refuses any field that is not among these. */
    public void only(java.util.Set<String> names) {
        for (String name : values.keySet()) {
            if (!names.contains(name)) {
                throw new InvalidSettingsException(owner + " with an unknown field " + name);
            }
        }
    }

    public boolean has(String name) {
        return values.get(name) != null;
    }

    private Object must(String name) {
        Object v = values.get(name);
        if (v == null) {
            throw new InvalidSettingsException(owner + " without field " + name);
        }
        return v;
    }

    private InvalidSettingsException bad(String name) {
        return new InvalidSettingsException(owner + " with a field " + name + " of the wrong form");
    }

    public String text(String name) {
        if (must(name) instanceof String s) {
            return s;
        }
        throw bad(name);
    }

    public String text(String name, String absent) {
        return has(name) ? text(name) : absent;
    }

    public long whole(String name) {
        if (must(name) instanceof Number n) {
            return n.longValue();
        }
        throw bad(name);
    }

    public long whole(String name, long absent) {
        return has(name) ? whole(name) : absent;
    }

    public double number(String name, double absent) {
        if (!has(name)) {
            return absent;
        }
        if (values.get(name) instanceof Number n) {
            return n.doubleValue();
        }
        throw bad(name);
    }

    public double number(String name) {
        must(name);
        return number(name, 0);
    }

    public boolean mark(String name) {
        return Boolean.TRUE.equals(values.get(name));
    }

    public JsonFields object(String name) {
        return has(name) ? of(owner + "." + name, values.get(name)) : new JsonFields(owner + "." + name, Map.of());
    }

    public List<Object> list(String name) {
        if (!has(name)) {
            return List.of();
        }
        if (values.get(name) instanceof List<?> l) {
            return new ArrayList<>(l);
        }
        throw bad(name);
    }

    /** Milliseconds to tenths, rounded down. */
    public static long down(double ms) {
        return Math.floorDiv(Math.round(ms * 1000), 100);
    }

    /** Milliseconds to tenths, rounded up. */
    public static long up(double ms) {
        return -Math.floorDiv(-Math.round(ms * 1000), 100);
    }
}
