package ploverdale.net.peer;

import io.vertx.core.Vertx;
import java.util.function.Consumer;
import ploverdale.clock.ServerClock;
import ploverdale.log.Log;
import ploverdale.model.RequestId;
import ploverdale.replication.ClaimState;
import ploverdale.replication.QuorumResult;
import ploverdale.replication.QuorumResult.Status;
import ploverdale.replication.Replicas;
import ploverdale.replication.ReplicationSettings;

/**
 * Ensures that at most one gateway sends a write at a time. A write is routed when the replicas have granted a claim to
 * it. A write that was submitted before is answered with the outcome of the earlier submission. Used on the event loop
 * only.
 */
final class WriteClaims {
    /** Delay before a claim is retried while the outcome of an earlier submission is still unknown, in milliseconds. */
    static final long RETRY_INTERVAL_MS = 40;

    private static final long TICKS_PER_MS = 10;

    private final Vertx vertx;
    private final Log log;
    private final ClientRequests requests;
    private final ReplicationSettings settings;
    private final ReplicaRequests replicas;
    private final ServerClock clock;
    private final Consumer<RequestId> removeWrite;

    /**
     * @param removeWrite is called with the id of each write that is not routed: it is answered here, or its client has
     *     disconnected
     */
    WriteClaims(
            Vertx vertx,
            Log log,
            ClientRequests requests,
            ReplicationSettings settings,
            ReplicaRequests replicas,
            ServerClock clock,
            Consumer<RequestId> removeWrite) {
        this.vertx = vertx;
        this.log = log;
        this.requests = requests;
        this.settings = settings;
        this.replicas = replicas;
        this.clock = clock;
        this.removeWrite = removeWrite;
    }

    /** Routes the write when its claim is granted, or answers it with the outcome of its earlier submission. */
    void claim(PendingWrite write) {
        replicas.start(
                (store, now, packets) -> store.claimWrite(
                        now, idempotencyKey(write), !write.request().resubmitted(), write.arrivedAt(), packets),
                result -> onClaim(write, result));
    }

    private void onClaim(PendingWrite write, QuorumResult result) {
        if (result.status() == Status.GRANTED) {
            onGranted(write, result);
        } else if (!requests.isPending(write.id())) {
            removeWrite.accept(write.id());
        } else if (result.status() == Status.ALREADY_EXECUTED) {
            onAlreadyExecuted(write, result.response());
        } else if (hasTimeForAnotherClaim(write)) {
            vertx.setTimer(RETRY_INTERVAL_MS, x -> claim(write));
        } else {
            removeWrite.accept(write.id());
            requests.failed(write.id());
            log.rateLimited("a write submitted before", "errored, since it may have run"); // log line: on-call guide
        }
    }

    private void onGranted(PendingWrite write, QuorumResult result) {
        write.setClaim(result.claim());
        if (requests.isPending(write.id())) {
            requests.route(write.request());
            return;
        }
        removeWrite.accept(write.id());
        release(write); // the client has disconnected, and no attempt was made
    }

    private void onAlreadyExecuted(PendingWrite write, byte[] encodedRow) {
        removeWrite.accept(write.id());
        if (encodedRow.length > 0) {
            requests.succeededBefore(write.id(), encodedRow);
        } else {
            requests.failed(write.id());
        }
    }

    private boolean hasTimeForAnotherClaim(PendingWrite write) {
        long neededMs = RETRY_INTERVAL_MS + settings.quorumTimeout() / TICKS_PER_MS;
        return clock.now() + neededMs * TICKS_PER_MS < write.request().timeoutAt();
    }

    /** Records that the write never ran, so that a later submission of it may be sent. Does nothing without a claim. */
    void release(PendingWrite write) {
        if (!write.hasClaim()) {
            return;
        }
        replicas.start(
                (store, now, packets) -> store.writeOutcome(
                        now,
                        idempotencyKey(write),
                        write.claim(),
                        ClaimState.NEVER_RAN,
                        new byte[0],
                        0,
                        false,
                        packets),
                result -> {});
    }

    /** Returns the key under which the replicas store the outcome of the write. */
    static long idempotencyKey(PendingWrite write) {
        return Replicas.key(false, write.id().value());
    }
}
