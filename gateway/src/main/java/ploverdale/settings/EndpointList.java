package ploverdale.settings;

import java.net.InetSocketAddress;
import java.util.List;
import ploverdale.model.Endpoint;

/**
 * An endpoint list of the discovery agent, or an update of one.
 *
 * @param revision the revision of the list, which the agent increments with each change
 * @param complete whether this is the complete list; otherwise it has only the endpoints that changed since an earlier
 *     revision
 * @param entries the valid entries, in the agent's order
 * @param leftOut for each entry that was skipped because it is invalid, the reason
 */
public record EndpointList(long revision, boolean complete, List<Entry> entries, List<String> leftOut) {
    /**
     * One endpoint.
     *
     * @param endpoint its identity and state; its start time is that of the servers' wall clock
     * @param address where it accepts connections; may be null if it has been removed
     */
    public record Entry(Endpoint endpoint, InetSocketAddress address) {}
}
