package ploverdale.routing;

import ploverdale.model.Event.AttemptEnded;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.Quota.HealthCheckReason;
import ploverdale.state.PendingRequest;
import ploverdale.state.ServerState;

/** Updates the state of a server from the outcomes of attempts. */
final class AttemptEvaluator {
    /** Severity of a failure that the network may have caused; a failure that the server reported counts 1. */
    private static final double NETWORK_FAILURE = 0.5;

    private final DecisionContext context;
    private final LocalHealth localHealth;
    private final HealthChecker healthChecker;
    private final OutlierDetector outlierDetector;
    private final ConcurrencyLimiter limiter;
    private final SlowStart slowStart;
    private final RoleTracker roles;
    private final PeerGossip gossip;

    AttemptEvaluator(
            DecisionContext context,
            LocalHealth localHealth,
            HealthChecker healthChecker,
            OutlierDetector outlierDetector,
            ConcurrencyLimiter limiter,
            SlowStart slowStart,
            RoleTracker roles,
            PeerGossip gossip) {
        this.context = context;
        this.localHealth = localHealth;
        this.healthChecker = healthChecker;
        this.outlierDetector = outlierDetector;
        this.limiter = limiter;
        this.slowStart = slowStart;
        this.roles = roles;
        this.gossip = gossip;
    }

    /**
     * Updates the server's state when an attempt has ended. The latency excludes time that this gateway itself or a
     * cause common to all servers explains.
     */
    void learn(ServerState server, PendingRequest request, AttemptEnded end) {
        long now = context.now();
        Outcome outcome = end.outcome();
        long latency = Math.max(0, end.duration() - localHealth.explainedIn(request.attemptStartedAt(), now));
        boolean inconclusive =
                outcome == Outcome.CONNECT_FAILED && localHealth.inconclusive(request.attemptStartedAt(), now);
        if (outcome == Outcome.CONNECT_FAILED && !inconclusive) {
            limiter.learnConnectFailure(server, end.duration());
        }
        learnLiveness(server, request, outcome);
        if (outcome == Outcome.REJECTED) {
            limiter.learnRejection(server);
        } else if (outcome == Outcome.CONNECT_FAILED) {
            limiter.limitAfterConnectFailure(server);
        }
        switch (outcome) {
            case SUCCEEDED -> learnSuccess(server, request, latency);
            case FAILED -> learnFailure(server, 1);
            case CONNECTION_LOST, CONNECT_INTERRUPTED -> learnFailure(server, NETWORK_FAILURE);
            case CONNECT_FAILED ->
                learnFailure(server, inconclusive ? server.ejection().failureShare() : NETWORK_FAILURE);
            case TIMED_OUT -> limiter.learnMissingAnswer(server, request, latency);
            case MISDIRECTED -> learnMisdirected(server, request);
            default -> {
                // REJECTED is handled above; CANCELLED and NEVER_SENT say nothing about the server.
            }
        }
    }

    /**
     * Expires the server's confirmation after a connection failure, and sends a health check to find out whether the
     * server is dead or only out of capacity. An answer from the server confirms it.
     */
    private void learnLiveness(ServerState server, PendingRequest request, Outcome outcome) {
        boolean answeredSince = server.liveness().attemptAnsweredAt() >= request.attemptStartedAt();
        if (outcome.isConnectionFailure() && !answeredSince) {
            server.liveness().expireConfirmation(context.now());
            healthChecker.check(server, HealthCheckReason.SUSPICION);
        } else if (outcome.reportedByServer()) {
            server.liveness().recordAttemptAnswered(context.now());
            server.ejection().clearMissedChecks();
            outlierDetector.readmitAfterAnswer(server);
        }
    }

    private void learnSuccess(ServerState server, PendingRequest request, long latency) {
        verifyPrimary(server, request, true);
        server.connections().clearRejection();
        slowStart.recordAnswer(server, request.usualLatency(), context.now());
        server.answerLoss().recordAnswer(latency / request.usualLatency());
        limiter.learnLatency(server, request, latency);
        server.ejection().recordSuccess();
    }

    /**
     * Records a failure, which may eject the server.
     *
     * @param severity how much it counts, from 0 to 1
     */
    private void learnFailure(ServerState server, double severity) {
        server.ejection().recordFailure(severity);
        outlierDetector.ejectIfFailing(server);
    }

    /**
     * Handles an answer by which the server declined the request for its role or position. A primary that is handing
     * over rejects writes while its load reports still say that it is the primary; the role of a replica is therefore
     * recorded for one report interval ahead, so that those reports do not override it.
     */
    private void learnMisdirected(ServerState server, PendingRequest request) {
        server.replication().recordMisdirected(context.now());
        verifyPrimary(server, request, false);
        if (request.isWrite()) {
            roles.learnRole(server, Role.REPLICA, context.now() + HealthChecker.REPORT_INTERVAL);
        }
    }

    /** Reports the outcome of a write to gossip, which rates peers by whether they named the right primary. */
    private void verifyPrimary(ServerState server, PendingRequest request, boolean isPrimary) {
        if (request.isWrite()) {
            gossip.primaryVerified(context.now(), server.id(), isPrimary);
        }
    }
}
