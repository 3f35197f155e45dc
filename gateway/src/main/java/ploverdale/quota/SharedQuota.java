package ploverdale.quota;

import java.util.OptionalInt;
import java.util.function.LongSupplier;
import ploverdale.gossip.ServerHash;
import ploverdale.model.Quota;
import ploverdale.model.ServerId;
import ploverdale.model.TenantId;

/**
 * The router's port to the quota that gateways share: finds the limits that an acquisition counts against and acquires a unit
 * of each. What is not shared is limited by {@link StaticQuota}.
 *
 * <p>Not thread-safe, called on the thread of the event loop.
 */
final class SharedQuota implements Quota {
    private final SharedLimitTable limits;
    private final QuotaProtocol protocol;
    private final StaticQuota unshared;
    private final LongSupplier clock;

    /** @param clock monotonic, in tenths of a millisecond */
    SharedQuota(SharedLimitTable limits, QuotaProtocol protocol, StaticQuota unshared, LongSupplier clock) {
        this.limits = limits;
        this.protocol = protocol;
        this.unshared = unshared;
        this.clock = clock;
    }

    private OptionalInt attempts(ServerId server) {
        return limits.attempts(ServerHash.of(server));
    }

    private OptionalInt slowStartAttempts(ServerId server, boolean inSlowStart) {
        return inSlowStart ? limits.slowStartAttempts(ServerHash.of(server)) : OptionalInt.empty();
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

    /** The unshared quota counts each request: its retries and health checks are a share of them. */
    @Override
    public boolean tryAcquireRequest(long now, TenantId tenant) {
        boolean acquiredUnshared = unshared.tryAcquireRequest(now, tenant);
        return limits.sharesTenants() ? tryAcquire(limits.tenant(tenant)) : acquiredUnshared;
    }

    @Override
    public long retryAfter(long now, TenantId tenant) {
        OptionalInt limit = limits.tenant(tenant);
        return limit.isEmpty() ? 0 : protocol.retryAfter(clock.getAsLong(), limit.getAsInt());
    }

    @Override
    public boolean limitsAttempts() {
        return limits.sharesAttempts();
    }

    @Override
    public boolean hasAttempt(ServerId server, boolean inSlowStart) {
        long now = clock.getAsLong();
        return canUse(now, attempts(server)) && canUse(now, slowStartAttempts(server, inSlowStart));
    }

    @Override
    public boolean tryAcquireAttempt(ServerId server, boolean inSlowStart) {
        if (!tryAcquire(attempts(server))) {
            return false;
        }
        if (!tryAcquire(slowStartAttempts(server, inSlowStart))) {
            release(attempts(server));
            return false;
        }
        return true;
    }

    @Override
    public void releaseAttempt(ServerId server, boolean inSlowStart) {
        release(attempts(server));
        release(slowStartAttempts(server, inSlowStart));
    }

    /** Where retries are shared, units that the router has reserved are not counted. */
    @Override
    public boolean hasRetry(int reserved) {
        OptionalInt limit = limits.retries();
        return limit.isEmpty() ? unshared.hasRetry(reserved) : canUse(clock.getAsLong(), limit);
    }

    @Override
    public boolean tryAcquireRetry() {
        OptionalInt limit = limits.retries();
        return limit.isEmpty() ? unshared.tryAcquireRetry() : tryAcquire(limit);
    }

    @Override
    public boolean tryAcquireHealthCheck(HealthCheckReason reason) {
        OptionalInt limit = limits.healthChecks();
        return limit.isEmpty() ? unshared.tryAcquireHealthCheck(reason) : tryAcquire(limit);
    }
}
