package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.model.Endpoint.EndpointState;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.RequestId;

/** Tests through the router the slow start of a server that restarted. */
class SlowStartInRouterTest {
    private final RouterDriver driver = RouterDriver.withCaughtUpReplicas();

    @Test
    void manySmallGatewaysTogetherSendAWarmingServerOnlyItsPart() {
        int cold = 0;
        for (int i = 0; i < 100; i++) {
            RouterDriver small = new RouterDriver(new TestRouterSettings().gateways(100 + i));
            small.updateEndpoints(true, "r1", "r2");
            small.catchUp("r1", "r2");
            small.attemptEnded(small.request(TestRouterSettings.UNBOUNDED_READ), 0, "r2", Outcome.SUCCEEDED, null);
            small.updateEndpoint("r1", EndpointState.IN, small.nowMs);
            for (int s = 0; s < 4; s++) {
                RequestId read = small.request(TestRouterSettings.UNBOUNDED_READ);
                cold += small.attempts(read).contains("r1") ? 1 : 0;
                small.nowMs += 250;
            }
        }
        assertThat(cold).isBetween(1, 50);
    }

    @Test
    void aWarmingServerGetsFewRequests() {
        driver.updateEndpoint("r1", EndpointState.IN, driver.nowMs);
        int cold = 0;
        for (int i = 0; i < 12; i++) {
            cold += driver.attempts(driver.request(TestRouterSettings.UNBOUNDED_READ))
                            .contains("r1")
                    ? 1
                    : 0;
        }
        assertThat(cold).isLessThanOrEqualTo(4);
    }

    @Test
    void aServerReadmittedAfterALongOutageIsWarmingUpBeforeTheEndpointListSaysSo() {
        driver.healthCheckTimedOut("r1");
        driver.healthCheckTimedOut("r1");
        driver.nowMs += 5000;
        driver.catchUp("p", "r1", "r2");
        int cold = 0;
        for (int i = 0; i < 12; i++) {
            cold += driver.attempts(driver.request(TestRouterSettings.UNBOUNDED_READ))
                            .contains("r1")
                    ? 1
                    : 0;
        }
        assertThat(cold).isLessThanOrEqualTo(1);
    }

    @Test
    void aServerFirstSeenLateIsWarmWhereTheEndpointListSaysThatItStartedLongAgo() {
        RouterDriver fresh = new RouterDriver();
        fresh.updateEndpoints(true, "r1");
        fresh.healthCheckTimedOut("r1");
        fresh.healthCheckTimedOut("r1");
        fresh.nowMs += 5000;
        fresh.healthCheckSucceeded("r1", Role.REPLICA, fresh.nowMs);
        for (int i = 0; i < 12; i++) {
            RequestId read = fresh.request(TestRouterSettings.UNBOUNDED_READ);
            assertThat(fresh.attempts(read)).as("read " + i).containsExactly("r1");
            fresh.attemptEnded(read, 0, "r1", Outcome.SUCCEEDED, RouterDriver.report(Role.REPLICA, fresh.nowMs));
        }
    }
}
