package ploverdale.routing;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.Iterator;
import ploverdale.model.Ticks;
import ploverdale.state.PendingRequest;
import ploverdale.state.ServerState;

/**
 * Local health awareness (as Lifeguard has it for SWIM) with a limited self-preservation (as Eureka has it): which time without
 * answers is better explained by this gateway itself, or by something that holds up all servers at once, than by the single
 * server. That is
 *
 * <ul>
 *   <li>time in which this process did not run, as reported by its event loop;
 *   <li>time in which nearly all servers were silent together (a common silence), for {@link #LONGEST_COMMON_CAUSE} at most. After
 *       that their silence counts as theirs again, whatever its cause, until most have answered or
 *       {@link #EPISODE_GAP} has passed without such a sign.
 * </ul>
 *
 * Not thread-safe. Times are {@link Ticks}.
 */
final class LocalHealth {
    /**
     * How long the silence of nearly all servers is put down to a common cause. Together with the silence before it is noticed
     * (100 ms) and the one that is needed again after it (400 ms, {@link OutlierDetector#MIN_SILENCE}) it is shorter than any
     * restart of a server (1.5 s).
     */
    static final long LONGEST_COMMON_CAUSE = Ticks.ofMillis(500);

    /** So long after the last sign of a common cause the next one begins a new episode, if most have not answered sooner. */
    static final long EPISODE_GAP = Ticks.ofMillis(5_000);

    /**
     * Part of the other servers that must be silent together. Above two thirds, so that the loss of two zones of three is not
     * taken for a common cause, with a margin for single slow servers beside it.
     */
    private static final double NEARLY_ALL = 0.75;

    /** The silence of fewer servers is no sign of a common cause. */
    private static final int FEWEST_SERVERS = 4;
    /** An answer that needs no work takes at most half of this. */
    private static final long NOTICED_AFTER = Ticks.ofMillis(100);
    /** Answers that must be missing: of one server, by chance once in twenty times; of nearly all, never. */
    private static final double ANSWERS_MISSING = 3;
    /** Enough for the last seconds; older spans explain nothing more. */
    private static final int SPANS_KEPT = 64;

    /** Explained from one time until another; what was held up meanwhile is worked off by the third. */
    private record ExplainedSpan(long from, long until, long workedOffAt) {}

    private final Deque<ExplainedSpan> explained = new ArrayDeque<>(); // ordered, not overlapping
    private boolean episodeOver = true;
    private long episodeBegan;
    private long lastSignAt;

    /** This process did not run in this span; spans come in order and may overlap earlier ones. */
    void processDelayed(long from, long until) {
        explain(from, until, until + Math.min(until - from, LONGEST_COMMON_CAUSE));
    }

    /** How much of this span is explained without any single server. */
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
     * Whether what was awaited in this span says nothing of the server: half of the span or more is explained, or comes so soon
     * after explained time that what was held up meanwhile may not yet be worked off, which takes as long again.
     */
    boolean inconclusive(long from, long until) {
        long sum = 0;
        for (ExplainedSpan span : explained) {
            sum += Math.max(0, Math.min(until, span.workedOffAt) - Math.max(from, span.from));
        }
        return sum > 0 && 2 * sum >= until - from;
    }

    /**
     * Takes note that a server has not answered since then; true where nearly all others have not, either, which then explains
     * that span.
     */
    boolean commonSilence(long now, ServerState silentServer, long since, Collection<ServerState> servers) {
        return nearlyAllSilent(now, silentServer, since, servers) && recordSign(now, since);
    }

    private boolean recordSign(long now, long since) {
        if (episodeOver || now - lastSignAt >= EPISODE_GAP) {
            episodeBegan = now;
            episodeOver = false;
        }
        lastSignAt = now;
        boolean hasCommonCause = now - episodeBegan < LONGEST_COMMON_CAUSE;
        if (hasCommonCause) {
            explain(since, now, now + Math.min(NOTICED_AFTER + now - episodeBegan, LONGEST_COMMON_CAUSE));
        }
        return hasCommonCause;
    }

    /**
     * Looks for a common silence while it is short, before any single server is suspected, so that those that answer last after
     * it are not judged by it. To be called often.
     */
    void observe(long now, Collection<ServerState> servers) {
        if (!episodeOver && mostAnsweredSince(lastSignAt, servers)) {
            episodeOver = true;
        }
        int confirmed = 0;
        int silent = 0;
        for (ServerState server : servers) {
            if (server.isConfirmedServing()) {
                confirmed++;
                silent += answersAreMissing(server, now) ? 1 : 0;
            }
        }
        if (isNearlyAll(silent, confirmed)) {
            recordSign(now, now - NOTICED_AFTER);
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

    private static boolean answersAreMissing(ServerState server, long now) {
        long respondedAt = server.liveness().respondedAt();
        if (server.load().inFlight().isEmpty() || now - respondedAt < NOTICED_AFTER) {
            return false;
        }
        double inflation = Math.max(1, server.load().measuredInflation());
        double missing = 0;
        for (PendingRequest request : server.load().inFlight()) {
            long waited = now - Math.max(request.attemptStartedAt(), respondedAt);
            missing += waited / (request.usualLatency() * inflation);
        }
        return missing > ANSWERS_MISSING;
    }

    /** Whether any time was explained so a short while ago; what has been silent since then may well be there. */
    boolean explainedLately(long now) {
        return !explained.isEmpty() && now - explained.getLast().until < EPISODE_GAP;
    }

    /** A server that was never confirmed says nothing until its health check is overdue. */
    private static boolean nearlyAllSilent(
            long now, ServerState silentServer, long since, Collection<ServerState> servers) {
        int others = 0;
        int unanswered = 0;
        for (ServerState server : servers) {
            if (server == silentServer || !server.isServing()) {
                continue;
            }
            boolean missing = unansweredSince(server, since, now);
            unanswered += missing ? 1 : 0;
            others += missing || server.isConfirmedServing() ? 1 : 0;
        }
        return isNearlyAll(unanswered, others);
    }

    private static boolean isNearlyAll(int silent, int servers) {
        return servers >= FEWEST_SERVERS && silent > NEARLY_ALL * servers;
    }

    /** No answer since then, to a check or a request that waits for half of that time or was given up in it. */
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

    private void explain(long from, long until, long workedOffAt) {
        ExplainedSpan last = explained.peekLast();
        long begin = last == null ? from : Math.max(from, last.until);
        if (begin < until) {
            explained.addLast(new ExplainedSpan(begin, until, workedOffAt));
        }
        if (explained.size() > SPANS_KEPT) {
            explained.removeFirst();
        }
    }
}
