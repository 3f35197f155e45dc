package ploverdale.net.peer;

import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport;
import ploverdale.model.ReplicaGuarantees;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;
import ploverdale.net.postgres.ResultRow;

/**
 * The history of sessions and writes that the gateways replicate among each other. It is looked up before a request is
 * routed and extended after the request has succeeded, and is notified of each attempt and each final answer. Used on
 * the event loop only.
 */
public interface RequestHistory extends RequestHistoryLookup {
    /** Returns the history of a gateway that replicates nothing: it routes and answers requests at once. */
    static RequestHistory none(ClientRequests requests) {
        return new NoRequestHistory(requests);
    }

    /**
     * Returns the guarantees for routing. With a replicated history, each session read carries the position that it
     * must reach.
     */
    ReplicaGuarantees replicaGuarantees(ReplicaGuarantees configured);

    /** Called when an attempt of the request starts. */
    void attemptStarted(RequestId request);

    /**
     * Called when an attempt of the request has ended.
     *
     * @param hasRow whether the server returned a row; if so, {@link #succeeded} is called with it next
     */
    void attemptEnded(RequestId request, Outcome outcome, boolean hasRow);

    /**
     * Called when a server has answered with a row. Records the success and answers the client, either at once or after
     * the record has been replicated.
     *
     * @param report the load report that arrived with the row, or null
     */
    void succeeded(RequestId request, ResultRow row, LoadReport report, ServerId server);

    /** Called when the request has its final answer or its client has disconnected. */
    void answered(RequestId request);

    /** Called when the offset of the servers' clock was found wrong, which invalidates all times recorded until now. */
    void clockOffsetChanged();
}
