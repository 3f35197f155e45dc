package ploverdale.routing;

import java.util.ArrayList;
import java.util.List;
import ploverdale.model.RequestClass;
import ploverdale.model.RequestClassId;
import ploverdale.state.LatencyEstimate;

/** The latency estimates of all request classes. */
final class LatencyEstimates {
    /** Of a class's latency objective: what its requests are taken to need before any was answered. */
    private static final double INITIAL_SHARE = 5.0;

    private final List<LatencyEstimate> byClass = new ArrayList<>();

    LatencyEstimates(List<RequestClass> requestClasses) {
        for (RequestClass requestClass : requestClasses) {
            byClass.add(new LatencyEstimate(requestClass.latencyObjective() / INITIAL_SHARE));
        }
    }

    /** The estimate of this class. */
    LatencyEstimate of(RequestClassId id) {
        return byClass.get(id.index());
    }

    /** What a request usually takes, over the classes as often as they come. */
    double mean() {
        double weights = byClass.stream().mapToDouble(LatencyEstimate::weight).sum();
        double weighted = byClass.stream()
                .mapToDouble(estimate -> estimate.usual() * estimate.weight())
                .sum();
        return weighted / weights;
    }
}
