package ploverdale.net.eventloop;

import io.vertx.core.Vertx;
import java.util.function.Consumer;
import ploverdale.clock.Clock;
import ploverdale.log.Log;
import ploverdale.model.Action;
import ploverdale.model.ActionHandler;
import ploverdale.model.Event;
import ploverdale.model.OutboundActionHandler;

/**
 * Carries out the actions that concern the event loop itself, which are timers and log lines, and passes all others on.
 * Used on the event loop only.
 */
final class LoopActionHandler implements ActionHandler {
    private static final long TICKS_PER_MS = 10;

    private final Vertx vertx;
    private final Log log;
    private final Clock clock;
    private final OutboundActionHandler outbound;
    private final Consumer<Event> events;

    /**
     * @param outbound carries out all other actions
     * @param events receives an event for each timer that has fired
     */
    LoopActionHandler(Vertx vertx, Log log, Clock clock, OutboundActionHandler outbound, Consumer<Event> events) {
        this.vertx = vertx;
        this.log = log;
        this.clock = clock;
        this.outbound = outbound;
        this.events = events;
    }

    /**
     * {@inheritDoc}
     *
     * <p>Vert.x timers use another clock than the router. A timer that fires early by the router's clock is set again,
     * since the router sets each timer only once.
     */
    @Override
    public void setTimer(Action.SetTimer timer) {
        long delayMs = Math.max(1, (timer.at() - clock.now() + TICKS_PER_MS - 1) / TICKS_PER_MS);
        vertx.setTimer(delayMs, id -> {
            if (clock.now() < timer.at()) {
                setTimer(timer);
            } else {
                events.accept(new Event.TimerFired(timer.mark()));
            }
        });
    }

    @Override
    public void writeLogLine(Action.LogLine line) {
        log.line(line.text());
    }

    @Override
    public void startAttempt(Action.StartAttempt attempt) {
        outbound.startAttempt(attempt);
    }

    @Override
    public void cancelAttempt(Action.CancelAttempt cancellation) {
        outbound.cancelAttempt(cancellation);
    }

    @Override
    public void rejectRequest(Action.RejectRequest rejection) {
        outbound.rejectRequest(rejection);
    }

    @Override
    public void failRequest(Action.FailRequest failure) {
        outbound.failRequest(failure);
    }

    @Override
    public void checkHealth(Action.CheckHealth check) {
        outbound.checkHealth(check);
    }

    @Override
    public void closeIdleConnections(Action.CloseIdleConnections close) {
        outbound.closeIdleConnections(close);
    }

    @Override
    public void watchEndpoints(Action.WatchEndpoints watch) {
        outbound.watchEndpoints(watch);
    }

    @Override
    public void sendGossip(Action.SendGossip gossip) {
        outbound.sendGossip(gossip);
    }
}
