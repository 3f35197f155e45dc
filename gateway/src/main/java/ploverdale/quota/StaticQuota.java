package ploverdale.quota;

import java.util.List;
import ploverdale.model.Quota;
import ploverdale.model.ServerId;
import ploverdale.model.Tenant;
import ploverdale.model.TenantId;

/**
 * The quota where gateways do not coordinate: of each tenant's rate an equal share for each gateway, and retries and health
 * checks as a share of the requests. Attempts at servers are not limited here, but by the router's own finding.
 *
 * <p>Not thread-safe, called on the thread of the event loop.
 */
public final class StaticQuota implements Quota {
    private static final double RETRIES_PER_REQUEST = 0.25; // a retry storm is several attempts for each request
    private static final double HEALTH_CHECKS_PER_REQUEST = 0.2; // without requests there is nothing to find out

    private final List<TokenBucket> tenants;
    private final RequestFundedBucket retries = RequestFundedBucket.full(RETRIES_PER_REQUEST);
    private final RequestFundedBucket healthChecks = new RequestFundedBucket(HEALTH_CHECKS_PER_REQUEST, 0);

    /** @param gateways how many share each tenant's rate */
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

    /** Periodic checks need a token; one that a request waits for takes what is left; those on suspicion are rare. */
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
