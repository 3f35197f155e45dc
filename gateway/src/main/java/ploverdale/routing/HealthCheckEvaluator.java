package ploverdale.routing;

import ploverdale.model.Event.HealthCheckEnded;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport;
import ploverdale.state.Ejection;
import ploverdale.state.Liveness;
import ploverdale.state.ServerState;

/** Decides what the outcome of a health check says of its server. */
final class HealthCheckEvaluator {
    private final DecisionContext context;
    private final ServerDirectory directory;
    private final LocalHealth localHealth;
    private final HealthChecker healthChecker;
    private final OutlierDetector outlierDetector;
    private final RoleTracker roles;
    private final SlowStart slowStart;
    private final ConnectionScarcity scarcity;
    private final PeerGossip gossip;

    HealthCheckEvaluator(
            DecisionContext context,
            ServerDirectory directory,
            LocalHealth localHealth,
            HealthChecker healthChecker,
            OutlierDetector outlierDetector,
            RoleTracker roles,
            SlowStart slowStart,
            ConnectionScarcity scarcity,
            PeerGossip gossip) {
        this.context = context;
        this.directory = directory;
        this.localHealth = localHealth;
        this.healthChecker = healthChecker;
        this.outlierDetector = outlierDetector;
        this.roles = roles;
        this.slowStart = slowStart;
        this.scarcity = scarcity;
        this.gossip = gossip;
    }

    /** Learns from the end of a health check. */
    void learn(ServerState server, HealthCheckEnded end) {
        chargeToSlowStart(server, end.outcome());
        long aliveBefore = lastKnownAlive(server);
        healthChecker.checkEnded(server);
        switch (end.outcome()) {
            case NEVER_SENT -> postpone(server);
            case SUCCEEDED, REJECTED -> learnAnswer(server, end.loadReport(), aliveBefore);
            default -> learnMissedCheck(server);
        }
    }

    /** Only checks that were answered; the others may not have reached the server. */
    private void chargeToSlowStart(ServerState server, Outcome outcome) {
        if (server.healthCheck().isInFlight() && outcome == Outcome.SUCCEEDED) {
            long now = context.now();
            slowStart.recordHealthCheckAnswer(server, now - server.healthCheck().sentAt(), now);
        }
    }

    /** When the server was last known to be alive, to any gateway; now if it never was, so that the list's start time decides. */
    private long lastKnownAlive(ServerState server) {
        long known = Math.max(server.liveness().aliveAt(), server.replication().positionReportedAt());
        return known == LoadReport.UNKNOWN_TIME
                ? context.now()
                : Math.max(server.ejection().ejectedAt(), known);
    }

    /** Something is lacking on this machine, which says nothing of the server. */
    private void postpone(ServerState server) {
        server.ejection().recheckNotBefore(context.now() + HealthChecker.REPORT_INTERVAL);
    }

    private void learnAnswer(ServerState server, LoadReport report, long aliveBefore) {
        long now = context.now();
        server.ejection().clearMissedChecks();
        server.liveness().recordCheckAnswered(now);
        if (server.connections().isRefusing(OutlierDetector.MIN_RESTART_DURATION, now)) {
            scarcity.begin(now);
            context.log("connections scarce: " + server.id().value() + " answers probes but refuses connections");
        }
        roles.learnLoadReport(server, report);
        if (server.ejection().isEjected() && now >= server.ejection().recheckAt()) {
            outlierDetector.readmit(server, aliveBefore, "answers probes");
        }
    }

    private void learnMissedCheck(ServerState server) {
        long now = context.now();
        long sentAt = server.healthCheck().sentAt();
        boolean waited = now - sentAt >= HealthChecker.PROMPT_ANSWER; // what fails at once is no silence
        if (waited) {
            server.liveness().recordCheckMissed(now);
        }
        if (server.ejection().isEjected()) {
            extendEjection(server, waited);
            return;
        }
        boolean answersAttempts = now - server.liveness().attemptAnsweredAt() <= OutlierDetector.MIN_SILENCE;
        if (answersAttempts) {
            return;
        }
        if (waited && isInconclusive(server)) {
            outlierDetector.suspect(server);
        } else if (isConclusive(server)) {
            outlierDetector.eject(
                    server, "probes unanswered " + server.ejection().missedChecks());
        }
    }

    private boolean isConclusive(ServerState server) {
        Liveness liveness = server.liveness();
        return server.ejection().countMissedCheck() >= OutlierDetector.MISSED_CHECKS_TO_EJECT
                || !liveness.wasEverConfirmed() && !liveness.hasInconclusiveChecks();
    }

    private void extendEjection(ServerState server, boolean waited) {
        long now = context.now();
        Ejection ejection = server.ejection();
        boolean inconclusive =
                waited && localHealth.inconclusive(server.healthCheck().sentAt(), now);
        ejection.delayRecheck(now, inconclusive ? ejection.backoff() : nextBackoff(server));
    }

    /** A server that never was up is checked rarely, and even more so where another gateway would report that it is. */
    private long nextBackoff(ServerState server) {
        if (!outlierDetector.wasNeverUp(server)) {
            return Math.min(OutlierDetector.MAX_BACKOFF / 4, server.ejection().backoff() * 2);
        }
        return gossip.isNeededForPositions() ? 4 * OutlierDetector.MAX_BACKOFF : OutlierDetector.MAX_BACKOFF;
    }

    /** Where checks are inconclusive again and again, what they waited without another explanation adds up to a verdict. */
    private boolean isInconclusive(ServerState server) {
        long now = context.now();
        long sentAt = server.healthCheck().sentAt();
        boolean inconclusive = localHealth.inconclusive(sentAt, now)
                || localHealth.commonSilence(now, server, sentAt, directory.servers());
        if (inconclusive) {
            server.liveness().recordInconclusiveCheck(now - sentAt - localHealth.explainedIn(sentAt, now));
        }
        return inconclusive && server.liveness().inconclusiveWait() < OutlierDetector.MIN_SILENCE;
    }
}
