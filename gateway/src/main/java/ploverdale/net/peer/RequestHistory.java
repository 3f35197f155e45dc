package ploverdale.net.peer;

import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport;
import ploverdale.model.ReplicaGuarantees;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;
import ploverdale.net.postgres.ResultRow;

/**
 * What gateways remember together of sessions and writes: looked up before a request is routed, recorded after it. It is
 * notified of each attempt and of each answer. Used on the event loop only.
 */
public interface RequestHistory extends RequestHistoryLookup {
    /** For a gateway that remembers nothing together with others. */
    static RequestHistory none(ClientRequests requests) {
        return new NoRequestHistory(requests);
    }

    /** The guarantees by which session reads are routed: with this history, each brings the position that it needs. */
    ReplicaGuarantees replicaGuarantees(ReplicaGuarantees configured);

    /** An attempt of the request starts. */
    void attemptStarted(RequestId request);

    /**
     * An attempt of the request has ended.
     *
     * @param hasRow whether the server returned a row, with which {@link #succeeded} is called next
     */
    void attemptEnded(RequestId request, Outcome outcome, boolean hasRow);

    /**
     * A server has answered with a row: it is recorded, and the client answered, at once or once it is recorded.
     *
     * @param report what the server reported with it, or null
     */
    void succeeded(RequestId request, ResultRow row, LoadReport report, ServerId server);

    /** The request has its final answer, or its client has left. */
    void answered(RequestId request);

    /** The offset of the servers' clock was wrong: what was dated until now is void. */
    void clockOffsetChanged();
}
