package ploverdale.net.peer;

import java.util.HashMap;
import java.util.Map;
import ploverdale.clock.ServerClock;
import ploverdale.log.Log;
import ploverdale.model.Event.RequestArrived;
import ploverdale.model.GroupId;
import ploverdale.replication.QuorumResult;
import ploverdale.replication.QuorumResult.Status;
import ploverdale.replication.Replicas;

/**
 * Reads from the replicas the position that a session's read must reach, and routes the read with that position. If no
 * majority answers in time, the position is the time at which the read arrived. Used on the event loop only.
 */
final class SessionPositionLookup {
    private final Log log;
    private final ClientRequests requests;
    private final ReplicaRequests replicas;
    private final ServerClock clock;
    /** The lower 16 bits of the hash of the server at which the last write through this gateway succeeded, by group. */
    private final Map<GroupId, Integer> lastWriteServers = new HashMap<>();

    SessionPositionLookup(Log log, ClientRequests requests, ReplicaRequests replicas, ServerClock clock) {
        this.log = log;
        this.requests = requests;
        this.replicas = replicas;
        this.clock = clock;
    }

    /** Routes the read when the lookup of its session's position has completed. */
    void lookUp(RequestArrived read, String sessionKey) {
        long arrivedAt = clock.now();
        replicas.start(
                (store, now, packets) -> store.readPosition(now, Replicas.key(true, sessionKey), packets),
                result -> onPosition(read, result, arrivedAt));
    }

    /**
     * Called when a write to the group has succeeded.
     *
     * @param server the lower 16 bits of the server's hash
     */
    void writeSucceeded(GroupId group, int server) {
        lastWriteServers.put(group, server);
    }

    private void onPosition(RequestArrived read, QuorumResult result, long arrivedAt) {
        boolean known = result.status() == Status.POSITION_KNOWN;
        int lastWriteServer = lastWriteServers.getOrDefault(read.group(), result.server());
        if (known && result.server() >= 0 && result.server() != lastWriteServer) {
            log.rateLimited(
                    "a session over a takeover",
                    "its last write was acked by another server than the group's last"); // log line: on-call guide
        }
        long position = known ? result.position() : clock.toWall(arrivedAt);
        long tokenAge = clock.tokenAge(clock.now(), position);
        if (requests.isPending(read.request())) {
            requests.route(withTokenAge(read, tokenAge));
        }
    }

    private static RequestArrived withTokenAge(RequestArrived read, long tokenAge) {
        return new RequestArrived(
                read.request(),
                read.requestClass(),
                read.tenant(),
                read.group(),
                read.session(),
                read.timeoutAt(),
                read.resubmitted(),
                read.expectedWork(),
                tokenAge);
    }
}
