package ploverdale.net.peer;

import ploverdale.model.Event;

/** Looks up the replicated history of a request before the request is routed. */
public interface RequestHistoryLookup {
    /**
     * Routes or answers the request, at once or later. Does neither if the client disconnects in the meantime.
     *
     * @param sessionKey key of the client's session among the gateways; null if it has no session
     */
    void onRequestArrived(Event.RequestArrived request, String sessionKey);
}
