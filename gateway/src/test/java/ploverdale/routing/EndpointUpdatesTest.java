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
        RouterDriver loose = new RouterDriver(new TestRouterSettings().removalNotBinding());
        loose.updateEndpoints(true, "p", "r1");
        loose.catchUp("p", "r1");
        loose.updateEndpoints(true);
        assertThat(loose.attempts(loose.request(TestRouterSettings.BOUNDED_READ)))
                .containsExactly("r1");
        assertThat(loose.attempts(loose.request(TestRouterSettings.WRITE))).containsExactly("p");
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
        RouterDriver loose = new RouterDriver(new TestRouterSettings().removalNotBinding());
        loose.updateEndpoints(true, "r1");
        loose.healthCheckSucceeded("r1", Role.REPLICA, loose.nowMs);
        loose.updateEndpoint("r1", EndpointState.GONE, 0);
        assertThat(loose.attempts(loose.request(TestRouterSettings.BOUNDED_READ)))
                .containsExactly("r1");
    }
}
