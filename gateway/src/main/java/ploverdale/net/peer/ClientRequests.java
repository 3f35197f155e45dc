package ploverdale.net.peer;

import ploverdale.model.Event.RequestArrived;
import ploverdale.model.RequestId;
import ploverdale.net.postgres.ResultRow;

/**
 * What becomes of a client's request once its history is known: it is routed, or gets its one final answer. An answer to a
 * request that is no longer pending is dropped. Used on the event loop only.
 */
public interface ClientRequests {
    /** Hands the request to the router. */
    void route(RequestArrived request);

    /** Whether its client still waits for an answer. */
    boolean isPending(RequestId request);

    /** Answers with the row that a server has returned. */
    void succeeded(RequestId request, ResultRow row);

    /** Answers with what the client was answered when the same write ran before, as encoded then. */
    void succeededBefore(RequestId request, byte[] encodedRow);

    /** Answers with an error; whether the request ran is unknown. */
    void failed(RequestId request);

    /** Answers that the request did not run and may be submitted again at once. */
    void rejected(RequestId request);
}
