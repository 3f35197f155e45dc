package ploverdale.model;

/** Takes each kind of {@link Event}; called by {@link Event#dispatchTo}. */
public interface EventHandler {

    /** The gateway starts. */
    void onStarted(Event.Started started);

    /** Discovery returned the endpoint list or its changes. */
    void onEndpointUpdate(Event.EndpointUpdate update);

    /** A client sent a request. */
    void onRequestArrived(Event.RequestArrived arrival);

    /** A streamed response has begun. */
    void onResponseStarted(Event.ResponseStarted response);

    /** An attempt at a server has ended. */
    void onAttemptEnded(Event.AttemptEnded end);

    /** The client of a request has gone. */
    void onClientDisconnected(Event.ClientDisconnected disconnect);

    /** A timer that was set has expired. */
    void onTimerFired(Event.TimerFired timer);

    /** The event loop was held up. */
    void onLoopDelayed(Event.LoopDelayed delay);

    /** A health check has ended. */
    void onHealthCheckEnded(Event.HealthCheckEnded end);

    /** A datagram of another gateway has arrived. */
    void onGossipReceived(Event.GossipReceived gossip);

    /** The graceful shutdown begins. */
    void onShutdownBegun(Event.ShutdownBegun shutdown);

    /** Every request in flight has to be answered now. */
    void onShutdownDeadline(Event.ShutdownDeadline deadline);

    /** The servers' wall clock has another offset. */
    void onClockOffsetChanged(Event.ClockOffsetChanged change);
}
