package ploverdale.model;

/**
 * This gateway's units of the limits that belong to all gateways together. The router acquires a unit before it spends it; who
 * holds which units is decided elsewhere. Not thread-safe.
 */
public interface Quota {
    /** Why a health check is sent. */
    enum HealthCheckReason {
        /** Its time has come. */
        PERIODIC,
        /** A request waits for its result. */
        ON_DEMAND,
        /** Something suggests a fault. */
        SUSPICION
    }

    /**
     * Acquires one request of a tenant's agreed traffic; false where none is to be had now.
     *
     * @param now the router's time, in tenths of a millisecond
     */
    boolean tryAcquireRequest(long now, TenantId tenant);

    /** After how long a request of this tenant may be acquired again, in tenths of a millisecond; 0 where it is not known. */
    long retryAfter(long now, TenantId tenant);

    /** Whether attempts in flight at a server are limited by quota; then a gateway's own limit need not be a part of a whole. */
    boolean limitsAttempts();

    /** Whether a further attempt at this server could be acquired now. */
    boolean hasAttempt(ServerId server, boolean inSlowStart);

    /** Acquires an attempt, to be returned by {@link #releaseAttempt}; false, and nothing to return, where none is to be had. */
    boolean tryAcquireAttempt(ServerId server, boolean inSlowStart);

    /** Returns an attempt that has ended; in slow start as it was when acquired. */
    void releaseAttempt(ServerId server, boolean inSlowStart);

    /** Whether a retry could be acquired now, beside so many that are reserved. */
    boolean hasRetry(int reserved);

    /** Acquires a retry; false where none is to be had now. */
    boolean tryAcquireRetry();

    /** Acquires a health check; false where none is to be had now. */
    boolean tryAcquireHealthCheck(HealthCheckReason reason);
}
