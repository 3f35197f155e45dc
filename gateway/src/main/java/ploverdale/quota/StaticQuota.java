package ploverdale.quota;

import java.util.List;
import ploverdale.model.Quota;
import ploverdale.model.ServerId;
import ploverdale.model.Tenant;
import ploverdale.model.TenantId;

/**
 * Parts where gateways agree on nothing: of each tenant's agreed traffic the share that falls on one gateway if all get as
 * much, with a second of it saved up at most. Sends at servers are limited by each gateway's own finding alone.
 */
public final class StaticQuota implements Quota {
    private static final double SECOND = 10_000; // times are tenths of a millisecond

    private final double[] rate;
    private final double[] left;
    private final long[] at;
    private final RequestFundedBucket tokenBucket = new RequestFundedBucket();

    public StaticQuota(List<Tenant> tenants, int gateways) {
        rate = tenants.stream()
                .mapToDouble(t -> t.requestsPerSecond() / gateways)
                .toArray();
        left = rate.clone();
        at = new long[rate.length];
    }

    @Override
    public boolean tryAcquireRequest(long now, TenantId tenant) {
        tokenBucket.request();
        int t = tenant.index();
        if (t >= rate.length) {
            return true;
        }
        left[t] = Math.min(rate[t], left[t] + rate[t] * (now - at[t]) / SECOND);
        at[t] = now;
        return left[t] >= 1 && left[t]-- >= 1;
    }

    @Override
    public boolean limitsAttempts() {
        return false;
    }

    @Override
    public boolean hasAttempt(ServerId server, boolean cold) {
        return true;
    }

    @Override
    public boolean tryAcquireAttempt(ServerId server, boolean cold) {
        return true;
    }

    @Override
    public void releaseAttempt(ServerId server, boolean cold) {}

    @Override
    public boolean hasRetry(int reserved) {
        return tokenBucket.hasRetry(reserved);
    }

    @Override
    public boolean tryAcquireRetry() {
        return tokenBucket.tryAcquireRetry();
    }

    @Override
    public boolean tryAcquireHealthCheck(HealthCheckReason why) {
        return tokenBucket.tryAcquireHealthCheck(why);
    }

    @Override
    public long retryAfter(long now, TenantId tenant) {
        return 0;
    }
}
