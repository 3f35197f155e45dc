package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an agent that holds no watch and so has the gateway fetch lists without a pause. */
@Timeout(120)
class DiscoveryFloodTest {
    private static final String ROW_7 = "row 07 ready";
    private static final long FLOOD_MS = 3000;
    private static final int MAX_CALLS_PER_S = 20; // a watch is started at most every 50 ms
    private static final int FIRST_CALLS = 3; // around the reload of the configuration

    @ParameterizedTest
    @ValueSource(ints = {0, 3200})
    void anAgentThatAnswersEachWatchAtOnceIsCalledAtALimitedRate(int unusedServers) throws Exception {
        String unused = IntStream.range(0, unusedServers)
                .mapToObj(i -> ",{\"id\":\"unused" + i + "\",\"host_port\":\"127.0.0.1:1\",\"cell\":1,"
                        + "\"phase\":\"DRAINING\"}")
                .collect(Collectors.joining());
        try (GatewayTestFixture fixture =
                        new GatewayTestFixture("p", "r1", "r2").answerReads().start();
                EagerDiscovery agent =
                        new EagerDiscovery(fixture.endpointList(EagerDiscovery.REVISION, true, "p", "r1", "r2")
                                .replace("]}", unused + "]}"))) {
            fixture.configurationEdit = configuration -> configuration.replace(
                    "\"discovery\":\"127.0.0.1:" + fixture.discovery.port(),
                    "\"discovery\":\"127.0.0.1:" + agent.port());
            TestClient client = fixture.connect();
            fixture.reloadConfiguration(256);
            fixture.awaitLog("from 127.0.0.1:" + agent.port());
            int firstAnswers = agent.answers.get();
            long startNanos = System.nanoTime();
            while (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) < FLOOD_MS) {
                assertThat(fixture.readWithRetries(client)).as(fixture::log).isEqualTo(ROW_7);
            }
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertThat(agent.answers.get() - firstAnswers)
                    .isBetween(1, (int) (elapsedMs * MAX_CALLS_PER_S / 1000) + FIRST_CALLS);
            fixture.awaitLog("discovery answers watches early");
            agent.list = fixture.endpointList(EagerDiscovery.REVISION, true, "p", "r1:DRAINING", "r2");
            fixture.awaitLog("server r1 listed DRAINING");
        }
    }
}
