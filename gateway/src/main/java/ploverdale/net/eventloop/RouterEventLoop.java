package ploverdale.net.eventloop;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.internal.ContextInternal;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import ploverdale.clock.Clock;
import ploverdale.log.Log;
import ploverdale.model.Action;
import ploverdale.model.ActionHandler;
import ploverdale.model.Event;
import ploverdale.model.OutboundActionHandler;
import ploverdale.model.Quota;
import ploverdale.model.ServerId;
import ploverdale.routing.Router;

/**
 * The only caller of the {@link Router}: takes events from a queue, passes each to the router with the current time,
 * and has the returned actions carried out in order. Makes no decisions, and never drops or reorders events or actions.
 * The router never sees the clock go back or a timer fire early. Times are tenths of a millisecond unless a name states
 * another unit. All methods except {@link #execute} are to be called on the event loop.
 */
public final class RouterEventLoop {
    private static final long TICKS_PER_MS = 10;

    /**
     * Maximum time from queueing an event to draining the queue, 20 ms; if it takes longer, the loop has been delayed
     * and reads again first. It usually takes a small part of this.
     */
    private static final long MAX_DRAIN_DELAY_TICKS = 200;

    /** Time between the turns of the loop in which it reads again after a pause. */
    private static final long READ_AGAIN_INTERVAL_MS = 1;

    /**
     * Number of timers that the loop runs before it drains the queue after a pause. The first may fire in the same
     * turn; then one turn accepts the connection of a cancel request, and one reads it.
     */
    private static final int READ_AGAIN_TIMERS = 3;

    /** Shorter pauses make no health check fail, so they are not reported to the router. */
    private static final long REPORTED_PAUSE_MS = 50;

    /**
     * Longer intervals between two runs of the timer are logged. It is half of the time by which answers may be late.
     */
    private static final long LOGGED_PAUSE_MS = 250;

    private final Vertx vertx;
    private final Context context;
    private final Log log;
    private final Router router;
    private final Clock clock;
    private final LoopLag loopLag;
    private final Deque<Event> queue = new ArrayDeque<>();
    private boolean drainScheduled;
    private boolean laggedBeforeFirstEvent; // whether the loop lagged before it read the first event in the queue
    private long firstQueuedAt;
    private long decidedAt;
    private OutboundActionHandler outbound;
    private ActionHandler actionHandler;

    /**
     * Creates a loop that still needs {@link #setActionHandler}.
     *
     * @param quota this gateway's part of the limits that all gateways share; null if there are none
     */
    public RouterEventLoop(Vertx vertx, Context context, Log log, Quota quota, Clock clock) {
        this.vertx = vertx;
        this.context = context;
        this.log = log;
        this.clock = clock;
        loopLag = new LoopLag(clock);
        router = new Router(quota);
        vertx.setPeriodic(LoopLag.SAMPLING_INTERVAL_MS, id -> onLagTimer());
    }

    /**
     * Sets the handler of the actions that reach outside the gateway. To be called once, in the turn of the event loop
     * in which this object was created. The handler cannot be passed to the constructor, since its components need this
     * object; no event reaches the router before the next turn.
     */
    public void setActionHandler(OutboundActionHandler outbound) {
        this.outbound = outbound;
        actionHandler = new LoopActionHandler(vertx, log, clock, outbound, this::enqueue);
    }

    private void onLagTimer() {
        loopLag.onTimer();
        reportPause(loopLag.previousFiredAt(), loopLag.lastFiredAt());
        if (loopLag.lastInterval() > LOGGED_PAUSE_MS * TICKS_PER_MS) {
            log.rateLimited(
                    "stood still", "for " + loopLag.lastInterval() / TICKS_PER_MS + " ms"); // log line: on-call guide
        }
    }

    /**
     * Returns the lag of the loop; 0 if it is on time. A request that is read after a pause may have arrived when the
     * pause began, and its client counts the timeout from when it sent the request.
     */
    public long lag() {
        return loopLag.lag();
    }

    /**
     * Queues an event for the router, which receives it after the current read. If the loop lagged before this read, or
     * lags before the queue is drained, the loop reads its sockets again first. A request is read before its client's
     * disconnect or cancel request, and no attempt may start for a client that has disconnected or cancelled meanwhile.
     */
    public void enqueue(Event event) {
        queue.add(event);
        if (drainScheduled) {
            return;
        }
        drainScheduled = true;
        laggedBeforeFirstEvent = lag() > 0;
        firstQueuedAt = clock.now();
        context.runOnContext(ignored -> drainOrReadAgain());
    }

    private void drainOrReadAgain() {
        if (laggedBeforeFirstEvent || clock.now() - firstQueuedAt > MAX_DRAIN_DELAY_TICKS) {
            readAgain(READ_AGAIN_TIMERS);
        } else {
            drain();
        }
    }

    /** Drains the queue after this number of timers; the first of them may fire in the current turn of the loop. */
    private void readAgain(int timersLeft) {
        if (timersLeft == 0) {
            drain();
        } else {
            vertx.setTimer(READ_AGAIN_INTERVAL_MS, id -> readAgain(timersLeft - 1));
        }
    }

    /**
     * Returns whether requests may be written to the server. Checked again for attempts that waited for a connection.
     */
    public boolean mayReceive(ServerId server) {
        return router.mayReceive(server);
    }

    /** Returns whether the server is the known primary of its group. Checked again like {@link #mayReceive}. */
    public boolean isPrimary(ServerId server) {
        return router.isPrimary(server);
    }

    /**
     * Returns when the router decided on the action that is being carried out; time limits in the action count from
     * then.
     */
    public long decidedAt() {
        return decidedAt;
    }

    /** Runs a task on the event loop. May be called on any thread. */
    public void execute(Runnable task) {
        context.runOnContext(ignored -> task.run());
    }

    /**
     * Runs a task after the loop has read its sockets again, whereas a task of {@link #execute} that is added by another
     * task may run before.
     */
    public void executeInNextTurn(Runnable task) {
        ((ContextInternal) context).nettyEventLoop().schedule(task, 0, TimeUnit.NANOSECONDS);
    }

    /** Returns whether the router has received all queued events. */
    public boolean isQueueEmpty() {
        return queue.isEmpty();
    }

    /**
     * If the loop did not run for long between the two times, queues an event that reports the pause before all
     * others.
     */
    private void reportPause(long lastRun, long now) {
        if (now - lastRun > (LoopLag.SAMPLING_INTERVAL_MS + REPORTED_PAUSE_MS) * TICKS_PER_MS) {
            queue.addFirst(new Event.LoopDelayed(lastRun, now));
        }
    }

    private void drain() {
        drainScheduled = false;
        reportPause(loopLag.lastFiredAt(), clock.now());
        for (Event event = queue.poll(); event != null; event = queue.poll()) {
            handle(event);
        }
    }

    private void handle(Event event) {
        try {
            decidedAt = clock.now();
            List<Action> actions = router.on(decidedAt, event);
            for (Action action : actions) {
                action.dispatchTo(actionHandler);
            }
        } catch (RuntimeException fault) {
            // broad catch: an exception in one decision must not stop service for all other requests
            log.fault("module fault on " + event.getClass().getSimpleName(), fault);
            if (event instanceof Event.RequestArrived arrival) { // an accepted request must be answered
                outbound.failRequest(new Action.FailRequest(arrival.request()));
            }
        }
    }
}
