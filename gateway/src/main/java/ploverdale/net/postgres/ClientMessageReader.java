package ploverdale.net.postgres;

import io.vertx.core.buffer.Buffer;
import ploverdale.net.postgres.ClientMessage.CancelRequest;
import ploverdale.net.postgres.ClientMessage.EncryptionRequest;
import ploverdale.net.postgres.ClientMessage.InvalidMessage;
import ploverdale.net.postgres.ClientMessage.Startup;
import ploverdale.net.postgres.ClientMessage.Sync;
import ploverdale.net.postgres.ClientMessage.Terminate;
import ploverdale.net.postgres.ClientMessage.UnsupportedMessage;

/** Decodes the byte stream of one client connection into messages. Used only by the thread that owns the connection. */
public final class ClientMessageReader {
    /** Maximum size in bytes of a value in a request or in a server's row. */
    public static final int MAX_VALUE_BYTES = 64 * 1024;

    private static final int MAX_STARTUP_BYTES = 10_000;
    /** A value in hex takes two characters per byte. */
    private static final int MAX_QUERY_BYTES = 2 * MAX_VALUE_BYTES + 8 * 1024;

    /** A longer message closes the connection. */
    private static final int MAX_SKIPPED_BYTES = 1024 * 1024;

    private static final int MIN_STARTUP_BYTES = 8;
    private static final int CANCEL_REQUEST_BYTES = 16;
    private static final int HEADER_BYTES = 5; // type and length
    private static final int SSL_REQUEST = 80877103;
    private static final int GSS_ENCRYPTION_REQUEST = 80877104;
    private static final int CANCEL_REQUEST = 80877102;
    private static final int PROTOCOL_MAJOR_VERSION = 3;
    private static final String MESSAGE_TYPES = "QXSPBDECHFdcfp";

    private final FrameBuffer frames = new FrameBuffer();
    private boolean startupReceived;

    /** Appends received bytes. */
    public void feed(Buffer more) {
        frames.feed(more);
    }

    /** Returns whether the startup message has been decoded. */
    public boolean startupReceived() {
        return startupReceived;
    }

    /** Discards all received bytes that have not been decoded yet. */
    public void clear() {
        frames.drop(frames.size());
    }

    /** Returns the number of bytes that have been received but not decoded yet. */
    public int bufferedBytes() {
        return frames.size();
    }

    /** Returns the size of the buffer that holds the received bytes; at least their number. */
    public int bufferCapacity() {
        return frames.capacity();
    }

    /**
     * Skips the incomplete or unacceptable message at the head of the stream, including the part that is still to be
     * received.
     *
     * @return false, with nothing skipped, if the header is incomplete or the length is out of range, so that the start
     *     of the next message cannot be found
     */
    public boolean skipMessage() {
        if (!startupReceived || !frames.isSkipComplete() || frames.size() < HEADER_BYTES) {
            return false;
        }
        int length = frames.int32(1);
        if (length < 4 || length > MAX_SKIPPED_BYTES) {
            return false;
        }
        frames.skip(1 + length);
        return true;
    }

    /**
     * Skips the messages that have been received completely, up to one that ends the stream, without decoding them. To be
     * used after the startup message.
     *
     * @return the number of queries among them, each of which expects a response
     */
    public int skipQueries() {
        int queries = 0;
        while (frames.isSkipComplete() && frames.size() >= HEADER_BYTES) {
            char type = (char) frames.int8(0);
            int length = frames.int32(1);
            boolean isValid = MESSAGE_TYPES.indexOf(type) >= 0 && length >= 4 && length <= MAX_SKIPPED_BYTES;
            boolean isQuery = type == 'Q';
            if (!isValid || isQuery && length <= MAX_QUERY_BYTES && frames.size() < 1 + length) {
                return queries;
            }
            frames.skip(1 + length);
            queries += isQuery ? 1 : 0;
        }
        return queries;
    }

    /** Decodes the next message; returns null if more bytes are needed. */
    public ClientMessage next() {
        return startupReceived ? nextMessage() : nextStartup();
    }

    private ClientMessage nextStartup() {
        if (frames.size() < 4) {
            return null;
        }
        int length = frames.int32(0);
        if (length < MIN_STARTUP_BYTES || length > MAX_STARTUP_BYTES) {
            return new InvalidMessage("08P01", "a first message of " + length + " bytes", true);
        }
        if (frames.size() < length) {
            return null;
        }
        int code = frames.int32(4);
        if (code == CANCEL_REQUEST) {
            return decodeCancelRequest(length);
        }
        frames.drop(length);
        if (code == SSL_REQUEST || code == GSS_ENCRYPTION_REQUEST) {
            return new EncryptionRequest();
        }
        startupReceived = code >> 16 == PROTOCOL_MAJOR_VERSION;
        if (startupReceived) {
            return new Startup();
        }
        return new InvalidMessage("0A000", "protocol " + (code >> 16) + "." + (code & 0xffff) + " is not spoken", true);
    }

    private ClientMessage decodeCancelRequest(int length) {
        ClientMessage request =
                length == CANCEL_REQUEST_BYTES ? new CancelRequest(frames.int32(8), frames.int32(12)) : new Terminate();
        frames.drop(length);
        return request;
    }

    private ClientMessage nextMessage() {
        if (!frames.isSkipComplete() || frames.size() < HEADER_BYTES) {
            return null;
        }
        char type = (char) frames.int8(0);
        int length = frames.int32(1);
        if (MESSAGE_TYPES.indexOf(type) < 0) {
            return new InvalidMessage("08P01", "an unknown message type " + (int) type, true);
        }
        if (length < 4 || length > MAX_SKIPPED_BYTES) {
            return new InvalidMessage("08P01", "a message of " + length + " bytes", true);
        }
        if (type != 'Q') {
            frames.skip(1 + length);
            return decodeOtherThanQuery(type);
        }
        if (length > MAX_QUERY_BYTES) {
            frames.skip(1 + length);
            return new InvalidMessage(
                    "54000", "a query of " + length + " bytes, " + MAX_QUERY_BYTES + " at most", false);
        }
        return frames.size() < 1 + length ? null : decodeQuery(length);
    }

    private static ClientMessage decodeOtherThanQuery(char type) {
        return switch (type) {
            case 'X' -> new Terminate();
            case 'S' -> new Sync();
            default -> new UnsupportedMessage(type != 'F');
        };
    }

    private ClientMessage decodeQuery(int length) {
        byte[] text = frames.bytes(HEADER_BYTES, Math.max(0, length - HEADER_BYTES));
        boolean terminated = length >= HEADER_BYTES && frames.int8(length) == 0;
        frames.drop(1 + length);
        if (!terminated) {
            return new InvalidMessage("08P01", "a query without its closing zero", false);
        }
        return RequestQueryParser.parse(text);
    }
}
