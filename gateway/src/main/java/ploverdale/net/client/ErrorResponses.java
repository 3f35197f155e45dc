package ploverdale.net.client;

import io.vertx.core.buffer.Buffer;
import ploverdale.net.postgres.MessageWriter;

/** The error responses that clients are given. */
final class ErrorResponses {
    private ErrorResponses() {}

    /** An error after which the session goes on. */
    static Buffer error(String sqlState, String message) {
        return MessageWriter.errorResponse(sqlState, message, null, false, true);
    }

    /** An error with which the connection ends. */
    static Buffer fatal(String sqlState, String message) {
        return MessageWriter.errorResponse(sqlState, message, null, true, false);
    }
}
