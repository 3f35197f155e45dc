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
    void manyGatewaysWithFewRequestsEachTogetherSendARecoveringServerFewRequests() {
        int readsAtRecovering = 0;
        for (int i = 0; i < 100; i++) {
            RouterDriver gateway = new RouterDriver(new TestRouterSettings().gateways(100 + i));
            gateway.updateEndpoints(true, "r1", "r2");
            gateway.catchUp("r1", "r2");
            gateway.attemptEnded(gateway.request(TestRouterSettings.UNBOUNDED_READ), 0, "r2", Outcome.SUCCEEDED, null);
            gateway.updateEndpoint("r1", EndpointState.IN, gateway.nowMs);
            for (int j = 0; j < 4; j++) {
                RequestId read = gateway.request(TestRouterSettings.UNBOUNDED_READ);
                readsAtRecovering += gateway.attempts(read).contains("r1") ? 1 : 0;
                gateway.nowMs += 250;
            }
        }
        assertThat(readsAtRecovering).isBetween(1, 50);
    }

    @Test
    void aRecoveringServerGetsFewRequests() {
        driver.updateEndpoint("r1", EndpointState.IN, driver.nowMs);
        int readsAtRecovering = 0;
        for (int i = 0; i < 12; i++) {
            readsAtRecovering += driver.attempts(driver.request(TestRouterSettings.UNBOUNDED_READ))
                            .contains("r1")
                    ? 1
                    : 0;
        }
        assertThat(readsAtRecovering).isLessThanOrEqualTo(4);
    }

    @Test
    void aServerReadmittedAfterALongOutageIsInSlowStartBeforeTheEndpointListStatesARestart() {
        driver.healthCheckTimedOut("r1");
        driver.healthCheckTimedOut("r1");
        driver.nowMs += 5000;
        driver.catchUp("p", "r1", "r2");
        int readsAtRecovering = 0;
        for (int i = 0; i < 12; i++) {
            readsAtRecovering += driver.attempts(driver.request(TestRouterSettings.UNBOUNDED_READ))
                            .contains("r1")
                    ? 1
                    : 0;
        }
        assertThat(readsAtRecovering).isLessThanOrEqualTo(1);
    }

    @Test
    void aServerFirstConfirmedLateIsPastSlowStartIfTheEndpointListSaysThatItStartedLongAgo() {
        RouterDriver freshDriver = new RouterDriver();
        freshDriver.updateEndpoints(true, "r1");
        freshDriver.healthCheckTimedOut("r1");
        freshDriver.healthCheckTimedOut("r1");
        freshDriver.nowMs += 5000;
        freshDriver.healthCheckSucceeded("r1", Role.REPLICA, freshDriver.nowMs);
        for (int i = 0; i < 12; i++) {
            RequestId read = freshDriver.request(TestRouterSettings.UNBOUNDED_READ);
            assertThat(freshDriver.attempts(read)).as("read " + i).containsExactly("r1");
            freshDriver.attemptEnded(read, 0, "r1", Outcome.SUCCEEDED, RouterDriver.report(Role.REPLICA, freshDriver.nowMs));
        }
    }
}
