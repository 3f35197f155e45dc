package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * With removalNotBinding, a removed server may still be used unless it drained before. A drain that started and ended
 * between two responses of discovery must not be missed.
 */
@Timeout(120)
class SkippedDrainTest {
    private static final String ROW_7 = "row 07 ready";
    private static final int READS = 200;

    private static GatewayTestFixture started() throws Exception {
        GatewayTestFixture fixture = new GatewayTestFixture("p", "r1", "r2").answerReads();
        fixture.configurationEdit =
                configuration -> configuration.replace("\"contract\":{", "\"contract\":{\"removalNotBinding\":true,");
        return fixture.start();
    }

    private static int readsServedByR1After(GatewayTestFixture fixture, String update) throws Exception {
        fixture.discovery.awaitRequest("/registry/instances?from=1&hold_ms=2000");
        fixture.discovery.updates.add(update);
        fixture.discovery.awaitRequest("/registry/instances?from=4&hold_ms=2000"); // so the update has been applied
        TestClient client = fixture.connect();
        FakeDatabaseServer r1 = fixture.servers.get("r1");
        r1.receivedRequests.clear();
        for (int i = 0; i < READS; i++) {
            assertThat(fixture.readWithRetries(client)).as(fixture::log).isEqualTo(ROW_7);
        }
        return r1.receivedRequests.size();
    }

    @Test
    void aServerRemovedInAnUpdateThatSkipsRevisionsReceivesNothingSinceItMayHaveDrained() throws Exception {
        try (GatewayTestFixture fixture = started()) {
            assertThat(readsServedByR1After(fixture, fixture.endpointList(4, false, "r1:DELETED")))
                    .as(fixture::log)
                    .isZero();
        }
    }

    @Test
    void aServerMissingFromACompleteListThatSkipsRevisionsReceivesNothingSinceItMayHaveDrained() throws Exception {
        try (GatewayTestFixture fixture = started()) {
            assertThat(readsServedByR1After(fixture, fixture.endpointList(4, true, "p", "r2")))
                    .as(fixture::log)
                    .isZero();
        }
    }

    @Test
    void aServerRemovedWithoutASkippedRevisionIsStillUsed() throws Exception {
        try (GatewayTestFixture fixture = started()) {
            fixture.discovery.updates.add(fixture.endpointList(3, false));
            assertThat(readsServedByR1After(fixture, fixture.endpointList(4, false, "r1:DELETED")))
                    .as(fixture::log)
                    .isPositive();
        }
    }
}
