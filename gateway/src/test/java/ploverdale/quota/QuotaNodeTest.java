package ploverdale.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import ploverdale.model.Capabilities;
import ploverdale.model.Event;
import ploverdale.model.Quota;
import ploverdale.model.Quota.HealthCheckReason;
import ploverdale.model.ReplicaGuarantees;
import ploverdale.model.RequestClass;
import ploverdale.model.ServerGuarantees;
import ploverdale.model.ServerId;
import ploverdale.model.Tenant;
import ploverdale.model.TenantId;

/**
 * Tests what the router can acquire at a single gateway, which holds its lease partition once the quarantine has
 * ended.
 */
class QuotaNodeTest {
    private static final long SECOND = 10_000;
    private static final ServerId SERVER = new ServerId("s");
    private static final TenantId TENANT = new TenantId(0);

    private long now = SECOND;

    /** Starts a node and advances the clock until all units are held and rates have accumulated tokens. */
    private Quota quotaAfterQuarantine(QuotaSettings settings) {
        RequestClass requestClass = new RequestClass(
                5000,
                0,
                30_000,
                RequestClass.Idempotence.IDEMPOTENT,
                RequestClass.Scope.GROUP,
                0,
                1,
                0,
                false,
                RequestClass.Consistency.UNBOUNDED,
                5000);
        QuotaNode node = new QuotaNode(
                settings,
                new Event.Started(
                        7,
                        1,
                        List.of(requestClass),
                        List.of(new Tenant(10)),
                        0.1,
                        new ServerGuarantees(0.2, 0, 2.5, 0, true, 0),
                        new Capabilities(6, true, true, true, SECOND, true),
                        new ReplicaGuarantees(ReplicaGuarantees.StalenessCheck.NONE, 500, false),
                        false,
                        0),
                1,
                () -> now,
                () -> now);
        now += 20 * SECOND;
        node.onTick();
        now += 2 * SECOND; // tokens accumulate, since new units start without any
        return node.quota();
    }

    private static QuotaSettings settings(
            boolean tenants, int attempts, int slowStartAttempts, int retries, int healthChecks) {
        return new QuotaSettings(
                new SharedLimitSettings(tenants, attempts, slowStartAttempts, 8, retries, healthChecks),
                0.5,
                new LeaseDurations(30_000, 20_000, 0.05),
                2000,
                null);
    }

    /** Acquires until a rejection; returns the number of acquisitions. */
    private static int acquireAll(BooleanSupplier acquire) {
        int count = 0;
        while (count < 1000 && acquire.getAsBoolean()) {
            count++;
        }
        return count;
    }

    @Test
    void retriesAndHealthChecksForAnyReasonCountAgainstTheirSharedLimits() {
        Quota quota = quotaAfterQuarantine(settings(false, 0, 0, 10, 4));
        assertThat(acquireAll(quota::tryAcquireRetry)).isEqualTo(10);
        assertThat(acquireAll(() -> quota.tryAcquireHealthCheck(HealthCheckReason.SUSPICION)))
                .isEqualTo(4);
        assertThat(quota.tryAcquireHealthCheck(HealthCheckReason.ON_DEMAND)).isFalse();
        now += SECOND / 2;
        assertThat(acquireAll(quota::tryAcquireRetry)).isEqualTo(5);
        assertThat(acquireAll(() -> quota.tryAcquireHealthCheck(HealthCheckReason.PERIODIC)))
                .isEqualTo(2);
    }

    @Test
    void retriesAndHealthChecksThatAreNotSharedAreLimitedToAShareOfTheRequests() {
        Quota quota = quotaAfterQuarantine(settings(true, 0, 0, 0, 0));
        assertThat(quota.tryAcquireHealthCheck(HealthCheckReason.PERIODIC)).isFalse();
        for (int i = 0; i < 5; i++) {
            quota.tryAcquireRequest(now, TENANT);
        }
        assertThat(acquireAll(() -> quota.tryAcquireHealthCheck(HealthCheckReason.PERIODIC)))
                .isEqualTo(1);
        assertThat(acquireAll(quota::tryAcquireRetry)).isEqualTo(40);
    }

    @Test
    void anAttemptInSlowStartAcquiresAUnitOfBothLimitsAndARejectedOneAcquiresNone() {
        Quota quota = quotaAfterQuarantine(settings(false, 3, 1, 0, 0));
        assertThat(quota.tryAcquireAttempt(SERVER, true)).isTrue();
        assertThat(quota.hasAttempt(SERVER, true)).isFalse();
        assertThat(quota.tryAcquireAttempt(SERVER, true)).isFalse();
        assertThat(acquireAll(() -> quota.tryAcquireAttempt(SERVER, false))).isEqualTo(2);
        quota.releaseAttempt(SERVER, true);
        assertThat(quota.tryAcquireAttempt(SERVER, true)).isTrue();
    }

    @Test
    void retryAfterOfARejectedTenantIsTheTimeUntilTheNextToken() {
        Quota quota = quotaAfterQuarantine(settings(true, 0, 0, 0, 0));
        assertThat(acquireAll(() -> quota.tryAcquireRequest(now, TENANT))).isEqualTo(10);
        assertThat(quota.retryAfter(now, TENANT)).isBetween(1L, SECOND / 10);
        now += quota.retryAfter(now, TENANT);
        assertThat(quota.tryAcquireRequest(now, TENANT)).isTrue();
    }
}
