package ploverdale.routing;

import java.util.Optional;
import ploverdale.gossip.GossipProtocol.ReceivedGossip;
import ploverdale.model.Action;
import ploverdale.model.Event;
import ploverdale.model.Event.AttemptEnded;
import ploverdale.model.Event.Outcome;
import ploverdale.model.EventHandler;
import ploverdale.model.LoadReport;
import ploverdale.model.Quota;
import ploverdale.state.PendingRequest;
import ploverdale.state.ServerState;
import ploverdale.state.SessionWrites;

/** Handles the events of a started gateway: passes each to the components that it concerns, in a fixed order. */
final class EventDecisions implements EventHandler {
    private final DecisionContext context;
    private final ServerDirectory directory;
    private final Quota quota;
    private final PeerGossip gossip;
    private final SessionWrites sessionWrites;
    private final LocalHealth localHealth;
    private final EndpointRegistry endpoints;
    private final EndpointWatch endpointWatch;
    private final RoleTracker roles;
    private final ServerObservations observations;
    private final HealthChecker healthChecker;
    private final HealthCheckEvaluator healthCheckEvaluator;
    private final AttemptEvaluator attemptEvaluator;
    private final ConnectionScarcity scarcity;
    private final RetryPolicy retryPolicy;
    private final RequestDispatcher dispatcher;
    private final Maintenance maintenance;

    /** The components that handle events. */
    record Dependencies(
            DecisionContext context,
            ServerDirectory directory,
            Quota quota,
            PeerGossip gossip,
            SessionWrites sessionWrites,
            LocalHealth localHealth,
            EndpointRegistry endpoints,
            EndpointWatch endpointWatch,
            RoleTracker roles,
            ServerObservations observations,
            HealthChecker healthChecker,
            HealthCheckEvaluator healthCheckEvaluator,
            AttemptEvaluator attemptEvaluator,
            ConnectionScarcity scarcity,
            RetryPolicy retryPolicy,
            RequestDispatcher dispatcher,
            Maintenance maintenance) {}

    EventDecisions(Dependencies dependencies) {
        context = dependencies.context;
        directory = dependencies.directory;
        quota = dependencies.quota;
        gossip = dependencies.gossip;
        sessionWrites = dependencies.sessionWrites;
        localHealth = dependencies.localHealth;
        endpoints = dependencies.endpoints;
        endpointWatch = dependencies.endpointWatch;
        roles = dependencies.roles;
        observations = dependencies.observations;
        healthChecker = dependencies.healthChecker;
        healthCheckEvaluator = dependencies.healthCheckEvaluator;
        attemptEvaluator = dependencies.attemptEvaluator;
        scarcity = dependencies.scarcity;
        retryPolicy = dependencies.retryPolicy;
        dispatcher = dependencies.dispatcher;
        maintenance = dependencies.maintenance;
    }

    @Override
    public void onStarted(Event.Started started) {
        throw new IllegalStateException("started twice");
    }

    @Override
    public void onEndpointUpdate(Event.EndpointUpdate update) {
        if (update.failed()) {
            endpointWatch.retryLater();
        } else {
            endpoints.update(update);
        }
    }

    @Override
    public void onRequestArrived(Event.RequestArrived arrival) {
        PendingRequest request = dispatcher.accept(arrival);
        maintenance.scheduleSoon();
        gossip.requestArrived();
        dispatcher.dispatch(request);
    }

    /** Does nothing: decisions are made when the attempt has ended. */
    @Override
    public void onResponseStarted(Event.ResponseStarted response) {}

    @Override
    public void onAttemptEnded(AttemptEnded end) {
        directory.find(end.server()).ifPresent(server -> onAttemptEnded(server, end));
    }

    private void onAttemptEnded(ServerState server, AttemptEnded end) {
        PendingRequest attempted = server.load().attemptEnded(end.request());
        roles.learnAnswerReport(server, end.answerReport());
        roles.learnLoadReport(server, end.loadReport());
        if (attempted != null) {
            learnFromAttempt(server, attempted, end);
        }
        dispatcher.find(end.request()).ifPresent(pending -> proceed(server, pending, end));
        dispatcher.dispatchWaiting(server.group());
        if (scarcity.isActive(context.now()) && server.load().inFlight().isEmpty()) {
            context.emit(new Action.CloseIdleConnections(server.id()));
        }
    }

    private void learnFromAttempt(ServerState server, PendingRequest request, AttemptEnded end) {
        quota.releaseAttempt(server.id(), request.isAttemptInSlowStart());
        attemptEvaluator.learn(server, request, end);
        retryPolicy.releaseRetry(request);
        if (end.outcome() == Outcome.SUCCEEDED && request.isWrite()) {
            LoadReport report = end.answerReport();
            boolean hasPosition = report != null && report.position() != LoadReport.UNKNOWN_TIME;
            sessionWrites.put(request.arrival().session(), hasPosition ? report.position() : context.now());
        }
    }

    private void proceed(ServerState server, PendingRequest request, AttemptEnded end) {
        if (end.requestSettled()) {
            dispatcher.complete(request);
        } else if (request.isInFlight(end.attempt())) {
            dispatcher.retryOrFinish(request, server, end.outcome());
        }
    }

    @Override
    public void onClientDisconnected(Event.ClientDisconnected disconnect) {
        dispatcher.find(disconnect.request()).ifPresent(dispatcher::abandon);
    }

    @Override
    public void onTimerFired(Event.TimerFired timer) {
        maintenance.runIfDue();
    }

    @Override
    public void onLoopDelayed(Event.LoopDelayed delay) {
        localHealth.processDelayed(delay.from(), delay.until());
    }

    @Override
    public void onHealthCheckEnded(Event.HealthCheckEnded end) {
        directory.find(end.server()).ifPresent(server -> {
            healthCheckEvaluator.learn(server, end);
            dispatcher.dispatchWaiting(server.group());
            healthChecker.checkQueued();
        });
    }

    @Override
    public void onGossipReceived(Event.GossipReceived gossipReceived) {
        ReceivedGossip received = gossip.receive(context.now(), gossipReceived.from(), gossipReceived.bytes());
        received.observations().forEach((id, observation) -> {
            ServerState server = directory.find(id).orElseThrow();
            observations.merge(server, observation);
            dispatcher.dispatchWaiting(server.group());
        });
        maintenance.send(received.replies());
        Optional.ofNullable(received.logLine()).ifPresent(context::log);
    }

    @Override
    public void onShutdownBegun(Event.ShutdownBegun shutdown) {
        maintenance.send(gossip.shutdown(context.now()));
    }

    @Override
    public void onShutdownDeadline(Event.ShutdownDeadline deadline) {
        dispatcher.finishAll();
    }

    /**
     * Invalidates all positions and commit times reported before the change, which cannot be compared with later ones.
     * The last write of a session is assumed to have been committed now, which is never too early.
     */
    @Override
    public void onClockOffsetChanged(Event.ClockOffsetChanged change) {
        endpoints.redate(change.startedAt());
        sessionWrites.foldAllInto(context.now());
        dispatcher.redateRequiredPositions();
        gossip.forgetPositions();
    }
}
