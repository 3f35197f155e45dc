package ploverdale.settings;

import java.net.InetSocketAddress;
import java.util.List;
import ploverdale.model.Endpoint;

/**
 * An endpoint list of the discovery agent, or an update of one.
 *
 * @param revision the agent's count of changes
 * @param complete whether this is the complete list; otherwise only what has changed since an earlier revision
 * @param entries the usable entries, in the agent's order
 * @param leftOut for each entry that cannot be used, the reason
 */
public record EndpointList(long revision, boolean complete, List<Entry> entries, List<String> leftOut) {
    /**
     * One endpoint.
     *
     * @param endpoint its identity and state; its start is dated by the servers' wall clock
     * @param address where it is reached; may be null for one that has been removed
     */
    public record Entry(Endpoint endpoint, InetSocketAddress address) {}
}
