package ploverdale.routing;

import ploverdale.model.Event.AttemptEnded;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.Quota.HealthCheckReason;
import ploverdale.state.PendingRequest;
import ploverdale.state.ServerState;

/** Decides what the outcome of an attempt says of its server. */
final class AttemptEvaluator {
    /** A failure that may be the network's doing counts so much of one that the server reported. */
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

    /** Learns from the end of an attempt. */
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
                // REJECTED is dealt with above; CANCELLED and NEVER_SENT say nothing of the server.
            }
        }
    }

    /** A connection that fails is a sign of a dead server, or of one without capacity; a health check tells. */
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

    private void learnFailure(ServerState server, double severity) {
        server.ejection().recordFailure(severity);
        outlierDetector.ejectIfFailing(server);
    }

    /** A primary that hands over rejects writes while its reports still say that it is the primary. */
    private void learnMisdirected(ServerState server, PendingRequest request) {
        server.replication().recordMisdirected(context.now());
        verifyPrimary(server, request, false);
        if (request.isWrite()) {
            roles.learnRole(server, Role.REPLICA, context.now() + HealthChecker.REPORT_INTERVAL);
        }
    }

    private void verifyPrimary(ServerState server, PendingRequest request, boolean right) {
        if (request.isWrite()) {
            gossip.primaryVerified(context.now(), server.id(), right);
        }
    }
}
