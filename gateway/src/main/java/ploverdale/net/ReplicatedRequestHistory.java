package ploverdale.net;

import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport;
import ploverdale.model.ReplicaGuarantees;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;
import ploverdale.net.postgres.ResultRow;

/** The history of a gateway that replicates session positions or write outcomes. */
final class ReplicatedRequestHistory implements RequestHistory {
    private final ReplicationCoordinator coordinator;

    ReplicatedRequestHistory(ReplicationCoordinator coordinator) {
        this.coordinator = coordinator;
    }

    @Override
    public ReplicaGuarantees replicaGuarantees(ReplicaGuarantees configured) {
        return coordinator.copies(configured);
    }

    @Override
    public void onAttempt(RequestId request) {
        coordinator.sent(request);
    }

    @Override
    public void onAttemptEnded(RequestId request, Outcome outcome, boolean hasRow) {
        coordinator.sendEnded(request, outcome, hasRow);
    }

    @Override
    public void onSuccess(RequestId request, ResultRow row, LoadReport report, ServerId server) {
        coordinator.acked(request, row, report, server);
    }

    @Override
    public void onFinished(RequestId request) {
        coordinator.over(request);
    }

    @Override
    public void onClockOffsetChanged() {
        coordinator.clockOffsetChanged();
    }
}
