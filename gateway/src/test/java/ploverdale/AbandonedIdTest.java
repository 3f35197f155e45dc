package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Regression tests for requests that ran twice because their id came again after its client had left. */
@Timeout(60)
class AbandonedIdTest {
    @Test
    void anIdWhoseRequestMayHaveRunIsNotForwardedAgainAfterItsClientLeft() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            String query = net.queryText("order");
            TestClient left = net.connect().sendQuery(query);
            ReceivedQuery attempt = net.servers.get("p").nextQuery();
            left.close();
            attempt.awaitClosedByGateway();
            TestClient other = net.connect().sendQuery(query);
            assertThat(other.readResponse()).as(net::log).isEqualTo("42710 ready");
            assertThat(net.servers.get("p").receivedRequests).as(net::log).hasSize(1);
            TestClient third = net.connect().sendQuery(net.queryText("order"));
            net.servers.get("p").nextQuery().sendRow(new byte[] {7});
            assertThat(third.readResponse()).as("another id is served").isEqualTo("row 07 ready");
        }
    }

    /** Regression test for a write that was refused, as if it had run, though nothing of it had been sent to a server. */
    @Test
    void anIdOfWhichNothingWasSentBeforeItsClientLeftIsServed() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            FakeDatabaseServer server = net.servers.get("p");
            server.answersWrites = true;
            assertThat(net.connect().sendQuery(net.queryText("order")).readResponse())
                    .isEqualTo("row 07 ready"); // leaves an idle connection to the server
            String query = net.queryText("order");
            TestClient left = net.connect();
            net.pauseLoopWhileReading();
            left.sendQuery(query).close();
            net.resume();
            TestClient other = net.connect(); // takes a turn of the event loop after the one that reads the first
            assertThat(other.sendQuery(query).readResponse()).as(net::log).isEqualTo("row 07 ready");
            assertThat(server.receivedRequests)
                    .as("the write before and one attempt: %s", net.log())
                    .hasSize(2);
        }
    }

    /** Regression test for a write that ran again: it had been answered, but its client had left without the answer. */
    @Test
    void anIdWhoseWriteWasAnsweredIsNotForwardedAgain() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            String query = net.queryText("order");
            TestClient first = net.connect().sendQuery(query);
            net.servers.get("p").nextQuery().sendRow(new byte[] {7});
            assertThat(first.readResponse()).as(net::log).isEqualTo("row 07 ready");
            TestClient other = net.connect().sendQuery(query);
            assertThat(other.readResponse()).as(net::log).isEqualTo("42710 ready");
            assertThat(net.servers.get("p").receivedRequests).as(net::log).hasSize(1);
        }
    }
}
