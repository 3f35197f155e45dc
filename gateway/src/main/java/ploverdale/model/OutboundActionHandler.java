package ploverdale.model;

/** Carries out the actions that reach a client, a server, discovery or another gateway; part of {@link ActionHandler}. */
public interface OutboundActionHandler {

    /** Forwards a request to a server. */
    void startAttempt(Action.StartAttempt attempt);

    /** Gives up waiting for an attempt. */
    void cancelAttempt(Action.CancelAttempt cancellation);

    /** Answers a request with a rejection. */
    void rejectRequest(Action.RejectRequest rejection);

    /** Answers a request with an error. */
    void failRequest(Action.FailRequest failure);

    /** Sends a health check. */
    void checkHealth(Action.CheckHealth check);

    /** Closes the idle connections to a server. */
    void closeIdleConnections(Action.CloseIdleConnections close);

    /** Watches the endpoint list. */
    void watchEndpoints(Action.WatchEndpoints watch);

    /** Sends a datagram to another gateway. */
    void sendGossip(Action.SendGossip gossip);
}
