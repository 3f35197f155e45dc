package ploverdale.net;

import ploverdale.clock.ServerClock;
import ploverdale.log.Log;
import ploverdale.model.Action;
import ploverdale.model.Event;
import ploverdale.model.OutboundActionHandler;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;
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
 * Carries out the router's actions on clients, servers, discovery and peers, and queues their outcomes as events. Never decides
 * anything about a request or a server. Used on the event loop only.
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

    /** Health checks whose end is not known yet. */
    int healthChecksInFlight() {
        return healthChecksInFlight;
    }

    /** Health checks that have ended since the start, whatever their outcome. */
    int healthChecksEnded() {
        return healthChecksEnded;
    }

    @Override
    public void startAttempt(Action.StartAttempt attempt) {
        RequestId request = attempt.request();
        AcceptedRequest accepted = clients.requestInFlight(request);
        if (accepted == null) {
            endWithoutClient(attempt);
            return;
        }
        int number = accepted.nextAttemptNumber();
        int clockChanges = serverClock.offsetChanges();
        history.attemptStarted(request);
        // The process may have been paused since the router read the clock; the time limit counts from then.
        long timeLeft = attempt.timeLimit() - (serverClock.now() - loop.decidedAt());
        servers.startAttempt(
                request,
                attempt.server(),
                timeLeft,
                () -> mayBeWritten(attempt, accepted, clockChanges),
                waitMs -> MessageWriter.request(accepted.query(), waitMs),
                end -> onAttemptEnded(request, number, attempt.server(), end));
    }

    /** The client has left while the router was deciding. */
    private void endWithoutClient(Action.StartAttempt attempt) {
        Event.Outcome outcome = Event.Outcome.NEVER_SENT;
        loop.enqueue(new Event.AttemptEnded(attempt.request(), 0, attempt.server(), outcome, 0, true, null, null));
        history.answered(attempt.request());
    }

    /**
     * Whether the attempt may still be written. It may have waited for its connection: by now its client may have left, the
     * position it relies on may be too old or void, or its server may be draining.
     */
    private boolean mayBeWritten(Action.StartAttempt attempt, AcceptedRequest accepted, int clockChanges) {
        if (!clients.isAwaited(accepted) || !mayReceive(attempt.server())) {
            return false;
        }
        if (attempt.writeBy() == Long.MAX_VALUE) {
            return true;
        }
        return serverClock.offsetChanges() == clockChanges && serverClock.now() <= attempt.writeBy();
    }

    private boolean mayReceive(ServerId server) {
        boolean isActive = loop.mayReceive(server);
        if (!isActive) {
            log.rateLimited("not sent", server.text() + " drains or is removed"); // log line: on-call guide
        }
        return isActive;
    }

    private void onAttemptEnded(RequestId request, int number, ServerId server, AttemptResult end) {
        boolean hasRow = end.row() != null;
        history.attemptEnded(request, end.outcome(), hasRow);
        if (hasRow) {
            history.succeeded(request, end.row(), end.answerReport(), server);
        }
        boolean settled =
                hasRow || clients.requestInFlight(request) == null; // its answer may still wait to be replicated
        loop.enqueue(new Event.AttemptEnded(
                request, number, server, end.outcome(), end.duration(), settled, end.answerReport(), end.loadReport()));
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
        servers.startHealthCheck(server, () -> mayReceive(server), end -> onHealthCheckEnded(server, end));
    }

    private void onHealthCheckEnded(ServerId server, AttemptResult end) {
        healthChecksInFlight--;
        healthChecksEnded++;
        loop.enqueue(new Event.HealthCheckEnded(server, end.outcome(), end.loadReport()));
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
