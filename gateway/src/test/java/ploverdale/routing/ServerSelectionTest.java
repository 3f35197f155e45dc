package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.model.Event;
import ploverdale.model.Event.Outcome;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;

/** Tests through the router which server gets a request. */
class ServerSelectionTest {
    private final RouterDriver driver = RouterDriver.withCaughtUpReplicas();

    @Test
    void boundedReadsGoToCurrentReplicasAndWritesToThePrimary() {
        assertThat(driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ)))
                .isSubsetOf("r1", "r2")
                .hasSize(1);
        assertThat(driver.attempts(driver.request(TestRouterSettings.WRITE))).containsExactly("p");
    }

    @Test
    void aListedServerWithoutAnyObservationGetsNoRequest() {
        driver.updateEndpoints(false, "unobserved");
        for (int i = 0; i < 5; i++) {
            assertThat(driver.attempts(driver.request(TestRouterSettings.UNBOUNDED_READ)))
                    .isSubsetOf("r1", "r2")
                    .hasSize(1);
        }
    }

    @Test
    void whileTheReplicasHaveNoCapacityThePrimaryTakesReads() {
        int atPrimary = 0;
        for (int i = 0; i < 60; i++) {
            atPrimary += driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ))
                            .contains("p")
                    ? 1
                    : 0;
        }
        assertThat(atPrimary).isBetween(1, 24);
        assertThat(driver.attempts(driver.request(TestRouterSettings.WRITE))).containsExactly("p");
    }

    @Test
    void readsLongerThanTheTightestBoundGoToTheFirstReplicaById() {
        for (int i = 0; i < 25; i++) {
            RequestId read = driver.request(TestRouterSettings.LONG_READ);
            driver.nowMs += 100;
            driver.deliver(new Event.AttemptEnded(
                    read, 0, new ServerId(driver.attempts(read).get(0)), Outcome.SUCCEEDED, 9000, true, null, null));
        }
        driver.catchUp("p", "r1", "r2");
        assertThat(driver.attempts(driver.request(TestRouterSettings.LONG_READ)))
                .containsExactly("r1");
        assertThat(driver.attempts(driver.request(TestRouterSettings.LONG_READ)))
                .containsExactly("r1");
    }

    @Test
    void aFreshReadGoesToThePrimary() {
        assertThat(driver.attempts(driver.request(TestRouterSettings.FRESH_READ)))
                .containsExactly("p");
    }
}
