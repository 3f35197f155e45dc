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
 * Asks the replicas how far a session's reads must reach, and routes the read with that position. Where no majority
 * answers in time, the read must reach the present of its arrival. Used on the event loop only.
 */
final class SessionPositionLookup {
    private final Log log;
    private final ClientRequests requests;
    private final ReplicaRequests replicas;
    private final ServerClock clock;
    private final Map<GroupId, Integer> lastWriters =
            new HashMap<>(); // number of the server of the last write seen here

    SessionPositionLookup(Log log, ClientRequests requests, ReplicaRequests replicas, ServerClock clock) {
        this.log = log;
        this.requests = requests;
        this.replicas = replicas;
        this.clock = clock;
    }

    /** Routes the read once its session's position is known, or cannot be. */
    void lookUp(RequestArrived read, String sessionKey) {
        long arrivedAt = clock.now();
        replicas.start(
                (store, now, packets) -> store.readPosition(now, Replicas.key(true, sessionKey), packets),
                result -> onPosition(read, result, arrivedAt));
    }

    /** A write to the group has succeeded at the server of that number. */
    void writeSucceeded(GroupId group, int server) {
        lastWriters.put(group, server);
    }

    private void onPosition(RequestArrived read, QuorumResult result, long arrivedAt) {
        boolean known = result.status() == Status.POSITION_KNOWN;
        int lastWriter = lastWriters.getOrDefault(read.group(), result.server());
        if (known && result.server() >= 0 && result.server() != lastWriter) {
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
                read.type(),
                read.tenant(),
                read.group(),
                read.session(),
                read.timeoutAt(),
                read.resubmitted(),
                read.expectedWork(),
                tokenAge);
    }
}
