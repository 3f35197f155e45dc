package ploverdale.net.client;

import io.vertx.core.buffer.Buffer;
import ploverdale.net.postgres.MessageWriter;

/** Builds the error responses that are sent to clients. */
final class ErrorResponses {
    private ErrorResponses() {}

    /** Returns an error response after which the session continues. */
    static Buffer error(String sqlState, String message) {
        return MessageWriter.errorResponse(sqlState, message, null, false, true);
    }

    /** Returns an error response after which the connection is closed. */
    static Buffer fatal(String sqlState, String message) {
        return MessageWriter.errorResponse(sqlState, message, null, true, false);
    }
}
