package ploverdale.net;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import ploverdale.Logic;
import ploverdale.log.Log;
import ploverdale.model.Action;
import ploverdale.model.Allotment;
import ploverdale.model.Event;

/**
 * Sole owner of the decision module: takes events from a queue, hands each to the module with the clock,
 * has the actions carried out in order, and keeps the wake-ups. Must never choose, drop or reorder anything,
 * and must never let the module see the clock go back or a wake-up come early.
 */
public final class LogicLoop {
    /** Those who carry out actions. */
    public interface Hands {
        void send(Action.Send send);

        void callOff(Action.CallOff callOff);

        void busyReply(Action.BusyReply reply);

        void errorReply(Action.ErrorReply reply);

        void probe(Action.Probe probe);

        void closeIdle(Action.CloseIdle close);

        void followList();

        void tell(Action.Tell tell);
    }

    private static final long TICK_MS = 10;
    private static final long READ_ON_MS = 1; // after a standstill, for what came during it
    private static final long STANDSTILL_MS = 250; // of the loop; half of what answers may be late

    private final Vertx vertx;
    private final Context context;
    private final Log log;
    private final Hands hands;
    private final Logic logic;
    private final Deque<Event> queue = new ArrayDeque<>();
    private boolean due;
    private long decidedAt;
    private long lastTick = Clock.now();
    private long tickBefore = lastTick;

    /** @param allotment what the module may spend of the fleet's budgets, or null */
    public LogicLoop(Vertx vertx, Context context, Log log, Hands hands, Allotment allotment) {
        logic = new Logic(allotment);
        this.vertx = vertx;
        this.context = context;
        this.log = log;
        this.hands = hands;
        vertx.setPeriodic(TICK_MS, x -> {
            tickBefore = lastTick;
            lastTick = Clock.now();
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
        return Math.max(0, Clock.now() - tickBefore - 3 * TICK_MS * 10);
    }

    /** Unix time in tenths of a millisecond, rounded down, as every machine reads it. */
    public static final class Clock {
        private static long last = Long.MIN_VALUE;

        private Clock() {}

        public static synchronized long now() {
            Instant t = Instant.now();
            last = Math.max(last, t.getEpochSecond() * 10_000 + t.getNano() / 100_000);
            return last;
        }
    }

    /**
     * Queues what happened; the module hears of it right after what is being read now. Guards against ops sent for clients
     * that went while this loop stood still: their requests are read first, their closes in the turn after it.
     */
    public void tell(Event h) {
        queue.add(h);
        if (!due) {
            due = true;
            if (behind() > 0) {
                // The first may come in this very turn of the loop, the second not before what is ready has been read.
                vertx.setTimer(READ_ON_MS, x -> vertx.setTimer(READ_ON_MS, y -> drain()));
            } else {
                context.runOnContext(x -> drain());
            }
        }
    }

    /** The time by which the module decided on the action that is being carried out; spans in it count from then. */
    public long decidedAt() {
        return decidedAt;
    }

    /** Runs what another thread wants done on the thread that owns all this. */
    public void run(Runnable what) {
        context.runOnContext(x -> what.run());
    }

    private void drain() {
        due = false;
        for (Event h = queue.poll(); h != null; h = queue.poll()) {
            try {
                decidedAt = Clock.now();
                for (Action a : logic.on(decidedAt, h)) {
                    act(a);
                }
            } catch (RuntimeException e) {
                log.fault("module fault on " + h.getClass().getSimpleName(), e);
                if (h instanceof Event.OpArrived a) {
                    hands.errorReply(new Action.ErrorReply(a.op())); // an op taken is answered all the same
                }
            }
        }
    }

    private void act(Action action) {
        if (action instanceof Action.Send a) {
            hands.send(a);
        } else if (action instanceof Action.CallOff a) {
            hands.callOff(a);
        } else if (action instanceof Action.BusyReply a) {
            hands.busyReply(a);
        } else if (action instanceof Action.ErrorReply a) {
            hands.errorReply(a);
        } else if (action instanceof Action.Wake a) {
            wakeAt(a);
        } else if (action instanceof Action.Probe a) {
            hands.probe(a);
        } else if (action instanceof Action.CloseIdle a) {
            hands.closeIdle(a);
        } else if (action instanceof Action.FollowList) {
            hands.followList();
        } else if (action instanceof Action.Tell a) {
            hands.tell(a);
        } else if (action instanceof Action.LogLine a) {
            log.line(a.text());
        }
    }

    /** Guards against timers that count another clock: an early one is set again, since the module asks once. */
    private void wakeAt(Action.Wake wake) {
        vertx.setTimer(Math.max(1, (wake.at() - Clock.now() + 9) / 10), x -> {
            if (Clock.now() < wake.at()) {
                wakeAt(wake);
            } else {
                tell(new Event.WakeUp(wake.mark()));
            }
        });
    }
}
