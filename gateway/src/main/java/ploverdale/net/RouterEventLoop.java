package ploverdale.net;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.Deque;
import ploverdale.clock.Clock;
import ploverdale.log.Log;
import ploverdale.model.Action;
import ploverdale.model.Event;
import ploverdale.model.Quota;
import ploverdale.model.ServerId;
import ploverdale.routing.Router;

/**
 * Sole owner of the decision module: takes events from a queue, hands each to the module with the clock,
 * has the actions carried out in order, and keeps the wake-ups. Must never choose, drop or reorder anything,
 * and must never let the module see the clock go back or a wake-up come early.
 */
public final class RouterEventLoop {
    /** Those who carry out actions. */
    public interface ActionHandler {
        void send(Action.StartAttempt send);

        void cancel(Action.CancelAttempt cancel);

        void rejectRequest(Action.RejectRequest reply);

        void failRequest(Action.FailRequest reply);

        void probe(Action.CheckHealth probe);

        void closeIdle(Action.CloseIdleConnections close);

        void watchEndpoints();

        void tell(Action.SendGossip tell);
    }

    private static final long TICK_MS = 10;
    private static final long LATE =
            200; // from an event to its turn, in tenths of a millisecond; usually a part of one
    private static final long READ_ON_MS = 1; // after a standstill, for what came during it
    private static final long DELAY_REPORTED_MS = 50; // shorter ones make no health check fail
    private static final int READ_ON_TURNS = 3; // one to accept the connection of a cancel message, one to read it
    private static final long STANDSTILL_MS = 250; // of the loop; half of what answers may be late

    private final Vertx vertx;
    private final Context context;
    private final Log log;
    private final ActionHandler actionHandler;
    private final Router router;
    private final Clock clock;
    private final Deque<Event> queue = new ArrayDeque<>();
    private boolean due;
    private boolean late; // the loop was held up before the first event in the queue was read
    private long firstQueuedAt;
    private long decidedAt;
    private long lastTick;
    private long tickBefore;

    /** @param quota what the module may spend of the fleet's budgets, or null */
    public RouterEventLoop(
            Vertx vertx, Context context, Log log, ActionHandler actionHandler, Quota quota, Clock clock) {
        this.clock = clock;
        lastTick = clock.now();
        tickBefore = lastTick;
        router = new Router(quota);
        this.vertx = vertx;
        this.context = context;
        this.log = log;
        this.actionHandler = actionHandler;
        vertx.setPeriodic(TICK_MS, x -> {
            tickBefore = lastTick;
            lastTick = clock.now();
            reportDelay(tickBefore, lastTick);
            if (lastTick - tickBefore > STANDSTILL_MS * 10) {
                log.often("stood still", "for " + (lastTick - tickBefore) / 10 + " ms");
            }
        });
    }

    /**
     * For how long this loop has stood still, in tenths of a millisecond. Guards against ops answered too late: what
     * is read after a standstill may have come at its beginning, and a client counts from its sending. The tick before the
     * last counts, since after a standstill the loop ticks once before it reads on.
     */
    public long behind() {
        return Math.max(0, clock.now() - tickBefore - 3 * TICK_MS * 10);
    }

    /**
     * Queues what happened; the module is handed it right after what is being read now. Where the loop was held up before that
     * reading, or is held up between it and this turn, it reads on first: a request is read before the close or the cancel
     * message of its client, and no attempt may begin for one that went meanwhile.
     */
    public void tell(Event h) {
        queue.add(h);
        if (!due) {
            due = true;
            late = behind() > 0;
            firstQueuedAt = clock.now();
            context.runOnContext(x -> drainOnTime());
        }
    }

    private void drainOnTime() {
        if (late || clock.now() - firstQueuedAt > LATE) {
            readOn(READ_ON_TURNS);
        } else {
            drain();
        }
    }

    /** Hands the module the queue after so many timers, the first of which may run in this very turn of the loop. */
    private void readOn(int turns) {
        if (turns == 0) {
            drain();
        } else {
            vertx.setTimer(READ_ON_MS, x -> readOn(turns - 1));
        }
    }

    /** Whether requests may still be written to this server; for attempts that had to wait for their connection. */
    public boolean mayReceive(ServerId server) {
        return router.mayReceive(server);
    }

    /** The time by which the module decided on the action that is being carried out; spans in it count from then. */
    public long decidedAt() {
        return decidedAt;
    }

    /** Runs what another thread wants done on the thread that owns all this. */
    public void run(Runnable what) {
        context.runOnContext(x -> what.run());
    }

    /** Has the module take into account, before all that is queued, that this loop did not run meanwhile. */
    private void reportDelay(long lastRun, long now) {
        if (now - lastRun > (TICK_MS + DELAY_REPORTED_MS) * 10) {
            queue.addFirst(new Event.LoopDelayed(lastRun, now));
        }
    }

    /** Whether the module has been handed all events. */
    public boolean isDrained() {
        return queue.isEmpty();
    }

    private void drain() {
        due = false;
        reportDelay(lastTick, clock.now());
        for (Event h = queue.poll(); h != null; h = queue.poll()) {
            try {
                decidedAt = clock.now();
                for (Action a : router.on(decidedAt, h)) {
                    act(a);
                }
            } catch (RuntimeException e) {
                log.fault("module fault on " + h.getClass().getSimpleName(), e);
                if (h instanceof Event.RequestArrived a) {
                    actionHandler.failRequest(
                            new Action.FailRequest(a.request())); // an op taken is answered all the same
                }
            }
        }
    }

    private void act(Action action) {
        if (action instanceof Action.StartAttempt a) {
            actionHandler.send(a);
        } else if (action instanceof Action.CancelAttempt a) {
            actionHandler.cancel(a);
        } else if (action instanceof Action.RejectRequest a) {
            actionHandler.rejectRequest(a);
        } else if (action instanceof Action.FailRequest a) {
            actionHandler.failRequest(a);
        } else if (action instanceof Action.SetTimer a) {
            wakeAt(a);
        } else if (action instanceof Action.CheckHealth a) {
            actionHandler.probe(a);
        } else if (action instanceof Action.CloseIdleConnections a) {
            actionHandler.closeIdle(a);
        } else if (action instanceof Action.WatchEndpoints) {
            actionHandler.watchEndpoints();
        } else if (action instanceof Action.SendGossip a) {
            actionHandler.tell(a);
        } else if (action instanceof Action.LogLine a) {
            log.line(a.text());
        }
    }

    /** Guards against timers that count another clock: an early one is set again, since the module asks once. */
    private void wakeAt(Action.SetTimer wake) {
        vertx.setTimer(Math.max(1, (wake.at() - clock.now() + 9) / 10), x -> {
            if (clock.now() < wake.at()) {
                wakeAt(wake);
            } else {
                tell(new Event.TimerFired(wake.mark()));
            }
        });
    }
}
