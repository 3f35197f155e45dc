package ploverdale.routing;

import java.util.random.RandomGenerator;
import ploverdale.model.Quota;
import ploverdale.model.Ticks;
import ploverdale.state.AnswerLoss;
import ploverdale.state.ConnectionStatus;
import ploverdale.state.Liveness;
import ploverdale.state.Load;
import ploverdale.state.PendingRequest;
import ploverdale.state.ServerState;

/**
 * Adaptive concurrency limit of each server, by additive increase and additive decrease (Chiu and Jain 1989). A limit
 * grows while latency is a small part of the requests' latency objective and the limit is used; it shrinks while
 * latency is a large part of the objective.
 */
final class ConcurrencyLimiter {
    /**
     * Weight of the newest answer in moving averages. It is small because the work of requests varies by as much as its
     * mean.
     */
    private static final double NEWEST_WEIGHT = 0.1;
    /**
     * Target of mean latency as a part of the latency objective. It is well below 1 because latencies have long tails.
     */
    private static final double TARGET_OBJECTIVE_RATIO = 0.35;
    /** Largest part of the latency objective that one answer counts as. */
    private static final double MAX_OBJECTIVE_RATIO = 3;
    /** Largest latency inflation that one answer counts as. */
    private static final double MAX_INFLATION = 8;
    /** Change of a limit at each answer; about a fifth of an attempt per round trip. */
    private static final double LIMIT_STEP = 0.2;
    /** A limit grows only while at least this share of it is used. */
    private static final double USED_SHARE = 0.7;
    /** Refused connections further apart than this do not count as consecutive. */
    private static final long CONSECUTIVE_REFUSAL_WINDOW = Ticks.ofMillis(500);

    private final DecisionContext context;
    private final RoutingSettings settings;
    private final Quota quota;
    private final SlowStart slowStart;
    private final RandomGenerator random;

    ConcurrencyLimiter(
            DecisionContext context,
            RoutingSettings settings,
            Quota quota,
            SlowStart slowStart,
            RandomGenerator random) {
        this.context = context;
        this.settings = settings;
        this.quota = quota;
        this.slowStart = slowStart;
        this.random = random;
    }

    /**
     * Returns whether another attempt may be in flight at the server. Counts only attempts begun since the server was
     * last readmitted, because older ones may never be answered. A server within its rejection backoff has no capacity.
     *
     * @param share the share of the limit that requests of this kind may use
     */
    boolean hasCapacity(ServerState server, double share) {
        long now = context.now();
        return server.connections().isPastRejection(now)
                && server.countAttemptsSinceReadmission() < server.load().limit() * share
                && quota.hasAttempt(server.id(), slowStart.isInSlowStart(server, now));
    }

    /** Records the latency of an answered attempt, or the time that an unanswered one has waited so far. */
    void learnLatency(ServerState server, PendingRequest request, long latency) {
        learnLatency(server, request, latency, latency);
    }

    /**
     * Records an attempt without an answer in time. An answer that was probably lost on the network counts less as
     * load.
     */
    void learnMissingAnswer(ServerState server, PendingRequest request, long waited) {
        boolean lost = server.answerLoss().recordMissing();
        double expected = request.usualLatency() * server.load().measuredInflation();
        long latency = (long) Math.max(waited, expected);
        long loadLatency = lost ? Math.min(latency, (long) (AnswerLoss.loadOfLostAnswer() * expected)) : latency;
        learnLatency(server, request, latency, loadLatency);
    }

    /**
     * Updates the estimates and the limit.
     *
     * @param latency the latency by which estimates and latency inflation are updated, in ticks
     * @param loadLatency the part of it that counts as load, in ticks
     */
    private void learnLatency(ServerState server, PendingRequest request, long latency, long loadLatency) {
        Load load = server.load();
        request.latency().observe(latency, context.now());
        double inflation = Math.min(MAX_INFLATION, latency / request.usualLatency());
        load.recordInflation(inflation, NEWEST_WEIGHT, context.now());
        double objective = Math.max(1.0, request.objectiveAt() - request.arrivedAt());
        load.recordObjectiveRatio(Math.min(MAX_OBJECTIVE_RATIO, loadLatency / objective), NEWEST_WEIGHT);
        adjustLimit(server);
    }

    private void adjustLimit(ServerState server) {
        Load load = server.load();
        if (load.objectiveRatio() > TARGET_OBJECTIVE_RATIO) {
            load.limitTo(Math.max(settings.minLimit(), load.limit() - LIMIT_STEP));
            return;
        }
        boolean isUsed = load.attemptsInFlight() + 1 >= load.limit() * USED_SHARE;
        long sinceConnectionLimit = context.now() - server.connections().connectionsLimitedAt();
        if (isUsed && sinceConnectionLimit > Liveness.CONFIRMATION_VALIDITY) {
            load.limitTo(load.limit() + LIMIT_STEP);
        }
    }

    /**
     * Records a connection that was refused or not established in time. Networks reset single connections at random, so
     * only consecutive refusals, or slow failures, limit the server to the connections that are already open.
     */
    void learnConnectFailure(ServerState server, long duration) {
        boolean immediate = duration < HealthChecker.PROMPT_ANSWER;
        server.connections().recordConnectFailure(immediate, CONSECUTIVE_REFUSAL_WINDOW, context.now());
    }

    /** Limits the server to its attempts in flight if the current event limited its connections. */
    void limitAfterConnectFailure(ServerState server) {
        if (server.connections().connectionsLimitedAt() == context.now()) {
            limitToInFlight(server);
        }
    }

    /**
     * Records that the server rejected a request. The backoff doubles with each rejection and has jitter, so that not
     * all gateways retry at the same time.
     */
    void learnRejection(ServerState server) {
        ConnectionStatus connections = server.connections();
        long jitter = random.nextLong(HealthChecker.PROMPT_ANSWER);
        long backoff = 2 * connections.rejectionBackoff() + HealthChecker.PROMPT_ANSWER + jitter;
        connections.recordRejection(context.now(), Math.min(Liveness.CONFIRMATION_VALIDITY, backoff));
        limitToInFlight(server);
    }

    private void limitToInFlight(ServerState server) {
        Load load = server.load();
        load.limitTo(Math.max(settings.minLimit(), Math.min(load.limit(), load.attemptsInFlight())));
    }
}
