package ploverdale.routing;

import ploverdale.model.Event.HealthCheckEnded;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport;
import ploverdale.state.Ejection;
import ploverdale.state.Liveness;
import ploverdale.state.ServerState;

/** Updates the state of a server from the outcomes of health checks. */
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

    /** Updates the server's state when a health check has ended. */
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

    /**
     * Charges an answered check to the server's slow start. Only checks that succeeded count; others may not have
     * reached the server.
     */
    private void chargeToSlowStart(ServerState server, Outcome outcome) {
        if (server.healthCheck().isInFlight() && outcome == Outcome.SUCCEEDED) {
            long now = context.now();
            slowStart.recordHealthCheckAnswer(server, now - server.healthCheck().sentAt(), now);
        }
    }

    /**
     * Returns when the server was last known to be alive, to any gateway. If it never was, returns the current time, so
     * that the start time from the endpoint list decides.
     */
    private long lastKnownAlive(ServerState server) {
        long known = Math.max(server.liveness().aliveAt(), server.replication().positionReportedAt());
        return known == LoadReport.UNKNOWN_TIME
                ? context.now()
                : Math.max(server.ejection().ejectedAt(), known);
    }

    /**
     * Delays the next check after one that was never sent: this machine lacked a resource, which says nothing about the
     * server.
     */
    private void postpone(ServerState server) {
        server.ejection().recheckNotBefore(context.now() + HealthChecker.REPORT_INTERVAL);
    }

    /**
     * Handles an answered check, which confirms the server to be alive and may readmit it.
     *
     * @param aliveBefore when the server was last known to be alive before this answer, in ticks
     */
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

    /**
     * Handles a check without an answer, which may eject the server, unless the server answers attempts or the check is
     * inconclusive.
     */
    private void learnMissedCheck(ServerState server) {
        long now = context.now();
        long sentAt = server.healthCheck().sentAt();
        // A check that fails immediately is not evidence that the server is unresponsive.
        boolean waited = now - sentAt >= HealthChecker.PROMPT_ANSWER;
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
        } else if (missedChecksSuffice(server)) {
            outlierDetector.eject(
                    server, "probes unanswered " + server.ejection().missedChecks());
        }
    }

    /** Counts the missed check, and returns whether the missed checks suffice for an ejection. */
    private boolean missedChecksSuffice(ServerState server) {
        Liveness liveness = server.liveness();
        return server.ejection().countMissedCheck() >= OutlierDetector.MISSED_CHECKS_TO_EJECT
                || !liveness.wasEverConfirmed() && !liveness.hasInconclusiveChecks();
    }

    /** Schedules the next check of a server that is already ejected. */
    private void extendEjection(ServerState server, boolean waited) {
        long now = context.now();
        Ejection ejection = server.ejection();
        boolean inconclusive =
                waited && localHealth.inconclusive(server.healthCheck().sentAt(), now);
        ejection.delayRecheck(now, inconclusive ? ejection.backoff() : nextBackoff(server));
    }

    /**
     * Returns the delay before the next check of an ejected server. A server that was never alive is checked rarely,
     * and even less often where a peer would report that it is alive.
     */
    private long nextBackoff(ServerState server) {
        if (!outlierDetector.wasNeverUp(server)) {
            return Math.min(
                    OutlierDetector.MAX_BACKOFF / 4, server.ejection().backoff() * 2);
        }
        return gossip.isNeededForPositions() ? 4 * OutlierDetector.MAX_BACKOFF : OutlierDetector.MAX_BACKOFF;
    }

    /**
     * Returns whether the missed check says nothing about the server. Where checks are inconclusive repeatedly, the
     * parts of their waits without another explanation add up, until they suffice for an ejection.
     */
    private boolean isInconclusive(ServerState server) {
        long now = context.now();
        long sentAt = server.healthCheck().sentAt();
        boolean inconclusive = localHealth.inconclusive(sentAt, now)
                || localHealth.detectCommonCause(now, server, sentAt, directory.servers());
        if (inconclusive) {
            server.liveness().recordInconclusiveCheck(now - sentAt - localHealth.explainedIn(sentAt, now));
        }
        return inconclusive && server.liveness().inconclusiveWait() < OutlierDetector.MIN_SILENCE;
    }
}
