package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What the router concludes when many servers stop answering at the same time: because its own process was paused,
 * because of a common cause, or because the servers are dead.
 */
class CommonCauseTest {
    private static final int SERVERS = 240;
    private static final int REQUESTS_PER_SECOND = 500;
    private static final long SEED = 7;

    private static VirtualFleet fleet(int servers) {
        System.out.println("seed " + SEED);
        return new VirtualFleet(servers, SEED);
    }

    @ParameterizedTest
    @CsvSource({"1, true", "1, false", "200, true"})
    void aPauseOfAllMachinesRightAfterTheStartEjectsNoServer(long pausedAtMs, boolean gatewayToo) {
        VirtualFleet fleet =
                fleet(SERVERS).withPause(pausedAtMs, 300, gatewayToo).simulate(10_000, REQUESTS_PER_SECOND);
        report(fleet, "paused after the start");
        assertThat(fleet.everEjected()).isEmpty();
        assertThat(fleet.succeeded).isGreaterThan(4500);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 15})
    void aPauseOfTheGatewayEjectsNoServerOfASmallFleet(int servers) {
        VirtualFleet fleet = fleet(servers)
                .withPause(1, 300, true)
                .withPause(5000, 600, true)
                .simulate(10_000, REQUESTS_PER_SECOND);
        report(fleet, servers + " servers, gateway paused");
        assertThat(fleet.everEjected()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"300, true", "300, false", "600, true", "600, false", "2000, true"})
    void aPauseDuringServiceEjectsNoServer(long durationMs, boolean gatewayToo) {
        VirtualFleet fleet =
                fleet(SERVERS).withPause(5000, durationMs, gatewayToo).simulate(12_000, 2 * REQUESTS_PER_SECOND);
        report(fleet, "paused during service for " + durationMs + " ms");
        assertThat(fleet.everEjected()).isEmpty();
    }

    @Test
    void frequentPausesEjectNoLiveServerAndADeadServerIsStillDetected() {
        VirtualFleet fleet = fleet(30).kill(5000, 7, 8);
        for (long at = 2000; at < 15_000; at += 250) {
            fleet.withPause(at, 150, true);
        }
        fleet.simulate(15_000, REQUESTS_PER_SECOND);
        report(fleet, "paused repeatedly");
        assertThat(fleet.everEjected()).containsOnlyKeys(VirtualFleet.id(7));
    }

    /**
     * Prevents local health awareness from delaying the detection of dead servers. The last two columns are the mean
     * and the longest detection time in ms without it.
     */
    @ParameterizedTest
    @CsvSource({
        "240, 160, 578.9, 1066",
        "240, 120, 559.6, 970",
        "240, 80, 553.3, 850",
        "15, 10, 408.0, 410",
        "15, 5, 410.0, 410",
        "6, 4, 410.0, 410",
        "2, 1, 410.0, 410",
        "2, 2, 410.0, 410",
        "1, 1, 410.0, 410",
    })
    void deadServersAreDetectedAsSoonAsWithoutLocalHealthAwareness(
            int servers, int dead, double meanMsWithout, long longestMsWithout) {
        VirtualFleet fleet =
                fleet(servers).kill(5000, servers - dead, servers).simulate(15_000, 2 * REQUESTS_PER_SECOND);
        report(fleet, dead + " of " + servers + " die");
        assertThat(fleet.everEjected()).hasSize(dead);
        assertThat(fleet.ejected()).hasSize(dead);
        // with more than 128 servers the first health checks are queued, which changes the order of random numbers
        assertThat(fleet.meanDetectionTime(5000)).isLessThan(meanMsWithout + (servers > 128 ? 5 : 0.1));
        assertThat(fleet.lastDetectionTime(5000)).isLessThanOrEqualTo(longestMsWithout);
    }

    /**
     * The last column is the longest detection time in ms without local health awareness. It may grow by the time that
     * is put down to a common cause, and a margin.
     */
    @ParameterizedTest
    @CsvSource({"15, 430", "240, 1050"})
    void ifAllServersDieTheyAreEjectedSoon(int servers, long longestMsWithout) {
        VirtualFleet fleet = fleet(servers).kill(5000, 0, servers).simulate(15_000, 2 * REQUESTS_PER_SECOND);
        report(fleet, "all of " + servers + " die");
        assertThat(fleet.ejected()).hasSize(servers);
        assertThat(fleet.lastDetectionTime(5000)).isLessThan(longestMsWithout + 750);
    }

    @Test
    void withMostServersDeadReadsContinueAtThoseThatAnswer() {
        VirtualFleet fleet = fleet(60);
        for (int group = 0; group < 12; group++) {
            fleet.kill(5000, 5 * group, 5 * group + 4); // only the last replica of each group stays alive
        }
        fleet.simulate(15_000, 200);
        report(fleet, "four in five die");
        assertThat(fleet.ejected()).hasSize(48);
        assertThat(fleet.succeeded).isGreaterThanOrEqualTo(2411); // the number without local health awareness
    }

    @Test
    void aServerThatNeverAnsweredIsEjectedAtItsFirstCheck() {
        VirtualFleet fleet = fleet(SERVERS).kill(0, SERVERS - 80, SERVERS).simulate(10_000, REQUESTS_PER_SECOND);
        report(fleet, "80 of 240 were never alive");
        assertThat(fleet.everEjected()).hasSize(80);
    }

    @ParameterizedTest
    @CsvSource({"15, 15", "120, 120", "240, 128"})
    void theFirstEndpointListStartsABoundedNumberOfHealthChecks(int servers, int atOnce) {
        VirtualFleet fleet = fleet(servers).simulate(200, 0);
        assertThat(fleet.mostHealthChecksInFlight()).isEqualTo(atOnce);
    }

    /** Prints the figures of a run. */
    private static void report(VirtualFleet fleet, String label) {
        System.out.printf(
                "%s: %d ejected, the last at %d ms (from 5000: mean %.1f), still ejected %d, last readmission at "
                        + "%d ms, %d requests succeeded, at most %d checks at once%n",
                label,
                fleet.everEjected().size(),
                fleet.everEjected().isEmpty() ? -1 : fleet.lastDetectionTime(0),
                fleet.everEjected().isEmpty() ? 0 : fleet.meanDetectionTime(5000),
                fleet.ejected().size(),
                fleet.lastReadmission(),
                fleet.succeeded,
                fleet.mostHealthChecksInFlight());
    }
}
