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
 * Decides which replicas are fresh enough for a read (see docs/design.md): a replica may answer a read only if its last
 * known log position meets the read's consistency requirement. A replica with an unknown position is too stale for
 * every read that has such a requirement. Times are {@link Ticks}.
 */
final class StalenessFilter {
    /** Maximum age of a position report due to which a read may be sent to a replica that checks reads itself. */
    private static final long MAX_USABLE_REPORT_AGE = Ticks.ofMillis(4000);

    private final RoutingSettings settings;
    private final SessionWrites sessionWrites;

    StalenessFilter(RoutingSettings settings, SessionWrites sessionWrites) {
        this.settings = settings;
        this.sessionWrites = sessionWrites;
    }

    /** Whether the replica is fresh enough for the request by its last known position. */
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

    /**
     * Whether a replica that checks reads itself is probably fresh enough: by a recent report it lagged little, and it
     * has not rejected a read since.
     */
    boolean mayBeFreshEnough(ServerState replica, PendingRequest request, long now) {
        ReplicationStatus replication = replica.replication();
        return replication.isReportedSinceMisdirected()
                && replica != request.lastServer()
                && replication.positionReportAge(now) < MAX_USABLE_REPORT_AGE
                && replication.lagAtReport() <= request.requestClass().stalenessBound();
    }

    /**
     * Whether a replica that is slightly too stale for the request may be fresh enough when it reports its position
     * again.
     */
    boolean mayBecomeFreshEnough(ServerState replica, PendingRequest request, long now) {
        return request.consistency() == Consistency.BOUNDED
                && !settings.replicasCheckReads()
                && replica.replication().isWithin(2 * request.requestClass().stalenessBound(), now);
    }

    /**
     * Returns the log position that a replica must have reached for the request: that of the session's last write for a
     * session read, if there is one, and {@link LoadReport#UNKNOWN_TIME} otherwise.
     */
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
