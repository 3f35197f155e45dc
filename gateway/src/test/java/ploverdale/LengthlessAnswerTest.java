package ploverdale;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Answers over HTTP without a length, whose end is the end of their connection. Only discovery speaks HTTP here; messages
 * of the PostgreSQL protocol always carry their length.
 */
@Timeout(120)
class LengthlessAnswerTest {
    private static final long TOLD_WITHIN_MS = 6000;
    private static final int READY_FOR_QUERY_LENGTH = 6;

    /** Discovery whose answers have no length. */
    private static final class LengthlessDiscovery extends LoopbackServer {
        final AtomicInteger calls = new AtomicInteger();
        private final String version;
        private final String list;
        private final boolean resets;

        LengthlessDiscovery(String version, String list, boolean resets) throws IOException {
            this.version = version;
            this.list = list;
            this.resets = resets;
        }

        @Override
        void serve(Socket socket) throws IOException {
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), UTF_8));
            for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                if (line.contains("?")) {
                    return; // a watch is held
                }
            }
            calls.incrementAndGet();
            socket.getOutputStream().write(("HTTP/" + version + " 200 OK\r\n\r\n").getBytes(UTF_8));
            byte[] body = list.getBytes(UTF_8);
            socket.getOutputStream().write(body, 0, body.length / 2);
            pause();
            socket.getOutputStream().write(body, body.length / 2, body.length - body.length / 2);
            pause();
            socket.setSoLinger(resets, 0);
            socket.close();
        }

        private static void pause() throws IOException {
            try {
                Thread.sleep(100); // so that the parts and the end are read one by one
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
    }

    private static void moveDiscovery(GatewayTestFixture net, LengthlessDiscovery to) {
        net.configurationEdit = told -> told.replace(
                "\"discovery\":\"127.0.0.1:" + net.discovery.port(), "\"discovery\":\"127.0.0.1:" + to.port());
        net.reloadConfiguration(256);
    }

    @ParameterizedTest
    @ValueSource(strings = {"1.0", "1.1"})
    void aListWithoutALengthThatEndsInOrderIsInForce(String version) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").start();
                LengthlessDiscovery discovery = new LengthlessDiscovery(version, net.endpointList(5, true, "p"), false)) {
            long moved = System.nanoTime();
            moveDiscovery(net, discovery);
            net.awaitLog("server r1 listed GONE");
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - moved))
                    .as(net::log)
                    .isLessThan(TOLD_WITHIN_MS);
            assertThat(discovery.calls).hasValue(1);
        }
    }

    @Test
    void aListWithoutALengthThatEndsByAResetChangesNothingAndIsAskedForAgain() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p", "r1").start();
                LengthlessDiscovery discovery = new LengthlessDiscovery("1.1", net.endpointList(5, true, "p"), true)) {
            moveDiscovery(net, discovery);
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(GatewayTestFixture.TIMEOUT_S);
            while (discovery.calls.get() < 4) {
                assertThat(System.nanoTime()).as(net::log).isLessThan(end);
                Thread.sleep(20);
            }
            assertThat(net.log()).doesNotContain("server r1 listed GONE");
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRowWithItsCommandCompleteIsForwardedThoughReadyForQueryNeverComes(boolean resets) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            TestClient client = net.connect().sendQuery(net.queryText("order"));
            ReceivedQuery query = net.servers.get("p").nextQuery();
            Buffer answer = query.resultMessages(new byte[] {7});
            FakeDatabaseServer.write(query.socket(), answer.getBuffer(0, answer.length() - READY_FOR_QUERY_LENGTH), false);
            Thread.sleep(100); // so that the answer and the end are read one by one
            query.socket().setSoLinger(resets, 0);
            query.socket().close();
            assertThat(client.readResponse()).as(net::log).isEqualTo("row 07 ready");
        }
    }
}
