package ploverdale.routing;

import java.util.List;
import ploverdale.model.Quota.HealthCheckReason;
import ploverdale.model.Ticks;
import ploverdale.state.Ejection;
import ploverdale.state.PendingRequest;
import ploverdale.state.ServerState;

/**
 * Outlier detection: ejects servers whose answers are missing, whose health checks are missed, or whose attempts fail, and
 * readmits them after a growing backoff. Silence that this gateway itself or a common cause explains better
 * ({@link LocalHealth}) makes a server only suspect, which is checked before it gets a new request.
 */
final class OutlierDetector {
    /** Missed health checks in a row before an ejection; one may be chance. */
    static final int CHECKS_MISSED = 2;
    /** Longer than short pauses of a server. */
    static final long SHORTEST_SILENCE = Ticks.ofMillis(400);
    /** A server that was away for less did not restart; one that fails again this soon after its return fails its trial. */
    static final long SHORTEST_RESTART = Ticks.ofMillis(1500);
    /** The longest backoff of an ejected server. */
    static final long LONGEST_BACKOFF = Ticks.ofMillis(8000);
    /** Share of failed attempts from which a server is ejected. */
    static final double FAILURE_SHARE = 0.3;

    private static final long FIRST_BACKOFF = Ticks.ofMillis(300);
    /** Answers that must be missing; with fewer, chance has it so once in thousands of times. */
    private static final double ANSWERS_MISSING = 8;

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

    /** Ejects or suspects a server that sent far fewer answers than its attempts should have brought: dead, hung or cut off. */
    void checkForSilence(ServerState server) {
        long now = context.now();
        List<PendingRequest> attempts = server.attemptsSinceReadmission();
        long oldestAttempt = attempts.isEmpty() ? now : attempts.get(0).attemptStartedAt();
        long silence = now - Math.max(server.liveness().attemptAnsweredAt(), oldestAttempt);
        if (silence < SHORTEST_SILENCE || missingAnswers(server, attempts, silence) <= ANSWERS_MISSING) {
            return;
        }
        if (isReportedByOthersWithin(server, silence)) {
            if (now - server.healthCheck().sentAt() > silence) {
                healthChecker.check(server, HealthCheckReason.SUSPICION);
            }
            return;
        }
        if (isExplainedOtherwise(server, silence)) {
            suspectSilent(server, now - silence);
        } else {
            eject(server, silenceText(server, silence));
        }
    }

    private static String silenceText(ServerState server, long silence) {
        return "quiet " + silence / Ticks.PER_MILLISECOND + " ms with "
                + server.load().attemptsInFlight() + " out";
    }

    /** How many answers should have come by now, by the latency that the requests usually have. */
    private double missingAnswers(ServerState server, List<PendingRequest> attempts, long silence) {
        double inflation = Math.max(1, server.load().measuredInflation());
        return attempts.stream()
                .mapToDouble(request -> Math.min(silence, context.now() - request.attemptStartedAt())
                        / (request.usualLatency() * inflation))
                .sum();
    }

    /** A gateway with few requests would take a slow server for dead while others get answers from it. */
    private boolean isReportedByOthersWithin(ServerState server, long silence) {
        return gossip.isNeededForPositions() && server.replication().positionReportAge(context.now()) < silence;
    }

    private boolean isExplainedOtherwise(ServerState server, long silence) {
        long now = context.now();
        return silence - localHealth.explainedIn(now - silence, now) < SHORTEST_SILENCE
                || localHealth.detectCommonCause(now, server, now - silence, directory.servers());
    }

    /** As {@link #suspect}; requests that may be repeated go where answers have come meanwhile. */
    private void suspectSilent(ServerState server, long since) {
        suspect(server);
        server.ejection()
                .raiseMissedChecksTo(CHECKS_MISSED - 1); // missing answers and one more missed check are enough
        boolean othersAnswer = server.group().members().stream()
                .anyMatch(other -> other != server
                        && other.isConfirmedServing()
                        && other.liveness().respondedAt() >= since);
        if (othersAnswer) {
            canceller.cancelRetryable(server);
        }
    }

    /** No verdict: the server gets nothing new until a further health check is answered. */
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
     * Ejects a replica too many of whose attempts fail, which would draw traffic by failing fast, where its group has enough other
     * servers.
     */
    void ejectIfFailing(ServerState server) {
        Ejection ejection = server.ejection();
        if (ejection.failureShare() < FAILURE_SHARE || server.isPrimary()) {
            return;
        }
        List<ServerState> members = server.group().members();
        long others = members.stream()
                .filter(other -> other != server && other.isServing())
                .count();
        if (others * 2 >= members.size()) {
            eject(server, "fails " + Math.round(ejection.failureShare() * 100) + " %");
        }
    }

    /** Ejects a server, unless it is ejected already. */
    void eject(ServerState server, String reason) {
        if (server.ejection().isEjected()) {
            return;
        }
        context.log("server " + server.id().text() + " silent: " + reason);
        server.ejection().eject(context.now(), firstBackoff(server));
        server.liveness().recordUnresponsive(context.now());
        canceller.cancelRetryable(server);
    }

    private long firstBackoff(ServerState server) {
        if (wasNeverThere(server)) {
            return LONGEST_BACKOFF;
        }
        Ejection ejection = server.ejection();
        if (context.now() - ejection.readmittedAt() < SHORTEST_RESTART) {
            return Math.min(LONGEST_BACKOFF, ejection.backoff() * 2);
        }
        return FIRST_BACKOFF;
    }

    /**
     * Whether the server was probably listed without ever being up. Not so where no server was confirmed: then this gateway, or
     * all servers, start slowly.
     */
    boolean wasNeverThere(ServerState server) {
        return !server.liveness().wasEverConfirmed()
                && !localHealth.explainedRecently(context.now())
                && directory.servers().stream().anyMatch(ServerState::isConfirmedServing);
    }

    /** Readmits a server that answered an attempt from before its ejection, so that it has not restarted since. */
    void readmitAfterAnswer(ServerState server) {
        if (server.ejection().isEjected() && server.ejection().failureShare() < FAILURE_SHARE) {
            readmit(server, context.now(), "answers");
        }
    }

    /**
     * Readmits a server. One that may have restarted meanwhile, though no list says so yet, is taken for cold; one that may hang
     * gets one request at a time.
     *
     * @param aliveBefore when the server was last known to be alive
     */
    void readmit(ServerState server, long aliveBefore, String reason) {
        long now = context.now();
        long away = now - server.ejection().ejectedAt();
        context.log("server " + server.id().text() + " returns: " + reason + " after " + away / Ticks.PER_MILLISECOND
                + " ms");
        server.ejection().readmit(now, FAILURE_SHARE / 2);
        if (now - aliveBefore >= SHORTEST_RESTART) {
            server.slowStart().restart(now);
        }
        boolean keepsLimit = aliveBefore == now && away < SHORTEST_RESTART;
        if (!keepsLimit) {
            server.load().limitTo(1);
        }
    }
}
