package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import ploverdale.model.Action;
import ploverdale.model.Event;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;

/** Which faults eject a server or close its idle connections, and how it is readmitted, as seen through the router. */
class OutlierDetectionTest {
    private final RouterDriver host = RouterDriver.settled();

    @Test
    void rejectedHealthChecksDoNotEjectAServer() {
        host.nowMs += 3000;
        for (int i = 0; i < 3; i++) {
            host.tell(new Event.HealthCheckEnded(new ServerId("r1"), Outcome.REJECTED, null));
        }
        assertThat(host.logged("silent")).isFalse();
        assertThat(host.sends(host.ask(RouterDriver.HISTORY))).containsExactly("r1");
    }

    @Test
    void consecutiveRefusedConnectionsAtALiveServerCloseIdleConnections() {
        RequestId write = host.ask(RouterDriver.SUBMIT);
        for (int send = 0; send < 2; send++) {
            assertThat(host.acts).noneMatch(Action.CloseIdleConnections.class::isInstance);
            host.tell(new Event.AttemptEnded(
                    write, send, new ServerId("p"), Outcome.CONNECT_FAILED, 10, false, null, null));
            assertThat(host.probes("p")).isEqualTo(2 + send);
            host.probed("p", Role.PRIMARY, host.nowMs);
        }
        host.ends(write, 2, "p", Outcome.SUCCEEDED, null);
        assertThat(host.acts).contains(new Action.CloseIdleConnections(new ServerId("p")));
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"CONNECT_INTERRUPTED", "CONNECT_FAILED", "CONNECTION_LOST"})
    void sporadicResetsNeitherLowerAServersLimitNorEjectIt(Outcome outcome) {
        for (int i = 0; i < 60; i++) { // one op in eight at every server, as on a bad network
            for (int j = 0; j < 8; j++) {
                RequestId read = host.ask(RouterDriver.HISTORY);
                if (j == 0) {
                    host.tell(new Event.AttemptEnded(
                            read, 0, new ServerId(host.sends(read).get(0)), outcome, 100, false, null, null));
                }
                int last = host.sends(read).size() - 1;
                host.ends(
                        read,
                        last,
                        host.sends(read).get(last),
                        Outcome.SUCCEEDED,
                        RouterDriver.report(Role.REPLICA, host.nowMs));
                host.pass(100);
                host.levelled("p", "r1", "r2");
            }
        }
        List<RequestId> many = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            many.add(host.ask(RouterDriver.HISTORY));
        }
        assertThat(many).allMatch(request -> host.sends(request).size() == 1);
        assertThat(host.logged("silent")).isFalse();
        assertThat(host.acts).noneMatch(Action.CloseIdleConnections.class::isInstance);
    }

    @Test
    void aSlowFailedConnectClosesNoIdleConnection() {
        RequestId read = host.ask(RouterDriver.VIEW);
        String server = host.sends(read).get(0);
        host.tell(
                new Event.AttemptEnded(read, 0, new ServerId(server), Outcome.CONNECT_FAILED, 2500, false, null, null));
        host.probed(server, Role.REPLICA, host.nowMs);
        host.ends(host.ask(RouterDriver.SUBMIT), 0, "p", Outcome.SUCCEEDED, null);
        assertThat(host.acts).noneMatch(Action.CloseIdleConnections.class::isInstance);
    }

    @Test
    void aHungServerThatOnlyAnswersHealthChecksGetsOneRequestAtATime() {
        for (int i = 0; i < 30; i++) {
            host.ask(RouterDriver.HISTORY);
        }
        host.pass(900);
        host.levelled("p", "r1", "r2");
        assertThat(host.logged("server r1 returns: answers probes")).isTrue();
        assertThat(host.logged("server r1 returns: answers after")).isFalse();
    }

    @Test
    void anUnresponsiveReplicasReadsMoveToAnotherAndItIsReadmittedGradually() {
        RequestId read = host.ask(RouterDriver.VIEW);
        String first = host.sends(read).get(0);
        String other = first.equals("r1") ? "r2" : "r1";
        host.unanswered(first);
        host.unanswered(first);
        assertThat(host.calledOff(read)).isTrue();
        host.ends(read, 0, first, Outcome.CANCELLED, null);
        assertThat(host.sends(read)).containsExactly(first, other);
        host.nowMs += 3000;
        host.probed(first, Role.REPLICA, host.nowMs);
        assertThat(host.logged("returns: answers probes")).isTrue();
        host.ask(RouterDriver.VIEW);
        host.ask(RouterDriver.VIEW);
        assertThat(host.acts.stream()
                        .filter(a -> a instanceof Action.StartAttempt s
                                && s.server().text().equals(first))
                        .count())
                .isLessThanOrEqualTo(2);
    }

    @Test
    void aReadmittedPrimaryGetsATrialWriteWhileOldWritesAreStillInFlight() {
        for (int i = 0; i < 10; i++) {
            host.ask(RouterDriver.SUBMIT);
        }
        host.pass(700);
        assertThat(host.logged("server p silent")).isTrue();
        RequestId held = host.ask(RouterDriver.SUBMIT);
        assertThat(host.sends(held)).isEmpty();
        host.pass(400);
        host.levelled("p", "r1", "r2");
        assertThat(host.sends(held)).containsExactly("p");
        host.ask(RouterDriver.SUBMIT);
        assertThat(host.sends(host.ask(RouterDriver.SUBMIT)))
                .as("writes may be two at once")
                .isEmpty();
    }

    @Test
    void aServerWithoutTheExpectedResponsesIsEjected() {
        for (int i = 0; i < 8; i++) {
            host.ask(RouterDriver.HISTORY);
        }
        host.pass(600);
        assertThat(host.logged("silent: quiet")).isTrue();
    }

    @Test
    void aReplicaThatFailsFastIsEjected() {
        for (int i = 0; i < 12; i++) {
            RequestId read = host.ask(RouterDriver.HISTORY);
            for (int s = 0; s < host.sends(read).size() && s < 4; s++) {
                boolean bad = host.sends(read).get(s).equals("r1");
                host.ends(read, s, host.sends(read).get(s), bad ? Outcome.FAILED : Outcome.SUCCEEDED, null);
            }
        }
        assertThat(host.logged("server r1 silent: fails")).isTrue();
        assertThat(host.sends(host.ask(RouterDriver.HISTORY))).containsExactly("r2");
    }
}
