package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.model.Endpoint.EndpointState;
import ploverdale.model.LoadReport.Role;

/** The effects of endpoint updates, as seen through the router. */
class EndpointUpdatesTest {
    private final RouterDriver driver = RouterDriver.withCaughtUpReplicas();

    @Test
    void anEmptyListRemovesNoServerWhereRemovalIsNotBinding() {
        RouterDriver lenientDriver = new RouterDriver(new TestRouterSettings().removalNotBinding());
        lenientDriver.updateEndpoints(true, "p", "r1");
        lenientDriver.catchUp("p", "r1");
        lenientDriver.updateEndpoints(true);
        assertThat(lenientDriver.attempts(lenientDriver.request(TestRouterSettings.BOUNDED_READ)))
                .containsExactly("r1");
        assertThat(lenientDriver.attempts(lenientDriver.request(TestRouterSettings.WRITE)))
                .containsExactly("p");
    }

    @Test
    void noNewAttemptGoesToADrainingOrRemovedServer() {
        driver.updateEndpoint("r1", EndpointState.DRAINING, 0);
        driver.updateEndpoint("r2", EndpointState.GONE, 0);
        driver.updateEndpoint("p", EndpointState.DRAINING, 0);
        assertThat(driver.attempts(driver.request(TestRouterSettings.UNBOUNDED_READ)))
                .isEmpty();
        assertThat(driver.attempts(driver.request(TestRouterSettings.WRITE))).isEmpty();
    }

    @Test
    void whereRemovalIsNotBindingAServerRemovedWithoutDrainingIsStillUsed() {
        RouterDriver lenientDriver = new RouterDriver(new TestRouterSettings().removalNotBinding());
        lenientDriver.updateEndpoints(true, "r1");
        lenientDriver.healthCheckSucceeded("r1", Role.REPLICA, lenientDriver.nowMs);
        lenientDriver.updateEndpoint("r1", EndpointState.GONE, 0);
        assertThat(lenientDriver.attempts(lenientDriver.request(TestRouterSettings.BOUNDED_READ)))
                .containsExactly("r1");
    }
}
