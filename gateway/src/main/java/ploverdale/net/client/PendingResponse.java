package ploverdale.net.client;

import io.vertx.core.buffer.Buffer;
import ploverdale.model.RequestId;

/** One place in the order of a client's responses: still to be completed, or ready to be written. */
final class PendingResponse {
    private final RequestId request; // null where no request was passed to the router
    private final boolean endsConnection;
    private Buffer response; // null until it is complete

    private PendingResponse(RequestId request, Buffer response, boolean endsConnection) {
        this.request = request;
        this.response = response;
        this.endsConnection = endsConnection;
    }

    /** The response to a request that is in flight. */
    static PendingResponse of(RequestId request) {
        return new PendingResponse(request, null, false);
    }

    /** A response that only waits for those before it. */
    static PendingResponse completed(Buffer response) {
        return new PendingResponse(null, response, false);
    }

    /** The last response of a connection. */
    static PendingResponse closing(Buffer response) {
        return new PendingResponse(null, response, true);
    }

    /** The request that is answered, or null. */
    RequestId request() {
        return request;
    }

    /** Whether the request has no response yet. */
    boolean isInFlight() {
        return response == null;
    }

    /** Whether the connection is to be closed behind this response. */
    boolean endsConnection() {
        return endsConnection;
    }

    /** The response, or null while the request is in flight. */
    Buffer response() {
        return response;
    }

    /** Sets the response to the request. */
    void complete(Buffer completeResponse) {
        response = completeResponse;
    }
}
