package ploverdale.routing;

import java.util.ArrayList;
import java.util.List;
import ploverdale.model.RequestClass;
import ploverdale.model.RequestClassId;
import ploverdale.state.LatencyEstimate;

/** The latency estimates of all request classes. */
final class LatencyEstimates {
    /** Before any answer, the latency of a class is estimated as its latency objective divided by this. */
    private static final double INITIAL_DIVISOR = 5.0;

    private final List<LatencyEstimate> byClass = new ArrayList<>();

    LatencyEstimates(List<RequestClass> requestClasses) {
        for (RequestClass requestClass : requestClasses) {
            byClass.add(new LatencyEstimate(requestClass.latencyObjective() / INITIAL_DIVISOR));
        }
    }

    /** Returns the estimate of this request class. */
    LatencyEstimate of(RequestClassId id) {
        return byClass.get(id.index());
    }

    /** Returns the usual latency of a request in ticks, averaged over the classes by how many answers each has had. */
    double mean() {
        double weights = byClass.stream().mapToDouble(LatencyEstimate::weight).sum();
        double weighted = byClass.stream()
                .mapToDouble(estimate -> estimate.usual() * estimate.weight())
                .sum();
        return weighted / weights;
    }
}
