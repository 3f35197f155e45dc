package ploverdale.net.client;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ploverdale.log.Log;
import ploverdale.model.RequestId;

/** Tests the order of responses, and the memory that responses take while they wait for earlier ones. */
class RequestPipelineTest {
    private static final long MAX_WAITING_BYTES = 8 * 1024 * 1024;
    private static final int CLIENTS = 300;

    private final MemoryBudget memory = new MemoryBudget(new Log(new PrintStream(OutputStream.nullOutputStream())));
    private int requestCount;

    private PendingResponse awaited(RequestPipeline pipeline) {
        PendingResponse response = PendingResponse.of(new RequestId("r" + requestCount++));
        pipeline.add(response);
        return response;
    }

    private List<RequestPipeline> pipelines() {
        return IntStream.range(0, CLIENTS)
                .mapToObj(i -> new RequestPipeline(memory))
                .toList();
    }

    /** Regression test for answers that wait behind an unanswered request and are counted nowhere. */
    @Test
    void completeResponsesThatWaitForEarlierOnesAreCountedUntilTheyAreTaken() {
        RequestPipeline pipeline = new RequestPipeline(memory);
        PendingResponse first = awaited(pipeline);
        PendingResponse second = awaited(pipeline);
        assertThat(memory.usedBytes()).isEqualTo(MemoryBudget.MAX_RESPONSE_BYTES);
        second.complete(Buffer.buffer(new byte[1000]));
        assertThat(memory.usedBytes()).isEqualTo(1000);
        assertThat(pipeline.pollCompleted()).isNull();
        first.complete(Buffer.buffer(new byte[2000]));
        assertThat(pipeline.pollCompleted()).isSameAs(first);
        assertThat(pipeline.pollCompleted()).isSameAs(second);
        assertThat(memory.usedBytes()).isZero();
    }

    @Test
    void aResponseThatWaitsForNoOtherTakesNoMemory() {
        RequestPipeline pipeline = new RequestPipeline(memory);
        PendingResponse first = awaited(pipeline);
        awaited(pipeline);
        first.complete(Buffer.buffer());
        assertThat(pipeline.pollCompleted()).isSameAs(first);
        assertThat(pipeline.pollCompleted()).isNull();
        assertThat(memory.usedBytes()).isZero();
    }

    @Test
    void whileTheBudgetIsUsedUpEachClientRunsOneCommandAtATime() {
        List<RequestPipeline> pipelines = pipelines();
        for (RequestPipeline pipeline : pipelines) {
            do {
                awaited(pipeline);
            } while (!pipeline.isFull());
        }
        assertThat(memory.waitingResponseBytes())
                .isBetween(MAX_WAITING_BYTES - MemoryBudget.MAX_RESPONSE_BYTES, MAX_WAITING_BYTES);
        RequestPipeline last = pipelines.get(CLIENTS - 1);
        assertThat(last.inFlight()).hasSize(1);
        last.clear();
        assertThat(last.isFull()).isFalse();
        pipelines.get(0).clear();
        awaited(last);
        assertThat(last.isFull()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void inAnyOrderOfEventsWaitingResponsesStayWithinTheBudgetAndLeaveNothingBehind(long seed) {
        Random random = new Random(seed);
        List<RequestPipeline> pipelines = pipelines();
        List<PendingResponse> inFlight = new ArrayList<>();
        for (int step = 0; step < 100_000; step++) {
            RequestPipeline pipeline = pipelines.get(random.nextInt(CLIENTS));
            int event = random.nextInt(100);
            if (event == 0) {
                inFlight.removeAll(pipeline.inFlight());
                pipeline.clear();
            } else if (event < 60) {
                if (!pipeline.isFull()) {
                    inFlight.add(awaited(pipeline));
                }
            } else if (!inFlight.isEmpty()) {
                PendingResponse response = inFlight.remove(random.nextInt(inFlight.size()));
                response.complete(Buffer.buffer(new byte[random.nextInt(MemoryBudget.MAX_RESPONSE_BYTES)]));
            }
            if (random.nextInt(4) == 0) {
                while (pipeline.pollCompleted() != null) {
                    assertThat(memory.waitingResponseBytes()).isNotNegative();
                }
            }
            assertThat(memory.waitingResponseBytes())
                    .as("seed %d, step %d", seed, step)
                    .isBetween(0L, MAX_WAITING_BYTES);
        }
        pipelines.forEach(RequestPipeline::clear);
        assertThat(memory.usedBytes()).isZero();
        assertThat(memory.waitingResponseBytes()).isZero();
    }
}
