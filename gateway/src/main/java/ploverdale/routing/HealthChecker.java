package ploverdale.routing;

import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import ploverdale.gossip.GossipProtocol;
import ploverdale.model.Action;
import ploverdale.model.Capabilities;
import ploverdale.model.Quota;
import ploverdale.model.Quota.HealthCheckReason;
import ploverdale.model.Ticks;
import ploverdale.state.ReplicaGroup;
import ploverdale.state.ServerState;

/**
 * Decides when health checks are sent: for a request that needs the result, periodically, after a server was first
 * listed, or on suspicion. {@link HealthCheckEvaluator} handles their outcomes.
 */
final class HealthChecker {
    /** Upper bound of the time for an answer that needs no work, or for a refused connection. */
    static final long PROMPT_ANSWER = Ticks.ofMillis(50);
    /** Servers renew their load reports about this often, so checking them more often yields nothing new. */
    static final long REPORT_INTERVAL = Ticks.ofMillis(150);
    /**
     * Longest duration of a check: one on an idle connection that the server has dropped fails after 100 ms and is
     * followed by one on a new connection.
     */
    private static final long MAX_CHECK_DURATION = Ticks.ofMillis(250);

    private final DecisionContext context;
    private final Capabilities capabilities;
    private final Quota quota;
    private final PeerGossip gossip;
    private final RandomGenerator random;
    private final long checkInterval;
    private final HealthCheckQueue queue = new HealthCheckQueue();

    HealthChecker(
            DecisionContext context, RoutingSettings settings, Quota quota, PeerGossip gossip, RandomGenerator random) {
        this.context = context;
        this.capabilities = settings.capabilities();
        this.checkInterval = settings.checkInterval();
        this.quota = quota;
        this.gossip = gossip;
        this.random = random;
    }

    /**
     * Sends a health check, unless one is in flight or the deployment or the quota does not allow it.
     *
     * @return whether it was sent
     */
    boolean check(ServerState server, HealthCheckReason reason) {
        boolean sent = capabilities.healthChecksAllowed()
                && !server.healthCheck().isInFlight()
                && quota.tryAcquireHealthCheck(reason);
        if (sent) {
            queue.sent(server);
            server.healthCheck().sent(context.now());
            context.emit(new Action.CheckHealth(server.id()));
        }
        return sent;
    }

    /** Queues a check of the server, which is sent at once unless too many checks are in flight. */
    void checkWhenPossible(ServerState server) {
        queue.add(server);
        checkQueued();
    }

    /** Sends queued checks, as many as may be in flight. */
    void checkQueued() {
        for (ServerState server = queue.next(); server != null; server = queue.next()) {
            check(server, HealthCheckReason.SUSPICION);
        }
    }

    /** Records that a health check has ended. */
    void checkEnded(ServerState server) {
        if (server.healthCheck().isInFlight()) {
            queue.ended();
        }
        server.healthCheck().ended();
    }

    /**
     * Returns whether the server was recently confirmed to be alive, so that a request is not lost at a dead server.
     * Always true where the deployment does not allow health checks.
     */
    boolean isConfirmed(ServerState server) {
        return server.liveness().isConfirmed(context.now()) || !capabilities.healthChecksAllowed();
    }

    /**
     * Returns how long after a load report another check is worthwhile, in ticks. That is later where peers report
     * positions, because the next gossip message then makes a check unnecessary.
     */
    long recheckInterval() {
        return gossip.isNeededForPositions() ? REPORT_INTERVAL + GossipProtocol.MAX_POSITION_REFRESH : REPORT_INTERVAL;
    }

    /**
     * Checks one server of the group for a request that needs the result. Checks only one, because checking all of them
     * would cost more than the request.
     *
     * @param wanted accepts the servers whose result would help the request
     * @return whether a check is in flight whose result the request can wait for
     */
    boolean checkOneOf(ReplicaGroup group, Predicate<ServerState> wanted) {
        long now = context.now();
        boolean anyConfirmed = group.members().stream().anyMatch(ServerState::isConfirmedServing);
        ServerState chosen = null;
        int candidates = 0;
        for (ServerState server : group.members()) {
            if (!isCandidate(server, wanted, anyConfirmed)) {
                continue;
            }
            if (server.healthCheck().isInFlightFor(PROMPT_ANSWER, now)) {
                return true;
            }
            if (isDue(server, anyConfirmed)) {
                candidates++;
                chosen = random.nextInt(candidates) == 0 ? server : chosen;
            }
        }
        return chosen != null && check(chosen, HealthCheckReason.ON_DEMAND);
    }

    /**
     * Returns whether an on-demand check of the server may help. A server that was never confirmed is a candidate only
     * if the group has no confirmed one, or if it is the primary: a primary that is known only from peers may never
     * have been confirmed by this gateway.
     */
    private static boolean isCandidate(ServerState server, Predicate<ServerState> wanted, boolean anyConfirmed) {
        if (!server.lifecycle().isActive() || !wanted.test(server)) {
            return false;
        }
        boolean unconfirmedAllowed =
                !anyConfirmed || server.isPrimary() && !server.ejection().isEjected();
        return unconfirmedAllowed || server.isConfirmedServing();
    }

    /**
     * Returns whether an on-demand check of the server may be sent now. Without a confirmed server in the group the
     * ejection backoff is ignored, unless peers would report that the server is alive.
     */
    private boolean isDue(ServerState server, boolean anyConfirmed) {
        long now = context.now();
        boolean pastBackoff = now >= server.ejection().recheckAt() || !anyConfirmed && !gossip.isNeededForPositions();
        return pastBackoff
                && !server.healthCheck().isInFlight()
                && now - server.healthCheck().sentAt() > REPORT_INTERVAL;
    }

    /** Returns whether no server of the group is confirmed, but a check of one that used to be is still in flight. */
    boolean awaitsConfirmation(ReplicaGroup group) {
        return group.members().stream().noneMatch(this::isConfirmed)
                && group.members().stream()
                        .anyMatch(server -> server.isConfirmedServing()
                                && server.healthCheck().isInFlightFor(MAX_CHECK_DURATION, context.now()));
    }

    /** Starts a periodic pass over all servers. */
    PeriodicPass beginPeriodicPass() {
        return new PeriodicPass();
    }

    /** A pass over all servers that checks the one with the oldest load report, if that report is old enough. */
    final class PeriodicPass {
        private final long now = context.now();
        private long oldestReport = now - (gossip.isNeededForPositions() ? recheckInterval() : checkInterval);
        private ServerState oldest;

        /** Considers the next server. One that is in use but not confirmed is queued for a check of its own. */
        void consider(ServerState server) {
            if (!server.lifecycle().isActive() || !server.group().wasRequestedWithin(checkInterval, now)) {
                return;
            }
            long reportedAt = Math.max(server.healthCheck().sentAt(), positionKnownAt(server));
            if (!server.isConfirmedServing() && now >= server.ejection().recheckAt()) {
                checkWhenPossible(server);
            } else if (reportedAt <= oldestReport) {
                oldest = server;
                oldestReport = reportedAt;
            }
        }

        /**
         * Returns when the server's position was last known. A recent position reported by a peer makes a check
         * unnecessary.
         */
        private long positionKnownAt(ServerState server) {
            long coveredUntil = gossip.isEnabled() ? server.replication().position() + checkInterval : 0;
            return Math.max(server.replication().positionReportedAt(), coveredUntil);
        }

        /** Ends the pass: sends the check of the server with the oldest load report, if one is due. */
        void finish() {
            if (oldest != null) {
                check(oldest, HealthCheckReason.PERIODIC);
            }
        }
    }
}
