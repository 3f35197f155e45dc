package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import ploverdale.model.Action;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ReplicaGuarantees;
import ploverdale.model.RequestId;
import ploverdale.model.WriteConditions;

/** Tests through the router which replicas are fresh enough for a read. */
class StalenessFilterTest {
    private final RouterDriver driver = RouterDriver.withCaughtUpReplicas();

    @Test
    void aReplicaBeyondTheBoundGetsNoBoundedReadsButStillUnboundedOnes() {
        driver.nowMs += 400;
        driver.healthCheckSucceeded("r1", Role.REPLICA, driver.nowMs);
        driver.nowMs += 150;
        for (int i = 0; i < 5; i++) {
            assertThat(driver.attempts(driver.request(TestRouterSettings.BOUNDED_READ)))
                    .containsExactly("r1");
        }
        assertThat(driver.attempts(driver.request(TestRouterSettings.UNBOUNDED_READ)))
                .containsExactly("r2");
    }

    @Test
    void ifReplicasCheckStalenessASlightlyLaggingOneIsPreferredUntilItRejectsARead() {
        RouterDriver checkingDriver =
                new RouterDriver(new TestRouterSettings().stalenessCheck(ReplicaGuarantees.StalenessCheck.WAITS));
        checkingDriver.updateEndpoints(true, "p", "r1");
        checkingDriver.catchUp("p", "r1");
        checkingDriver.nowMs += 560;
        RequestId read = checkingDriver.request(TestRouterSettings.BOUNDED_READ);
        checkingDriver.nowMs += 50;
        checkingDriver.attemptEnded(
                read, 0, "r1", Outcome.MISDIRECTED, RouterDriver.report(Role.REPLICA, checkingDriver.nowMs - 700));
        assertThat(checkingDriver.attempts(read)).startsWith("r1");
        assertThat(checkingDriver.attempts(checkingDriver.request(TestRouterSettings.BOUNDED_READ)))
                .containsExactly("p");
    }

    @Test
    void ifReplicasCheckStalenessOneReadPerSecondIsSentDespiteOutdatedReports() {
        RouterDriver checkingDriver =
                new RouterDriver(new TestRouterSettings().stalenessCheck(ReplicaGuarantees.StalenessCheck.WAITS));
        checkingDriver.updateEndpoints(true, "r1");
        checkingDriver.healthCheckSucceeded("r1", Role.REPLICA, checkingDriver.nowMs - 5200);
        RequestId unverified = checkingDriver.request(TestRouterSettings.BOUNDED_READ);
        assertThat(checkingDriver.attempts(unverified)).containsExactly("r1");
        assertThat(checkingDriver.rejections(checkingDriver.request(TestRouterSettings.BOUNDED_READ)))
                .isEqualTo(1);
        checkingDriver.nowMs += 50;
        checkingDriver.attemptEnded(
                unverified, 0, "r1", Outcome.SUCCEEDED, RouterDriver.report(Role.REPLICA, checkingDriver.nowMs - 10));
        assertThat(checkingDriver.attempts(checkingDriver.request(TestRouterSettings.BOUNDED_READ)))
                .containsExactly("r1");
    }

    @Test
    void sessionReadsGoOnlyToServersThatHaveTheSessionsLastWrite() {
        RequestId write = driver.request(TestRouterSettings.WRITE, "s", 0);
        driver.nowMs += 100;
        driver.attemptEnded(write, 0, "p", Outcome.SUCCEEDED, RouterDriver.report(Role.PRIMARY, driver.nowMs));
        assertThat(driver.attempts(driver.request(TestRouterSettings.SESSION_READ, "s", 0)))
                .containsExactly("p");
        assertThat(driver.attempts(driver.request(TestRouterSettings.SESSION_READ, "other", 0)))
                .isSubsetOf("r1", "r2")
                .hasSize(1);
        driver.healthCheckSucceeded("r1", Role.REPLICA, driver.nowMs + 1);
        assertThat(driver.attempts(driver.request(TestRouterSettings.SESSION_READ, "s", 0)))
                .containsExactly("r1");
    }

    @Test
    void aSessionTokenSetsTheRequiredPositionAndAZeroTokenAdmitsAnyReplica() {
        RouterDriver tokenDriver = new RouterDriver(new TestRouterSettings().sessionTokens());
        tokenDriver.updateEndpoints(true, "p", "r1");
        tokenDriver.catchUp("p", "r1");
        tokenDriver.nowMs += 100;
        assertThat(tokenDriver.attempts(tokenDriver.request(TestRouterSettings.SESSION_READ, "s", 50)))
                .containsExactly("p");
        assertThat(tokenDriver.attempts(tokenDriver.request(TestRouterSettings.SESSION_READ, "s", 0)))
                .containsExactly("r1");
        assertThat(tokenDriver.attempts(tokenDriver.request(TestRouterSettings.SESSION_READ, "s", 200)))
                .containsExactly("r1");
    }

    @Test
    void aBoundedReadMustBeWrittenToAReplicaBeforeItsKnownPositionIsTooOld() {
        RouterDriver freshDriver = RouterDriver.withCaughtUpReplicas();
        freshDriver.advance(100); // r1 and r2 have reported nothing since
        RequestId read = freshDriver.request(TestRouterSettings.BOUNDED_READ);
        Action.StartAttempt readAttempt = freshDriver.actions.stream()
                .filter(action -> action instanceof Action.StartAttempt start
                        && start.request().equals(read))
                .map(action -> (Action.StartAttempt) action)
                .findFirst()
                .orElseThrow();
        assertThat(readAttempt.server().value()).startsWith("r");
        // The router takes a position to be up to a millisecond earlier than reported.
        assertThat(readAttempt.writeConditions()).isEqualTo(new WriteConditions(100_000 * 10 - 10 + 5000, true, false));
        RequestId write = freshDriver.request(TestRouterSettings.WRITE);
        assertThat(freshDriver.actions.stream()
                        .filter(action -> action instanceof Action.StartAttempt start
                                && start.request().equals(write))
                        .map(action -> ((Action.StartAttempt) action).writeConditions()))
                .containsExactly(new WriteConditions(Long.MAX_VALUE, false, false));
    }

    @Test
    void onlyReadsWithAnAgeLimitRelyOnThePrimary() {
        RouterDriver primaryDriver = RouterDriver.withCaughtUpReplicas();
        RequestId fresh = primaryDriver.request(TestRouterSettings.FRESH_READ);
        RequestId write = primaryDriver.request(TestRouterSettings.WRITE);
        List<Action.StartAttempt> attempts = primaryDriver.actions.stream()
                .filter(Action.StartAttempt.class::isInstance)
                .map(Action.StartAttempt.class::cast)
                .toList();
        assertThat(attempts).extracting(Action.StartAttempt::request).containsExactly(fresh, write);
        assertThat(attempts)
                .extracting(attempt -> attempt.writeConditions().reliesOnPrimary())
                .containsExactly(true, false);
    }
}
