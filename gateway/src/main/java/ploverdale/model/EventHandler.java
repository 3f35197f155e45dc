package ploverdale.model;

/** Handles each kind of {@link Event}; called by {@link Event#dispatchTo}. */
public interface EventHandler {

    /** Called once, when the gateway starts. */
    void onStarted(Event.Started started);

    /** Called when discovery returned the endpoint list or its changes, or failed to. */
    void onEndpointUpdate(Event.EndpointUpdate update);

    /** Called when a client sent a request. */
    void onRequestArrived(Event.RequestArrived arrival);

    /** Called when the first part of a streamed response has arrived. */
    void onResponseStarted(Event.ResponseStarted response);

    /** Called when an attempt at a server has ended. */
    void onAttemptEnded(Event.AttemptEnded end);

    /** Called when the client of a request closed its connection or cancelled the request. */
    void onClientDisconnected(Event.ClientDisconnected disconnect);

    /** Called when a timer has expired. */
    void onTimerFired(Event.TimerFired timer);

    /** Called when the event loop runs again after a delay. */
    void onLoopDelayed(Event.LoopDelayed delay);

    /** Called when a health check has ended. */
    void onHealthCheckEnded(Event.HealthCheckEnded end);

    /** Called when a gossip datagram of another gateway has arrived. */
    void onGossipReceived(Event.GossipReceived gossip);

    /** Called when the graceful shutdown begins. */
    void onShutdownBegun(Event.ShutdownBegun shutdown);

    /** Called when every request in flight has to be answered at once, because the process is about to exit. */
    void onShutdownDeadline(Event.ShutdownDeadline deadline);

    /** Called when the offset of the servers' wall clock has changed or become unknown. */
    void onClockOffsetChanged(Event.ClockOffsetChanged change);
}
