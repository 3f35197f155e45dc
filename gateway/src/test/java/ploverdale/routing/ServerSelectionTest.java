package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.model.Event;
import ploverdale.model.Event.Outcome;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;

/** Which server gets a request, as seen through the router. */
class ServerSelectionTest {
    private final RouterDriver host = RouterDriver.settled();

    @Test
    void boundedReadsGoToCurrentReplicasAndWritesToThePrimary() {
        assertThat(host.sends(host.ask(RouterDriver.VIEW)))
                .isSubsetOf("r1", "r2")
                .hasSize(1);
        assertThat(host.sends(host.ask(RouterDriver.SUBMIT))).containsExactly("p");
    }

    @Test
    void aListedServerWithoutAnyObservationGetsNoRequest() {
        host.list(false, "ghost");
        for (int i = 0; i < 5; i++) {
            assertThat(host.sends(host.ask(RouterDriver.HISTORY)))
                    .isSubsetOf("r1", "r2")
                    .hasSize(1);
        }
    }

    @Test
    void whileEligibleReplicasAreSaturatedThePrimaryTakesReads() {
        int atPrimary = 0;
        for (int i = 0; i < 60; i++) {
            atPrimary += host.sends(host.ask(RouterDriver.VIEW)).contains("p") ? 1 : 0;
        }
        assertThat(atPrimary).isBetween(1, 24);
        assertThat(host.sends(host.ask(RouterDriver.SUBMIT))).containsExactly("p");
    }

    @Test
    void readsLongerThanTheTightestBoundGoToTheFirstReplicaById() {
        for (int i = 0; i < 25; i++) {
            RequestId scan = host.ask(RouterDriver.SCAN);
            host.nowMs += 100;
            host.tell(new Event.AttemptEnded(
                    scan, 0, new ServerId(host.sends(scan).get(0)), Outcome.SUCCEEDED, 9000, true, null, null));
        }
        host.levelled("p", "r1", "r2");
        assertThat(host.sends(host.ask(RouterDriver.SCAN))).containsExactly("r1");
        assertThat(host.sends(host.ask(RouterDriver.SCAN))).containsExactly("r1");
    }

    @Test
    void aFreshReadGoesToThePrimary() {
        assertThat(host.sends(host.ask(RouterDriver.FRESH))).containsExactly("p");
    }
}
