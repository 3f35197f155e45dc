package ploverdale.routing;

import java.util.function.Consumer;
import ploverdale.model.Event;
import ploverdale.model.EventHandler;

/**
 * Handles events until the gateway has received its settings with {@link Event.Started}, which replaces this handler.
 * Delays of the event loop are recorded, a request is an error of the caller, and all other events are ignored.
 */
final class BeforeStart implements EventHandler {
    private final LocalHealth localHealth;
    private final Consumer<Event.Started> start;

    BeforeStart(LocalHealth localHealth, Consumer<Event.Started> start) {
        this.localHealth = localHealth;
        this.start = start;
    }

    @Override
    public void onStarted(Event.Started started) {
        start.accept(started);
    }

    @Override
    public void onLoopDelayed(Event.LoopDelayed delay) {
        localHealth.processDelayed(delay.from(), delay.until());
    }

    @Override
    public void onEndpointUpdate(Event.EndpointUpdate update) {}

    /**
     * Always throws.
     *
     * @throws IllegalStateException so that the caller answers the request with an error
     */
    @Override
    public void onRequestArrived(Event.RequestArrived arrival) {
        throw new IllegalStateException("request before the start");
    }

    @Override
    public void onResponseStarted(Event.ResponseStarted response) {}

    @Override
    public void onAttemptEnded(Event.AttemptEnded end) {}

    @Override
    public void onClientDisconnected(Event.ClientDisconnected disconnect) {}

    @Override
    public void onTimerFired(Event.TimerFired timer) {}

    @Override
    public void onHealthCheckEnded(Event.HealthCheckEnded end) {}

    @Override
    public void onGossipReceived(Event.GossipReceived gossip) {}

    @Override
    public void onShutdownBegun(Event.ShutdownBegun shutdown) {}

    @Override
    public void onShutdownDeadline(Event.ShutdownDeadline deadline) {}

    @Override
    public void onClockOffsetChanged(Event.ClockOffsetChanged change) {}
}
