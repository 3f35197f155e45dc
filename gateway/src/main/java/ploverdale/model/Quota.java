package ploverdale.model;

/**
 * This gateway's units of the limits that all gateways share. The router acquires a unit before it uses it;
 * implementations decide how the units are divided among the gateways. Times are {@link Ticks}. Not thread-safe.
 */
public interface Quota {
    /** Why a health check is sent. */
    enum HealthCheckReason {
        /** A periodic health check is due. */
        PERIODIC,
        /** A request is waiting for the result. */
        ON_DEMAND,
        /** Missing answers or failed attempts suggest that the server is faulty. */
        SUSPICION
    }

    /**
     * Acquires one request of a tenant's agreed traffic.
     *
     * @param now the router's current time
     * @return false if the tenant has none left at this time
     */
    boolean tryAcquireRequest(long now, TenantId tenant);

    /** Returns after how long a request of this tenant can be acquired again; 0 if that is not known. */
    long retryAfter(long now, TenantId tenant);

    /**
     * Whether this quota limits the attempts in flight at a server over all gateways. If so, a gateway's own
     * concurrency limit need not be divided by the number of gateways.
     */
    boolean limitsAttempts();

    /** Whether {@link #tryAcquireAttempt} would succeed now. */
    boolean hasAttempt(ServerId server, boolean inSlowStart);

    /**
     * Acquires an attempt at a server. It must be returned with {@link #releaseAttempt} when the attempt has ended.
     *
     * @param inSlowStart whether the server is in slow start
     * @return false if no attempt is available; nothing must be returned then
     */
    boolean tryAcquireAttempt(ServerId server, boolean inSlowStart);

    /**
     * Returns an attempt that has ended.
     *
     * @param inSlowStart the value that was passed to {@link #tryAcquireAttempt}
     */
    void releaseAttempt(ServerId server, boolean inSlowStart);

    /** Whether a retry could be acquired now in addition to {@code reserved} retries that are not acquired yet. */
    boolean hasRetry(int reserved);

    /** Acquires a retry; returns false if none is available now. */
    boolean tryAcquireRetry();

    /** Acquires a health check; returns false if none is available now. */
    boolean tryAcquireHealthCheck(HealthCheckReason reason);
}
