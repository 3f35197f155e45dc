package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.RequestId;

/** Tests through the router which member of a group is taken for its primary. */
class RoleTrackingTest {
    private final RouterDriver driver = RouterDriver.withCaughtUpReplicas();

    @Test
    void aMisdirectedWriteDemotesThatMemberAndWaitsForHealthChecks() {
        RequestId write = driver.request(TestRouterSettings.WRITE);
        driver.attemptEnded(write, 0, "p", Outcome.MISDIRECTED, null);
        assertThat(driver.attempts(write)).hasSize(1);
        driver.nowMs += 400;
        driver.healthCheckSucceeded("r2", Role.PRIMARY, driver.nowMs);
        assertThat(driver.attempts(write)).containsExactly("p", "r2");
    }

    @Test
    void aReportOfThePrimaryRoleIsIgnoredRightAfterAMisdirectedWrite() {
        RequestId read = driver.request(TestRouterSettings.FRESH_READ);
        RequestId write = driver.request(TestRouterSettings.WRITE);
        driver.attemptEnded(write, 0, "p", Outcome.MISDIRECTED, null);
        driver.nowMs += 20;
        driver.attemptEnded(
                read,
                0,
                "p",
                Outcome.SUCCEEDED,
                RouterDriver.report(Role.PRIMARY, driver.nowMs)); // the server still reports its former role
        assertThat(driver.attempts(write)).containsExactly("p");
        driver.nowMs += 150;
        driver.healthCheckSucceeded("p", Role.PRIMARY, driver.nowMs);
        assertThat(driver.attempts(write)).containsExactly("p", "p");
    }

    @Test
    void anOutdatedReportDoesNotRestoreAFormerPrimary() {
        driver.attemptEnded(driver.request(TestRouterSettings.WRITE), 0, "p", Outcome.MISDIRECTED, null);
        driver.nowMs += 100;
        driver.healthCheckSucceeded("p", Role.PRIMARY, driver.nowMs - 200);
        assertThat(driver.attempts(driver.request(TestRouterSettings.WRITE))).isEmpty();
    }

    /** Regression test for a former primary that is restored by an answer which it wrote before it lost the role. */
    @Test
    void anAnswerThatIsReadLateDoesNotRestoreAFormerPrimary() {
        RequestId delayed = driver.request(TestRouterSettings.FRESH_READ);
        RequestId read = driver.request(TestRouterSettings.FRESH_READ);
        long writtenAtMs = driver.nowMs;
        driver.nowMs += 200;
        driver.attemptEnded(read, 0, "p", Outcome.SUCCEEDED, RouterDriver.report(Role.REPLICA, driver.nowMs));
        driver.nowMs += 10;
        driver.attemptEnded(delayed, 0, "p", Outcome.SUCCEEDED, RouterDriver.report(Role.PRIMARY, writtenAtMs));
        assertThat(driver.attempts(driver.request(TestRouterSettings.WRITE))).isEmpty();
    }
}
