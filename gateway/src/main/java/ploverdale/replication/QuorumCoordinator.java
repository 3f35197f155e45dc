package ploverdale.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ploverdale.replication.QuorumResult.Status;
import ploverdale.replication.ReplicationMessage.ClaimResponse;
import ploverdale.replication.ReplicationMessage.PositionResponse;
import ploverdale.replication.ReplicationMessage.Response;
import ploverdale.replication.ReplicationMessage.WriteResponse;

/**
 * Coordinates this gateway's quorum operations: sends each one to the replicas of its key, repeats it to those that
 * have not answered, and completes it once a majority of answers decides it or its deadline has passed. If this
 * gateway is itself one of the replicas, it answers at once, without a message.
 *
 * <p>Positions and timestamps of entries are Unix times, all other times are of a monotonic clock; both in tenths of
 * a millisecond. Not thread-safe: used on the thread of {@link Replicas}.
 */
final class QuorumCoordinator {
    private static final long TICKS_PER_MS = 10;
    /** Timeout of a write that nobody waits for. Replicas that missed it receive it later by anti-entropy. */
    private static final long UNAWAITED_WRITE_TIMEOUT = 1000 * TICKS_PER_MS;
    /** Bounds memory: at this number of pending operations, further ones complete at once with status UNKNOWN. */
    private static final int MAX_PENDING = 20_000;
    /** Returned as the ticket of an operation whose result is not reported. */
    private static final long NO_TICKET = 0;

    private final int self;
    private final ReplicationSettings settings;
    private final ReplicaPlacement placement;
    private final EntryStore store;
    private final LocalReplica localReplica;
    private final Map<Integer, QuorumOperation> pending = new LinkedHashMap<>(); // by request number, oldest first
    private final List<QuorumClaim> claimsToWithdraw = new ArrayList<>();
    private final List<QuorumResult> results = new ArrayList<>();
    private int lastNumber; // requests and claims are numbered in one sequence
    private long lastTicket;
    private long readsAndClaims;
    private long unknownReads;

    QuorumCoordinator(
            int self,
            ReplicationSettings settings,
            ReplicaPlacement placement,
            EntryStore store,
            LocalReplica localReplica) {
        this.self = self;
        this.settings = settings;
        this.placement = placement;
        this.store = store;
        this.localReplica = localReplica;
    }

    /** Returns the number of reads and claims since the start. */
    long readsAndClaims() {
        return readsAndClaims;
    }

    /** Returns the number of reads since the start that no majority of replicas answered in time. */
    long unknownReads() {
        return unknownReads;
    }

    /** Returns the results since the last call, in the order in which the operations completed. */
    List<QuorumResult> takeResults() {
        List<QuorumResult> taken = List.copyOf(results);
        results.clear();
        return taken;
    }

    /**
     * Replicates an entry.
     *
     * @param timeout applies to a write that is awaited
     * @param awaited whether the result is reported
     * @return the ticket, or 0 if the result is not awaited
     */
    long write(Turn turn, long key, VersionedEntry entry, long timeout, boolean awaited) {
        long deadline = turn.now() + (awaited ? timeout : UNAWAITED_WRITE_TIMEOUT);
        long ticket = ++lastTicket;
        // Even if this gateway is not a replica of the key, since a client is likely to use the same gateway again.
        localReplica.merge(key, entry);
        begin(turn, new QuorumWrite(ticket, key, placement.of(key), deadline, awaited, entry));
        return awaited ? ticket : NO_TICKET;
    }

    /**
     * Replicates what is proven of a claim that was granted to this gateway.
     *
     * @param timeout as of {@link #write}
     * @param awaited as of {@link #write}
     * @return as of {@link #write}
     */
    long writeOutcome(
            Turn turn, long key, ClaimId claim, ClaimState proof, byte[] response, long timeout, boolean awaited) {
        WriteOutcome knownOutcome = localReplica.outcomeOf(key);
        long timestamp = knownOutcome == null ? turn.unixTime() : knownOutcome.timestamp();
        return write(turn, key, WriteOutcome.of(timestamp, claim, proof, response), timeout, awaited);
    }

    /** Reads the position that reads of a session must reach. Returns the ticket of the operation. */
    long readPosition(Turn turn, long key) {
        long ticket = ++lastTicket;
        readsAndClaims++;
        long deadline = turn.now() + settings.quorumTimeout();
        begin(turn, new QuorumRead(ticket, key, placement.of(key), deadline, store.position(key)));
        return ticket;
    }

    /**
     * Claims to execute a write.
     *
     * @param incarnation of this gateway
     * @param firstSubmission whether the client has marked the write as a first submission
     * @param arrivedAt when the write arrived here, a Unix time
     * @return the ticket of the operation
     */
    long claim(Turn turn, long key, long incarnation, boolean firstSubmission, long arrivedAt) {
        long ticket = ++lastTicket;
        readsAndClaims++;
        ClaimId claim = new ClaimId(self, incarnation, ++lastNumber);
        boolean isKnownFirst = firstSubmission && settings.retriesMarked();
        long deadline = turn.now() + settings.quorumTimeout();
        begin(turn, new QuorumClaim(ticket, key, placement.of(key), deadline, claim, isKnownFirst, arrivedAt));
        return ticket;
    }

    private void begin(Turn turn, QuorumOperation operation) {
        int number = ++lastNumber;
        if (pending.size() >= MAX_PENDING) {
            complete(operation, Status.UNKNOWN);
            return;
        }
        pending.put(number, operation);
        operation.scheduleFirstRetry(turn.now());
        int ownIndex = operation.replicas().indexOf(self);
        if (ownIndex != ReplicaSet.NOT_A_REPLICA) {
            operation.answerLocally(localReplica, ownIndex);
            completeIfDecided(operation);
        }
        send(turn, number, operation);
        if (operation.isAnsweredByAll()) {
            pending.remove(number);
        }
    }

    /** Sends the request to all other replicas that have not answered yet. */
    private void send(Turn turn, int number, QuorumOperation operation) {
        ReplicaSet replicas = operation.replicas();
        for (int replicaIndex = 0; replicaIndex < replicas.size(); replicaIndex++) {
            int gateway = replicas.gateway(replicaIndex);
            if (gateway != self && !operation.isAnsweredBy(replicaIndex)) {
                turn.send(gateway, operation.request(number));
            }
        }
    }

    /** Called when a replica has merged an entry. */
    void onWriteResponse(int sender, WriteResponse response) {
        QuorumWrite write = findPending(QuorumWrite.class, sender, response);
        if (write == null) {
            return;
        }
        write.markAnswered(write.replicas().indexOf(sender));
        afterAnswer(response.number(), write);
    }

    /** Called when a replica has answered with the position that it requires. */
    void onPositionResponse(int sender, PositionResponse response) {
        QuorumRead read = findPending(QuorumRead.class, sender, response);
        if (read == null) {
            return;
        }
        read.onAnswer(read.replicas().indexOf(sender), response.position(), response.server());
        afterAnswer(response.number(), read);
    }

    /** Called when a replica has granted or refused a claim. */
    void onClaimResponse(int sender, ClaimResponse response) {
        QuorumClaim claim = findPending(QuorumClaim.class, sender, response);
        if (claim == null) {
            return;
        }
        claim.onAnswer(claim.replicas().indexOf(sender), response.granted());
        if (response.knownOutcome() != null) {
            localReplica.merge(claim.key(), response.knownOutcome());
        }
        afterAnswer(response.number(), claim);
        if (claim.needsWithdrawal()) {
            claimsToWithdraw.add(claim);
        }
    }

    /**
     * Returns the pending operation that a response answers; null if the response is late, a duplicate, or of another
     * type than the operation.
     */
    private <T extends QuorumOperation> T findPending(Class<T> type, int sender, Response response) {
        QuorumOperation operation = pending.get(response.number());
        if (!type.isInstance(operation)) {
            return null;
        }
        int replicaIndex = operation.replicas().indexOf(sender);
        boolean isExpected = replicaIndex != ReplicaSet.NOT_A_REPLICA && !operation.isAnsweredBy(replicaIndex);
        return isExpected ? type.cast(operation) : null;
    }

    private void afterAnswer(int number, QuorumOperation operation) {
        completeIfDecided(operation);
        if (operation.isFinished()) {
            pending.remove(number);
        }
    }

    private void completeIfDecided(QuorumOperation operation) {
        Status status = operation.decide(localReplica.outcomeOf(operation.key()));
        if (status != null) {
            complete(operation, status);
        }
    }

    private void complete(QuorumOperation operation, Status status) {
        if (operation.isCompleted()) {
            return;
        }
        operation.complete();
        if (status == Status.UNKNOWN && operation instanceof QuorumRead) {
            unknownReads++;
        }
        if (operation.isAwaited()) {
            WriteOutcome knownOutcome = localReplica.outcomeOf(operation.key());
            results.add(operation.result(
                    status, knownOutcome == null ? WriteOutcome.NO_RESPONSE : knownOutcome.response()));
        }
    }

    /**
     * Completes operations whose deadline has passed, repeats requests whose backoff is over, and withdraws claims
     * that have failed.
     */
    void onTick(Turn turn) {
        pending.values().removeIf(operation -> completeIfExpired(operation, turn.now()));
        retryOverdue(turn);
        for (QuorumClaim failed : claimsToWithdraw) {
            byte[] noResponse = WriteOutcome.NO_RESPONSE;
            writeOutcome(turn, failed.key(), failed.claim(), ClaimState.NEVER_RAN, noResponse, 0, false);
        }
        claimsToWithdraw.clear();
    }

    private void retryOverdue(Turn turn) {
        pending.forEach((number, operation) -> {
            if (operation.isRetryDue(turn.now())) {
                operation.scheduleNextRetry(turn.now());
                send(turn, number, operation);
            }
        });
    }

    /** Completes an operation if its deadline has passed. Returns whether it has. */
    private boolean completeIfExpired(QuorumOperation operation, long now) {
        if (!operation.isExpired(now)) {
            return false;
        }
        complete(operation, operation.timeoutStatus());
        if (operation instanceof QuorumClaim claim && claim.needsWithdrawalOnTimeout()) {
            claimsToWithdraw.add(claim);
        }
        return true;
    }

    /** Appends a description in which any two states differ that a model checker has to distinguish. */
    void describe(StringBuilder text) {
        pending.values().forEach(operation -> operation.describe(text));
        text.append(' ').append(lastNumber).append(' ').append(claimsToWithdraw.size());
    }
}
