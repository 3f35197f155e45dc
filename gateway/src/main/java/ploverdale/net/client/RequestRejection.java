package ploverdale.net.client;

import io.vertx.core.buffer.Buffer;

/** Why a request that was read is answered with an error instead of being passed to the router. */
enum RequestRejection {
    /** Its client, or all clients together, have too much queued. */
    OVERLOADED(SqlStates.TOO_MANY_CONNECTIONS, "too many requests at once, trying again does no harm"),
    /** A cancel message names its connection. */
    CANCELED(SqlStates.QUERY_CANCELED, "canceled on the client's request; whether it ran is not known");

    private final String sqlState;
    private final String message;

    RequestRejection(String sqlState, String message) {
        this.sqlState = sqlState;
        this.message = message;
    }

    /** The text of the error that the client reads. */
    String message() {
        return message;
    }

    /** The error response, after which the connection goes on. */
    Buffer response() {
        return ErrorResponses.error(sqlState, message);
    }
}
