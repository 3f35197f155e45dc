package ploverdale.net.eventloop;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
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
 * The only caller of the {@link Router}: takes events from a queue, hands each to the router with the current time and has the
 * returned actions carried out in order. Never chooses, drops or reorders anything, and never lets the router see the clock go
 * back or a timer fire early. Times are tenths of a millisecond unless a name says otherwise. All methods but {@link #execute}
 * are to be called on the event loop.
 */
public final class RouterEventLoop {
    private static final long TENTHS_PER_MS = 10;

    /** From an event to its turn; usually it takes a small part of this. */
    private static final long DRAIN_LATE = 200;

    /** Between the turns of the loop that read on after a pause. */
    private static final long READ_ON_MS = 1;

    /** Turns that read on after a pause: one to accept the connection of a cancel request, one to read it. */
    private static final int READ_ON_TURNS = 3;

    /** Shorter pauses make no health check fail, so the router need not know of them. */
    private static final long REPORTED_PAUSE_MS = 50;

    /** A pause of the loop that is logged: half of what answers may be late. */
    private static final long LOGGED_PAUSE_MS = 250;

    private final Vertx vertx;
    private final Context context;
    private final Log log;
    private final Router router;
    private final Clock clock;
    private final LoopLag loopLag;
    private final Deque<Event> queue = new ArrayDeque<>();
    private boolean drainScheduled;
    private boolean lagBeforeFirst; // the loop was late before the first event in the queue was read
    private long firstQueuedAt;
    private long decidedAt;
    private OutboundActionHandler outbound;
    private ActionHandler actionHandler;

    /**
     * A loop that still needs {@link #setActionHandler}.
     *
     * @param quota what the router may spend of the limits that belong to all gateways, or null where there are none
     */
    public RouterEventLoop(Vertx vertx, Context context, Log log, Quota quota, Clock clock) {
        this.vertx = vertx;
        this.context = context;
        this.log = log;
        this.clock = clock;
        loopLag = new LoopLag(clock);
        router = new Router(quota);
        vertx.setPeriodic(LoopLag.TICK_MS, id -> onTick());
    }

    /**
     * Sets who carries out what reaches outside the gateway. To be called once, in the turn of the event loop in which this loop
     * was created: its parts need the loop, and the loop hands no event to the router before its next turn.
     */
    public void setActionHandler(OutboundActionHandler outbound) {
        this.outbound = outbound;
        actionHandler = new LoopActionHandler(vertx, log, clock, outbound, this::enqueue);
    }

    private void onTick() {
        loopLag.onTick();
        reportPause(loopLag.previousTick(), loopLag.lastTick());
        if (loopLag.lastInterval() > LOGGED_PAUSE_MS * TENTHS_PER_MS) {
            log.rateLimited(
                    "stood still", "for " + loopLag.lastInterval() / TENTHS_PER_MS + " ms"); // log line: on-call guide
        }
    }

    /**
     * For how long this loop has not run, 0 where it is on time. What is read after a pause may have arrived at its beginning,
     * and a client counts its timeout from its own sending.
     */
    public long lag() {
        return loopLag.lag();
    }

    /**
     * Queues an event; the router gets it right after what is being read now. Where the loop was late before that reading, or
     * becomes late between it and the router's turn, the loop reads on first: a request is read before the close or the cancel
     * request of its client, and no attempt may begin for a client that left meanwhile.
     */
    public void enqueue(Event event) {
        queue.add(event);
        if (drainScheduled) {
            return;
        }
        drainScheduled = true;
        lagBeforeFirst = lag() > 0;
        firstQueuedAt = clock.now();
        context.runOnContext(ignored -> drainOrReadOn());
    }

    private void drainOrReadOn() {
        if (lagBeforeFirst || clock.now() - firstQueuedAt > DRAIN_LATE) {
            readOn(READ_ON_TURNS);
        } else {
            drain();
        }
    }

    /** Drains the queue after that many timers, the first of which may fire in this very turn of the loop. */
    private void readOn(int turns) {
        if (turns == 0) {
            drain();
        } else {
            vertx.setTimer(READ_ON_MS, id -> readOn(turns - 1));
        }
    }

    /** Whether requests may still be written to this server; for attempts that had to wait for their connection. */
    public boolean mayReceive(ServerId server) {
        return router.mayReceive(server);
    }

    /** When the router decided on the action that is being carried out; time limits in it count from then. */
    public long decidedAt() {
        return decidedAt;
    }

    /** Runs a task on the event loop. May be called on any thread. */
    public void execute(Runnable task) {
        context.runOnContext(ignored -> task.run());
    }

    /** Whether the router has been handed all events. */
    public boolean isQueueEmpty() {
        return queue.isEmpty();
    }

    /** Has the router learn, before all that is queued, that this loop did not run from one time to the other. */
    private void reportPause(long lastRun, long now) {
        if (now - lastRun > (LoopLag.TICK_MS + REPORTED_PAUSE_MS) * TENTHS_PER_MS) {
            queue.addFirst(new Event.LoopDelayed(lastRun, now));
        }
    }

    private void drain() {
        drainScheduled = false;
        reportPause(loopLag.lastTick(), clock.now());
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
            // broad catch: a fault in one decision must not end service for all other requests
            log.fault("module fault on " + event.getClass().getSimpleName(), fault);
            if (event instanceof Event.RequestArrived arrival) { // an accepted request is answered all the same
                outbound.failRequest(new Action.FailRequest(arrival.request()));
            }
        }
    }
}
