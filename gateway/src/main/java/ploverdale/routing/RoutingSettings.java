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

/**
 * The settings with which the gateway was started, and values derived from them. Immutable. Times are {@link Ticks}.
 */
final class RoutingSettings {
    /**
     * Initial concurrency limit of a newly listed server, and expected number of its first health checks, over all
     * gateways.
     */
    private static final double INITIAL_LIMIT = 24;
    /** Minimum concurrency limit of a server, over all gateways. */
    private static final double MIN_LIMIT = 8;
    /** Maximum of one gateway's part of {@link #MIN_LIMIT}. */
    private static final double MIN_LIMIT_CAP_PER_GATEWAY = 2;
    /** Interval of health checks if no read has a staleness bound, so that they only have to notice changed roles. */
    private static final long MAX_CHECK_INTERVAL = Ticks.ofMillis(1000);
    /** Health checks per tightest staleness bound, so that the known position is fresh enough when a read arrives. */
    private static final int CHECKS_PER_STALENESS_BOUND = 3;

    private final Event.Started started;
    private final int gateways;
    private final double initialLimitPerGateway;
    private final double minLimit;
    private final long tightestBound;
    private final long checkInterval;

    /**
     * @param quotaLimitsAttempts whether the quota limits the attempts in flight over all gateways, so that the minimum
     *     concurrency limit need not be divided by the number of gateways
     */
    RoutingSettings(Event.Started started, boolean quotaLimitsAttempts) {
        this.started = started;
        gateways = Math.max(1, started.gateways());
        initialLimitPerGateway = INITIAL_LIMIT / gateways;
        minLimit = quotaLimitsAttempts
                ? MIN_LIMIT
                : Math.min(MIN_LIMIT_CAP_PER_GATEWAY, Math.max(1, MIN_LIMIT / gateways));
        tightestBound = started.requestClasses().stream()
                .filter(requestClass -> requestClass.consistency() == Consistency.BOUNDED)
                .mapToLong(RequestClass::stalenessBound)
                .min()
                .orElse(Long.MAX_VALUE);
        checkInterval = Math.min(MAX_CHECK_INTERVAL, tightestBound / CHECKS_PER_STALENESS_BOUND);
    }

    /** Returns the number of gateways that share the servers, at least 1. */
    int gateways() {
        return gateways;
    }

    /** Returns all request classes, by their index. */
    List<RequestClass> requestClasses() {
        return started.requestClasses();
    }

    /** Returns the request class with this id. */
    RequestClass requestClass(RequestClassId id) {
        return started.requestClasses().get(id.index());
    }

    /** Returns the value of a request beyond its tenant's agreed traffic, as a fraction of its class's value. */
    double valueBeyondAgreedTraffic() {
        return started.valueBeyondAgreedTraffic();
    }

    /** Returns what the servers and discovery guarantee. */
    ServerGuarantees guarantees() {
        return started.guarantees();
    }

    /** Returns what this gateway is permitted to do. */
    Capabilities capabilities() {
        return started.capabilities();
    }

    /** Returns what replicas guarantee about the freshness of reads. */
    ReplicaGuarantees replicaGuarantees() {
        return started.replicaGuarantees();
    }

    /** Whether replicas themselves check that their data is recent enough for a read. */
    boolean replicasCheckReads() {
        return started.replicaGuarantees().stalenessCheck() != StalenessCheck.NONE;
    }

    /** Returns the tightest staleness bound of all request classes; {@link Long#MAX_VALUE} if none has a bound. */
    long tightestBound() {
        return tightestBound;
    }

    /** Returns the interval between periodic health checks of a server. */
    long checkInterval() {
        return checkInterval;
    }

    /** Returns the initial concurrency limit: how many attempts may be in flight at a newly listed server. */
    double initialLimit() {
        return Math.max(minLimit, initialLimitPerGateway);
    }

    /**
     * Returns the probability (1 or more for certainty) with which this gateway checks the health of a newly listed
     * server at once. Over all gateways, at most {@link #INITIAL_LIMIT} such checks are expected.
     */
    double firstCheckProbability() {
        return initialLimitPerGateway;
    }

    /** Returns the minimum concurrency limit: how many attempts may always be in flight at a server. */
    double minLimit() {
        return minLimit;
    }

    /** Returns the agreed traffic of all tenants at all gateways, in requests per overload window. */
    double requestsPerOverloadWindow() {
        return agreedRequestsPerSecond() * started.guarantees().overloadWindow() / Ticks.PER_SECOND;
    }

    /** Returns the agreed traffic of all tenants at all gateways, in requests per second. */
    double agreedRequestsPerSecond() {
        return started.tenants().stream().mapToDouble(Tenant::requestsPerSecond).sum();
    }
}
