package ploverdale.routing;

import java.util.Collection;
import java.util.random.RandomGenerator;
import ploverdale.model.LoadReport;
import ploverdale.model.ServerGuarantees;
import ploverdale.model.Ticks;
import ploverdale.state.ServerState;
import ploverdale.state.SlowStartProgress;

/**
 * Slow start: limits what this gateway sends to a recovering server, so that all gateways together stay within what the contract
 * lets the server bear in each window. No gateway knows what the others send. Each spends only its own part of that budget, as a
 * token bucket in units of work. A gateway whose part is less than one request plays a lottery for a whole one (as in lottery
 * scheduling, Waldspurger and Weihl 1994), since the saved-up parts of a hundred gateways would be a hundred requests at once. Not
 * thread-safe. Times and work are {@link Ticks}.
 */
final class SlowStart {
    /**
     * Part of the budget that is planned for. A full bucket and a window's refill may meet in one window: together
     * BUDGET_SHARE * (1 + BURST) of the budget; the rest is for servers that are slower than their peers.
     */
    private static final double BUDGET_SHARE = 0.6;
    /** Part of a window's refill, which the bucket holds at most. */
    private static final double BURST = 0.25;
    /** Part of the rule's slack, which the bucket holds besides; the rest is for chance. */
    private static final double SLACK_SHARE = 0.4;
    /** How long a ticket that was won admits a request, in windows. */
    private static final double TICKET_LASTS = 0.5;
    /** Part of the equal part that is kept where peers take less; most of the budget goes by use. */
    private static final double AGREED_SHARE = 0.5;
    /** Requests a window and server, over all gateways, where the settings name none. */
    private static final double DEFAULT_AGREED = 24;
    /** How often the work of peers is measured, which changes over a window. */
    private static final double UPDATES_PER_WINDOW = 50;
    /** Budgets of fewer requests have the larger slack. */
    private static final double SMALL_BUDGET = 30;

    private final ServerGuarantees contract;
    private final int gateways;
    private final double agreedPerWindow;
    private final RandomGenerator random;
    private double shortestCheck = Double.MAX_VALUE;
    private int mostActiveServers = 1;
    private double workOfPeers;
    private boolean hasWarmPeers;
    private long workOfPeersAt = LoadReport.UNKNOWN_TIME;

    /**
     * @param gateways that share the servers
     * @param requestsPerWindow of all tenants at all servers, as agreed, in the contract's overload window
     */
    SlowStart(ServerGuarantees contract, int gateways, double requestsPerWindow, RandomGenerator random) {
        this.contract = contract;
        this.gateways = gateways;
        this.agreedPerWindow = requestsPerWindow;
        this.random = random;
    }

    /** The part of its capacity that a server has by the contract, from its start capacity up to 1. */
    double slowStartFraction(ServerState server, long now) {
        double share = Math.max(
                0, (now - server.slowStart().coldSince()) / (double) Math.max(1, contract.slowStartDuration()));
        return Math.min(1, contract.startCapacity() + (1 - contract.startCapacity()) * share);
    }

    /** Whether the server has not yet reached its full capacity. */
    boolean isWarmingUp(ServerState server, long now) {
        return slowStartFraction(server, now) < 1;
    }

    /**
     * Whether a request may go to the server now. A ticket that was won stays valid for a moment, for the case that another server is
     * chosen.
     *
     * @param work that the request is expected to take
     * @param meanWork of a request
     * @param servers all that are known
     */
    boolean admits(ServerState server, double work, double meanWork, Collection<ServerState> servers, long now) {
        if (!isWarmingUp(server, now)) {
            return true;
        }
        SlowStartProgress progress = server.slowStart();
        if (progress.hasValidTicket(now)) {
            progress.skipRefill(now);
            return true;
        }
        double refill = refillPerWindow(server, meanWork, servers, now);
        double bucketSize = refill * BURST + SLACK_SHARE * slack(server, now) * meanWork / gateways;
        progress.refill(refill, bucketSize, window(), now);
        return bucketSize >= work ? progress.tokens() >= work : playLottery(progress, work, now);
    }

    private boolean playLottery(SlowStartProgress progress, double work, long now) {
        if (progress.tokens() <= 0) {
            return false;
        }
        boolean won = random.nextDouble() < progress.tokens() / work;
        if (won) {
            progress.winTicket(work, now + (long) (TICKET_LASTS * window()));
        } else {
            progress.loseLottery();
        }
        return won;
    }

    /**
     * This gateway's part of the planned work at the server in a window. Of a warm server's capacity it has as much as a warm
     * peer took from it lately, so that the sum over the gateways is what peers take in all; and, for idle peers and idle
     * gateways, a share of the equal part of the agreed traffic, for which the servers are taken to be enough. Without a warm
     * peer there is only the equal part.
     */
    private double refillPerWindow(ServerState server, double meanWork, Collection<ServerState> servers, long now) {
        measurePeers(servers, now);
        double equalPart = agreedPerServer() * meanWork / gateways;
        double part = hasWarmPeers ? Math.max(workOfPeers, AGREED_SHARE * equalPart) : equalPart;
        return BUDGET_SHARE * contract.overloadMultiple() * slowStartFraction(server, now) * part;
    }

    /** Requests a window, at a warm server. */
    private double agreedPerServer() {
        return agreedPerWindow > 0 ? agreedPerWindow / mostActiveServers : DEFAULT_AGREED;
    }

    /** What the rule allows beyond the budget of a window, for chance, in requests: less of it, the larger the budget. */
    private double slack(ServerState server, long now) {
        double budget = contract.overloadMultiple() * slowStartFraction(server, now) * agreedPerServer();
        return budget < SMALL_BUDGET ? 3 * Math.sqrt(budget) + 3 : 2 * Math.sqrt(budget) + 2;
    }

    private void measurePeers(Collection<ServerState> servers, long now) {
        if (now - workOfPeersAt < window() / UPDATES_PER_WINDOW) {
            return;
        }
        workOfPeersAt = now;
        int listed = 0;
        int warm = 0;
        double sum = 0;
        for (ServerState server : servers) {
            listed += server.lifecycle().isActive() ? 1 : 0;
            if (server.isServing() && !isWarmingUp(server, now)) {
                warm++;
                sum += recentWork(server, now);
            }
        }
        mostActiveServers = Math.max(mostActiveServers, listed); // those of a lost zone come back
        hasWarmPeers = warm > 0;
        workOfPeers = sum / Math.max(1, warm);
    }

    /** The work that the server has answered in the last window, with older answers fading out. */
    double recentWork(ServerState server, long now) {
        return server.slowStart().recentWork(window(), now);
    }

    /** An attempt was answered, which takes this work as a rule. */
    void answered(ServerState server, double work, long now) {
        server.slowStart().addWork(work, window(), now);
    }

    /** An attempt goes to the server, first or further. */
    void attempted(ServerState server, double work, long now) {
        charge(server, work, now);
        server.slowStart().useTicket(now);
    }

    /** A health check was answered. None takes more work than the shortest one took time. */
    void healthCheckAnswered(ServerState server, long took, long now) {
        shortestCheck = Math.min(shortestCheck, took);
        charge(server, shortestCheck, now);
    }

    private void charge(ServerState server, double work, long now) {
        if (isWarmingUp(server, now)) {
            server.slowStart().charge(work);
        }
    }

    private long window() {
        return Math.max(1, contract.overloadWindow());
    }
}
