package ploverdale.net.peer;

import ploverdale.model.Event;

/** Looks up what the gateways know of a request's past, before the request is routed. */
public interface RequestHistoryLookup {
    /**
     * Has the request routed, at once or later, or answered, or neither where its client leaves meanwhile.
     *
     * @param sessionKey by which the gateways know the client's session, or null where it has none
     */
    void onRequestArrived(Event.RequestArrived request, String sessionKey);
}
