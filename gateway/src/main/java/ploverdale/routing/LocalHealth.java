package ploverdale.routing;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.Iterator;
import ploverdale.state.PendingRequest;
import ploverdale.state.ServerState;

/**
 * Local health awareness (as Lifeguard has it for SWIM) with a limited self-preservation (as Eureka has it): tells which time
 * without answers is better explained by this gateway itself, or by something that holds up all servers at once, than by the
 * single server. That is
 *
 * <ul>
 *   <li>time in which this process did not run, as reported by its event loop;
 *   <li>time in which nearly all servers were silent together, for {@link #DOUBT_MOST} at most. After that their silence
 *       counts as theirs again, whatever its cause, until most
 *       have answered or {@link #EPISODES_APART} without such a sign have passed.
 * </ul>
 *
 * Not thread-safe. Times are tenths of a millisecond.
 */
public final class LocalHealth {
    /**
     * How long the silence of nearly all servers is put down to a common cause. With the silence before it is noticed (100 ms)
     * and the one that is needed again after it (400 ms in the router) it is shorter than any restart of a server (1.5 s).
     */
    public static final long DOUBT_MOST = 5_000;

    /** So long after the last sign of a common cause the next one begins a new episode, if most have not answered sooner. */
    public static final long EPISODES_APART = 50_000;

    /**
     * Part of the other servers that must be silent together. Above two thirds, so that the loss of two zones of three is no
     * doubt, with a margin for single slow servers beside it.
     */
    private static final double NEARLY_ALL = 0.75;

    private static final int OTHERS_LEAST = 4; // silence of fewer servers is no sign of a common cause
    private static final long NOTICED_AFTER = 1_000; // 100 ms; what needs no work takes at most half of that
    private static final double ANSWERS_MISSING =
            3; // of a server, by chance once in twenty times; of nearly all, never
    private static final int SPANS_KEPT = 64; // those of the last seconds at the least; older ones explain nothing more

    /** Explained from one time until the other; what was held up meanwhile is worked off by the third. */
    private record Span(long from, long until, long workedOff) {}

    private final Deque<Span> explained = new ArrayDeque<>(); // ordered, not overlapping
    private boolean episodeOver = true;
    private long doubtSince;
    private long lastSign;

    /** This process did not run in this span; spans come in order and may overlap earlier ones. */
    public void processDelayed(long from, long until) {
        explain(from, until, until + Math.min(until - from, DOUBT_MOST));
    }

    /** How much of this span is explained without any single server. */
    public long explainedIn(long from, long until) {
        long sum = 0;
        for (Iterator<Span> i = explained.descendingIterator(); i.hasNext(); ) {
            Span s = i.next();
            if (s.until <= from) {
                break;
            }
            sum += Math.max(0, Math.min(until, s.until) - Math.max(from, s.from));
        }
        return sum;
    }

    /**
     * Whether what was awaited in this span says nothing of the server: half of the span or more is
     * explained, or comes so soon after explained time that what was held up meanwhile may not yet be worked off: that takes as
     * long again.
     */
    public boolean inconclusive(long from, long until) {
        long sum = 0;
        for (Iterator<Span> i = explained.descendingIterator(); i.hasNext(); ) {
            Span s = i.next();
            sum += Math.max(0, Math.min(until, s.workedOff) - Math.max(from, s.from));
        }
        return sum > 0 && 2 * sum >= until - from;
    }

    /**
     * Takes note that a server has not answered since then; true where nearly all others have not, either, which then explains
     * that span.
     */
    public boolean commonSilence(long now, ServerState silent, long since, Collection<ServerState> all) {
        if (!nearlyAllSilent(now, silent, since, all)) {
            return false;
        }
        return sign(now, since);
    }

    private boolean sign(long now, long since) {
        if (episodeOver || now - lastSign >= EPISODES_APART) {
            doubtSince = now;
            episodeOver = false;
        }
        lastSign = now;
        boolean doubt = now - doubtSince < DOUBT_MOST;
        if (doubt) {
            explain(since, now, now + Math.min(NOTICED_AFTER + now - doubtSince, DOUBT_MOST));
        }
        return doubt;
    }

    /**
     * Looks for a common silence while it is short, before any single server is suspected, so that those that answer last after
     * it are not judged by it. To be called often.
     */
    public void observe(long now, Collection<ServerState> all) {
        if (!episodeOver && mostAnsweredSince(lastSign, all)) {
            episodeOver = true;
        }
        int others = 0;
        int silent = 0;
        for (ServerState server : all) {
            if (server.isConfirmedServing()) {
                others++;
                silent += answersAreMissing(server, now) ? 1 : 0;
            }
        }
        if (isNearlyAll(silent, others)) {
            sign(now, now - NOTICED_AFTER);
        }
    }

    private static boolean mostAnsweredSince(long time, Collection<ServerState> all) {
        long others = all.stream().filter(ServerState::isConfirmedServing).count();
        return 2
                        * all.stream()
                                .filter(server -> server.isConfirmedServing()
                                        && server.liveness().respondedAt() > time)
                                .count()
                > others;
    }

    private static boolean answersAreMissing(ServerState server, long now) {
        if (server.load().inFlight().isEmpty() || now - server.liveness().respondedAt() < NOTICED_AFTER) {
            return false;
        }
        double missing = 0;
        for (PendingRequest request : server.load().inFlight()) {
            long waited =
                    now - Math.max(request.attemptStartedAt(), server.liveness().respondedAt());
            missing +=
                    waited / (request.usualLatency() * Math.max(1, server.load().measuredInflation()));
        }
        return missing > ANSWERS_MISSING;
    }

    /** Whether any time was explained so a short while ago; what has been silent since then may well be there. */
    public boolean explainedLately(long now) {
        return !explained.isEmpty() && now - explained.getLast().until < EPISODES_APART;
    }

    private static boolean nearlyAllSilent(long now, ServerState silent, long since, Collection<ServerState> all) {
        int others = 0;
        int unanswered = 0;
        for (ServerState server : all) {
            if (server == silent
                    || !server.lifecycle().isActive()
                    || server.ejection().isEjected()) {
                continue;
            }
            boolean missing = unansweredSince(server, since, now);
            unanswered += missing ? 1 : 0;
            others += missing || server.isConfirmedServing()
                    ? 1
                    : 0; // one never heard says nothing until its check is overdue
        }
        return isNearlyAll(unanswered, others);
    }

    private static boolean isNearlyAll(int silent, int others) {
        return others >= OTHERS_LEAST && silent > NEARLY_ALL * others;
    }

    /** No answer since then, to a check or a request that waits for half of that time or was given up in it. */
    private static boolean unansweredSince(ServerState server, long since, long now) {
        if (server.liveness().respondedAt() >= since) {
            return false;
        }
        long overdue = now - (now - since) / 2;
        Iterator<PendingRequest> oldest = server.load().inFlight().iterator();
        return server.liveness().checkMissedAt() >= since
                || server.healthCheck().isInFlight() && server.healthCheck().sentAt() <= overdue
                || oldest.hasNext() && oldest.next().attemptStartedAt() <= overdue;
    }

    private void explain(long from, long until, long workedOff) {
        Span last = explained.peekLast();
        long begin = last == null ? from : Math.max(from, last.until);
        if (begin < until) {
            explained.addLast(new Span(begin, until, workedOff));
        }
        if (explained.size() > SPANS_KEPT) {
            explained.removeFirst();
        }
    }
}
