package ploverdale.routing;

import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import ploverdale.model.RequestClass.Consistency;
import ploverdale.model.Ticks;
import ploverdale.state.LatencyEstimate;
import ploverdale.state.Load;
import ploverdale.state.PendingRequest;
import ploverdale.state.ReplicaGroup;
import ploverdale.state.ServerState;

/**
 * Chooses the server of a request. Writes and fresh reads go to the primary. Other reads go to the replica with the
 * lowest cost that the {@link StalenessFilter} admits, or to the primary if no replica is admitted and the primary's
 * latency permits. The cost is the number of attempts in flight (least outstanding requests), weighted by latency
 * inflation, utilization and slow start. Not thread-safe. Times are {@link Ticks}.
 */
final class ServerSelector {
    /** Reported utilization from which on a primary gets no reads; the counterpart of {@link #REPLICA_SATURATION}. */
    private static final double PRIMARY_SATURATION = 0.95;
    /** Reported utilization from which on a replica gets no reads; queues grow from 0.8 on. */
    private static final double REPLICA_SATURATION = 1.05;
    /**
     * Width of the range of utilization below {@link #PRIMARY_SATURATION} and {@link #REPLICA_SATURATION} in which the
     * fraction of admitted reads falls from all to none.
     */
    private static final double SATURATION_BAND = 0.25;
    /** Fraction of the primary's concurrency limit that reads may use; the rest is reserved for writes. */
    private static final double READ_LIMIT_SHARE = 0.7;
    /** Multiple of the primary's concurrency limit that writes may use, since a late write still has a value. */
    private static final double WRITE_LIMIT_SHARE = 2;
    /**
     * Factor by which the cost of the server of the previous attempt is multiplied and, for long reads, the cost of a
     * replica once per rank ({@link #rankForLongReads}).
     */
    private static final double AVOIDANCE_FACTOR = 3;
    /**
     * After a replica rejected a read as too stale, another read is sent to it only after this time, since each further
     * rejection costs a wait and another attempt.
     */
    private static final long UNVERIFIED_READ_INTERVAL = Ticks.ofMillis(1000);
    /** Minimum of the spare capacity (1 minus the reported utilization) with which a replica's cost is calculated. */
    private static final double MIN_HEADROOM = 0.1;
    /**
     * Divisor of the random part of the cost, which keeps gateways from all choosing the same of several equal servers.
     */
    private static final double COST_JITTER_DIVISOR = 10;

    private final DecisionContext context;
    private final RoutingSettings settings;
    private final ServerDirectory directory;
    private final StalenessFilter stalenessFilter;
    private final ConcurrencyLimiter limiter;
    private final SlowStart slowStart;
    private final LatencyEstimates latencies;
    private final HealthChecker healthChecker;
    private final PeerGossip gossip;
    private final RetryPolicy retryPolicy;
    private final RandomGenerator random;

    /** The collaborators of the selector. */
    record Dependencies(
            DecisionContext context,
            RoutingSettings settings,
            ServerDirectory directory,
            StalenessFilter stalenessFilter,
            ConcurrencyLimiter limiter,
            SlowStart slowStart,
            LatencyEstimates latencies,
            HealthChecker healthChecker,
            PeerGossip gossip,
            RetryPolicy retryPolicy,
            RandomGenerator random) {}

    ServerSelector(Dependencies dependencies) {
        context = dependencies.context;
        settings = dependencies.settings;
        directory = dependencies.directory;
        stalenessFilter = dependencies.stalenessFilter;
        limiter = dependencies.limiter;
        slowStart = dependencies.slowStart;
        latencies = dependencies.latencies;
        healthChecker = dependencies.healthChecker;
        gossip = dependencies.gossip;
        retryPolicy = dependencies.retryPolicy;
        random = dependencies.random;
    }

    /** Chooses a server of the group for the request. */
    RoutingDecision select(PendingRequest request, ReplicaGroup group) {
        boolean needsPrimary = request.isWrite() || request.consistency() == Consistency.FRESH;
        return needsPrimary ? selectPrimary(request, group) : selectForRead(request, group);
    }

    private RoutingDecision selectPrimary(PendingRequest request, ReplicaGroup group) {
        ServerState primary = group.primary();
        boolean hasServingPrimary = primary != null && primary.isServing();
        if (!hasServingPrimary || !healthChecker.isConfirmed(primary)) {
            checkForPrimary(group, primary, hasServingPrimary);
        }
        boolean admitted = hasServingPrimary
                && healthChecker.isConfirmed(primary)
                && retryPolicy.recognizesRepeat(request, primary)
                && limiter.hasCapacity(primary, WRITE_LIMIT_SHARE)
                && slowStartAdmits(primary, request);
        return admitted ? RoutingDecision.forwardTo(primary) : RoutingDecision.WAIT;
    }

    /**
     * Starts a health check to confirm or find the group's primary: of the known primary or, if it is unknown or not
     * serving, of any member. If peers report positions, other members than the primary are checked only if no gateway
     * has reported on them recently.
     */
    private void checkForPrimary(ReplicaGroup group, ServerState primary, boolean hasServingPrimary) {
        boolean peersReport = gossip.isNeededForPositions();
        healthChecker.checkOneOf(
                group, server -> server == primary || !hasServingPrimary && (!peersReport || isReportOutdated(server)));
    }

    private boolean isReportOutdated(ServerState server) {
        return server.replication().positionReportAge(context.now()) > healthChecker.recheckInterval();
    }

    private RoutingDecision selectForRead(PendingRequest request, ReplicaGroup group) {
        ServerState replica = selectReplica(request, group);
        if (replica != null) {
            return RoutingDecision.forwardTo(replica);
        }
        if (healthChecker.checkOneOf(group, server -> mayBecomeUsable(server, request))) {
            return RoutingDecision.WAIT;
        }
        ServerState primary = group.primary();
        if (primary != null && primaryAdmitsRead(primary, request)) {
            return RoutingDecision.forwardTo(primary);
        }
        ServerState unverified = selectUnverifiedReplica(request, group);
        if (unverified != null) {
            // No other such read is sent to the replica until it has reported its position.
            unverified.replication().recordMisdirected(context.now());
            return RoutingDecision.forwardTo(unverified);
        }
        boolean worthWaiting = healthChecker.awaitsConfirmation(group) || hasReplicaThatMayServeLater(request, group);
        return worthWaiting ? RoutingDecision.WAIT : RoutingDecision.REJECT;
    }

    /**
     * Returns the replica with the lowest cost that is certainly fresh enough, or null. If there is none and replicas
     * check reads themselves, returns the one with the lowest cost that is probably fresh enough.
     */
    private ServerState selectReplica(PendingRequest request, ReplicaGroup group) {
        long now = context.now();
        ServerState admitted = selectLeastCost(request, group, server -> stalenessFilter.admits(server, request, now));
        if (admitted != null || !settings.replicasCheckReads()) {
            return admitted;
        }
        return selectLeastCost(request, group, server -> stalenessFilter.mayBeFreshEnough(server, request, now));
    }

    /**
     * Whether a health check may make the server usable for the read, because the server is unconfirmed or its known
     * position is outdated.
     */
    private boolean mayBecomeUsable(ServerState server, PendingRequest request) {
        if (!healthChecker.isConfirmed(server)) {
            return true;
        }
        return !settings.replicasCheckReads()
                && !server.isPrimary()
                && !stalenessFilter.admits(server, request, context.now())
                && isReportOutdated(server);
    }

    /**
     * Whether the primary may take a read that no replica can take. It may as long as its latency and utilization
     * permit.
     */
    private boolean primaryAdmitsRead(ServerState primary, PendingRequest request) {
        return primary.isServing()
                && healthChecker.isConfirmed(primary)
                && limiter.hasCapacity(primary, READ_LIMIT_SHARE)
                && primary.load().inflation(context.now()) <= LatencyEstimate.RARELY_EXCEEDED
                && isAdmittedByUtilization(primary, PRIMARY_SATURATION)
                && slowStartAdmits(primary, request);
    }

    /**
     * Returns a replica that may take the read although its last report says that it is too stale, or null. Only if
     * replicas check reads themselves; the report may be outdated, so each replica gets one such read per
     * {@link #UNVERIFIED_READ_INTERVAL} instead of the read being rejected.
     */
    private ServerState selectUnverifiedReplica(PendingRequest request, ReplicaGroup group) {
        if (!settings.replicasCheckReads()) {
            return null;
        }
        return selectLeastCost(
                request,
                group,
                server -> server != request.lastServer()
                        && server.replication().sinceMisdirected(context.now()) > UNVERIFIED_READ_INTERVAL);
    }

    /**
     * Whether a replica may take the read later: it lacks only capacity now, or may be fresh enough when it reports
     * again.
     */
    private boolean hasReplicaThatMayServeLater(PendingRequest request, ReplicaGroup group) {
        return group.members().stream()
                .anyMatch(server -> !server.isPrimary()
                        && server.isServing()
                        && healthChecker.isConfirmed(server)
                        && server.load().utilization() < REPLICA_SATURATION - SATURATION_BAND
                        && mayServeLater(server, request));
    }

    private boolean mayServeLater(ServerState server, PendingRequest request) {
        long now = context.now();
        return stalenessFilter.admits(server, request, now)
                || stalenessFilter.mayBecomeFreshEnough(server, request, now);
    }

    private ServerState selectLeastCost(PendingRequest request, ReplicaGroup group, Predicate<ServerState> eligible) {
        ServerState best = null;
        double leastCost = Double.MAX_VALUE;
        for (ServerState server : group.members()) {
            if (server.isPrimary() || !replicaAdmitsRead(server, request, eligible)) {
                continue;
            }
            double cost = cost(server, request);
            if (cost < leastCost) {
                best = server;
                leastCost = cost;
            }
        }
        return best;
    }

    private boolean replicaAdmitsRead(ServerState replica, PendingRequest request, Predicate<ServerState> eligible) {
        return replica.isServing()
                && healthChecker.isConfirmed(replica)
                && retryPolicy.recognizesRepeat(request, replica)
                && limiter.hasCapacity(replica, 1)
                && eligible.test(replica)
                && isAdmittedByUtilization(replica, REPLICA_SATURATION)
                && slowStartAdmits(replica, request);
    }

    /**
     * Whether a busy server may take a read. Rejects a random fraction of the reads, which grows with the reported
     * utilization, so that many gateways with few requests each do not overload a server together. If this gateway
     * has measured the server's latency within the maximum age of a report, the report is ignored.
     */
    private boolean isAdmittedByUtilization(ServerState server, double saturation) {
        return hasRecentLatency(server)
                || random.nextDouble() < (saturation - server.load().utilization()) / SATURATION_BAND;
    }

    private boolean hasRecentLatency(ServerState server) {
        return server.load().inflationAge(context.now()) < RoleTracker.MAX_REPORT_AGE;
    }

    /** Whether the server may take the request as far as slow start is concerned. */
    private boolean slowStartAdmits(ServerState server, PendingRequest request) {
        long now = context.now();
        if (!slowStart.isInSlowStart(server, now)) {
            return true;
        }
        return server.load().utilization() < REPLICA_SATURATION - SATURATION_BAND
                && slowStart.admits(server, request.usualLatency(), latencies.mean(), directory.servers(), now);
    }

    private double cost(ServerState server, PendingRequest request) {
        long now = context.now();
        Load load = server.load();
        double avoidance = server == request.lastServer() ? AVOIDANCE_FACTOR : 1;
        if (request.isUnboundedReadLongerThan(settings.tightestBound())) {
            avoidance *= Math.pow(AVOIDANCE_FACTOR, rankForLongReads(server));
        }
        double headroom = hasRecentLatency(server) ? 1 : Math.max(MIN_HEADROOM, 1 - load.utilization());
        return avoidance
                * load.inflation(now)
                * (load.attemptsInFlight() + 1)
                / headroom
                / slowStart.capacityFraction(server, now)
                * (1 + random.nextDouble() / COST_JITTER_DIVISOR);
    }

    /**
     * Returns the server's rank among the serving replicas of its group by name, which is the same at every gateway.
     * Reads that take longer than the tightest staleness bound may keep a replica from applying the log, so all
     * gateways send them to the same few replicas and the others stay fresh.
     */
    private static long rankForLongReads(ServerState server) {
        return server.group().members().stream()
                .filter(other -> !other.isPrimary()
                        && other.isServing()
                        && other.id().value().compareTo(server.id().value()) < 0)
                .count();
    }
}
