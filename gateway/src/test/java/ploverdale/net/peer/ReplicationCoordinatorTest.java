package ploverdale.net.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import ploverdale.clock.Clock;
import ploverdale.clock.ServerClock;
import ploverdale.log.Log;
import ploverdale.membership.PacketQueue;
import ploverdale.model.Event.Outcome;
import ploverdale.model.Event.RequestArrived;
import ploverdale.model.GroupId;
import ploverdale.model.RequestClassId;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;
import ploverdale.model.TenantId;
import ploverdale.net.eventloop.SingleLoopVertx;
import ploverdale.net.postgres.ResultRow;
import ploverdale.net.postgres.ServerMessage.RowDescription;
import ploverdale.replication.Replicas;
import ploverdale.replication.ReplicationSettings;
import ploverdale.settings.GatewaySettings;
import ploverdale.settings.JsonFields;

/**
 * How a resubmitted write is answered, depending on the recorded outcome of its first submission. One gateway, its own
 * replica.
 */
class ReplicationCoordinatorTest {
    private static final int READ = 0;
    private static final int WRITE = 1;
    private static final RequestId REQUEST = new RequestId("r-1");
    private static final ServerId SERVER = new ServerId("s-1");
    private static final ResultRow ROW = new ResultRow(
            new RowDescription("val", 0, (short) 0, 25, (short) -1, -1, (short) 0), new byte[] {'v'}, "SELECT 1");
    private static final GatewaySettings SETTINGS = new GatewaySettings(1, JsonFields.parse("settings", """
            {"profiles":[{"name":"read","aimMs":10,"deadlineMs":200,"effect":"repeatable"},
            {"name":"write","aimMs":10,"deadlineMs":200,"effect":"once"}],
            "specifics":{"classRead":["eventual","mutate"]}}"""));
    private static final ReplicationSettings REPLICATION =
            new ReplicationSettings(1, false, 10_000, 400, 200_000, true, Set.of(), 1000, 1000, 0);

    private final Vertx vertx = SingleLoopVertx.create();
    private final Clock clock = Clock.system();
    private final List<String> decisions = new ArrayList<>();
    private long wallOffset = -300_000; // the replica starts 30 s in the past, longer than outcomes are retained
    private final ReplicationCoordinator coordinator = coordinator();

    private ReplicationCoordinator coordinator() {
        Log log = new Log(new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8));
        PacketQueue packets = new PacketQueue(1_000_000, clock.now());
        Replicas replicas = new Replicas(0, 1, 1, REPLICATION, new SplittableRandom(1), () -> clock.now() + wallOffset);
        wallOffset = 0;
        ReplicaRequests replicaRequests = new ReplicaRequests(replicas, action -> action.accept(packets, clock.now()));
        return new ReplicationCoordinator(
                vertx,
                log,
                new RecordedRequests(),
                SETTINGS,
                REPLICATION,
                replicaRequests,
                new ServerClock(log::line, clock));
    }

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private void submit(int requestClass, boolean resubmitted) {
        coordinator.onRequestArrived(
                new RequestArrived(
                        REQUEST,
                        new RequestClassId(requestClass),
                        new TenantId(0),
                        new GroupId(0),
                        null,
                        clock.now() + 100, // too early to retry the claim of an earlier submission
                        resubmitted,
                        0,
                        0),
                null);
    }

    private void attempt(Outcome outcome) {
        coordinator.attemptStarted(REQUEST);
        coordinator.attemptEnded(REQUEST, outcome, outcome == Outcome.SUCCEEDED);
    }

    @Test
    void aReadIsRoutedAtOnce() {
        submit(READ, false);
        assertThat(decisions).containsExactly("routed");
    }

    @Test
    void aResubmittedWriteThatSucceededIsAnsweredAsBeforeAndNotRoutedAgain() {
        submit(WRITE, false);
        attempt(Outcome.SUCCEEDED);
        coordinator.succeeded(REQUEST, ROW, null, SERVER);
        submit(WRITE, true);
        assertThat(decisions).containsExactly("routed", "succeeded", "succeeded before");
    }

    @Test
    void aResubmittedWriteThatProvablyDidNotRunIsRoutedAgain() {
        submit(WRITE, false);
        attempt(Outcome.REJECTED);
        coordinator.answered(REQUEST);
        submit(WRITE, true);
        assertThat(decisions).containsExactly("routed", "routed");
    }

    @Test
    void aResubmittedWriteThatMayHaveRunFails() {
        submit(WRITE, false);
        attempt(Outcome.TIMED_OUT);
        coordinator.answered(REQUEST);
        submit(WRITE, true);
        assertThat(decisions).containsExactly("routed", "failed");
    }

    @Test
    void aWriteWithAnAttemptInFlightKeepsItsClaimSoThatItsResubmissionFails() {
        submit(WRITE, false);
        coordinator.attemptStarted(REQUEST);
        coordinator.answered(REQUEST);
        submit(WRITE, true);
        assertThat(decisions).containsExactly("routed", "failed");
    }

    /** Records what is done with each request; the clients never disconnect. */
    private final class RecordedRequests implements ClientRequests {
        @Override
        public void route(RequestArrived request) {
            decisions.add("routed");
        }

        @Override
        public boolean isPending(RequestId request) {
            return true;
        }

        @Override
        public void succeeded(RequestId request, ResultRow row) {
            decisions.add("succeeded");
        }

        @Override
        public void succeededBefore(RequestId request, byte[] encodedRow) {
            decisions.add("succeeded before");
        }

        @Override
        public void failed(RequestId request) {
            decisions.add("failed");
        }

        @Override
        public void rejected(RequestId request) {
            decisions.add("rejected");
        }
    }
}
