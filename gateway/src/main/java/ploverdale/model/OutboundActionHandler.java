package ploverdale.model;

/** Carries out the actions that send something to a client, a server, discovery or another gateway. */
public interface OutboundActionHandler {

    /** Forwards a request to a server. */
    void startAttempt(Action.StartAttempt attempt);

    /** Cancels an attempt in flight. */
    void cancelAttempt(Action.CancelAttempt cancellation);

    /** Answers a request with a rejection. */
    void rejectRequest(Action.RejectRequest rejection);

    /** Answers a request with an error. */
    void failRequest(Action.FailRequest failure);

    /** Sends a health check. */
    void checkHealth(Action.CheckHealth check);

    /** Closes the idle connections to a server. */
    void closeIdleConnections(Action.CloseIdleConnections close);

    /** Starts watching the endpoint list. */
    void watchEndpoints(Action.WatchEndpoints watch);

    /** Sends a gossip datagram to another gateway. */
    void sendGossip(Action.SendGossip gossip);
}
