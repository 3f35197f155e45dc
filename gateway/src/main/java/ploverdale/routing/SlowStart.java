package ploverdale.routing;

import java.util.Collection;
import java.util.random.RandomGenerator;
import ploverdale.model.LoadReport;
import ploverdale.model.ServerGuarantees;
import ploverdale.model.Ticks;
import ploverdale.state.ServerState;
import ploverdale.state.SlowStartProgress;

/**
 * Slow start: limits what this gateway sends to a recovering server, so that the load from all gateways together stays
 * within the server's budget in each overload window. The budget is {@link ServerGuarantees#overloadMultiple} times the
 * usual traffic of a server, reduced in proportion to the server's present capacity. Gateways do not know what the
 * others send; each uses only its own part of the budget, in a token bucket that counts units of work. If the part of a
 * gateway is less than one request, it takes part in a lottery for a whole request (as in lottery scheduling,
 * Waldspurger and Weihl 1994): if each of a hundred gateways saved tokens until they suffice for a request, they could
 * send a hundred requests at once. Not thread-safe. Times and work are {@link Ticks}.
 */
final class SlowStart {
    /**
     * Fraction of the budget that the token buckets are refilled with in a window. A full bucket and the refill of a
     * whole window can be used in one window: together BUDGET_SHARE * (1 + BURST_SHARE) of the budget. The rest is left
     * for servers that are slower than others.
     */
    private static final double BUDGET_SHARE = 0.6;
    /** Size of a bucket as a fraction of a window's refill, apart from its part of the slack. */
    private static final double BURST_SHARE = 0.25;
    /** Fraction of the slack by which the buckets are larger; the rest covers random variation. */
    private static final double SLACK_SHARE = 0.4;
    /** How long a ticket won in the lottery admits a request, in windows. */
    private static final double TICKET_VALIDITY_WINDOWS = 0.5;
    /**
     * Minimum of a gateway's part, as a fraction of an equal part of the agreed traffic; applies if servers past slow
     * start get less from this gateway. Most of the budget follows the actual use.
     */
    private static final double GUARANTEED_SHARE = 0.5;
    /** Requests per window and server, over all gateways, that are assumed if the settings state no agreed traffic. */
    private static final double DEFAULT_REQUESTS_PER_WINDOW = 24;
    /** How often per window the work at servers past slow start is measured; it changes in the course of a window. */
    private static final double UPDATES_PER_WINDOW = 50;
    /** Budgets of fewer requests have a larger slack. */
    private static final double SMALL_BUDGET_REQUESTS = 30;

    private final ServerGuarantees guarantees;
    private final int gateways;
    private final double agreedRequestsPerWindow;
    private final RandomGenerator random;
    private double shortestCheckDuration = Double.MAX_VALUE;
    private int maxActiveServers = 1;
    private double meanWorkPastSlowStart;
    private boolean hasServerPastSlowStart;
    private long meanWorkMeasuredAt = LoadReport.UNKNOWN_TIME;

    /**
     * @param gateways the number of gateways that share the servers
     * @param requestsPerWindow the agreed traffic of all tenants at all servers, in requests per overload window
     */
    SlowStart(ServerGuarantees guarantees, int gateways, double requestsPerWindow, RandomGenerator random) {
        this.guarantees = guarantees;
        this.gateways = gateways;
        this.agreedRequestsPerWindow = requestsPerWindow;
        this.random = random;
    }

    /**
     * Returns the fraction of its full capacity that the server is guaranteed to have, from the start capacity up to 1.
     */
    double capacityFraction(ServerState server, long now) {
        double elapsedFraction = Math.max(
                0, (now - server.slowStart().coldSince()) / (double) Math.max(1, guarantees.slowStartDuration()));
        return Math.min(1, guarantees.startCapacity() + (1 - guarantees.startCapacity()) * elapsedFraction);
    }

    /** Whether the server is in slow start, that is, has not reached its full capacity yet. */
    boolean isInSlowStart(ServerState server, long now) {
        return capacityFraction(server, now) < 1;
    }

    /**
     * Whether a request may be sent to the server now. A lottery ticket that was won stays valid for a while, in case
     * the request is sent to another server after all.
     *
     * @param work the expected work of the request
     * @param meanWork the mean work of all requests
     * @param servers all known servers
     */
    boolean admits(ServerState server, double work, double meanWork, Collection<ServerState> servers, long now) {
        if (!isInSlowStart(server, now)) {
            return true;
        }
        SlowStartProgress progress = server.slowStart();
        if (progress.hasValidTicket(now)) {
            progress.skipRefill(now);
            return true;
        }
        double refill = refillPerWindow(server, meanWork, servers, now);
        double bucketSize = refill * BURST_SHARE + SLACK_SHARE * slack(server, now) * meanWork / gateways;
        progress.refill(refill, bucketSize, window(), now);
        return bucketSize >= work ? progress.tokens() >= work : playLottery(progress, work, now);
    }

    /**
     * Stakes all tokens of the bucket in a lottery for one request. The probability of winning a ticket is the fraction
     * of the request's work that the tokens cover, so that on average no more work is admitted than there are tokens.
     */
    private boolean playLottery(SlowStartProgress progress, double work, long now) {
        if (progress.tokens() <= 0) {
            return false;
        }
        boolean won = random.nextDouble() < progress.tokens() / work;
        if (won) {
            progress.winTicket(work, now + (long) (TICKET_VALIDITY_WINDOWS * window()));
        } else {
            progress.loseLottery();
        }
        return won;
    }

    /**
     * Returns the work that this gateway's bucket for the server is refilled with in a window. It is proportional to
     * the work that a server past slow start answered this gateway recently, so that the sum over all gateways follows
     * what such a server gets in total. If that is little, because the servers or this gateway are idle, it is
     * proportional to a fraction of an equal part of the agreed traffic, for which the servers' capacity is assumed to
     * suffice. If no server is past slow start, the whole equal part counts.
     */
    private double refillPerWindow(ServerState server, double meanWork, Collection<ServerState> servers, long now) {
        measureServersPastSlowStart(servers, now);
        double equalShare = agreedRequestsPerServer() * meanWork / gateways;
        double gatewayShare = hasServerPastSlowStart ? Math.max(meanWorkPastSlowStart, GUARANTEED_SHARE * equalShare) : equalShare;
        return BUDGET_SHARE * guarantees.overloadMultiple() * capacityFraction(server, now) * gatewayShare;
    }

    /** Returns the agreed traffic at a server past slow start, in requests per window over all gateways. */
    private double agreedRequestsPerServer() {
        return agreedRequestsPerWindow > 0 ? agreedRequestsPerWindow / maxActiveServers : DEFAULT_REQUESTS_PER_WINDOW;
    }

    /**
     * Returns the number of requests by which the load of a server in a window may exceed its budget, to allow for
     * random variation: three standard deviations of the number of requests for a small budget, two for a larger one.
     */
    private double slack(ServerState server, long now) {
        double budget = guarantees.overloadMultiple() * capacityFraction(server, now) * agreedRequestsPerServer();
        return budget < SMALL_BUDGET_REQUESTS ? 3 * Math.sqrt(budget) + 3 : 2 * Math.sqrt(budget) + 2;
    }

    private void measureServersPastSlowStart(Collection<ServerState> servers, long now) {
        if (now - meanWorkMeasuredAt < window() / UPDATES_PER_WINDOW) {
            return;
        }
        meanWorkMeasuredAt = now;
        int activeServers = 0;
        int pastSlowStart = 0;
        double totalWork = 0;
        for (ServerState server : servers) {
            activeServers += server.lifecycle().isActive() ? 1 : 0;
            if (server.isServing() && !isInSlowStart(server, now)) {
                pastSlowStart++;
                totalWork += recentWork(server, now);
            }
        }
        maxActiveServers = Math.max(maxActiveServers, activeServers); // servers of a failed zone will be listed again
        hasServerPastSlowStart = pastSlowStart > 0;
        meanWorkPastSlowStart = totalWork / Math.max(1, pastSlowStart);
    }

    /**
     * Returns the work of the server's answers to this gateway in about the last window; older answers have less
     * weight.
     */
    double recentWork(ServerState server, long now) {
        return server.slowStart().recentWork(window(), now);
    }

    /**
     * Called when the server answered an attempt.
     *
     * @param work the usual work of such a request
     */
    void recordAnswer(ServerState server, double work, long now) {
        server.slowStart().addWork(work, window(), now);
    }

    /**
     * Called when an attempt at the server begins, whether it is a first attempt or a retry.
     *
     * @param work the usual work of such a request
     */
    void recordAttempt(ServerState server, double work, long now) {
        charge(server, work, now);
        server.slowStart().useTicket(now);
    }

    /**
     * Called when the server answered a health check. The work of a health check is taken to be the shortest time in
     * which one was answered, since longer times include waiting.
     *
     * @param duration how long the health check took
     */
    void recordHealthCheckAnswer(ServerState server, long duration, long now) {
        shortestCheckDuration = Math.min(shortestCheckDuration, duration);
        charge(server, shortestCheckDuration, now);
    }

    private void charge(ServerState server, double work, long now) {
        if (isInSlowStart(server, now)) {
            server.slowStart().charge(work);
        }
    }

    private long window() {
        return Math.max(1, guarantees.overloadWindow());
    }
}
