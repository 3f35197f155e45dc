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
 * Adaptive concurrency limit of each server, by additive increase and decrease (Chiu and Jain 1989): it grows while latency is a
 * small part of the requests' latency objective and the limit is used, and shrinks while it is not.
 */
final class ConcurrencyLimiter {
    /** Weight of the newest answer; the work of requests varies as much as its mean. */
    private static final double NEWEST_WEIGHT = 0.1;
    /** Mean latency as a part of the latency objective; latencies have long tails. */
    private static final double PRESSURE_GOAL = 0.35;
    /** The most that one answer counts as a part of the latency objective. */
    private static final double LARGEST_PRESSURE = 3;
    /** The most that one answer counts as latency inflation. */
    private static final double LARGEST_INFLATION = 8;
    /** Change a limit makes at each answer: about a fifth of an attempt in a round trip. */
    private static final double LIMIT_STEP = 0.2;
    /** A limit grows only where so much of it is used. */
    private static final double USED_SHARE = 0.7;
    /** Refusals of connections further apart are not in a row. */
    private static final long REFUSALS_IN_A_ROW_WITHIN = Ticks.ofMillis(500);

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
     * Whether a further attempt may be in flight. Counts only attempts begun since the server was last readmitted, since older
     * ones may never be answered; a server that just rejected one gets none.
     *
     * @param share the part of the limit that such requests may use
     */
    boolean hasCapacity(ServerState server, double share) {
        long now = context.now();
        return server.connections().isPastRejection(now)
                && server.countAttemptsSinceReadmission() < server.load().limit() * share
                && quota.hasAttempt(server.id(), slowStart.isInSlowStart(server, now));
    }

    /** A request was answered, or waited for as long without an answer. */
    void learnLatency(ServerState server, PendingRequest request, long latency) {
        learnLatency(server, request, latency, latency);
    }

    /** No answer came in time; one that was probably lost on its way counts less as load. */
    void learnMissingAnswer(ServerState server, PendingRequest request, long waited) {
        boolean lost = server.answerLoss().recordMissing();
        double expected = request.usualLatency() * server.load().measuredInflation();
        long latency = (long) Math.max(waited, expected);
        long loadLatency = lost ? Math.min(latency, (long) (AnswerLoss.loadOfLostAnswer() * expected)) : latency;
        learnLatency(server, request, latency, loadLatency);
    }

    private void learnLatency(ServerState server, PendingRequest request, long latency, long loadLatency) {
        Load load = server.load();
        request.latency().observe(latency, context.now());
        double inflation = Math.min(LARGEST_INFLATION, latency / request.usualLatency());
        load.recordInflation(inflation, NEWEST_WEIGHT, context.now());
        double objective = Math.max(1.0, request.objectiveAt() - request.arrivedAt());
        load.recordPressure(Math.min(LARGEST_PRESSURE, loadLatency / objective), NEWEST_WEIGHT);
        adjustLimit(server);
    }

    private void adjustLimit(ServerState server) {
        Load load = server.load();
        if (load.pressure() > PRESSURE_GOAL) {
            load.limitTo(Math.max(settings.minLimit(), load.limit() - LIMIT_STEP));
            return;
        }
        boolean isUsed = load.attemptsInFlight() + 1 >= load.limit() * USED_SHARE;
        long sinceConnectionLimit = context.now() - server.connections().connectionsLimitedAt();
        if (isUsed && sinceConnectionLimit > Liveness.CONFIRMATION_LASTS) {
            load.limitTo(load.limit() + LIMIT_STEP);
        }
    }

    /**
     * A connection was refused, or not made in time. Networks reset connections by chance: only refusals in a row, or slow
     * failures, limit the server to the connections that are open already.
     */
    void learnConnectFailure(ServerState server, long duration) {
        boolean immediate = duration < HealthChecker.PROMPT_ANSWER;
        server.connections().recordConnectFailure(immediate, REFUSALS_IN_A_ROW_WITHIN, context.now());
    }

    /** Limits a server whose connections failed in this event to the attempts that are in flight. */
    void limitAfterConnectFailure(ServerState server) {
        if (server.connections().connectionsLimitedAt() == context.now()) {
            limitToInFlight(server);
        }
    }

    /** The server rejected a request: it is tried ever more rarely, and not at the same time as by all other gateways. */
    void learnRejection(ServerState server) {
        ConnectionStatus connections = server.connections();
        long jitter = random.nextLong(HealthChecker.PROMPT_ANSWER);
        long backoff = 2 * connections.rejectionBackoff() + HealthChecker.PROMPT_ANSWER + jitter;
        connections.recordRejection(context.now(), Math.min(Liveness.CONFIRMATION_LASTS, backoff));
        limitToInFlight(server);
    }

    private void limitToInFlight(ServerState server) {
        Load load = server.load();
        load.limitTo(Math.max(settings.minLimit(), Math.min(load.limit(), load.attemptsInFlight())));
    }
}
