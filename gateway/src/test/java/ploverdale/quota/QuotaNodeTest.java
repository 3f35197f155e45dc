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

/** What the module may spend, of a fleet of one, which is its own steward once all that an earlier start used is over. */
class QuotaNodeTest {
    private static final long SECOND = 10_000;
    private static final ServerId SERVER = new ServerId("s");
    private static final TenantId TENANT = new TenantId(0);

    private long now = SECOND;

    private Quota settled(QuotaSettings quotaSettings) {
        RequestClass type = new RequestClass(
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
        QuotaNode s = new QuotaNode(
                quotaSettings,
                new Event.Started(
                        7,
                        1,
                        List.of(type),
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
        s.onTick();
        now += 2 * SECOND; // parts that come bring none that are saved up
        return s.quota();
    }

    private static QuotaSettings quotaSettings(boolean tenants, int sends, int cold, int again, int probes) {
        return new QuotaSettings(
                new SharedLimitSettings(tenants, sends, cold, 8, again, probes),
                0.5,
                new LeaseDurations(30_000, 20_000, 0.05),
                2000,
                null);
    }

    private static int spent(BooleanSupplier one) {
        int n = 0;
        while (n < 1000 && one.getAsBoolean()) {
            n++;
        }
        return n;
    }

    @Test
    void furtherSendsAndProbesOfWhateverKindAreSpentOfTheWhole() {
        Quota s = settled(quotaSettings(false, 0, 0, 10, 4));
        assertThat(spent(s::tryAcquireRetry)).isEqualTo(10);
        assertThat(spent(() -> s.tryAcquireHealthCheck(HealthCheckReason.SUSPICION)))
                .isEqualTo(4);
        assertThat(s.tryAcquireHealthCheck(HealthCheckReason.ON_DEMAND)).isFalse();
        now += SECOND / 2;
        assertThat(spent(s::tryAcquireRetry)).isEqualTo(5);
        assertThat(spent(() -> s.tryAcquireHealthCheck(HealthCheckReason.PERIODIC)))
                .isEqualTo(2);
    }

    @Test
    void whereTheyAreNoBudgetTheyAreEarnedByOps() {
        Quota s = settled(quotaSettings(true, 0, 0, 0, 0));
        assertThat(s.tryAcquireHealthCheck(HealthCheckReason.PERIODIC)).isFalse();
        for (int i = 0; i < 5; i++) {
            s.tryAcquireRequest(now, TENANT);
        }
        assertThat(spent(() -> s.tryAcquireHealthCheck(HealthCheckReason.PERIODIC)))
                .isEqualTo(1);
        assertThat(spent(s::tryAcquireRetry)).isEqualTo(40);
    }

    @Test
    void aSendAtAColdServerTakesAPartOfBothAndOneThatIsRefusedTakesNone() {
        Quota s = settled(quotaSettings(false, 3, 1, 0, 0));
        assertThat(s.tryAcquireAttempt(SERVER, true)).isTrue();
        assertThat(s.hasAttempt(SERVER, true)).isFalse();
        assertThat(s.tryAcquireAttempt(SERVER, true)).isFalse();
        assertThat(spent(() -> s.tryAcquireAttempt(SERVER, false))).isEqualTo(2);
        s.releaseAttempt(SERVER, true);
        assertThat(s.tryAcquireAttempt(SERVER, true)).isTrue();
    }

    @Test
    void whoIsBeyondATenantsBudgetIsToldWhenTheNextPartComes() {
        Quota s = settled(quotaSettings(true, 0, 0, 0, 0));
        assertThat(spent(() -> s.tryAcquireRequest(now, TENANT))).isEqualTo(10);
        assertThat(s.retryAfter(now, TENANT)).isBetween(1L, SECOND / 10);
        now += s.retryAfter(now, TENANT);
        assertThat(s.tryAcquireRequest(now, TENANT)).isTrue();
    }
}
