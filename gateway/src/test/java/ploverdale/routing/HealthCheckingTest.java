package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.RequestId;

/** When servers are checked, as seen through the router. */
class HealthCheckingTest {
    private final RouterDriver host = RouterDriver.settled();

    @Test
    void aNewGatewayChecksHealthAtOnceAndQueuesABoundedReadUntilAPositionIsKnown() {
        RouterDriver fresh = new RouterDriver();
        fresh.list(true, "r1");
        assertThat(fresh.probes("r1")).isEqualTo(1);
        RequestId read = fresh.ask(RouterDriver.VIEW);
        assertThat(fresh.sends(read)).isEmpty();
        fresh.probed("r1", Role.REPLICA, fresh.nowMs - 100);
        assertThat(fresh.sends(read)).containsExactly("r1");
    }

    @Test
    void anIdleGroupIsNotCheckedAndItsNextReadChecksOneMemberAndThenTheNext() {
        host.pass(5000);
        long before = host.probes("r1") + host.probes("r2");
        host.pass(5000);
        assertThat(host.probes("r1") + host.probes("r2")).isEqualTo(before);
        RequestId read = host.ask(RouterDriver.VIEW);
        assertThat(host.probes("p") + host.probes("r1") + host.probes("r2")).isEqualTo(before + 1 + 1);
        assertThat(host.sends(read)).isEmpty();
        host.pass(100);
        host.probed("r1", Role.REPLICA, host.nowMs - 100);
        assertThat(host.sends(read)).containsExactly("r1");
    }

    @Test
    void unansweredFirstChecksAreRepeatedSoonUnlessOtherServersOfTheGroupAnswer() {
        RouterDriver fresh = new RouterDriver();
        fresh.list(true, "p", "r1");
        fresh.unanswered("p");
        fresh.unanswered("r1");
        RequestId write = fresh.ask(RouterDriver.SUBMIT);
        fresh.pass(1000);
        assertThat(fresh.probes("p") + fresh.probes("r1")).isGreaterThan(2);
        fresh.probed("p", Role.PRIMARY, fresh.nowMs);
        assertThat(fresh.sends(write)).containsExactly("p");
        fresh.list(false, "ghost");
        fresh.unanswered("ghost");
        fresh.pass(7000);
        assertThat(fresh.probes("ghost")).isEqualTo(1);
    }

    @Test
    void theOnlyMemberOfAGroupIsCheckedWithoutBackoffWhenEjected() {
        RouterDriver cut = new RouterDriver();
        cut.list(true, "r1");
        cut.levelled("r1");
        cut.nowMs += 3000;
        for (int i = 0; i < 6; i++) {
            cut.unanswered("r1");
        }
        cut.nowMs += 200;
        long before = cut.probes("r1");
        cut.ask(RouterDriver.HISTORY);
        assertThat(cut.probes("r1")).isEqualTo(before + 1);
    }

    @Test
    void aServerWithoutOtherObservationsIsCheckedEachThirdOfTheTightestBound() {
        long before = host.probes("r1");
        for (int i = 0; i < 6; i++) {
            host.pass(90);
            for (int j = 0; j < 15; j++) {
                host.ends(host.ask(RouterDriver.FRESH), 0, "p", Outcome.SUCCEEDED, null);
            }
            host.ask(RouterDriver.FRESH);
            host.pass(150);
            host.levelled("p", "r1", "r2");
        }
        assertThat(host.probes("r1") - before).isBetween(5L, 6L);
    }
}
