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
 * Runs one graceful shutdown: asks {@link GracefulShutdown} every few milliseconds for the phase and applies it to the client
 * connections and the router. A request that is accepted meanwhile is answered before the end, whatever its own timeout. Used
 * on the event loop only, and once.
 */
public final class GracefulShutdownRunner {
    private static final long TENTHS_PER_MS = 10;
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long CHECK_INTERVAL_MS = 20;

    /** The platform kills the process no earlier than after the longest request timeout, counted up to this. */
    private static final long MAX_COUNTED_TIMEOUT_MS = 3000;

    /** How much longer than the longest request timeout the platform waits before it kills the process. */
    private static final long KILL_GRACE_MS = 700;

    private final Vertx vertx;
    private final Log log;
    private final RouterEventLoop loop;
    private final ClientConnections clients;
    private final Runnable leaveMembership;
    private final Clock clock;
    private final CountDownLatch finished;
    private final long beganAtMs;
    private final GracefulShutdown shutdown;

    /**
     * A shutdown that has not begun yet.
     *
     * @param leaveMembership tells the other gateways that this one leaves
     * @param longestTimeoutMs of all request classes
     * @param signalNanos when the signal arrived, by {@link Clock#nanos}; all times of the shutdown count from it
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
        beganAtMs = signalNanos / NANOS_PER_MS;
        long killedAfterMs = Math.min(longestTimeoutMs, MAX_COUNTED_TIMEOUT_MS) + KILL_GRACE_MS;
        shutdown = new GracefulShutdown(killedAfterMs, clients.requestsPerSecond());
    }

    /** What a shutdown acts on. */
    public record Parts(Vertx vertx, Log log, RouterEventLoop loop, ClientConnections clients, Clock clock) {}

    /** Begins; returns at once. */
    public void begin() {
        log.line("planned restart: " + clients.openConnections() + " connections, " + clients.requestsInFlight()
                + " ops in hand, serves on for " + shutdown.closeIdleByMs() + " ms or until few ask");
        long answerWithinMs = Math.max(1, shutdown.answerByMs() - passedMs());
        clients.capDeadlines(clock.now() + answerWithinMs * TENTHS_PER_MS);
        loop.enqueue(new Event.ShutdownBegun());
        // Requests from before the shutdown may have timeouts of their own that are later than the end.
        vertx.setTimer(answerWithinMs, id -> loop.enqueue(new Event.ShutdownDeadline()));
        leaveMembership.run();
        clients.onRequest(nowMs -> shutdown.onRequest(nowMs - beganAtMs));
        vertx.setPeriodic(CHECK_INTERVAL_MS, this::check);
    }

    private long passedMs() {
        return clock.monotonicMs() - beganAtMs;
    }

    private void check(long timer) {
        long passedMs = passedMs();
        if (passedMs >= shutdown.answerByMs()) {
            clients.rejectIncompleteMessages(); // at each check: a message may begin at any time
        }
        int openClients = clients.startedConnections() + clients.unflushedConnections();
        switch (shutdown.phaseAt(passedMs, openClients, clients.unansweredConnections())) {
            case CLOSING_IDLE -> clients.closeIdle();
            case ANSWERING -> {
                clients.stopReading();
                loop.enqueue(new Event.ShutdownDeadline());
            }
            case FINISHED -> {
                vertx.cancelTimer(timer);
                finish(passedMs);
            }
            default -> {} // SERVING: nothing changes
        }
    }

    private void finish(long passedMs) {
        clients.stopReading(); // before the process exits, which takes a moment
        log.line("planned restart: ends after " + passedMs + " ms, " + clients.requestsInFlight() + " ops unanswered, "
                + clients.openConnections() + " connections");
        finished.countDown();
    }
}
