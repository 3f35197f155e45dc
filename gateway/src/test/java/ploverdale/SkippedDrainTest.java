package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Removals where only a drain binds, and one may have begun and ended between two answers of discovery. */
@Timeout(120)
class SkippedDrainTest {
    private static final String ROW_7 = "row 07 ready";
    private static final int READS = 200;

    private static GatewayTestFixture started() throws Exception {
        GatewayTestFixture net = new GatewayTestFixture("p", "r1", "r2").answerReads();
        net.configurationEdit = told -> told.replace("\"contract\":{", "\"contract\":{\"removalNotBinding\":true,");
        return net.start();
    }

    private static int readsServedByR1After(GatewayTestFixture net, String update) throws Exception {
        net.discovery.awaitRequest("/registry/instances?from=1&hold_ms=2000");
        net.discovery.updates.add(update);
        net.discovery.awaitRequest("/registry/instances?from=4&hold_ms=2000"); // so the update has been read
        TestClient client = net.connect();
        FakeDatabaseServer r1 = net.servers.get("r1");
        r1.receivedRequests.clear();
        for (int i = 0; i < READS; i++) {
            assertThat(net.readWithRetries(client)).as(net::log).isEqualTo(ROW_7);
        }
        return r1.receivedRequests.size();
    }

    @Test
    void aServerRemovedInAnUpdateThatSkipsRevisionsMayHaveDrainedAndGetsNothing() throws Exception {
        try (GatewayTestFixture net = started()) {
            assertThat(readsServedByR1After(net, net.endpointList(4, false, "r1:DELETED")))
                    .as(net::log)
                    .isZero();
        }
    }

    @Test
    void aServerLeftOutOfACompleteListThatSkipsRevisionsMayHaveDrainedAndGetsNothing() throws Exception {
        try (GatewayTestFixture net = started()) {
            assertThat(readsServedByR1After(net, net.endpointList(4, true, "p", "r2")))
                    .as(net::log)
                    .isZero();
        }
    }

    @Test
    void aServerRemovedAfterAnUpdateWithoutEntriesDidNotDrainAndIsStillUsed() throws Exception {
        try (GatewayTestFixture net = started()) {
            net.discovery.updates.add(net.endpointList(3, false));
            assertThat(readsServedByR1After(net, net.endpointList(4, false, "r1:DELETED")))
                    .as(net::log)
                    .isPositive();
        }
    }
}
