package ploverdale.net.shutdown;

import io.vertx.core.Vertx;
import java.util.concurrent.CountDownLatch;
import ploverdale.clock.Clock;
import ploverdale.log.Log;
import ploverdale.model.Event;
import ploverdale.net.client.ClientConnections;
import ploverdale.net.eventloop.RouterEventLoop;
import ploverdale.shutdown.GracefulShutdown;

/**
 * Runs one graceful shutdown: queries {@link GracefulShutdown} for the phase every few milliseconds and applies it to
 * the client connections and the router. Every request accepted during the shutdown is answered before the process
 * exits, whatever its own timeout. Used on the event loop only, and once.
 */
public final class GracefulShutdownRunner {
    private static final long TICKS_PER_MS = 10;
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long CHECK_INTERVAL_MS = 20;

    /** Request timeouts beyond this do not postpone the kill of the process. */
    private static final long MAX_COUNTED_TIMEOUT_MS = 3000;

    /** How long after the longest request timeout the process is killed. */
    private static final long KILL_GRACE_MS = 700;

    private final Vertx vertx;
    private final Log log;
    private final RouterEventLoop loop;
    private final ClientConnections clients;
    private final Runnable leaveMembership;
    private final Clock clock;
    private final CountDownLatch finished;
    private final long signalAtMs;
    private final GracefulShutdown shutdown;

    /**
     * Creates a shutdown that has not begun yet.
     *
     * @param leaveMembership notifies the peers that this gateway leaves
     * @param longestTimeoutMs longest timeout of all request classes
     * @param signalNanos time of the signal by {@link Clock#nanos}, from which all times of the shutdown are measured
     * @param finished counted down when the process may exit
     */
    public GracefulShutdownRunner(
            Parts parts, Runnable leaveMembership, long longestTimeoutMs, long signalNanos, CountDownLatch finished) {
        vertx = parts.vertx();
        log = parts.log();
        loop = parts.loop();
        clients = parts.clients();
        clock = parts.clock();
        this.leaveMembership = leaveMembership;
        this.finished = finished;
        signalAtMs = signalNanos / NANOS_PER_MS;
        long killedAfterMs = Math.min(longestTimeoutMs, MAX_COUNTED_TIMEOUT_MS) + KILL_GRACE_MS;
        shutdown = new GracefulShutdown(killedAfterMs, clients.requestsPerSecond());
    }

    /** The objects on which a shutdown acts. */
    public record Parts(Vertx vertx, Log log, RouterEventLoop loop, ClientConnections clients, Clock clock) {}

    /** Begins the shutdown and returns at once. */
    public void begin() {
        log.line("planned restart: " + clients.openConnections() + " connections, " + clients.requestsInFlight()
                + " ops in hand, serves on for " + shutdown.closeIdleByMs() + " ms or until few ask");
        long answerWithinMs = Math.max(1, shutdown.answerByMs() - elapsedMs());
        clients.capDeadlines(clock.now() + answerWithinMs * TICKS_PER_MS);
        loop.enqueue(new Event.ShutdownBegun());
        clients.startServing(); // if the start is not complete, queries are held
        // Requests accepted before the shutdown may have deadlines after the exit of the process.
        vertx.setTimer(answerWithinMs, id -> loop.enqueue(new Event.ShutdownDeadline()));
        leaveMembership.run();
        clients.onRequest(nowMs -> shutdown.onRequest(nowMs - signalAtMs));
        vertx.setPeriodic(CHECK_INTERVAL_MS, this::check);
    }

    private long elapsedMs() {
        return clock.monotonicMs() - signalAtMs;
    }

    private void check(long timer) {
        long elapsedMs = elapsedMs();
        if (elapsedMs >= shutdown.answerByMs()) {
            clients.rejectIncompleteMessages(); // at each check, since a message may begin at any time
        }
        int openClients = clients.startedConnections() + clients.unflushedConnections();
        switch (shutdown.phaseAt(elapsedMs, openClients, clients.unansweredConnections())) {
            case CLOSING_IDLE -> clients.closeIdle();
            case ANSWERING -> {
                clients.stopReading();
                loop.enqueue(new Event.ShutdownDeadline());
            }
            case FINISHED -> {
                vertx.cancelTimer(timer);
                finish(elapsedMs);
            }
            default -> {} // SERVING requires no action
        }
    }

    private void finish(long elapsedMs) {
        clients.stopReading(); // what is read while the process exits could not be answered
        log.line("planned restart: ends after " + elapsedMs + " ms, " + clients.requestsInFlight() + " ops unanswered, "
                + clients.openConnections() + " connections");
        finished.countDown();
    }
}
