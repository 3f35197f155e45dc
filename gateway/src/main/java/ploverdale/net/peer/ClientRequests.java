package ploverdale.net.peer;

import ploverdale.model.Event.RequestArrived;
import ploverdale.model.RequestId;
import ploverdale.net.postgres.ResultRow;

/**
 * Routes or answers a client's request once its history is known. Each request gets one final answer; an answer to a
 * request that is no longer pending is dropped. Used on the event loop only.
 */
public interface ClientRequests {
    /** Passes the request to the router. */
    void route(RequestArrived request);

    /** Returns whether the client still waits for the answer to the request. */
    boolean isPending(RequestId request);

    /** Answers the client with the row that a server has returned. */
    void succeeded(RequestId request, ResultRow row);

    /**
     * Answers a resubmitted write with the result of its earlier execution.
     *
     * @param encodedRow the recorded answer, as encoded for the client that submitted the write first
     */
    void succeededBefore(RequestId request, byte[] encodedRow);

    /** Answers the client with an error that leaves open whether the request ran. */
    void failed(RequestId request);

    /** Answers the client that the request did not run and may be submitted again at once. */
    void rejected(RequestId request);
}
