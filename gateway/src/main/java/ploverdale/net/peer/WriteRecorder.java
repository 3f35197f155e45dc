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
 * Records a write that has succeeded: the position that later reads of its session must reach, and its outcome under its
 * id. Answers the client, at once or, for classes that wait for copies, when a majority of the replicas has them. Used on
 * the event loop only.
 */
final class WriteRecorder {
    private static final long TENTHS_PER_MS = 10;

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

    /** @param report what the server reported with the row, or null */
    void record(PendingWrite write, ResultRow row, LoadReport report, ServerId server) {
        SessionId session = write.request().session();
        boolean recordsPosition = settings.replicatesSessions() && session != null;
        if (recordsPosition && !clock.isKnown()) {
            requests.failed(write.id()); // its position cannot be dated, and so cannot be guaranteed to the session
            log.rateLimited("an acked write while the clock is in doubt", "errored"); // log line: on-call guide
            return;
        }
        CopyWait copies = new CopyWait(write, row, (recordsPosition ? 1 : 0) + (write.hasClaim() ? 1 : 0));
        if (!write.waitsForCopies() || copies.missing == 0) {
            requests.succeeded(write.id(), row);
        }
        long remaining = write.request().timeoutAt() - clock.now();
        long timeLimit = Math.max(1, Math.min(settings.synchronousTimeout(), remaining));
        if (recordsPosition) {
            recordPosition(write, session, position(report), server, timeLimit, copies);
        }
        if (write.hasClaim()) {
            recordOutcome(write, row, timeLimit, copies);
        }
    }

    /** The position of the write on the servers' wall clock; the present where the server did not report it. */
    private long position(LoadReport report) {
        return report != null && report.position() != LoadReport.UNKNOWN_TIME
                ? clock.toWall(report.position())
                : clock.wallNow();
    }

    private void recordPosition(
            PendingWrite write, SessionId session, long position, ServerId server, long timeLimit, CopyWait copies) {
        replicas.start(
                (store, now, packets) -> store.writePosition(
                        now,
                        Replicas.key(true, session.text()),
                        position,
                        ServerHash.of(server),
                        timeLimit,
                        write.waitsForCopies(),
                        packets),
                copies::onCopyEnded);
    }

    private void recordOutcome(PendingWrite write, ResultRow row, long timeLimit, CopyWait copies) {
        replicas.start(
                (store, now, packets) -> store.writeOutcome(
                        now,
                        WriteClaims.idempotencyKey(write),
                        write.claim(),
                        ClaimState.SUCCEEDED,
                        MessageWriter.resultRow(row).getBytes(),
                        timeLimit,
                        write.waitsForCopies(),
                        packets),
                copies::onCopyEnded);
    }

    /** Answers the client of a write that waits for copies once both its position and its outcome are copied. */
    private final class CopyWait {
        private final PendingWrite write;
        private final ResultRow row;
        private int missing;
        private boolean failed;

        private CopyWait(PendingWrite write, ResultRow row, int missing) {
            this.write = write;
            this.row = row;
            this.missing = missing;
        }

        private void onCopyEnded(QuorumResult result) {
            failed |= result.status() != Status.REPLICATED;
            missing--;
            if (missing > 0) {
                return;
            }
            if (failed) {
                requests.failed(write.id()); // nothing is guaranteed of it
                long waitedMs = settings.synchronousTimeout() / TENTHS_PER_MS;
                String outcome = "errored after " + waitedMs + " ms"; // log line: on-call guide
                log.rateLimited("an acked write without copies", outcome); // log line: on-call guide
            } else {
                requests.succeeded(write.id(), row);
            }
        }
    }
}
