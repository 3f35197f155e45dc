package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import ploverdale.model.Action;
import ploverdale.model.Event;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;

/** Which requests are admitted, queued or shed while capacity is short, as seen through the router. */
class AdmissionTest {
    private final RouterDriver driver = RouterDriver.withCaughtUpReplicas();

    @Test
    void withoutAnEligibleReplicaThePrimaryTakesReadsUpToItsLimitAndFurtherOnesAreRejectedAtOnce() {
        driver.replicasLagBy(1100);
        assertThat(driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ)))
                .containsExactly("p");
        RequestId latest = null;
        for (int i = 0; i < 30; i++) {
            latest = driver.request(TestRouterSettings.BOUNDED_READ);
        }
        RequestId last = latest;
        assertThat(driver.attempts(last)).isEmpty();
        assertThat(driver.rejections(last)).isEqualTo(1);
        assertThat(driver.actions)
                .filteredOn(
                        a -> a instanceof Action.RejectRequest b && b.request().equals(last))
                .allMatch(a -> ((Action.RejectRequest) a).retryAfter() < 5000, "the client's retry is still in time");
    }

    @Test
    void writesMayUseMoreOfThePrimarysLimitThanReads() {
        for (int i = 0; i < 40; i++) {
            assertThat(driver.attempts(driver.request(TestRouterSettings.WRITE)))
                    .containsExactly("p");
        }
    }

    @Test
    void aServerThatReportsHighUtilizationGetsFewerReads() {
        RouterDriver manyGateways = new RouterDriver(new TestRouterSettings().gateways(100));
        manyGateways.updateEndpoints(true, "r1");
        manyGateways.deliver(new Event.HealthCheckEnded(
                new ServerId("r1"), Outcome.SUCCEEDED, new LoadReport(Role.REPLICA, manyGateways.nowMs * 10, 1.1)));
        assertThat(manyGateways.attempts(manyGateways.request(TestRouterSettings.UNBOUNDED_READ)))
                .isEmpty();
        manyGateways.nowMs += 200;
        manyGateways.deliver(new Event.HealthCheckEnded(
                new ServerId("r1"), Outcome.SUCCEEDED, new LoadReport(Role.REPLICA, manyGateways.nowMs * 10, 0.5)));
        assertThat(manyGateways.attempts(manyGateways.request(TestRouterSettings.UNBOUNDED_READ)))
                .containsExactly("r1");
    }

    @Test
    void longReadsAreShedFirstWhileRequestsOfHigherPriorityFindNoCapacity() {
        for (int i = 0; i < 25; i++) {
            RequestId scan = driver.request(TestRouterSettings.LONG_READ);
            driver.nowMs += 100;
            driver.deliver(new Event.AttemptEnded(
                    scan, 0, new ServerId(driver.attempts(scan).get(0)), Outcome.SUCCEEDED, 9000, true, null, null));
        }
        driver.replicasLagBy(1100);
        for (int i = 0; i < 60; i++) {
            driver.request(TestRouterSettings.BOUNDED_READ);
        }
        assertThat(driver.attempts(driver.request(TestRouterSettings.LONG_READ)))
                .as("a replica that lags anyway takes one")
                .containsExactly("r1");
        RequestId scan = driver.request(TestRouterSettings.LONG_READ);
        assertThat(driver.attempts(scan)).isEmpty();
        assertThat(driver.rejections(scan)).isEqualTo(1);
    }

    @Test
    void whileCapacityIsShortRequestsWithinTheTenantsAgreedTrafficGoBeforeThoseBeyondIt() {
        driver.attemptEnded(driver.request(TestRouterSettings.WRITE), 0, "p", Outcome.MISDIRECTED, null);
        List<RequestId> writes = new ArrayList<>();
        for (int i = 0; i < 130; i++) {
            writes.add(driver.request(TestRouterSettings.WRITE));
        }
        driver.nowMs += 400;
        driver.healthCheckSucceeded("r1", Role.PRIMARY, driver.nowMs);
        assertThat(writes.subList(0, 99))
                .filteredOn(request -> !driver.attempts(request).isEmpty())
                .isNotEmpty();
        assertThat(writes.subList(100, 130))
                .allMatch(request -> driver.attempts(request).isEmpty());
    }
}
