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
 * HTTP responses of discovery without Content-Length, which end where their connection is closed, and PostgreSQL
 * responses whose connection is closed before ReadyForQuery.
 */
@Timeout(120)
class LengthlessAnswerTest {
    private static final long UPDATE_WITHIN_MS = 6000;
    private static final int READY_FOR_QUERY_LENGTH = 6;

    /** Discovery whose responses have no Content-Length. */
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
                    return; // no response to a watch
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
                Thread.sleep(100); // so that the parts and the close are read separately
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
    }

    private static void moveDiscovery(GatewayTestFixture fixture, LengthlessDiscovery to) {
        fixture.configurationEdit = configuration -> configuration.replace(
                "\"discovery\":\"127.0.0.1:" + fixture.discovery.port(), "\"discovery\":\"127.0.0.1:" + to.port());
        fixture.reloadConfiguration(256);
    }

    @ParameterizedTest
    @ValueSource(strings = {"1.0", "1.1"})
    void aListWithoutLengthThatEndsWithAnOrdinaryCloseIsApplied(String version) throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p", "r1").start();
                LengthlessDiscovery discovery =
                        new LengthlessDiscovery(version, fixture.endpointList(5, true, "p"), false)) {
            long movedNanos = System.nanoTime();
            moveDiscovery(fixture, discovery);
            fixture.awaitLog("server r1 listed GONE");
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - movedNanos))
                    .as(fixture::log)
                    .isLessThan(UPDATE_WITHIN_MS);
            assertThat(discovery.calls).hasValue(1);
        }
    }

    @Test
    void aListWithoutLengthThatEndsWithAResetIsIgnoredAndRequestedAgain() throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p", "r1").start();
                LengthlessDiscovery discovery =
                        new LengthlessDiscovery("1.1", fixture.endpointList(5, true, "p"), true)) {
            moveDiscovery(fixture, discovery);
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(GatewayTestFixture.TIMEOUT_S);
            while (discovery.calls.get() < 4) {
                assertThat(System.nanoTime()).as(fixture::log).isLessThan(end);
                Thread.sleep(20);
            }
            assertThat(fixture.log()).doesNotContain("server r1 listed GONE");
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRowWithCommandCompleteIsForwardedThoughReadyForQueryIsMissing(boolean resets) throws Exception {
        try (GatewayTestFixture fixture = new GatewayTestFixture("p").start()) {
            TestClient client = fixture.connect().sendQuery(fixture.queryText("order"));
            ReceivedQuery query = fixture.servers.get("p").nextQuery();
            Buffer answer = query.resultMessages(new byte[] {7});
            FakeDatabaseServer.write(
                    query.socket(), answer.getBuffer(0, answer.length() - READY_FOR_QUERY_LENGTH), false);
            Thread.sleep(100); // so that the response and the close are read separately
            query.socket().setSoLinger(resets, 0);
            query.socket().close();
            assertThat(client.readResponse()).as(fixture::log).isEqualTo("row 07 ready");
        }
    }
}
