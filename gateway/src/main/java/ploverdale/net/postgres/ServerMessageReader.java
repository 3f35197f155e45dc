package ploverdale.net.postgres;

import io.vertx.core.buffer.Buffer;
import ploverdale.net.postgres.ServerMessage.AuthenticationOk;
import ploverdale.net.postgres.ServerMessage.CommandComplete;
import ploverdale.net.postgres.ServerMessage.DataRow;
import ploverdale.net.postgres.ServerMessage.ErrorResponse;
import ploverdale.net.postgres.ServerMessage.Ignorable;
import ploverdale.net.postgres.ServerMessage.Malformed;
import ploverdale.net.postgres.ServerMessage.ParameterStatus;
import ploverdale.net.postgres.ServerMessage.ReadyForQuery;
import ploverdale.net.postgres.ServerMessage.RowDescription;

/** Decodes the byte stream of one server connection into messages. Used only by the thread that owns the connection. */
public final class ServerMessageReader {
    private static final int MAX_MESSAGE_BYTES = ClientMessageReader.MAX_VALUE_BYTES + 8 * 1024;
    private static final int HEADER_BYTES = 5; // type and length

    private final FrameBuffer frames = new FrameBuffer();

    /** Appends received bytes. */
    public void feed(Buffer more) {
        frames.feed(more);
    }

    /** Returns the number of bytes that have been received but not decoded yet. */
    public int bufferedBytes() {
        return frames.size();
    }

    /** Decodes the next message; returns null if more bytes are needed. */
    public ServerMessage next() {
        if (frames.size() < HEADER_BYTES) {
            return null;
        }
        char type = (char) frames.int8(0);
        int length = frames.int32(1);
        if (length < 4 || length > MAX_MESSAGE_BYTES) {
            return new Malformed("a message of " + length + " bytes");
        }
        if (frames.size() < 1 + length) {
            return null;
        }
        byte[] body = frames.bytes(HEADER_BYTES, length - 4);
        frames.drop(1 + length);
        return decodeMessage(type, new MessageFields(body));
    }

    private static ServerMessage decodeMessage(char type, MessageFields fields) {
        ServerMessage message = decodeFields(type, fields);
        if (fields.truncated()) {
            return new Malformed("a message of type " + type + " cut short");
        }
        // A value cut short by a corrupt length field looks complete, except that bytes are left over after it.
        if (!(message instanceof Ignorable) && fields.remaining() > 0) {
            return new Malformed("a message of type " + type + " longer than its fields");
        }
        return message;
    }

    private static ServerMessage decodeFields(char type, MessageFields fields) {
        return switch (type) {
            case 'R' -> fields.int32() == 0 ? new AuthenticationOk() : new Malformed("a password asked for");
            case 'S' -> new ParameterStatus(fields.string(), fields.string());
            case 'T' -> decodeRowDescription(fields);
            case 'D' ->
                fields.int16() == 1
                        ? new DataRow(fields.lengthPrefixedBytes())
                        : new Malformed("a row that has not one value");
            case 'C' -> new CommandComplete(fields.string());
            case 'E' -> decodeErrorResponse(fields);
            case 'Z' -> new ReadyForQuery(fields.int8() == 'I');
            case 'N', 'K', 'A' -> new Ignorable();
            case 'I' -> new CommandComplete("");
            default -> new Malformed("a message of type " + (int) type);
        };
    }

    private static ServerMessage decodeRowDescription(MessageFields fields) {
        if (fields.int16() != 1) {
            return new Malformed("a row that has not one column");
        }
        return new RowDescription(
                fields.string(),
                fields.int32(),
                fields.int16(),
                fields.int32(),
                fields.int16(),
                fields.int32(),
                fields.int16());
    }

    private static ServerMessage decodeErrorResponse(MessageFields fields) {
        String code = "";
        String message = "";
        for (int field = fields.int8(); field != 0 && !fields.truncated(); field = fields.int8()) {
            String value = fields.string();
            if (field == 'C') {
                code = value;
            } else if (field == 'M') {
                message = value;
            }
        }
        return new ErrorResponse(code, message);
    }
}
