package ploverdale.state;

import ploverdale.model.Event.RequestArrived;
import ploverdale.model.LoadReport;
import ploverdale.model.RequestClass;
import ploverdale.model.RequestClass.Consistency;
import ploverdale.model.RequestClass.Idempotence;
import ploverdale.model.RequestId;

/** One request from its arrival to its final answer, with its attempts so far. */
public final class PendingRequest {
    private static final int NO_ATTEMPT = -1;

    private final RequestArrived arrival;
    private final RequestClass requestClass;
    private final LatencyEstimate latency;
    private final long arrivedAt;
    private final long objectiveAt;
    private final boolean beyondShare;
    private long requiredPosition;

    private int attempts;
    private int attemptInFlight = NO_ATTEMPT;
    private ServerState lastServer;
    private long attemptStartedAt;
    private boolean attemptInSlowStart;
    private boolean earlyTimeout;
    private boolean cancelRequested;
    private boolean mayHaveRun;
    private long retryUntil = Long.MAX_VALUE;
    private ServerState firstPossibleExecutor;

    /**
     * A request without attempts.
     *
     * @param latency how long requests of its class take
     * @param objectiveAt the latency objective as a point in time
     * @param requiredPosition the log position that a replica must have reached; unknown where any will do
     * @param beyondShare whether its tenant has used up its agreed traffic
     */
    public PendingRequest(
            RequestArrived arrival,
            RequestClass requestClass,
            LatencyEstimate latency,
            long arrivedAt,
            long objectiveAt,
            long requiredPosition,
            boolean beyondShare) {
        this.arrival = arrival;
        this.requestClass = requestClass;
        this.latency = latency;
        this.arrivedAt = arrivedAt;
        this.objectiveAt = objectiveAt;
        this.requiredPosition = requiredPosition;
        this.beyondShare = beyondShare;
    }

    /** The request's name. */
    public RequestId id() {
        return arrival.request();
    }

    /** The request as it arrived. */
    public RequestArrived arrival() {
        return arrival;
    }

    /** What the class of the request promises and needs. */
    public RequestClass requestClass() {
        return requestClass;
    }

    /** How recent the data must be. */
    public Consistency consistency() {
        return requestClass.consistency();
    }

    /** Whether and how the request may run twice. */
    public Idempotence idempotence() {
        return requestClass.idempotence();
    }

    /** Whether the request is a write. */
    public boolean isWrite() {
        return requestClass.consistency() == Consistency.WRITE;
    }

    /** The latency that requests of this class usually have. */
    public double usualLatency() {
        return latency.usual();
    }

    /** How long requests of this class take. */
    public LatencyEstimate latency() {
        return latency;
    }

    /** When the request arrived. */
    public long arrivedAt() {
        return arrivedAt;
    }

    /** When the client's time is up. */
    public long timeoutAt() {
        return arrival.timeoutAt();
    }

    /** The latency objective as a point in time. */
    public long objectiveAt() {
        return objectiveAt;
    }

    /** Whether the tenant has used up its agreed traffic. */
    public boolean isBeyondShare() {
        return beyondShare;
    }

    /** The log position that a replica must have reached. */
    public long requiredPosition() {
        return requiredPosition;
    }

    /** A required position, if any, cannot be compared with positions any more; this later one is sure to include it. */
    public void redateRequiredPosition(long now) {
        if (requiredPosition != LoadReport.UNKNOWN_TIME) {
            requiredPosition = now;
        }
    }

    /** How many attempts were made. */
    public int attempts() {
        return attempts;
    }

    /** Whether an attempt was made before. */
    public boolean wasAttempted() {
        return attempts > 0;
    }

    /** The number of the attempt in flight; there must be one. */
    public int attemptInFlight() {
        return attemptInFlight;
    }

    /** Whether an attempt is in flight. */
    public boolean hasAttemptInFlight() {
        return attemptInFlight != NO_ATTEMPT;
    }

    /** Whether this is the attempt in flight. */
    public boolean isInFlight(int attempt) {
        return attemptInFlight == attempt;
    }

    /** The server of the latest attempt, or null. */
    public ServerState lastServer() {
        return lastServer;
    }

    /** When the latest attempt began. */
    public long attemptStartedAt() {
        return attemptStartedAt;
    }

    /** Whether the server was in slow start when the latest attempt was admitted. */
    public boolean isAttemptInSlowStart() {
        return attemptInSlowStart;
    }

    /** Takes note whether the server of the next attempt is in slow start. */
    public void setAttemptInSlowStart(boolean inSlowStart) {
        attemptInSlowStart = inSlowStart;
    }

    /** Whether the attempt in flight ends early so that a retry is in time; that retry is reserved. */
    public boolean hasEarlyTimeout() {
        return earlyTimeout;
    }

    /** An attempt begins. */
    public void startAttempt(ServerState server, boolean withEarlyTimeout, long now) {
        attemptInFlight = attempts;
        attempts++;
        lastServer = server;
        attemptStartedAt = now;
        cancelRequested = false;
        earlyTimeout = withEarlyTimeout;
    }

    /** The attempt in flight has ended and the request goes on. */
    public void endAttempt() {
        attemptInFlight = NO_ATTEMPT;
    }

    /** The retry that was reserved for the end of the attempt is reserved no longer. */
    public void clearEarlyTimeout() {
        earlyTimeout = false;
    }

    /** Marks the attempt in flight as cancelled; false where it was already or none is in flight. */
    public boolean requestCancel() {
        if (!hasAttemptInFlight() || cancelRequested) {
            return false;
        }
        cancelRequested = true;
        return true;
    }

    /** Whether an attempt may have had its effect. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** The first attempt that may have had its effect has ended; a retry is allowed until then. */
    public void recordPossibleRun(ServerState server, long retryAllowedUntil) {
        mayHaveRun = true;
        retryUntil = retryAllowedUntil;
        firstPossibleExecutor = server;
    }

    /** The attempt in flight, if any, counts as one that may have had its effect. */
    public void assumeAttemptRan() {
        mayHaveRun |= hasAttemptInFlight();
    }

    /** Until when a retry is allowed. */
    public long retryUntil() {
        return retryUntil;
    }

    /** The server of the first attempt that may have had its effect, or null. */
    public ServerState firstPossibleExecutor() {
        return firstPossibleExecutor;
    }

    /** Whether this is a read of any age that usually takes longer than this. */
    public boolean isUnboundedReadLongerThan(long span) {
        return requestClass.consistency() == Consistency.UNBOUNDED && latency.usual() > span;
    }
}
