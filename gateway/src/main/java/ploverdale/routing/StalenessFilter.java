package ploverdale.routing;

import ploverdale.model.Event.RequestArrived;
import ploverdale.model.LoadReport;
import ploverdale.model.RequestClass;
import ploverdale.model.RequestClass.Consistency;
import ploverdale.model.Ticks;
import ploverdale.state.PendingRequest;
import ploverdale.state.ReplicationStatus;
import ploverdale.state.ServerState;
import ploverdale.state.SessionWrites;

/**
 * The staleness filter of docs/design.md: a replica may answer a read only when its last known log position fits what the read
 * needs; an unknown position is too stale.
 */
final class StalenessFilter {
    /** Where replicas check reads, a report of the position up to this age may lead to a try. */
    private static final long REPORT_USABLE = Ticks.ofMillis(4000);

    private final RoutingSettings settings;
    private final SessionWrites sessionWrites;

    StalenessFilter(RoutingSettings settings, SessionWrites sessionWrites) {
        this.settings = settings;
        this.sessionWrites = sessionWrites;
    }

    /** Whether the replica's last known position fits the request. */
    boolean admits(ServerState replica, PendingRequest request, long now) {
        ReplicationStatus replication = replica.replication();
        Consistency consistency = request.consistency();
        if (consistency == Consistency.BOUNDED) {
            return replication.isWithin(request.requestClass().stalenessBound(), now);
        }
        if (consistency == Consistency.SESSION) {
            return replication.hasReached(request.requiredPosition());
        }
        return consistency == Consistency.UNBOUNDED;
    }

    /** Where replicas check reads, one that lagged little by a recent report may be tried, until it turns a read away. */
    boolean mayBeFreshEnough(ServerState replica, PendingRequest request, long now) {
        ReplicationStatus replication = replica.replication();
        return replication.isReportedSinceMisdirected()
                && replica != request.lastServer()
                && replication.positionReportAge(now) < REPORT_USABLE
                && replication.lagAtReport() <= request.requestClass().stalenessBound();
    }

    /** Whether a replica that is a little too old for the request may turn out fresh enough when it reports again. */
    boolean mayBecomeFreshEnough(ServerState replica, PendingRequest request, long now) {
        return request.consistency() == Consistency.BOUNDED
                && !settings.replicasCheckReads()
                && replica.replication().isWithin(2 * request.requestClass().stalenessBound(), now);
    }

    /** The position of the session's last write, which its reads must include; unknown where they need none. */
    long requiredPosition(RequestArrived arrival, RequestClass requestClass, long now) {
        if (requestClass.consistency() != Consistency.SESSION) {
            return LoadReport.UNKNOWN_TIME;
        }
        if (!settings.replicaGuarantees().requestsCarryPositions()) {
            return sessionWrites.of(arrival.session());
        }
        return arrival.sessionWriteAge() == 0 ? LoadReport.UNKNOWN_TIME : now - arrival.sessionWriteAge();
    }
}
