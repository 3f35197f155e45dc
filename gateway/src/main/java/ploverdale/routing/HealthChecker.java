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
 * Decides when a health check is sent: on demand of a request that needs its result, periodically, after a first listing, or on
 * suspicion. What the outcome says is decided by {@link HealthCheckEvaluator}.
 */
final class HealthChecker {
    /** An answer that needs no work, or a refused connection, takes less than this. */
    static final long PROMPT_ANSWER = Ticks.ofMillis(50);
    /** Servers make their reports anew about this often, so that checking them more often tells nothing new. */
    static final long REPORT_INTERVAL = Ticks.ofMillis(150);
    /** A check on an idle connection that the server forgot fails after 100 ms, and one on a new connection follows it. */
    private static final long LONGEST_CHECK = Ticks.ofMillis(250);

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

    /** Sends a health check, unless one is in flight or none may be sent; returns whether it was sent. */
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

    /** Has a server checked at once, or when fewer checks are in flight. */
    void checkWhenPossible(ServerState server) {
        queue.add(server);
        checkQueued();
    }

    /** Sends the checks that wait for fewer to be in flight. */
    void checkQueued() {
        for (ServerState server = queue.next(); server != null; server = queue.next()) {
            check(server, HealthCheckReason.SUSPICION);
        }
    }

    /** A health check has ended. */
    void checkEnded(ServerState server) {
        if (server.healthCheck().isInFlight()) {
            queue.ended();
        }
        server.healthCheck().ended();
    }

    /** Whether the server is known to be alive, so that a request is not lost on a dead one; always where no check may tell. */
    boolean isConfirmed(ServerState server) {
        return server.liveness().isConfirmed(context.now()) || !capabilities.healthChecksAllowed();
    }

    /** How long after a report another one may tell something new; where gossip brings positions, that is as good as waiting. */
    long recheckInterval() {
        return gossip.isNeededForPositions() ? REPORT_INTERVAL + GossipProtocol.MAX_POSITION_REFRESH : REPORT_INTERVAL;
    }

    /**
     * Has one of a group's servers checked for a request that needs the result. Only one, since checks of all would cost more than
     * the request.
     *
     * @param wanted servers whose result would help
     * @return whether a result is awaited
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

    /** A primary that only other gateways named may never have been confirmed here. */
    private static boolean isCandidate(ServerState server, Predicate<ServerState> wanted, boolean anyConfirmed) {
        if (!server.lifecycle().isActive() || !wanted.test(server)) {
            return false;
        }
        boolean unconfirmedAllowed =
                !anyConfirmed || server.isPrimary() && !server.ejection().isEjected();
        return unconfirmedAllowed || server.isConfirmedServing();
    }

    private boolean isDue(ServerState server, boolean anyConfirmed) {
        long now = context.now();
        boolean pastBackoff = now >= server.ejection().recheckAt() || !anyConfirmed && !gossip.isNeededForPositions();
        return pastBackoff
                && !server.healthCheck().isInFlight()
                && now - server.healthCheck().sentAt() > REPORT_INTERVAL;
    }

    /** Whether no server of the group is confirmed, but the check of one that was is still in flight. */
    boolean awaitsConfirmation(ReplicaGroup group) {
        return group.members().stream().noneMatch(this::isConfirmed)
                && group.members().stream()
                        .anyMatch(server -> server.isConfirmedServing()
                                && server.healthCheck().isInFlightFor(LONGEST_CHECK, context.now()));
    }

    /** Begins a round of periodic health checks. */
    PeriodicRound beginPeriodicRound() {
        return new PeriodicRound();
    }

    /** A round over all servers, in which the one whose report is oldest is checked if that is due. */
    final class PeriodicRound {
        private final long now = context.now();
        private long oldestReport = now - (gossip.isNeededForPositions() ? recheckInterval() : checkInterval);
        private ServerState oldest;

        /** Takes the next server into account; one that is in use and not confirmed has a check of its own. */
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

        /** A position that another gateway reported and that is still fresh makes a check needless. */
        private long positionKnownAt(ServerState server) {
            long coveredUntil = gossip.isEnabled() ? server.replication().position() + checkInterval : 0;
            return Math.max(server.replication().positionReportedAt(), coveredUntil);
        }

        /** Ends the round. */
        void finish() {
            if (oldest != null) {
                check(oldest, HealthCheckReason.PERIODIC);
            }
        }
    }
}
