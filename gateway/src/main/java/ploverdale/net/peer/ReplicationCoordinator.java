package ploverdale.net.peer;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ploverdale.clock.ServerClock;
import ploverdale.gossip.ServerHash;
import ploverdale.log.Log;
import ploverdale.model.Event.Outcome;
import ploverdale.model.Event.RequestArrived;
import ploverdale.model.LoadReport;
import ploverdale.model.ReplicaGuarantees;
import ploverdale.model.RequestClass;
import ploverdale.model.RequestClass.Consistency;
import ploverdale.model.RequestClass.Idempotence;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;
import ploverdale.net.postgres.ResultRow;
import ploverdale.replication.ReplicationSettings;
import ploverdale.settings.GatewaySettings;

/**
 * Connects client requests with the session positions and write outcomes that the gateways replicate among each other.
 * A session's read is routed after the position that it must reach has been looked up ({@link SessionPositionLookup}),
 * and a write after it has been claimed ({@link WriteClaims}). A write that has succeeded is recorded, before or after
 * its client is answered ({@link WriteRecorder}). The claim of a write that provably did not run is released. The rules
 * for the freshness of positions and for the proof of outcomes are not part of this class. No request is answered
 * twice.
 *
 * <p>Used on the event loop only.
 */
public final class ReplicationCoordinator implements RequestHistory {
    private static final long DISCONNECTED_CLIENTS_CHECK_INTERVAL_MS = 1000;
    private static final long TENTHS_PER_MS = 10;

    private final Vertx vertx;
    private final ClientRequests requests;
    private final GatewaySettings gatewaySettings;
    private final ReplicationSettings settings;
    private final ReplicaRequests replicas;
    private final ServerClock clock;
    private final SessionPositionLookup positions;
    private final WriteClaims claims;
    private final WriteRecorder recorder;
    private final Map<RequestId, PendingWrite> writes = new HashMap<>();

    public ReplicationCoordinator(
            Vertx vertx,
            Log log,
            ClientRequests requests,
            GatewaySettings gatewaySettings,
            ReplicationSettings settings,
            ReplicaRequests replicas,
            ServerClock clock) {
        this.vertx = vertx;
        this.requests = requests;
        this.gatewaySettings = gatewaySettings;
        this.settings = settings;
        this.replicas = replicas;
        this.clock = clock;
        positions = new SessionPositionLookup(log, requests, replicas, clock);
        claims = new WriteClaims(vertx, log, requests, settings, replicas, clock, writes::remove);
        recorder = new WriteRecorder(log, requests, settings, replicas, clock);
        vertx.setPeriodic(DISCONNECTED_CLIENTS_CHECK_INTERVAL_MS, x -> endWritesOfDisconnectedClients());
    }

    /**
     * Ends the writes of clients that have disconnected. If a client disconnects while its write still waits for a
     * claim, no attempt is made, and so {@link #attemptEnded} is never called for the write.
     */
    private void endWritesOfDisconnectedClients() {
        List.copyOf(writes.keySet()).stream()
                .filter(request -> !requests.isPending(request))
                .forEach(this::answered);
    }

    @Override
    public ReplicaGuarantees replicaGuarantees(ReplicaGuarantees configured) {
        return new ReplicaGuarantees(
                configured.stalenessCheck(),
                configured.stalenessCheckWait(),
                configured.requestsCarryPositions() || settings.replicatesSessions());
    }

    @Override
    public void onRequestArrived(RequestArrived request, String sessionKey) {
        RequestClass requestClass =
                gatewaySettings.started().requestClasses().get(request.requestClass().index());
        if (settings.replicatesSessions() && requestClass.consistency() == Consistency.SESSION && sessionKey != null) {
            positions.lookUp(request, sessionKey);
        } else if (requestClass.consistency() != Consistency.WRITE) {
            requests.route(request);
        } else if (clock.isKnown()) {
            admitWrite(request, requestClass);
        } else {
            deferWrite(request, sessionKey);
        }
    }

    private void admitWrite(RequestArrived request, RequestClass requestClass) {
        String className = gatewaySettings.requestClasses().get(request.requestClass().index());
        PendingWrite write =
                new PendingWrite(request, settings.synchronousClasses().contains(className), clock.wallNow());
        writes.put(write.id(), write);
        if (settings.replicatesOutcomes() && requestClass.idempotence() != Idempotence.IDEMPOTENT) {
            claims.claim(write);
        } else {
            requests.route(request);
        }
    }

    /**
     * Delays a write, or answers it if its timeout is near. While the offset of the servers' clock is unknown, the
     * outcome of a write cannot be given a time, so the write is not sent.
     */
    private void deferWrite(RequestArrived request, String sessionKey) {
        if (clock.now() + WriteClaims.RETRY_INTERVAL_MS * TENTHS_PER_MS < request.timeoutAt()) {
            vertx.setTimer(WriteClaims.RETRY_INTERVAL_MS, x -> {
                if (requests.isPending(request.request())) {
                    onRequestArrived(request, sessionKey);
                }
            });
        } else if (request.resubmitted()) {
            requests.failed(request.request()); // an earlier submission may have run
        } else {
            requests.rejected(request.request());
        }
    }

    @Override
    public void attemptStarted(RequestId request) {
        PendingWrite write = writes.get(request);
        if (write != null) {
            write.attemptStarted();
        }
    }

    @Override
    public void attemptEnded(RequestId request, Outcome outcome, boolean hasRow) {
        PendingWrite write = writes.get(request);
        if (write == null) {
            return;
        }
        write.attemptEnded(outcome);
        if (!hasRow && !requests.isPending(request)) {
            answered(request);
        }
    }

    @Override
    public void succeeded(RequestId request, ResultRow row, LoadReport report, ServerId server) {
        PendingWrite write = writes.remove(request);
        if (write == null) {
            requests.succeeded(request, row);
            return;
        }
        positions.writeSucceeded(write.request().group(), ServerHash.of(server) & 0xFFFF);
        recorder.record(write, row, report, server);
    }

    /**
     * {@inheritDoc} The write is kept while an attempt is in flight, since its outcome may still prove whether the
     * write ran.
     */
    @Override
    public void answered(RequestId request) {
        PendingWrite write = writes.get(request);
        if (write == null || write.hasAttemptInFlight()) {
            return;
        }
        writes.remove(request);
        if (!write.mayHaveRun()) {
            claims.release(write);
        }
    }

    @Override
    public void clockOffsetChanged() {
        replicas.clockOffsetChanged();
    }
}
