package ploverdale.net;

import io.vertx.core.buffer.Buffer;
import ploverdale.clock.ServerClock;
import ploverdale.log.Log;
import ploverdale.model.Action;
import ploverdale.model.Event;
import ploverdale.model.OutboundActionHandler;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;
import ploverdale.model.WriteConditions;
import ploverdale.net.client.AcceptedRequest;
import ploverdale.net.client.ClientConnections;
import ploverdale.net.discovery.Discovery;
import ploverdale.net.eventloop.RouterEventLoop;
import ploverdale.net.peer.PeerTransport;
import ploverdale.net.peer.RequestHistory;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.net.server.AttemptResult;
import ploverdale.net.server.ServerConnectionPool;

/**
 * Carries out the router's actions on clients, servers, discovery and peers, and queues their results as events. Never
 * decides about a request or a server. Used on the event loop only.
 */
final class GatewayActions implements OutboundActionHandler {
    private final Log log;
    private final RouterEventLoop loop;
    private final ClientConnections clients;
    private final ServerConnectionPool servers;
    private final Discovery discovery;
    private final PeerTransport peers;
    private final RequestHistory history;
    private final ServerClock serverClock;
    private int healthChecksInFlight;
    private int healthChecksEnded;

    GatewayActions(
            Log log,
            RouterEventLoop loop,
            ClientConnections clients,
            ServerConnectionPool servers,
            Discovery discovery,
            PeerTransport peers,
            RequestHistory history,
            ServerClock serverClock) {
        this.log = log;
        this.loop = loop;
        this.clients = clients;
        this.servers = servers;
        this.discovery = discovery;
        this.peers = peers;
        this.history = history;
        this.serverClock = serverClock;
    }

    /** Returns the number of health checks in flight. */
    int healthChecksInFlight() {
        return healthChecksInFlight;
    }

    /** Returns the number of health checks that have ended since the start, whatever their outcome. */
    int healthChecksEnded() {
        return healthChecksEnded;
    }

    @Override
    public void startAttempt(Action.StartAttempt attempt) {
        RequestId request = attempt.request();
        AcceptedRequest accepted = clients.requestInFlight(request);
        if (accepted == null) {
            endForDisconnectedClient(attempt);
            return;
        }
        int attemptNumber = accepted.nextAttemptNumber();
        int clockChanges = serverClock.offsetChanges();
        history.attemptStarted(request);
        // The time limit counts from when the router read the clock; the process may have been paused since.
        long timeLeft = attempt.timeLimit() - (serverClock.now() - loop.decidedAt());
        servers.startAttempt(
                request,
                attempt.server(),
                timeLeft,
                () -> mayBeWritten(attempt, accepted, clockChanges),
                waitMs -> encode(accepted, waitMs),
                attemptNumber > 0 || accepted.query().resubmitted(),
                result -> onAttemptEnded(request, attemptNumber, attempt.server(), result));
    }

    private static Buffer encode(AcceptedRequest accepted, long waitMs) {
        accepted.onAttemptWritten();
        return MessageWriter.request(accepted.query(), waitMs);
    }

    /** Ends an attempt whose client disconnected while the router was deciding. */
    private void endForDisconnectedClient(Action.StartAttempt attempt) {
        Event.Outcome outcome = Event.Outcome.NEVER_SENT;
        loop.enqueue(new Event.AttemptEnded(attempt.request(), 0, attempt.server(), outcome, 0, true, null, null));
        history.answered(attempt.request());
    }

    /**
     * Returns whether the attempt may still be written. It may have waited for a connection. Meanwhile its client may
     * have disconnected, its server may be draining or no longer be the primary, its write deadline may have passed, or
     * the server's position that the router relied on may have become invalid because the clock was corrected.
     */
    private boolean mayBeWritten(Action.StartAttempt attempt, AcceptedRequest accepted, int clockChanges) {
        return clients.isAwaited(accepted)
                && mayReceive(attempt.server())
                && hasRequiredRole(attempt)
                && isInTime(attempt, clockChanges);
    }

    private boolean hasRequiredRole(Action.StartAttempt attempt) {
        boolean hasRole = !attempt.writeConditions().reliesOnPrimary() || loop.isPrimary(attempt.server());
        if (!hasRole) {
            log.rateLimited("not sent to a former primary", attempt.server().value()); // log line: on-call guide
        }
        return hasRole;
    }

    private boolean isInTime(Action.StartAttempt attempt, int clockChanges) {
        WriteConditions conditions = attempt.writeConditions();
        boolean positionIsValid = !conditions.reliesOnPosition() || serverClock.offsetChanges() == clockChanges;
        boolean inTime = positionIsValid && conditions.isInTime(serverClock.now());
        if (!inTime) {
            log.rateLimited(
                    "not sent in time",
                    "a request waited too long for a connection to "
                            + attempt.server().value()); // log line: on-call guide
        }
        return inTime;
    }

    private boolean mayReceive(ServerId server) {
        boolean isActive = loop.mayReceive(server);
        if (!isActive) {
            log.rateLimited("not sent", server.value() + " drains or is removed"); // log line: on-call guide
        }
        return isActive;
    }

    private void onAttemptEnded(RequestId request, int attemptNumber, ServerId server, AttemptResult result) {
        boolean hasRow = result.row() != null;
        history.attemptEnded(request, result.outcome(), hasRow);
        if (hasRow) {
            history.succeeded(request, result.row(), result.answerReport(), server);
        }
        // Without a row, a request in flight is not settled: its answer may still be waiting to be replicated.
        boolean settled = hasRow || clients.requestInFlight(request) == null;
        loop.enqueue(new Event.AttemptEnded(
                request,
                attemptNumber,
                server,
                result.outcome(),
                result.duration(),
                settled,
                result.answerReport(),
                result.loadReport()));
    }

    @Override
    public void cancelAttempt(Action.CancelAttempt cancellation) {
        servers.cancelAttempt(cancellation.request());
    }

    @Override
    public void rejectRequest(Action.RejectRequest rejection) {
        clients.reject(rejection.request(), rejection.retryAfter());
        history.answered(rejection.request());
    }

    @Override
    public void failRequest(Action.FailRequest failure) {
        clients.fail(failure.request());
        history.answered(failure.request());
    }

    @Override
    public void checkHealth(Action.CheckHealth check) {
        healthChecksInFlight++;
        ServerId server = check.server();
        servers.startHealthCheck(server, () -> mayReceive(server), result -> onHealthCheckEnded(server, result));
    }

    private void onHealthCheckEnded(ServerId server, AttemptResult result) {
        healthChecksInFlight--;
        healthChecksEnded++;
        loop.enqueue(new Event.HealthCheckEnded(server, result.outcome(), result.loadReport()));
    }

    @Override
    public void closeIdleConnections(Action.CloseIdleConnections close) {
        servers.closeIdleConnections(close.server());
    }

    @Override
    public void watchEndpoints(Action.WatchEndpoints watch) {
        discovery.follow();
    }

    @Override
    public void sendGossip(Action.SendGossip gossip) {
        peers.sendGossip(gossip);
    }
}
