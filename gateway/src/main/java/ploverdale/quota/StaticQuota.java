package ploverdale.quota;

import java.util.List;
import ploverdale.model.Quota;
import ploverdale.model.ServerId;
import ploverdale.model.Tenant;
import ploverdale.model.TenantId;

/**
 * The quota used where gateways do not coordinate. Each gateway gets an equal share of the rate of each tenant;
 * retries and health checks are limited to a share of the requests. Attempts at a server are not limited here, but by
 * the adaptive concurrency limit of the router.
 *
 * <p>Not thread-safe: called only on the thread of the event loop.
 */
public final class StaticQuota implements Quota {
    /** Prevents a retry storm, in which each request causes several attempts. */
    private static final double RETRIES_PER_REQUEST = 0.25;
    /** Health checks follow the load; without requests, none are needed. */
    private static final double HEALTH_CHECKS_PER_REQUEST = 0.2;

    private final List<TokenBucket> tenants;
    private final RequestFundedBucket retries = RequestFundedBucket.full(RETRIES_PER_REQUEST);
    private final RequestFundedBucket healthChecks = new RequestFundedBucket(HEALTH_CHECKS_PER_REQUEST, 0);

    /**
     * Creates the quota of one gateway.
     *
     * @param gateways number of gateways that share the rate of each tenant
     */
    public StaticQuota(List<Tenant> tenants, int gateways) {
        this.tenants = tenants.stream()
                .map(tenant -> new TokenBucket(tenant.requestsPerSecond() / gateways))
                .toList();
    }

    @Override
    public boolean tryAcquireRequest(long now, TenantId tenant) {
        retries.onRequest();
        healthChecks.onRequest();
        return tenant.index() >= tenants.size() || tenants.get(tenant.index()).tryTake(now);
    }

    @Override
    public boolean limitsAttempts() {
        return false;
    }

    @Override
    public boolean hasAttempt(ServerId server, boolean inSlowStart) {
        return true;
    }

    @Override
    public boolean tryAcquireAttempt(ServerId server, boolean inSlowStart) {
        return true;
    }

    @Override
    public void releaseAttempt(ServerId server, boolean inSlowStart) {}

    @Override
    public boolean hasRetry(int reserved) {
        return retries.hasToken(reserved);
    }

    @Override
    public boolean tryAcquireRetry() {
        return retries.tryTake();
    }

    /**
     * A periodic check needs a whole token. A check that a request waits for takes what is left and is never rejected.
     * Checks on suspicion are rare and not limited.
     */
    @Override
    public boolean tryAcquireHealthCheck(HealthCheckReason reason) {
        return switch (reason) {
            case PERIODIC -> healthChecks.tryTake();
            case ON_DEMAND -> {
                healthChecks.takeUpToOne();
                yield true;
            }
            case SUSPICION -> true;
        };
    }

    @Override
    public long retryAfter(long now, TenantId tenant) {
        return 0;
    }
}
