package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against reads of the latest data from a former primary that lost its role while they waited for a connection. */
@Timeout(120)
class DemotionWhileConnectingTest {
    private static final String READ_ONLY_TRANSACTION = "25006";
    private static final String ROW_7 = "row 07 ready";
    private static final long READ_DEADLINE_MS = 4000;

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aReadOfTheLatestDataIsWrittenOnlyIfItsServerIsStillThePrimary(boolean demoted) throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p")) {
            fixture.configurationEdit =
                    configuration -> configuration.replace("\"classRead\":[\"lag_bound\"", "\"classRead\":[\"strong\"");
            fixture.start();
            FakeDatabaseServer primary = fixture.servers.get("p");
            TestClient writer = fixture.connect().sendQuery(fixture.queryText("order"));
            ReceivedQuery write = primary.nextQuery(); // occupies the connection opened for the health check
            CountDownLatch startupGate = new CountDownLatch(1);
            primary.startupGate = startupGate;
            primary.acceptedConnections.clear();
            TestClient reader = fixture.connect().sendQuery(fixture.queryText("page", READ_DEADLINE_MS));
            assertThat(primary.acceptedConnections.poll(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                    .as("a connection for the read:\n%s", fixture.log())
                    .isNotNull();
            if (demoted) {
                primary.loadReportOverride = "x0=" + System.currentTimeMillis() / 1000 + ",x1=0,busy=0.1";
                write.sendError(READ_ONLY_TRANSACTION);
                fixture.awaitLog("primary no longer p");
                startupGate.countDown();
                assertThat(reader.readResponse()).as(fixture::log).startsWith("53300");
                assertThat(primary.receivedRequests).as(fixture::log).hasSize(1);
                fixture.awaitLog("not sent to a former primary: p");
            } else {
                startupGate.countDown();
                primary.nextQuery().sendRow(new byte[] {7});
                assertThat(reader.readResponse()).as(fixture::log).isEqualTo(ROW_7);
                write.sendRow(new byte[] {7});
                assertThat(writer.readResponse()).as(fixture::log).isEqualTo(ROW_7);
            }
        }
    }
}
