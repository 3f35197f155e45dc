package ploverdale.net.client;

import ploverdale.model.Event;

/** Looks up what the gateways together recorded about a request, before the router decides about it. */
public interface RequestHistoryLookup {
    /**
     * Takes over a request that has arrived: passes it to the router once the lookup is done, or has it answered.
     *
     * @param key the first quoted value of the request's statement, or null
     */
    void onRequestArrived(Event.RequestArrived arrival, String key);
}
