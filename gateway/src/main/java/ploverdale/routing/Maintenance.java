package ploverdale.routing;

import java.util.List;
import ploverdale.gossip.GossipProtocol.OutboundPacket;
import ploverdale.model.Action;
import ploverdale.model.Ticks;
import ploverdale.state.ServerState;

/**
 * Periodic work, not tied to an event: detects unresponsive servers, sends health checks and gossip, and
 * dispatches waiting requests.
 */
final class Maintenance {
    private static final long IDLE_INTERVAL = Ticks.ofMillis(200);

    private final DecisionContext context;
    private final ServerDirectory directory;
    private final MaintenanceTimer timer;
    private final EndpointWatch endpointWatch;
    private final EndpointRegistry endpoints;
    private final LocalHealth localHealth;
    private final OutlierDetector outlierDetector;
    private final HealthChecker healthChecker;
    private final RequestDispatcher dispatcher;
    private final PeerGossip gossip;

    /** The components that maintenance runs. */
    record Dependencies(
            DecisionContext context,
            ServerDirectory directory,
            MaintenanceTimer timer,
            EndpointWatch endpointWatch,
            EndpointRegistry endpoints,
            LocalHealth localHealth,
            OutlierDetector outlierDetector,
            HealthChecker healthChecker,
            RequestDispatcher dispatcher,
            PeerGossip gossip) {}

    Maintenance(Dependencies dependencies) {
        context = dependencies.context;
        directory = dependencies.directory;
        timer = dependencies.timer;
        endpointWatch = dependencies.endpointWatch;
        endpoints = dependencies.endpoints;
        localHealth = dependencies.localHealth;
        outlierDetector = dependencies.outlierDetector;
        healthChecker = dependencies.healthChecker;
        dispatcher = dependencies.dispatcher;
        gossip = dependencies.gossip;
    }

    /** Schedules maintenance within the short interval, because a request is waiting or in flight. */
    void scheduleSoon() {
        timer.scheduleWithin(RequestDeadlines.MAINTENANCE_INTERVAL);
    }

    /** Runs maintenance if it is due, and schedules the next run. */
    void runIfDue() {
        if (!timer.isDue()) {
            return;
        }
        long now = context.now();
        boolean isIdle = dispatcher.isIdle() && !gossip.hasPending(now);
        timer.scheduleWithin(isIdle ? IDLE_INTERVAL : RequestDeadlines.MAINTENANCE_INTERVAL);
        endpointWatch.watchIfDue();
        localHealth.observe(now, directory.servers());
        checkServers(now);
        directory.groups().forEach(dispatcher::dispatchWaiting);
        send(gossip.due(now));
    }

    private void checkServers(long now) {
        HealthChecker.PeriodicPass pass = healthChecker.beginPeriodicPass();
        for (ServerState server : directory.servers()) {
            outlierDetector.detectUnresponsive(server);
            gossip.serverObserved(now, server.id());
            endpoints.endUnconfirmedDrain(server);
            pass.consider(server);
        }
        pass.finish();
    }

    /** Sends datagrams to peers. */
    void send(List<OutboundPacket> packets) {
        packets.forEach(packet -> context.emit(new Action.SendGossip(packet.peer(), packet.bytes())));
    }
}
