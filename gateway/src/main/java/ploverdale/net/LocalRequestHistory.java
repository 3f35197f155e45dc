package ploverdale.net;

import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport;
import ploverdale.model.ReplicaGuarantees;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;
import ploverdale.net.postgres.ResultRow;

/** The history of a gateway that replicates nothing: answers each successful request at once and records nothing. */
final class LocalRequestHistory implements RequestHistory {
    private final ClientConnections clients;

    LocalRequestHistory(ClientConnections clients) {
        this.clients = clients;
    }

    @Override
    public ReplicaGuarantees replicaGuarantees(ReplicaGuarantees configured) {
        return configured;
    }

    @Override
    public void onAttempt(RequestId request) {
        // nothing is recorded
    }

    @Override
    public void onAttemptEnded(RequestId request, Outcome outcome, boolean hasRow) {
        // nothing is recorded
    }

    @Override
    public void onSuccess(RequestId request, ResultRow row, LoadReport report, ServerId server) {
        clients.acked(request, row);
    }

    @Override
    public void onFinished(RequestId request) {
        // nothing is recorded
    }

    @Override
    public void onClockOffsetChanged() {
        // nothing is recorded
    }
}
