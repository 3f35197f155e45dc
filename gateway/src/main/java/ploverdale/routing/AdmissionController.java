package ploverdale.routing;

import java.util.Comparator;
import java.util.List;
import ploverdale.state.PendingRequest;
import ploverdale.state.ReplicaGroup;
import ploverdale.state.ServerState;

/**
 * Decides which requests are served while capacity is scarce, by their value per unit of work. Sheds long reads, which
 * can keep a replica from applying the log, while requests of higher value are being rejected.
 */
final class AdmissionController {
    /** Weight of the newest request in the moving average of the value that is being rejected. */
    private static final double REJECTED_VALUE_WEIGHT = 0.02;

    private final RoutingSettings settings;
    /** Moving average over first attempts: the value per unit of work of rejected requests, 0 for admitted ones. */
    private double rejectedValue;

    AdmissionController(RoutingSettings settings) {
        this.settings = settings;
    }

    /**
     * Returns whether a long read is shed because it would let a replica fall behind the tightest staleness bound, or
     * keep one behind it, at the cost of requests of higher value.
     */
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

    /** Records whether a request was admitted at its first attempt. */
    void recordAdmission(PendingRequest request, boolean admitted) {
        if (!request.wasAttempted()) {
            double rejected = admitted ? 0 : valuePerWork(request);
            rejectedValue += REJECTED_VALUE_WEIGHT * (rejected - rejectedValue);
        }
    }

    /**
     * Returns the waiting requests of a group, highest value per unit of work first and, among equal ones, newest
     * first.
     */
    List<PendingRequest> dispatchOrder(ReplicaGroup group) {
        return group.waiting().stream()
                .sorted(Comparator.comparingDouble((PendingRequest request) -> -valuePerWork(request))
                        .thenComparing(request -> -request.arrivedAt()))
                .toList();
    }

    /**
     * Returns the value of a request per tick of usual latency; requests beyond the tenant's agreed traffic count less.
     */
    private double valuePerWork(PendingRequest request) {
        double valueFactor = request.isBeyondAgreedTraffic() ? settings.valueBeyondAgreedTraffic() : 1;
        return request.requestClass().value() * valueFactor / request.usualLatency();
    }
}
