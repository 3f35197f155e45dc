package ploverdale.routing;

import java.util.List;
import ploverdale.model.Quota.HealthCheckReason;
import ploverdale.model.Ticks;
import ploverdale.state.Ejection;
import ploverdale.state.PendingRequest;
import ploverdale.state.ServerState;

/**
 * Outlier detection: ejects servers that do not answer attempts or health checks or whose attempts fail, and readmits
 * them after a growing backoff. If missing answers are better explained by a delay of this gateway or by a common
 * cause ({@link LocalHealth}), the server is not ejected but only suspected: it gets no new request until it has
 * answered a health check. Not thread-safe. Times are {@link Ticks}.
 */
final class OutlierDetector {
    /** Consecutive missed health checks after which a server is ejected; a single one may be lost by chance. */
    static final int MISSED_CHECKS_TO_EJECT = 2;
    /**
     * The shortest time without answers after which a server is ejected or suspected; longer than the short pauses that
     * servers usually have.
     */
    static final long MIN_UNRESPONSIVE_TIME = Ticks.ofMillis(400);
    /**
     * The shortest time that a restart takes: a server that was unresponsive for less has not restarted. If a server is
     * ejected again this soon after its readmission, its backoff doubles.
     */
    static final long MIN_RESTART_DURATION = Ticks.ofMillis(1500);
    /** The maximum backoff before the next health check of an ejected server. */
    static final long MAX_BACKOFF = Ticks.ofMillis(8000);
    /** The fraction of failed attempts from which on a server is ejected. */
    static final double EJECTION_FAILURE_SHARE = 0.3;

    private static final long INITIAL_BACKOFF = Ticks.ofMillis(300);
    /**
     * A server is ejected or suspected as unresponsive only if more than this number of expected answers is missing. A
     * healthy server misses as many by chance only once in thousands of cases.
     */
    private static final double MAX_MISSING_ANSWERS = 8;

    private final DecisionContext context;
    private final ServerDirectory directory;
    private final LocalHealth localHealth;
    private final HealthChecker healthChecker;
    private final PeerGossip gossip;
    private final AttemptCanceller canceller;

    OutlierDetector(
            DecisionContext context,
            ServerDirectory directory,
            LocalHealth localHealth,
            HealthChecker healthChecker,
            PeerGossip gossip,
            AttemptCanceller canceller) {
        this.context = context;
        this.directory = directory;
        this.localHealth = localHealth;
        this.healthChecker = healthChecker;
        this.gossip = gossip;
        this.canceller = canceller;
    }

    /**
     * Ejects or suspects a server that has not answered for so long that many answers to its attempts are missing,
     * because it is dead, hung or unreachable. Called periodically.
     */
    void detectUnresponsive(ServerState server) {
        long now = context.now();
        List<PendingRequest> attempts = server.attemptsSinceReadmission();
        long oldestAttempt = attempts.isEmpty() ? now : attempts.get(0).attemptStartedAt();
        long unresponsiveFor = now - Math.max(server.liveness().attemptAnsweredAt(), oldestAttempt);
        if (unresponsiveFor < MIN_UNRESPONSIVE_TIME
                || missingAnswers(server, attempts, unresponsiveFor) <= MAX_MISSING_ANSWERS) {
            return;
        }
        if (isReportedByPeersWithin(server, unresponsiveFor)) {
            if (now - server.healthCheck().sentAt() > unresponsiveFor) {
                healthChecker.check(server, HealthCheckReason.SUSPICION);
            }
            return;
        }
        if (isExplainedOtherwise(server, unresponsiveFor)) {
            suspectUnresponsive(server, now - unresponsiveFor);
        } else {
            eject(server, unresponsiveReason(server, unresponsiveFor));
        }
    }

    private static String unresponsiveReason(ServerState server, long unresponsiveFor) {
        return "quiet " + unresponsiveFor / Ticks.PER_MILLISECOND + " ms with "
                + server.load().attemptsInFlight() + " out";
    }

    /** Returns how many answers were expected by now, given the usual latency of the requests in flight. */
    private double missingAnswers(ServerState server, List<PendingRequest> attempts, long unresponsiveFor) {
        double inflation = Math.max(1, server.load().measuredInflation());
        return attempts.stream()
                .mapToDouble(request -> Math.min(unresponsiveFor, context.now() - request.attemptStartedAt())
                        / (request.usualLatency() * inflation))
                .sum();
    }

    /**
     * Whether a peer received a report from the server while this gateway got no answer. A gateway with few requests
     * would otherwise eject a slow server while other gateways get answers from it.
     */
    private boolean isReportedByPeersWithin(ServerState server, long unresponsiveFor) {
        return gossip.isNeededForPositions() && server.replication().positionReportAge(context.now()) < unresponsiveFor;
    }

    private boolean isExplainedOtherwise(ServerState server, long unresponsiveFor) {
        long now = context.now();
        return unresponsiveFor - localHealth.explainedIn(now - unresponsiveFor, now) < MIN_UNRESPONSIVE_TIME
                || localHealth.detectCommonCause(now, server, now - unresponsiveFor, directory.servers());
    }

    /**
     * Suspects a server that has not answered since this time. If another member of its group has answered since, the
     * requests in flight that may be retried are cancelled, so that they are retried there.
     */
    private void suspectUnresponsive(ServerState server, long since) {
        suspect(server);
        server.ejection().raiseMissedChecksTo(MISSED_CHECKS_TO_EJECT - 1); // one more missed health check ejects it
        boolean otherMemberAnswered = server.group().members().stream()
                .anyMatch(other -> other != server
                        && other.isConfirmedServing()
                        && other.liveness().respondedAt() >= since);
        if (otherMemberAnswered) {
            canceller.cancelRetryable(server);
        }
    }

    /** Suspects a server without ejecting it: it gets no new request until it has answered another health check. */
    void suspect(ServerState server) {
        long now = context.now();
        long respondedAt = server.liveness().respondedAt();
        if (now - respondedAt > HealthChecker.REPORT_INTERVAL) {
            server.liveness().expireConfirmation(now);
        }
        if (now - Math.max(respondedAt, server.healthCheck().sentAt()) > HealthChecker.PROMPT_ANSWER) {
            healthChecker.checkWhenPossible(server);
        }
    }

    /**
     * Ejects a replica if too many of its attempts fail and at least half of its group would remain in service. A
     * replica that fails fast has a low latency and would otherwise attract traffic.
     */
    void ejectIfFailing(ServerState server) {
        Ejection ejection = server.ejection();
        if (ejection.failureShare() < EJECTION_FAILURE_SHARE || server.isPrimary()) {
            return;
        }
        List<ServerState> members = server.group().members();
        long othersServing = members.stream()
                .filter(other -> other != server && other.isServing())
                .count();
        if (othersServing * 2 >= members.size()) {
            eject(server, "fails " + Math.round(ejection.failureShare() * 100) + " %");
        }
    }

    /**
     * Ejects a server, unless it is ejected already.
     *
     * @param reason for the log
     */
    void eject(ServerState server, String reason) {
        if (server.ejection().isEjected()) {
            return;
        }
        context.log("server " + server.id().value() + " silent: " + reason);
        server.ejection().eject(context.now(), initialBackoff(server));
        server.liveness().recordUnresponsive(context.now());
        canceller.cancelRetryable(server);
    }

    private long initialBackoff(ServerState server) {
        if (hasNeverResponded(server)) {
            return MAX_BACKOFF;
        }
        Ejection ejection = server.ejection();
        if (context.now() - ejection.readmittedAt() < MIN_RESTART_DURATION) {
            return Math.min(MAX_BACKOFF, ejection.backoff() * 2);
        }
        return INITIAL_BACKOFF;
    }

    /**
     * Whether the server is listed but has probably never responded since it started. False while no server at all was
     * ever confirmed, because then this gateway or all servers may be starting slowly.
     */
    boolean hasNeverResponded(ServerState server) {
        return !server.liveness().wasEverConfirmed()
                && !localHealth.explainedRecently(context.now())
                && directory.servers().stream().anyMatch(ServerState::isConfirmedServing);
    }

    /**
     * Readmits an ejected server that answered an attempt. The attempt began before the ejection, so the server has not
     * restarted since.
     */
    void readmitAfterAnswer(ServerState server) {
        if (server.ejection().isEjected() && server.ejection().failureShare() < EJECTION_FAILURE_SHARE) {
            readmit(server, context.now(), "answers");
        }
    }

    /**
     * Readmits a server. If it may have restarted meanwhile, it begins slow start, even though the endpoint list does
     * not state a restart yet. If it may still be hung, it gets one request at a time.
     *
     * @param lastAliveAt when the server was last known to be alive
     * @param reason for the log
     */
    void readmit(ServerState server, long lastAliveAt, String reason) {
        long now = context.now();
        long outage = now - server.ejection().ejectedAt();
        context.log("server " + server.id().value() + " returns: " + reason + " after " + outage / Ticks.PER_MILLISECOND
                + " ms");
        server.ejection().readmit(now, EJECTION_FAILURE_SHARE / 2);
        if (now - lastAliveAt >= MIN_RESTART_DURATION) {
            server.slowStart().restart(now);
        }
        boolean keepsLimit = lastAliveAt == now && outage < MIN_RESTART_DURATION;
        if (!keepsLimit) {
            server.load().limitTo(1);
        }
    }
}
