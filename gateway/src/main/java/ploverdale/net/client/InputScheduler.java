package ploverdale.net.client;

import java.util.concurrent.TimeUnit;
import ploverdale.clock.Clock;
import ploverdale.limits.FairQueue;
import ploverdale.log.Log;
import ploverdale.net.eventloop.RouterEventLoop;

/**
 * Shares the event loop among the clients: runs the input of each session for a quantum at most, and that of all
 * sessions for a limited time before the loop reads its sockets and runs its timers again. Time is what is shared, so it
 * makes no difference what a client sends. Used on the event loop only.
 */
final class InputScheduler {
    /** How long the input of one session is run before that of another. */
    private static final long QUANTUM_NANOS = TimeUnit.MICROSECONDS.toNanos(500);

    /** How long input is run before the loop does anything else. */
    private static final long TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    /** Longer runs are logged; other clients' deadlines allow for a delay of 50 ms. */
    private static final long LOGGED_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Period in which input may be run immediately when it is read for {@link #TURN_NANOS} altogether. */
    private static final long IMMEDIATE_PERIOD_NANOS = 4 * TURN_NANOS;

    private final Log log;
    private final Clock clock;
    private final RouterEventLoop eventLoop;
    private final FairQueue<ClientSession> queue = new FairQueue<>();
    private boolean turnScheduled;
    private long immediateSince;
    private long immediateNanos;

    InputScheduler(Log log, Clock clock, RouterEventLoop eventLoop) {
        this.log = log;
        this.clock = clock;
        this.eventLoop = eventLoop;
    }

    /**
     * Runs input that has just been read, immediately if no more than a fair share of the loop has been used for that.
     * A connection that begins with much input has its turn after all clients that wait for their answers, however often
     * its client connects again.
     */
    void onInputRead(ClientSession session) {
        if (session.beginsWithMuchInput()) {
            runFor(0, session); // the startup message only
        } else if (!queue.isBacklogged(session) && mayRunImmediately()) {
            immediateNanos += runQuantum(session);
        } else {
            runLater(session);
        }
    }

    private boolean mayRunImmediately() {
        long now = clock.nanos();
        if (now - immediateSince > IMMEDIATE_PERIOD_NANOS) {
            immediateSince = now;
            immediateNanos = 0;
        }
        return immediateNanos < TURN_NANOS;
    }

    /** Runs a quantum of the session's input immediately, and the rest in later turns of the loop. */
    void runNow(ClientSession session) {
        runQuantum(session);
    }

    /** Runs the input of a session in a later turn of the loop. */
    void runLater(ClientSession session) {
        queue.add(session);
        scheduleTurn();
    }

    /** Forgets a session that is closed. */
    void remove(ClientSession session) {
        queue.remove(session);
    }

    /** Returns whether the session has input that is run in a later turn of the loop. */
    boolean isWaiting(ClientSession session) {
        return queue.contains(session);
    }

    private void scheduleTurn() {
        if (!turnScheduled) {
            turnScheduled = true;
            eventLoop.executeInNextTurn(this::runTurn);
        }
    }

    private void runTurn() {
        turnScheduled = false;
        long endsAt = clock.nanos() + TURN_NANOS;
        ClientSession session = queue.poll();
        while (session != null) {
            runQuantum(session);
            session = clock.nanos() - endsAt < 0 ? queue.poll() : null;
        }
        if (!queue.isEmpty()) {
            scheduleTurn();
        }
    }

    /** Runs input of the session; returns how long that took. */
    private long runQuantum(ClientSession session) {
        return runFor(QUANTUM_NANOS, session);
    }

    private long runFor(long quantumNanos, ClientSession session) {
        long beganAt = clock.nanos();
        boolean inputLeft = session.runInput(new Quantum(clock, beganAt + quantumNanos));
        if (inputLeft) {
            queue.addBacklogged(session);
            log.rateLimited(
                    "client sends faster than its share",
                    queue.backlogged() + " such clients"); // log line: on-call guide
            scheduleTurn();
        }
        long nanos = clock.nanos() - beganAt;
        if (nanos > LOGGED_NANOS) {
            log.rateLimited(
                    "long input of a client",
                    TimeUnit.NANOSECONDS.toMillis(nanos) + " ms without a break"); // log line: on-call guide
        }
        return nanos;
    }

    /** The time for which the input of one session may be run. */
    record Quantum(Clock clock, long endsAtNanos) {
        /** Returns whether the time is used up. */
        boolean isUsedUp() {
            return clock.nanos() - endsAtNanos >= 0;
        }
    }
}
