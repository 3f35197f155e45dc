package ploverdale.net.peer;

import ploverdale.model.Event.Outcome;
import ploverdale.model.Event.RequestArrived;
import ploverdale.model.LoadReport;
import ploverdale.model.ReplicaGuarantees;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;
import ploverdale.net.postgres.ResultRow;

/** Records nothing: requests are routed and answered at once. */
final class NoRequestHistory implements RequestHistory {
    private final ClientRequests requests;

    NoRequestHistory(ClientRequests requests) {
        this.requests = requests;
    }

    @Override
    public void onRequestArrived(RequestArrived request, String sessionKey) {
        requests.route(request);
    }

    @Override
    public ReplicaGuarantees replicaGuarantees(ReplicaGuarantees configured) {
        return configured;
    }

    @Override
    public void attemptStarted(RequestId request) {}

    @Override
    public void attemptEnded(RequestId request, Outcome outcome, boolean hasRow) {}

    @Override
    public void succeeded(RequestId request, ResultRow row, LoadReport report, ServerId server) {
        requests.succeeded(request, row);
    }

    @Override
    public void answered(RequestId request) {}

    @Override
    public void clockOffsetChanged() {}
}
