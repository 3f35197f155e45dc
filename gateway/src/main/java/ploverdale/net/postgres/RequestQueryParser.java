package ploverdale.net.postgres;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.HashMap;
import java.util.Map;
import ploverdale.net.postgres.ClientMessage.EmptyQuery;
import ploverdale.net.postgres.ClientMessage.InvalidMessage;
import ploverdale.net.postgres.ClientMessage.RequestQuery;

/** Parses a query string: one statement and the comment that describes the request. */
final class RequestQueryParser {
    private static final String[] REQUIRED_FIELDS = {"id", "c", "d"};
    private static final String[] FIELDS = {"id", "c", "t", "d", "cluster", "r", "after"};
    private static final double MAX_TIMEOUT_MS = 1e9;
    private static final int MAX_NUMBER_LENGTH = 24;
    private static final String NUMBER_CHARACTERS = "0123456789.-";

    private final byte[] text;
    private final Map<String, String> fields = new HashMap<>();
    private int commentFrom = -1;
    private int commentTo = -1;
    private int timeoutFrom = -1;
    private int timeoutTo = -1;
    private String key;
    private boolean hasStatement;
    private boolean statementEnded;
    private InvalidMessage invalid;

    private RequestQueryParser(byte[] text) {
        this.text = text;
    }

    /**
     * Parses a query string.
     *
     * @return a {@link RequestQuery}, an {@link EmptyQuery} or an {@link InvalidMessage}
     */
    static ClientMessage parse(byte[] text) {
        RequestQueryParser parser = new RequestQueryParser(text);
        parser.scanStatement();
        if (parser.invalid != null) {
            return parser.invalid;
        }
        return parser.hasStatement ? parser.toRequestQuery() : new EmptyQuery();
    }

    private void scanStatement() {
        for (int i = 0; i < text.length && invalid == null; i++) {
            byte current = text[i];
            if (current == '/' && i + 1 < text.length && text[i + 1] == '*') {
                i = scanComment(i);
            } else if (current == 0) {
                invalid = new InvalidMessage("42601", "a zero byte within a query", false);
            } else if (current == ';') {
                statementEnded = hasStatement;
            } else if (current > ' ' || current < 0) {
                i = scanStatementByte(i);
            }
        }
    }

    /** Scans the token that begins at an index, a quoted value or a single byte. Returns the index of its last byte. */
    private int scanStatementByte(int from) {
        if (statementEnded) {
            invalid = new InvalidMessage("42601", "more than one statement in a query", false);
        }
        hasStatement = true;
        byte first = text[from];
        return first == '\'' || first == '"' ? scanQuoted(from, first) : from;
    }

    /** Returns the index of the last byte of the comment. */
    private int scanComment(int from) {
        int end = from + 2;
        while (end + 1 < text.length && !(text[end] == '*' && text[end + 1] == '/')) {
            end++;
        }
        if (end + 1 >= text.length) {
            invalid = new InvalidMessage("42601", "a comment that does not end", false);
            return text.length;
        }
        commentFrom = from + 2;
        commentTo = end;
        return end + 1;
    }

    /** Returns the index of the closing quote. */
    private int scanQuoted(int from, byte quote) {
        int end = from + 1;
        while (end < text.length && (text[end] != quote || end + 1 < text.length && text[end + 1] == quote)) {
            end += text[end] == quote ? 2 : 1;
        }
        int length = end - from - 1;
        boolean hex = end - from > 2 && text[from + 1] == '\\' && text[from + 2] == 'x';
        int maxLength = hex ? 2 + 2 * ClientMessageReader.MAX_VALUE_BYTES : ClientMessageReader.MAX_VALUE_BYTES;
        if (end >= text.length) {
            invalid = new InvalidMessage("42601", "a quoted text that does not end", false);
        } else if (length > maxLength) {
            invalid = new InvalidMessage(
                    "54000", "a value over " + ClientMessageReader.MAX_VALUE_BYTES + " bytes", false);
        } else if (quote == '\'' && !hex && key == null) {
            key = new String(text, from + 1, length, UTF_8);
        }
        return end;
    }

    private ClientMessage toRequestQuery() {
        if (commentFrom < 0) {
            return new InvalidMessage("42601", "a query without the comment that names its op", false);
        }
        parseComment();
        for (String name : REQUIRED_FIELDS) {
            if (fields.getOrDefault(name, "").isEmpty()) {
                return new InvalidMessage("22023", "a comment without " + name, false);
            }
        }
        double timeoutMs = parseNumber(fields.get("d"));
        double group = parseNumber(fields.getOrDefault("cluster", "0"));
        double minPositionMs = parseNumber(fields.getOrDefault("after", "0"));
        if (Double.isNaN(timeoutMs) || Double.isNaN(group) || Double.isNaN(minPositionMs)) {
            return new InvalidMessage("22023", "a number that is none", false);
        }
        if (timeoutMs <= 0 || timeoutMs > MAX_TIMEOUT_MS) {
            return new InvalidMessage("22023", "a wait of " + timeoutMs + " ms", false);
        }
        return new RequestQuery(
                fields.get("id"),
                fields.get("c"),
                fields.getOrDefault("t", ""),
                (long) group,
                key,
                timeoutMs,
                fields.getOrDefault("r", "0").equals("1"),
                (long) minPositionMs,
                text,
                timeoutFrom,
                timeoutTo);
    }

    private void parseComment() {
        int from = commentFrom;
        while (from < commentTo) {
            int end = from;
            while (end < commentTo && text[end] != ',') {
                end++;
            }
            parseField(from, end);
            from = end + 1;
        }
    }

    private void parseField(int begin, int end) {
        int from = begin;
        while (from < end && text[from] == ' ') {
            from++;
        }
        int to = end;
        while (to > from && text[to - 1] == ' ') {
            to--;
        }
        int equals = begin;
        while (equals < end && text[equals] != '=') {
            equals++;
        }
        if (equals <= from || equals >= to) {
            return;
        }
        String name = fieldName(from, equals);
        if (name == null) {
            return; // a comment may have any number of others
        }
        fields.put(name, new String(text, equals + 1, to - equals - 1, UTF_8));
        if (name.equals("d")) {
            timeoutFrom = equals + 1;
            timeoutTo = to;
        }
    }

    /** Returns the name of a field that requests have, if the text from an index on has just that name, or null. */
    private String fieldName(int from, int to) {
        for (String field : FIELDS) {
            if (field.length() == to - from && startsWith(field, from)) {
                return field;
            }
        }
        return null;
    }

    private boolean startsWith(String ascii, int from) {
        for (int i = 0; i < ascii.length(); i++) {
            if (text[from + i] != ascii.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Parses a plain decimal number; returns NaN for anything else, such as the exponents that Double.parseDouble
     * accepts.
     */
    private static double parseNumber(String text) {
        boolean isPlainDecimal = !text.isEmpty() && text.length() < MAX_NUMBER_LENGTH;
        for (int i = 0; isPlainDecimal && i < text.length(); i++) {
            isPlainDecimal = NUMBER_CHARACTERS.indexOf(text.charAt(i)) >= 0;
        }
        try {
            return isPlainDecimal ? Double.parseDouble(text) : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
