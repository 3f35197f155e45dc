package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import ploverdale.model.Endpoint.EndpointState;
import ploverdale.model.Event;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ReplicaGuarantees;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;

/** What the decisions make of a servers' clock whose offset turns out to be another. */
class ClockOffsetInRouterTest {
    private static final long HOUR_MS = 3_600_000;

    private final RouterDriver host = RouterDriver.settled();

    private void offsetChanges(RouterDriver host, Map<String, Long> startedMs) {
        Map<ServerId, Long> startedAt = new java.util.HashMap<>();
        startedMs.forEach((id, at) -> startedAt.put(new ServerId(id), at * 10));
        host.tell(new Event.ClockOffsetChanged(startedAt));
    }

    @Test
    void positionsToldBeforeCountAsTooStaleUntilTheyAreToldAgain() {
        host.probed("r1", Role.REPLICA, host.nowMs);
        offsetChanges(host, Map.of());
        RequestId read = host.ask(RouterDriver.VIEW);
        assertThat(host.sends(read)).doesNotContain("r1", "r2");
        host.nowMs += 200;
        host.probed("r1", Role.REPLICA, host.nowMs - 100);
        assertThat(host.sends(host.ask(RouterDriver.VIEW))).containsExactly("r1");
    }

    @Test
    void writesAndReadsOfThePrimaryGoOn() {
        offsetChanges(host, Map.of());
        assertThat(host.sends(host.ask(RouterDriver.SUBMIT))).containsExactly("p");
        assertThat(host.sends(host.ask(RouterDriver.FRESH))).containsExactly("p");
    }

    @Test
    void aSessionsLastWriteThatWasDatedWronglyIsReachedByWhatStandsAtThePresent() {
        RouterDriver h = new RouterDriver(ReplicaGuarantees.StalenessCheck.NONE, false, true, 1);
        h.list(true, "p", "r1");
        h.levelled("p", "r1");
        RequestId write = h.ask(RouterDriver.SUBMIT, "s", 0);
        h.ends(
                write,
                0,
                "p",
                Outcome.SUCCEEDED,
                new LoadReport(Role.PRIMARY, (h.nowMs - HOUR_MS) * 10)); // an hour too early
        offsetChanges(h, Map.of());
        h.nowMs += 200;
        h.probed("r1", Role.REPLICA, h.nowMs - 300);
        assertThat(h.sends(h.ask(RouterDriver.SESSION, "s", 0))).containsExactly("p");
        h.probed("r1", Role.REPLICA, h.nowMs);
        assertThat(h.sends(h.ask(RouterDriver.SESSION, "s", 0))).containsExactly("r1");
    }

    @Test
    void aServerWhoseStartWasDatedTooLateIsWarmOnceItIsDatedAnew() {
        host.listed("r1", EndpointState.IN, host.nowMs);
        offsetChanges(host, Map.of("r1", host.nowMs - HOUR_MS));
        host.probed("r1", Role.REPLICA, host.nowMs);
        int at = 0;
        for (int i = 0; i < 20; i++) { // only r1 has a position
            at += host.sends(host.ask(RouterDriver.VIEW)).contains("r1") ? 1 : 0;
        }
        assertThat(at).isEqualTo(20);
    }

    @Test
    void aServerThatIsColdStaysColdWhenItsStartIsDatedAsBefore() {
        host.listed("r1", EndpointState.IN, host.nowMs);
        offsetChanges(host, Map.of("r1", host.nowMs));
        host.probed("r1", Role.REPLICA, host.nowMs);
        int at = 0;
        for (int i = 0; i < 20; i++) {
            at += host.sends(host.ask(RouterDriver.VIEW)).contains("r1") ? 1 : 0;
        }
        assertThat(at).isLessThanOrEqualTo(1);
    }
}
