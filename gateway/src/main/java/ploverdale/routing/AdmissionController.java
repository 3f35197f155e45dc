package ploverdale.routing;

import java.util.Comparator;
import java.util.List;
import ploverdale.state.PendingRequest;
import ploverdale.state.ReplicaGroup;
import ploverdale.state.ServerState;

/**
 * Decides which requests get capacity where it is scarce: by their value for each unit of work. Long reads, which can keep a
 * replica from applying the log, are shed while requests of more value are rejected.
 */
final class AdmissionController {
    /** Weight of the newest request in the average of the value that is rejected. */
    private static final double REJECTED_VALUE_WEIGHT = 0.02;

    private final RoutingSettings settings;
    private double rejectedValue;

    AdmissionController(RoutingSettings settings) {
        this.settings = settings;
    }

    /** Whether a long read is shed, because it would make a replica age, or keep an aged one so, at the cost of better requests. */
    boolean isShed(PendingRequest request, ServerState server, long now) {
        return !request.wasAttempted()
                && isLongRead(request)
                && valuePerWork(request) < rejectedValue
                && (server.replication().isWithin(settings.tightestBound(), now)
                        || server.load().inFlight().stream().anyMatch(this::isLongRead));
    }

    private boolean isLongRead(PendingRequest request) {
        return request.isUnboundedReadLongerThan(settings.tightestBound());
    }

    /** Takes note whether a request was admitted at its first attempt. */
    void recordAdmission(PendingRequest request, boolean admitted) {
        if (!request.wasAttempted()) {
            double rejected = admitted ? 0 : valuePerWork(request);
            rejectedValue += REJECTED_VALUE_WEIGHT * (rejected - rejectedValue);
        }
    }

    /** The group's waiting requests, those of most value first, among equals the newest. */
    List<PendingRequest> releaseOrder(ReplicaGroup group) {
        return group.waiting().stream()
                .sorted(Comparator.comparingDouble((PendingRequest request) -> -valuePerWork(request))
                        .thenComparing(request -> -request.arrivedAt()))
                .toList();
    }

    private double valuePerWork(PendingRequest request) {
        double share = request.isBeyondShare() ? settings.valueBeyondShare() : 1;
        return request.requestClass().value() * share / request.usualLatency();
    }
}
