package ploverdale.net.client;

import io.vertx.core.buffer.Buffer;
import ploverdale.model.RequestId;

/**
 * A slot in a client's response pipeline, whose response is still awaited or ready to be written. While it is behind
 * other slots its response may have to wait, and it takes memory from the budget: for the largest response until its
 * own is complete, then for that one. Used on the event loop only.
 */
final class PendingResponse {
    private final RequestId request; // null if no request was passed to the router
    private final boolean closesConnection;
    private Buffer response; // null until it is complete
    private MemoryBudget memory; // null while nothing is reserved
    private int reservedBytes;

    private PendingResponse(RequestId request, Buffer response, boolean closesConnection) {
        this.request = request;
        this.response = response;
        this.closesConnection = closesConnection;
    }

    /** Returns the slot of a request that is in flight. */
    static PendingResponse of(RequestId request) {
        return new PendingResponse(request, null, false);
    }

    /** Returns the slot of a complete response, which waits only for the responses before it. */
    static PendingResponse completed(Buffer response) {
        return new PendingResponse(null, response, false);
    }

    /** Returns the slot of the last response of a connection. */
    static PendingResponse closing(Buffer response) {
        return new PendingResponse(null, response, true);
    }

    /** Returns the request that is answered, or null if none was passed to the router. */
    RequestId request() {
        return request;
    }

    /** Returns whether the response is still awaited. */
    boolean isInFlight() {
        return response == null;
    }

    /** Returns whether the connection is closed after this response. */
    boolean closesConnection() {
        return closesConnection;
    }

    /** Returns the response, or null while the request is in flight. */
    Buffer response() {
        return response;
    }

    /** Sets the response to the request. */
    void complete(Buffer completeResponse) {
        response = completeResponse;
        if (memory != null) {
            resizeReservation(response.length());
        }
    }

    /** Reserves memory for the response, until {@link #releaseMemory} is called. */
    void reserveMemory(MemoryBudget budget) {
        memory = budget;
        resizeReservation(isInFlight() ? MemoryBudget.MAX_RESPONSE_BYTES : response.length());
    }

    /** Releases the memory that is reserved, if any. */
    void releaseMemory() {
        if (memory != null) {
            resizeReservation(0);
            memory = null;
        }
    }

    private void resizeReservation(int bytes) {
        memory.resizeWaitingResponse(reservedBytes, bytes);
        reservedBytes = bytes;
    }
}
