package ploverdale.state;

import ploverdale.model.Event.RequestArrived;
import ploverdale.model.RequestClass;

/** All that this gateway holds about one op. Times in tenths of a millisecond. */
public final class PendingRequest {
    public final RequestArrived asked;
    public final RequestClass type;
    public final LatencyEstimate latency;
    public final long arrivedAt;
    public final long targetAt;
    public long needPosition;
    public boolean beyondShare;

    public int sends;
    public ServerState at;
    public int attemptInFlight = -1;
    public long sentAt;
    public boolean cold; // the server, when it was sent there
    public boolean calledOff;
    public boolean hasEarlyTimeout; // the attempt that is out, so that a retry is in time
    public boolean mayHaveRun;
    public long repeatUntil = Long.MAX_VALUE;
    public ServerState firstMaybeServer;

    public PendingRequest(
            RequestArrived asked, RequestClass type, LatencyEstimate latency, long arrivedAt, long targetAt) {
        this.asked = asked;
        this.type = type;
        this.latency = latency;
        this.arrivedAt = arrivedAt;
        this.targetAt = targetAt;
    }
}
