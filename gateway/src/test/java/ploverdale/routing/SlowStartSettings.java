package ploverdale.routing;

import java.util.List;
import ploverdale.model.Capabilities;
import ploverdale.model.Event;
import ploverdale.model.ReplicaGuarantees;
import ploverdale.model.RequestClass;
import ploverdale.model.RequestClass.Consistency;
import ploverdale.model.RequestClass.Idempotence;
import ploverdale.model.ServerGuarantees;
import ploverdale.model.Tenant;

/** Creates the settings of the gateways of a {@link SlowStartFleet}. Times are {@link ploverdale.model.Ticks}. */
final class SlowStartSettings {
    private static final long TICKS_PER_MS = 10;
    /** The agreed traffic, as a fraction of the full capacity of all servers. */
    private static final double AGREED_SHARE = 0.82;
    /** The staleness bound of bounded reads. */
    private static final long STALENESS_BOUND = 1000 * TICKS_PER_MS;

    private SlowStartSettings() {}

    /** Returns the event that starts the gateway with the index {@code gateway} in a fleet of {@code gateways}. */
    static Event.Started started(long seed, int gateway, int gateways, boolean gossip, SlowStartDeployment deployment) {
        List<RequestClass> requestClasses = List.of(
                requestClass(2000 * TICKS_PER_MS, Idempotence.IDEMPOTENT, 2, 0, Consistency.BOUNDED),
                requestClass(1000 * TICKS_PER_MS, Idempotence.IDEMPOTENT, 1, 0, Consistency.UNBOUNDED),
                requestClass(3000 * TICKS_PER_MS, Idempotence.NOT_IDEMPOTENT, 6, 0.5, Consistency.WRITE));
        ServerGuarantees guarantees = new ServerGuarantees(
                deployment.startCapacity(),
                deployment.slowStartMs() * TICKS_PER_MS,
                deployment.overloadMultiple(),
                deployment.overloadWindowMs() * TICKS_PER_MS,
                true,
                0);
        return new Event.Started(
                seed,
                gateways,
                requestClasses,
                List.of(new Tenant(AGREED_SHARE * SlowStartFleet.SERVERS * deployment.capacity())),
                0.05,
                guarantees,
                new Capabilities(6, true, true, true, 1000 * TICKS_PER_MS, gossip),
                new ReplicaGuarantees(ReplicaGuarantees.StalenessCheck.NONE, 0, false),
                false,
                gateway);
    }

    private static RequestClass requestClass(
            long timeout, Idempotence idempotence, double value, double lateValueShare, Consistency consistency) {
        return new RequestClass(
                500 * TICKS_PER_MS, 0, timeout, idempotence, RequestClass.Scope.GROUP, 0, value, lateValueShare, false, consistency, STALENESS_BOUND);
    }
}
