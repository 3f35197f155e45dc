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

/** Tests through the router which faults eject a server or close its idle connections, and how it is readmitted. */
class OutlierDetectionTest {
    private final RouterDriver driver = RouterDriver.withCaughtUpReplicas();

    @Test
    void rejectedHealthChecksDoNotEjectAServer() {
        driver.nowMs += 3000;
        for (int i = 0; i < 3; i++) {
            driver.deliver(new Event.HealthCheckEnded(new ServerId("r1"), Outcome.REJECTED, null));
        }
        assertThat(driver.logged("silent")).isFalse();
        assertThat(driver.attempts(driver.request(TestRouterSettings.UNBOUNDED_READ)))
                .containsExactly("r1");
    }

    @Test
    void consecutiveRefusedConnectionsAtALiveServerCloseIdleConnections() {
        RequestId write = driver.request(TestRouterSettings.WRITE);
        for (int attempt = 0; attempt < 2; attempt++) {
            assertThat(driver.actions).noneMatch(Action.CloseIdleConnections.class::isInstance);
            driver.deliver(new Event.AttemptEnded(
                    write, attempt, new ServerId("p"), Outcome.CONNECT_FAILED, 10, false, null, null));
            assertThat(driver.healthChecks("p")).isEqualTo(2 + attempt);
            driver.healthCheckSucceeded("p", Role.PRIMARY, driver.nowMs);
        }
        driver.attemptEnded(write, 2, "p", Outcome.SUCCEEDED, null);
        assertThat(driver.actions).contains(new Action.CloseIdleConnections(new ServerId("p")));
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"CONNECT_INTERRUPTED", "CONNECT_FAILED", "CONNECTION_LOST"})
    void sporadicResetsNeitherLowerAServersLimitNorEjectIt(Outcome outcome) {
        for (int i = 0; i < 60; i++) { // one request in eight fails, at any server, as on an unreliable network
            for (int j = 0; j < 8; j++) {
                RequestId read = driver.request(TestRouterSettings.UNBOUNDED_READ);
                if (j == 0) {
                    driver.deliver(new Event.AttemptEnded(
                            read, 0, new ServerId(driver.attempts(read).get(0)), outcome, 100, false, null, null));
                }
                int lastAttempt = driver.attempts(read).size() - 1;
                driver.attemptEnded(
                        read,
                        lastAttempt,
                        driver.attempts(read).get(lastAttempt),
                        Outcome.SUCCEEDED,
                        RouterDriver.report(Role.REPLICA, driver.nowMs));
                driver.advance(100);
                driver.catchUp("p", "r1", "r2");
            }
        }
        List<RequestId> reads = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            reads.add(driver.request(TestRouterSettings.UNBOUNDED_READ));
        }
        assertThat(reads).allMatch(read -> driver.attempts(read).size() == 1);
        assertThat(driver.logged("silent")).isFalse();
        assertThat(driver.actions).noneMatch(Action.CloseIdleConnections.class::isInstance);
    }

    @Test
    void aSlowFailedConnectClosesNoIdleConnection() {
        RequestId read = driver.request(TestRouterSettings.BOUNDED_READ);
        String server = driver.attempts(read).get(0);
        driver.deliver(
                new Event.AttemptEnded(read, 0, new ServerId(server), Outcome.CONNECT_FAILED, 2500, false, null, null));
        driver.healthCheckSucceeded(server, Role.REPLICA, driver.nowMs);
        driver.attemptEnded(driver.request(TestRouterSettings.WRITE), 0, "p", Outcome.SUCCEEDED, null);
        assertThat(driver.actions).noneMatch(Action.CloseIdleConnections.class::isInstance);
    }

    @Test
    void aHungServerThatOnlyAnswersHealthChecksGetsOneRequestAtATime() {
        for (int i = 0; i < 30; i++) {
            driver.request(TestRouterSettings.UNBOUNDED_READ);
        }
        driver.advance(900);
        driver.catchUp("p", "r1", "r2");
        assertThat(driver.logged("server r1 returns: answers probes")).isTrue();
        assertThat(driver.logged("server r1 returns: answers after")).isFalse();
    }

    @Test
    void readsAtAnUnresponsiveReplicaAreRetriedAtAnotherAndItIsReadmittedGradually() {
        RequestId read = driver.request(TestRouterSettings.BOUNDED_READ);
        String first = driver.attempts(read).get(0);
        String other = first.equals("r1") ? "r2" : "r1";
        driver.healthCheckTimedOut(first);
        driver.healthCheckTimedOut(first);
        assertThat(driver.cancelled(read)).isTrue();
        driver.attemptEnded(read, 0, first, Outcome.CANCELLED, null);
        assertThat(driver.attempts(read)).containsExactly(first, other);
        driver.nowMs += 3000;
        driver.healthCheckSucceeded(first, Role.REPLICA, driver.nowMs);
        assertThat(driver.logged("returns: answers probes")).isTrue();
        driver.request(TestRouterSettings.BOUNDED_READ);
        driver.request(TestRouterSettings.BOUNDED_READ);
        assertThat(driver.actions.stream()
                        .filter(action -> action instanceof Action.StartAttempt start
                                && start.server().value().equals(first))
                        .count())
                .isLessThanOrEqualTo(2);
    }

    @Test
    void aReadmittedPrimaryGetsAtMostTwoWritesWhileEarlierWritesAreStillInFlight() {
        for (int i = 0; i < 10; i++) {
            driver.request(TestRouterSettings.WRITE);
        }
        driver.advance(700);
        assertThat(driver.logged("server p silent")).isTrue();
        RequestId queued = driver.request(TestRouterSettings.WRITE);
        assertThat(driver.attempts(queued)).isEmpty();
        driver.advance(400);
        driver.catchUp("p", "r1", "r2");
        assertThat(driver.attempts(queued)).containsExactly("p");
        driver.request(TestRouterSettings.WRITE);
        assertThat(driver.attempts(driver.request(TestRouterSettings.WRITE)))
                .as("at most two writes in flight")
                .isEmpty();
    }

    @Test
    void aServerThatDoesNotAnswerItsAttemptsIsEjected() {
        for (int i = 0; i < 8; i++) {
            driver.request(TestRouterSettings.UNBOUNDED_READ);
        }
        driver.advance(600);
        assertThat(driver.logged("silent: quiet")).isTrue();
    }

    @Test
    void aReplicaThatFailsFastIsEjected() {
        for (int i = 0; i < 12; i++) {
            RequestId read = driver.request(TestRouterSettings.UNBOUNDED_READ);
            for (int attempt = 0; attempt < driver.attempts(read).size() && attempt < 4; attempt++) {
                boolean fails = driver.attempts(read).get(attempt).equals("r1");
                driver.attemptEnded(
                        read,
                        attempt,
                        driver.attempts(read).get(attempt),
                        fails ? Outcome.FAILED : Outcome.SUCCEEDED,
                        null);
            }
        }
        assertThat(driver.logged("server r1 silent: fails")).isTrue();
        assertThat(driver.attempts(driver.request(TestRouterSettings.UNBOUNDED_READ)))
                .containsExactly("r2");
    }
}
