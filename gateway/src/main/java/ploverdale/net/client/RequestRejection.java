package ploverdale.net.client;

import io.vertx.core.buffer.Buffer;

/** The reason for which a request is answered with an error, whether or not it was passed to the router. */
enum RequestRejection {
    /** Too much is queued for the request's client, or for all clients together. */
    OVERLOADED(SqlStates.TOO_MANY_CONNECTIONS, "too many requests at once, trying again does no harm"),
    /** The client has sent a cancel message for the request's connection. */
    CANCELED(SqlStates.QUERY_CANCELED, "canceled on the client's request; whether it ran is not known");

    private final String sqlState;
    private final String message;

    RequestRejection(String sqlState, String message) {
        this.sqlState = sqlState;
        this.message = message;
    }

    /** Returns the error text that is sent to the client. */
    String message() {
        return message;
    }

    /** Returns the error response, after which the connection stays open. */
    Buffer response() {
        return ErrorResponses.error(sqlState, message);
    }
}
