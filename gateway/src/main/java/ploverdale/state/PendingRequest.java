package ploverdale.state;

import ploverdale.model.Event.RequestArrived;
import ploverdale.model.LoadReport;
import ploverdale.model.RequestClass;
import ploverdale.model.RequestClass.Consistency;
import ploverdale.model.RequestClass.Idempotence;
import ploverdale.model.RequestId;

/** A request from its arrival to its final answer, with its attempts so far. */
public final class PendingRequest {
    private static final int NO_ATTEMPT = -1;

    private final RequestArrived arrival;
    private final RequestClass requestClass;
    private final LatencyEstimate latency;
    private final long arrivedAt;
    private final long objectiveAt;
    private final boolean beyondAgreedTraffic;
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
     * Creates a request without attempts.
     *
     * @param latency the latency estimate of its class
     * @param arrivedAt when the request arrived, in ticks
     * @param objectiveAt the latency objective as a point in time, in ticks
     * @param requiredPosition the log position that a replica must have reached; {@link LoadReport#UNKNOWN_TIME} if any
     *     will do
     * @param beyondAgreedTraffic whether its tenant has used up its agreed traffic
     */
    public PendingRequest(
            RequestArrived arrival,
            RequestClass requestClass,
            LatencyEstimate latency,
            long arrivedAt,
            long objectiveAt,
            long requiredPosition,
            boolean beyondAgreedTraffic) {
        this.arrival = arrival;
        this.requestClass = requestClass;
        this.latency = latency;
        this.arrivedAt = arrivedAt;
        this.objectiveAt = objectiveAt;
        this.requiredPosition = requiredPosition;
        this.beyondAgreedTraffic = beyondAgreedTraffic;
    }

    /** Returns the request id. */
    public RequestId id() {
        return arrival.request();
    }

    /** Returns the request as it arrived. */
    public RequestArrived arrival() {
        return arrival;
    }

    /** Returns the class of the request, which says what the request may and must do. */
    public RequestClass requestClass() {
        return requestClass;
    }

    /** Returns how recent the data must be. */
    public Consistency consistency() {
        return requestClass.consistency();
    }

    /** Returns whether, and under which condition, the request may run twice. */
    public Idempotence idempotence() {
        return requestClass.idempotence();
    }

    /** Returns whether the request is a write. */
    public boolean isWrite() {
        return requestClass.consistency() == Consistency.WRITE;
    }

    /** Returns whether this is a read whose data must not be older than some time. */
    public boolean isDataAgeLimited() {
        return !isWrite() && requestClass.consistency() != Consistency.UNBOUNDED;
    }

    /** Returns the latency that requests of this class usually have. */
    public double usualLatency() {
        return latency.usual();
    }

    /** Returns the latency estimate of the request class. */
    public LatencyEstimate latency() {
        return latency;
    }

    /** Returns when the request arrived. */
    public long arrivedAt() {
        return arrivedAt;
    }

    /** Returns when the client stops waiting. */
    public long timeoutAt() {
        return arrival.timeoutAt();
    }

    /** Returns the latency objective as a point in time. */
    public long objectiveAt() {
        return objectiveAt;
    }

    /** Returns whether the tenant has used up its agreed traffic. */
    public boolean isBeyondAgreedTraffic() {
        return beyondAgreedTraffic;
    }

    /** Returns the log position that a replica must have reached; {@link LoadReport#UNKNOWN_TIME} if any will do. */
    public long requiredPosition() {
        return requiredPosition;
    }

    /**
     * Replaces a required position that can no longer be compared with reported ones, by the current time, which is
     * sure to include it.
     */
    public void redateRequiredPosition(long now) {
        if (requiredPosition != LoadReport.UNKNOWN_TIME) {
            requiredPosition = now;
        }
    }

    /** Returns how many attempts have been made. */
    public int attempts() {
        return attempts;
    }

    /** Returns whether an attempt has been made. */
    public boolean wasAttempted() {
        return attempts > 0;
    }

    /** Returns the number of the attempt in flight, counted from 0; -1 if there is none. */
    public int attemptInFlight() {
        return attemptInFlight;
    }

    /** Returns whether an attempt is in flight. */
    public boolean hasAttemptInFlight() {
        return attemptInFlight != NO_ATTEMPT;
    }

    /** Returns whether the attempt of this number is the one in flight. */
    public boolean isInFlight(int attempt) {
        return attemptInFlight == attempt;
    }

    /** Returns the server of the latest attempt; null if there was none. */
    public ServerState lastServer() {
        return lastServer;
    }

    /** Returns when the latest attempt began. */
    public long attemptStartedAt() {
        return attemptStartedAt;
    }

    /** Returns whether the server was in slow start when the latest attempt was admitted. */
    public boolean isAttemptInSlowStart() {
        return attemptInSlowStart;
    }

    /** Records whether the server of the next attempt is in slow start. */
    public void setAttemptInSlowStart(boolean inSlowStart) {
        attemptInSlowStart = inSlowStart;
    }

    /** Returns whether the attempt in flight times out early to leave time for a retry, which is reserved for it. */
    public boolean hasEarlyTimeout() {
        return earlyTimeout;
    }

    /** Records the start of an attempt. */
    public void startAttempt(ServerState server, boolean withEarlyTimeout, long now) {
        attemptInFlight = attempts;
        attempts++;
        lastServer = server;
        attemptStartedAt = now;
        cancelRequested = false;
        earlyTimeout = withEarlyTimeout;
    }

    /** Records that the attempt in flight has ended without settling the request. */
    public void endAttempt() {
        attemptInFlight = NO_ATTEMPT;
    }

    /** Records that the retry reserved for the end of the attempt is no longer reserved. */
    public void clearEarlyTimeout() {
        earlyTimeout = false;
    }

    /**
     * Marks the attempt in flight as cancelled.
     *
     * @return false if it was already, or if none is in flight
     */
    public boolean requestCancel() {
        if (!hasAttemptInFlight() || cancelRequested) {
            return false;
        }
        cancelRequested = true;
        return true;
    }

    /** Returns whether an attempt may have taken effect at a server. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Records that the first attempt that may have taken effect at a server has ended.
     *
     * @param retryAllowedUntil until when a retry is allowed, in ticks
     */
    public void recordPossibleRun(ServerState server, long retryAllowedUntil) {
        mayHaveRun = true;
        retryUntil = retryAllowedUntil;
        firstPossibleExecutor = server;
    }

    /** Assumes that the attempt in flight, if any, has taken effect. */
    public void assumeAttemptRan() {
        mayHaveRun |= hasAttemptInFlight();
    }

    /** Returns until when a retry is allowed. */
    public long retryUntil() {
        return retryUntil;
    }

    /** Returns the server of the first attempt that may have taken effect; null if there was none. */
    public ServerState firstPossibleExecutor() {
        return firstPossibleExecutor;
    }

    /** Returns whether this is a read without a staleness bound that usually takes longer than this many ticks. */
    public boolean isUnboundedReadLongerThan(long span) {
        return requestClass.consistency() == Consistency.UNBOUNDED && latency.usual() > span;
    }
}
