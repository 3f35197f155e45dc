package ploverdale.net.postgres;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.vertx.core.buffer.Buffer;

/** Encodes the messages to clients and to database servers. */
public final class MessageWriter {
    private static final int PROTOCOL_VERSION = 3 << 16;

    private MessageWriter() {}

    /** Encodes the response to a client's startup message, with a BackendKeyData that no cancel request matches. */
    public static Buffer startupResponse() {
        return startupResponse(0, 0);
    }

    /**
     * Encodes the response to a client's startup message.
     *
     * @param processId process id by which a cancel request names the connection
     * @param secretKey secret key that a cancel request must repeat
     */
    public static Buffer startupResponse(int processId, int secretKey) {
        Buffer buffer = Buffer.buffer(128);
        buffer.appendByte((byte) 'R').appendInt(8).appendInt(0);
        parameterStatus(buffer, "server_version", "15.0");
        parameterStatus(buffer, "client_encoding", "UTF8");
        parameterStatus(buffer, "standard_conforming_strings", "on");
        buffer.appendByte((byte) 'K').appendInt(12).appendInt(processId).appendInt(secretKey);
        return readyForQuery(buffer);
    }

    /** Appends a ParameterStatus message. Name and value must be ASCII. */
    public static void parameterStatus(Buffer buffer, String name, String value) {
        buffer.appendByte((byte) 'S').appendInt(6 + name.length() + value.length());
        buffer.appendString(name).appendByte((byte) 0);
        buffer.appendString(value).appendByte((byte) 0);
    }

    private static Buffer readyForQuery(Buffer buffer) {
        return buffer.appendByte((byte) 'Z').appendInt(5).appendByte((byte) 'I');
    }

    /** Encodes the response to a client's Sync. */
    public static Buffer readyForQuery() {
        return readyForQuery(Buffer.buffer(6));
    }

    /** Encodes the response to a client's empty query. */
    public static Buffer emptyQueryResponse() {
        return readyForQuery(Buffer.buffer(11).appendByte((byte) 'I').appendInt(4));
    }

    /** Encodes a result for a client, with the row unchanged from the database server. */
    public static Buffer resultRow(ResultRow row) {
        int size = row.value() == null ? 0 : row.value().length;
        byte[] name = row.column().name().getBytes(UTF_8);
        byte[] tag = row.tag().getBytes(UTF_8);
        Buffer buffer = Buffer.buffer(size + name.length + tag.length + 64);
        buffer.appendByte((byte) 'T').appendInt(6 + name.length + 19).appendShort((short) 1);
        buffer.appendBytes(name).appendByte((byte) 0);
        buffer.appendInt(row.column().tableOid()).appendShort(row.column().columnNumber());
        buffer.appendInt(row.column().typeOid()).appendShort(row.column().typeSize());
        buffer.appendInt(row.column().typeModifier()).appendShort(row.column().format());
        buffer.appendByte((byte) 'D').appendInt(10 + size).appendShort((short) 1);
        buffer.appendInt(row.value() == null ? -1 : size);
        if (row.value() != null) {
            buffer.appendBytes(row.value());
        }
        buffer.appendByte((byte) 'C').appendInt(5 + tag.length).appendBytes(tag).appendByte((byte) 0);
        return readyForQuery(buffer);
    }

    /**
     * Encodes an ErrorResponse for a client.
     *
     * @param detail the detail field, or null to omit it
     * @param fatal whether the connection is closed after it
     * @param withReadyForQuery whether a ReadyForQuery message follows
     */
    public static Buffer errorResponse(
            String code, String message, String detail, boolean fatal, boolean withReadyForQuery) {
        String severity = fatal ? "FATAL" : "ERROR";
        Buffer fields = Buffer.buffer(128);
        appendField(fields, 'S', severity);
        appendField(fields, 'V', severity);
        appendField(fields, 'C', code);
        appendField(fields, 'M', message);
        if (detail != null) {
            appendField(fields, 'D', detail);
        }
        fields.appendByte((byte) 0);
        Buffer buffer = Buffer.buffer(fields.length() + 16);
        buffer.appendByte((byte) 'E').appendInt(4 + fields.length()).appendBuffer(fields);
        return withReadyForQuery ? readyForQuery(buffer) : buffer;
    }

    private static void appendField(Buffer fields, char type, String value) {
        fields.appendByte((byte) type).appendString(value).appendByte((byte) 0);
    }

    /** Encodes the startup message to a server. */
    public static Buffer startup() {
        Buffer buffer = Buffer.buffer(48);
        buffer.appendInt(0).appendInt(PROTOCOL_VERSION);
        for (String text : new String[] {"user", "client", "database", "core"}) {
            buffer.appendString(text).appendByte((byte) 0);
        }
        buffer.appendByte((byte) 0);
        return buffer.setInt(0, buffer.length());
    }

    /**
     * Encodes a request for a server: the client's query unchanged, except that its timeout is replaced.
     *
     * @param timeoutMs how long the server may take, in milliseconds
     */
    public static Buffer request(ClientMessage.RequestQuery query, long timeoutMs) {
        byte[] timeout = Long.toString(timeoutMs).getBytes(UTF_8);
        int size = query.text().length - (query.timeoutTo() - query.timeoutFrom()) + timeout.length;
        Buffer buffer = Buffer.buffer(size + 6);
        buffer.appendByte((byte) 'Q').appendInt(size + 5);
        buffer.appendBytes(query.text(), 0, query.timeoutFrom()).appendBytes(timeout);
        buffer.appendBytes(query.text(), query.timeoutTo(), query.text().length - query.timeoutTo());
        return buffer.appendByte((byte) 0);
    }

    /**
     * Encodes a health check for a server.
     *
     * @param requestsLoadReport whether to request the load report
     */
    public static Buffer healthCheck(boolean requestsLoadReport) {
        return query(requestsLoadReport ? "SHOW vitals" : "SELECT 1");
    }

    /** Encodes a simple query for a server. */
    public static Buffer query(String text) {
        byte[] bytes = text.getBytes(UTF_8);
        Buffer buffer = Buffer.buffer(bytes.length + 6);
        return buffer.appendByte((byte) 'Q')
                .appendInt(5 + bytes.length)
                .appendBytes(bytes)
                .appendByte((byte) 0);
    }
}
