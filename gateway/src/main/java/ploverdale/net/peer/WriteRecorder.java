package ploverdale.net.peer;

import ploverdale.clock.ServerClock;
import ploverdale.gossip.ServerHash;
import ploverdale.log.Log;
import ploverdale.model.LoadReport;
import ploverdale.model.ServerId;
import ploverdale.model.SessionId;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.net.postgres.ResultRow;
import ploverdale.replication.ClaimState;
import ploverdale.replication.QuorumResult;
import ploverdale.replication.QuorumResult.Status;
import ploverdale.replication.Replicas;
import ploverdale.replication.ReplicationSettings;

/**
 * Records a write that has succeeded: the position that later reads of its session must reach, and the outcome of the
 * write under its id. Answers the client at once or, for synchronously replicated classes, when a majority of the
 * replicas has stored both entries. Used on the event loop only.
 */
final class WriteRecorder {
    private static final long TICKS_PER_MS = 10;

    private final Log log;
    private final ClientRequests requests;
    private final ReplicationSettings settings;
    private final ReplicaRequests replicas;
    private final ServerClock clock;

    WriteRecorder(
            Log log,
            ClientRequests requests,
            ReplicationSettings settings,
            ReplicaRequests replicas,
            ServerClock clock) {
        this.log = log;
        this.requests = requests;
        this.settings = settings;
        this.replicas = replicas;
        this.clock = clock;
    }

    /**
     * Records the write and answers its client.
     *
     * @param report the load report that arrived with the row, or null
     */
    void record(PendingWrite write, ResultRow row, LoadReport report, ServerId server) {
        SessionId session = write.request().session();
        boolean recordsPosition = settings.replicatesSessions() && session != null;
        if (recordsPosition && !clock.isKnown()) {
            requests.failed(write.id()); // without a time for its position, later reads of the session could miss it
            log.rateLimited("an acked write while the clock is in doubt", "errored"); // log line: on-call guide
            return;
        }
        ReplicationWait replication =
                new ReplicationWait(write, row, (recordsPosition ? 1 : 0) + (write.hasClaim() ? 1 : 0));
        if (!write.isSynchronous() || replication.pendingEntries == 0) {
            requests.succeeded(write.id(), row);
        }
        long remainingTime = write.request().timeoutAt() - clock.now();
        long timeLimit = Math.max(1, Math.min(settings.synchronousTimeout(), remainingTime));
        if (recordsPosition) {
            recordPosition(write, session, position(report), server, timeLimit, replication);
        }
        if (write.hasClaim()) {
            recordOutcome(write, row, timeLimit, replication);
        }
    }

    /**
     * Returns the position of the write on the servers' wall clock; the current time if the server did not report it.
     */
    private long position(LoadReport report) {
        return report != null && report.position() != LoadReport.UNKNOWN_TIME
                ? clock.toWall(report.position())
                : clock.wallNow();
    }

    private void recordPosition(
            PendingWrite write,
            SessionId session,
            long position,
            ServerId server,
            long timeLimit,
            ReplicationWait replication) {
        replicas.start(
                (store, now, packets) -> store.writePosition(
                        now,
                        Replicas.key(true, session.value()),
                        position,
                        ServerHash.of(server),
                        timeLimit,
                        write.isSynchronous(),
                        packets),
                replication::onEntryResult);
    }

    private void recordOutcome(PendingWrite write, ResultRow row, long timeLimit, ReplicationWait replication) {
        replicas.start(
                (store, now, packets) -> store.writeOutcome(
                        now,
                        WriteClaims.idempotencyKey(write),
                        write.claim(),
                        ClaimState.SUCCEEDED,
                        MessageWriter.resultRow(row).getBytes(),
                        timeLimit,
                        write.isSynchronous(),
                        packets),
                replication::onEntryResult);
    }

    /**
     * Answers the client of a synchronously replicated write when both its position and its outcome have been
     * replicated.
     */
    private final class ReplicationWait {
        private final PendingWrite write;
        private final ResultRow row;
        private int pendingEntries;
        private boolean failed;

        private ReplicationWait(PendingWrite write, ResultRow row, int pendingEntries) {
            this.write = write;
            this.row = row;
            this.pendingEntries = pendingEntries;
        }

        private void onEntryResult(QuorumResult result) {
            failed |= result.status() != Status.REPLICATED;
            pendingEntries--;
            if (pendingEntries > 0) {
                return;
            }
            if (failed) {
                requests.failed(write.id()); // a later read or resubmission might not see the write
                long waitedMs = settings.synchronousTimeout() / TICKS_PER_MS;
                String outcome = "errored after " + waitedMs + " ms"; // log line: on-call guide
                log.rateLimited("an acked write without copies", outcome); // log line: on-call guide
            } else {
                requests.succeeded(write.id(), row);
            }
        }
    }
}
