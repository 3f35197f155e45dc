package ploverdale.quota;

import java.util.OptionalInt;
import java.util.function.LongSupplier;
import ploverdale.gossip.ServerHash;
import ploverdale.model.Quota;
import ploverdale.model.ServerId;
import ploverdale.model.TenantId;

/**
 * The quota that the router uses where gateways share limits: finds the limits against which an acquisition counts and
 * acquires a unit of each. Whatever is not shared is limited by {@link StaticQuota}.
 *
 * <p>Not thread-safe: called only on the thread of the event loop.
 */
final class SharedQuota implements Quota {
    private final SharedLimitTable limits;
    private final QuotaProtocol protocol;
    private final StaticQuota unshared;
    private final LongSupplier clock;

    /**
     * Creates the quota of one gateway.
     *
     * @param unshared quota for what is not shared
     * @param clock monotonic, in tenths of a millisecond
     */
    SharedQuota(SharedLimitTable limits, QuotaProtocol protocol, StaticQuota unshared, LongSupplier clock) {
        this.limits = limits;
        this.protocol = protocol;
        this.unshared = unshared;
        this.clock = clock;
    }

    private OptionalInt attemptLimit(ServerId server) {
        return limits.attemptLimit(ServerHash.of(server));
    }

    private OptionalInt slowStartAttemptLimit(ServerId server, boolean inSlowStart) {
        return inSlowStart ? limits.slowStartAttemptLimit(ServerHash.of(server)) : OptionalInt.empty();
    }

    private boolean canUse(long now, OptionalInt limit) {
        return limit.isEmpty() || protocol.canUse(now, limit.getAsInt());
    }

    private boolean tryAcquire(OptionalInt limit) {
        return limit.isEmpty() || protocol.tryAcquire(clock.getAsLong(), limit.getAsInt());
    }

    private void release(OptionalInt limit) {
        limit.ifPresent(protocol::release);
    }

    /**
     * Also counts the request in the unshared quota, even where tenants are shared, because the retries and health
     * checks allowed there are a share of the requests.
     */
    @Override
    public boolean tryAcquireRequest(long now, TenantId tenant) {
        boolean acquiredUnshared = unshared.tryAcquireRequest(now, tenant);
        return limits.sharesTenants() ? tryAcquire(limits.tenantLimit(tenant)) : acquiredUnshared;
    }

    @Override
    public long retryAfter(long now, TenantId tenant) {
        OptionalInt limit = limits.tenantLimit(tenant);
        return limit.isEmpty() ? 0 : protocol.retryAfter(clock.getAsLong(), limit.getAsInt());
    }

    @Override
    public boolean limitsAttempts() {
        return limits.sharesAttempts();
    }

    @Override
    public boolean hasAttempt(ServerId server, boolean inSlowStart) {
        long now = clock.getAsLong();
        return canUse(now, attemptLimit(server)) && canUse(now, slowStartAttemptLimit(server, inSlowStart));
    }

    @Override
    public boolean tryAcquireAttempt(ServerId server, boolean inSlowStart) {
        if (!tryAcquire(attemptLimit(server))) {
            return false;
        }
        if (!tryAcquire(slowStartAttemptLimit(server, inSlowStart))) {
            release(attemptLimit(server));
            return false;
        }
        return true;
    }

    @Override
    public void releaseAttempt(ServerId server, boolean inSlowStart) {
        release(attemptLimit(server));
        release(slowStartAttemptLimit(server, inSlowStart));
    }

    /**
     * Where retries are shared, this returns only whether this gateway holds any units of the limit; the retries that
     * the router has reserved are ignored, and {@link #tryAcquireRetry} may still be rejected.
     */
    @Override
    public boolean hasRetry(int reserved) {
        OptionalInt limit = limits.retryLimit();
        return limit.isEmpty() ? unshared.hasRetry(reserved) : canUse(clock.getAsLong(), limit);
    }

    @Override
    public boolean tryAcquireRetry() {
        OptionalInt limit = limits.retryLimit();
        return limit.isEmpty() ? unshared.tryAcquireRetry() : tryAcquire(limit);
    }

    @Override
    public boolean tryAcquireHealthCheck(HealthCheckReason reason) {
        OptionalInt limit = limits.healthCheckLimit();
        return limit.isEmpty() ? unshared.tryAcquireHealthCheck(reason) : tryAcquire(limit);
    }
}
