package ploverdale.routing;

import java.util.List;
import ploverdale.model.Capabilities;
import ploverdale.model.Event;
import ploverdale.model.ReplicaGuarantees;
import ploverdale.model.ReplicaGuarantees.StalenessCheck;
import ploverdale.model.RequestClass;
import ploverdale.model.RequestClass.Consistency;
import ploverdale.model.RequestClassId;
import ploverdale.model.ServerGuarantees;
import ploverdale.model.Tenant;
import ploverdale.model.Ticks;

/** What the gateway was started with, and what follows from it for every decision. Immutable. */
final class RoutingSettings {
    /** Attempts in flight, or first health checks, a server, over all gateways. */
    private static final double FIRST_LIMIT = 24;
    /** Attempts in flight a server at the least, over all gateways. */
    private static final double LEAST_LIMIT = 8;
    /** The most that the part of one gateway in {@link #LEAST_LIMIT} may be. */
    private static final double LEAST_LIMIT_OF_ONE_GATEWAY = 2;
    /** The time between health checks where no read has a staleness bound, so that only roles can change. */
    private static final long LONGEST_CHECK_INTERVAL = Ticks.ofMillis(1000);
    /** Health checks in the time of the tightest staleness bound, so that a position is fresh when a read comes. */
    private static final int CHECKS_PER_STALENESS_BOUND = 3;

    private final Event.Started started;
    private final int gateways;
    private final double firstLimit;
    private final double leastLimit;
    private final long tightestBound;
    private final long checkInterval;

    /** @param quotaLimitsAttempts whether attempts are limited over all gateways by quota, so that a gateway needs no part of its own */
    RoutingSettings(Event.Started started, boolean quotaLimitsAttempts) {
        this.started = started;
        gateways = Math.max(1, started.gateways());
        firstLimit = FIRST_LIMIT / gateways;
        leastLimit = quotaLimitsAttempts
                ? LEAST_LIMIT
                : Math.min(LEAST_LIMIT_OF_ONE_GATEWAY, Math.max(1, LEAST_LIMIT / gateways));
        tightestBound = started.requestClasses().stream()
                .filter(requestClass -> requestClass.consistency() == Consistency.BOUNDED)
                .mapToLong(RequestClass::stalenessBound)
                .min()
                .orElse(Long.MAX_VALUE);
        checkInterval = Math.min(LONGEST_CHECK_INTERVAL, tightestBound / CHECKS_PER_STALENESS_BOUND);
    }

    /** How many gateways share the servers, at least one. */
    int gateways() {
        return gateways;
    }

    /** All request classes, by their index. */
    List<RequestClass> requestClasses() {
        return started.requestClasses();
    }

    /** The request class of this id. */
    RequestClass requestClass(RequestClassId id) {
        return started.requestClasses().get(id.index());
    }

    /** What a request beyond its tenant's agreed traffic is worth, as a part of its class's value. */
    double valueBeyondShare() {
        return started.beyondShareValue();
    }

    /** What the servers guarantee. */
    ServerGuarantees guarantees() {
        return started.guarantees();
    }

    /** What this gateway may do. */
    Capabilities capabilities() {
        return started.capabilities();
    }

    /** How replicas follow and what they say of it. */
    ReplicaGuarantees replicaGuarantees() {
        return started.replicaGuarantees();
    }

    /** Whether replicas check by themselves whether a read is too fresh for them. */
    boolean replicasCheckReads() {
        return started.replicaGuarantees().stalenessCheck() != StalenessCheck.NONE;
    }

    /** The tightest staleness bound of all classes, or the largest number where none has one. */
    long tightestBound() {
        return tightestBound;
    }

    /** The time between periodic health checks of a server. */
    long checkInterval() {
        return checkInterval;
    }

    /** How many attempts may be in flight at a newly listed server. */
    double initialLimit() {
        return Math.max(leastLimit, firstLimit);
    }

    /** The chance that this gateway checks a newly listed server at once, so that a few of all gateways do. */
    double firstCheckProbability() {
        return firstLimit;
    }

    /** How many attempts may be in flight at any server at least. */
    double leastLimit() {
        return leastLimit;
    }

    /** The agreed traffic of all tenants in the contract's overload window. */
    double requestsPerOverloadWindow() {
        return agreedRequestsPerSecond() * started.guarantees().overloadWindow() / Ticks.PER_SECOND;
    }

    /** The agreed traffic of all tenants at all gateways. */
    double agreedRequestsPerSecond() {
        return started.tenants().stream().mapToDouble(Tenant::requestsPerSecond).sum();
    }
}
