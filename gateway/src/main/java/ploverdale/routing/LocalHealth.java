package ploverdale.routing;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.Iterator;
import ploverdale.model.Ticks;
import ploverdale.state.PendingRequest;
import ploverdale.state.ServerState;

/**
 * Local health awareness (as in Lifeguard for SWIM) with limited self-preservation (as in Eureka): decides which time
 * without answers is better explained by this gateway itself, or by something that delays all servers at once, than by
 * a single server. That is
 * <ul>
 *   <li>time in which this process did not run, as reported by its event loop;
 *   <li>time in which nearly all servers were unresponsive together, for at most {@link #MAX_COMMON_CAUSE_DURATION}.
 *       After that, their unresponsiveness is attributed to the servers again, whatever its cause, until most of them
 *       have answered or {@link #EPISODE_GAP} has passed without another sign of a common cause.
 * </ul>
 *
 * <p>Not thread-safe. Times are {@link Ticks}.
 */
final class LocalHealth {
    /**
     * How long the unresponsiveness of nearly all servers is attributed to a common cause. Together with the time until
     * it is noticed (100 ms) and the time without answers that is needed again after it (400 ms,
     * {@link OutlierDetector#MIN_UNRESPONSIVE_TIME}), it is shorter than any restart of a server (1.5 s).
     */
    static final long MAX_COMMON_CAUSE_DURATION = Ticks.ofMillis(500);

    /**
     * Time after the last sign of a common cause, after which the next sign begins a new episode if most servers have
     * not answered sooner.
     */
    static final long EPISODE_GAP = Ticks.ofMillis(5_000);

    /**
     * Share of the other servers that must be unresponsive at the same time. It is above two thirds, so that the loss
     * of two zones of three is not mistaken for a common cause, with a margin for single slow servers in addition.
     */
    private static final double COMMON_CAUSE_SHARE = 0.75;

    /** With fewer servers, unresponsiveness is never attributed to a common cause. */
    private static final int MIN_SERVERS = 4;
    /**
     * Time without answers after which a server counts as unresponsive; an answer that needs no work takes at most half
     * of this.
     */
    private static final long UNRESPONSIVE_AFTER = Ticks.ofMillis(100);
    /**
     * Number of missing answers after which a server counts as unresponsive. A single server exceeds it by chance once
     * in twenty times; nearly all servers at the same time never do.
     */
    private static final double MISSING_ANSWERS_THRESHOLD = 3;
    /**
     * Maximum number of explained spans that are remembered; they cover the last few seconds, and older ones no
     * longer explain anything.
     */
    private static final int MAX_SPANS = 64;

    /**
     * Time in which missing answers are explained by this gateway or by a common cause.
     *
     * @param from start of the span
     * @param until end of the span
     * @param backlogClearedAt when the backlog that built up in the span is assumed to have been worked off
     */
    private record ExplainedSpan(long from, long until, long backlogClearedAt) {}

    /** Ordered by time and disjoint. */
    private final Deque<ExplainedSpan> explained = new ArrayDeque<>();

    /** Whether most servers have answered since the last sign of a common cause. */
    private boolean episodeOver = true;

    private long episodeBegan;
    private long lastSignAt;

    /**
     * Records that this process did not run between two times. Spans are reported in order and may overlap earlier
     * ones.
     */
    void processDelayed(long from, long until) {
        explain(from, until, until + Math.min(until - from, MAX_COMMON_CAUSE_DURATION));
    }

    /** Returns how much of this span is explained by something other than a single server, in ticks. */
    long explainedIn(long from, long until) {
        long sum = 0;
        for (Iterator<ExplainedSpan> newestFirst = explained.descendingIterator(); newestFirst.hasNext(); ) {
            ExplainedSpan span = newestFirst.next();
            if (span.until <= from) {
                break;
            }
            sum += Math.max(0, Math.min(until, span.until) - Math.max(from, span.from));
        }
        return sum;
    }

    /**
     * Returns whether a wait over this span says nothing about the server. That is the case if at least half of it is
     * explained, or lies so soon after an explained span that the backlog of that span may not have been worked off
     * yet. That is assumed to take as long as the span, but at most {@link #MAX_COMMON_CAUSE_DURATION}.
     */
    boolean inconclusive(long from, long until) {
        long sum = 0;
        for (ExplainedSpan span : explained) {
            sum += Math.max(0, Math.min(until, span.backlogClearedAt) - Math.max(from, span.from));
        }
        return sum > 0 && 2 * sum >= until - from;
    }

    /**
     * Records that a server has not answered since a time, and returns whether a common cause explains that: nearly all
     * other servers have not answered either, and the common cause has not lasted too long yet. The span then counts as
     * explained.
     */
    boolean detectCommonCause(long now, ServerState unresponsiveServer, long since, Collection<ServerState> servers) {
        return nearlyAllUnresponsive(now, unresponsiveServer, since, servers) && recordSign(now, since);
    }

    /**
     * Records a sign of a common cause.
     *
     * @return whether the time since the episode began is short enough to attribute missing answers to the common cause
     */
    private boolean recordSign(long now, long since) {
        if (episodeOver || now - lastSignAt >= EPISODE_GAP) {
            episodeBegan = now;
            episodeOver = false;
        }
        lastSignAt = now;
        boolean hasCommonCause = now - episodeBegan < MAX_COMMON_CAUSE_DURATION;
        if (hasCommonCause) {
            explain(since, now, now + Math.min(UNRESPONSIVE_AFTER + now - episodeBegan, MAX_COMMON_CAUSE_DURATION));
        }
        return hasCommonCause;
    }

    /**
     * Looks for a common cause while the servers have been unresponsive only briefly, before any of them is suspected,
     * so that the servers that are the last to answer afterwards are not suspected because of that time. Has to be
     * called frequently.
     */
    void observe(long now, Collection<ServerState> servers) {
        if (!episodeOver && mostAnsweredSince(lastSignAt, servers)) {
            episodeOver = true;
        }
        int confirmed = 0;
        int unresponsive = 0;
        for (ServerState server : servers) {
            if (server.isConfirmedServing()) {
                confirmed++;
                unresponsive += answersAreMissing(server, now) ? 1 : 0;
            }
        }
        if (isNearlyAll(unresponsive, confirmed)) {
            recordSign(now, now - UNRESPONSIVE_AFTER);
        }
    }

    private static boolean mostAnsweredSince(long time, Collection<ServerState> servers) {
        int confirmed = 0;
        int answered = 0;
        for (ServerState server : servers) {
            if (server.isConfirmedServing()) {
                confirmed++;
                answered += server.liveness().respondedAt() > time ? 1 : 0;
            }
        }
        return 2 * answered > confirmed;
    }

    /** Returns whether the server has been unresponsive for a short time while it has attempts in flight. */
    private static boolean answersAreMissing(ServerState server, long now) {
        long respondedAt = server.liveness().respondedAt();
        if (server.load().inFlight().isEmpty() || now - respondedAt < UNRESPONSIVE_AFTER) {
            return false;
        }
        double inflation = Math.max(1, server.load().measuredInflation());
        double missing = 0;
        for (PendingRequest request : server.load().inFlight()) {
            long waited = now - Math.max(request.attemptStartedAt(), respondedAt);
            missing += waited / (request.usualLatency() * inflation);
        }
        return missing > MISSING_ANSWERS_THRESHOLD;
    }

    /**
     * Returns whether any time was explained recently. A server that has been unresponsive since then may well be
     * alive.
     */
    boolean explainedRecently(long now) {
        return !explained.isEmpty() && now - explained.getLast().until < EPISODE_GAP;
    }

    /**
     * Returns whether nearly all other servers have not answered since a time. A server that was never confirmed counts
     * only once its health check is overdue.
     */
    private static boolean nearlyAllUnresponsive(
            long now, ServerState unresponsiveServer, long since, Collection<ServerState> servers) {
        int others = 0;
        int unanswered = 0;
        for (ServerState server : servers) {
            if (server == unresponsiveServer || !server.isServing()) {
                continue;
            }
            boolean missing = unansweredSince(server, since, now);
            unanswered += missing ? 1 : 0;
            others += missing || server.isConfirmedServing() ? 1 : 0;
        }
        return isNearlyAll(unanswered, others);
    }

    private static boolean isNearlyAll(int unresponsive, int servers) {
        return servers >= MIN_SERVERS && unresponsive > COMMON_CAUSE_SHARE * servers;
    }

    /**
     * Returns whether the server has not answered since then, although a health check or an attempt has waited for at
     * least half of that time or a check timed out in it.
     */
    private static boolean unansweredSince(ServerState server, long since, long now) {
        if (server.liveness().respondedAt() >= since) {
            return false;
        }
        long overdue = now - (now - since) / 2;
        Iterator<PendingRequest> oldestFirst = server.load().inFlight().iterator();
        return server.liveness().checkMissedAt() >= since
                || server.healthCheck().isInFlight() && server.healthCheck().sentAt() <= overdue
                || oldestFirst.hasNext() && oldestFirst.next().attemptStartedAt() <= overdue;
    }

    /** Adds the part of a span that is not explained yet. */
    private void explain(long from, long until, long backlogClearedAt) {
        ExplainedSpan last = explained.peekLast();
        long begin = last == null ? from : Math.max(from, last.until);
        if (begin < until) {
            explained.addLast(new ExplainedSpan(begin, until, backlogClearedAt));
        }
        if (explained.size() > MAX_SPANS) {
            explained.removeFirst();
        }
    }
}
