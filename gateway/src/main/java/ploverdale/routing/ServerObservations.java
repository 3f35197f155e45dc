package ploverdale.routing;

import ploverdale.gossip.ServerObservation;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ServerId;
import ploverdale.state.Ejection;
import ploverdale.state.EndpointLifecycle;
import ploverdale.state.Liveness;
import ploverdale.state.ReplicationStatus;
import ploverdale.state.ServerState;

/**
 * Creates this gateway's observations of servers, which it sends to peers, and merges the observations that it receives
 * from them. Answers that this gateway received itself win over observations of the same time. Times are passed on as
 * they were at the gateway that made the observation, so that no information appears newer than it is.
 */
final class ServerObservations {
    private final DecisionContext context;
    private final RoleTracker roles;
    private final EndpointRegistry endpoints;

    ServerObservations(DecisionContext context, RoleTracker roles, EndpointRegistry endpoints) {
        this.context = context;
        this.roles = roles;
        this.endpoints = endpoints;
    }

    /** Returns this gateway's observation of a server, in the form in which gateways exchange it. */
    static ServerObservation observe(
            DecisionContext context, ServerDirectory directory, SlowStart slowStart, ServerId id) {
        ServerState server = directory.find(id).orElseThrow();
        long now = context.now();
        EndpointLifecycle lifecycle = server.lifecycle();
        ReplicationStatus replication = server.replication();
        boolean roleKnown = replication.role() != Role.UNKNOWN;
        return new ServerObservation(
                replication.role(),
                roleKnown ? Math.min(now, replication.roleReportedAt()) : LoadReport.UNKNOWN_TIME,
                replication.position(),
                replication.positionReportedAt(),
                server.liveness().aliveAt(),
                server.liveness().unresponsiveAt(),
                slowStart.isInSlowStart(server, now) ? server.slowStart().slowStartAt() : LoadReport.UNKNOWN_TIME,
                lifecycle.isDraining() ? lifecycle.drainReportedAt() : LoadReport.UNKNOWN_TIME);
    }

    /** Merges a peer's observation of a server. */
    void merge(ServerState server, ServerObservation observation) {
        endpoints.learnReportedDrain(server, observation.drainingAt());
        server.slowStart().recordStart(observation.slowStartAt());
        server.replication().mergePosition(observation.position(), observation.positionAt());
        Ejection ejection = server.ejection();
        if (ejection.isEjected() && observation.aliveAt() > ejection.ejectedAt()) {
            ejection.recheckNotAfter(context.now());
        }
        server.liveness().mergeObservation(observation.aliveAt(), observation.unresponsiveAt());
        if (observation.roleAt() > server.replication().roleReportedAt()) {
            roles.learnRole(server, observation.role(), observation.roleAt());
        }
        mergeLiveness(server, observation);
    }

    /**
     * Merges what a peer observed of a server's liveness. A server that peers found unresponsive gets a health check
     * before its next request. A server that answers peers counts as confirmed, except that this gateway must itself
     * have confirmed a primary at least once before the first write, since peers may not have noticed yet that it is
     * unresponsive.
     */
    private void mergeLiveness(ServerState server, ServerObservation observation) {
        Liveness liveness = server.liveness();
        if (observation.unresponsiveAt() > liveness.aliveAt()) {
            boolean neverAlive = liveness.aliveAt() == LoadReport.UNKNOWN_TIME;
            liveness.expireConfirmation(context.now());
            server.ejection()
                    .recheckNotBefore(neverAlive ? observation.unresponsiveAt() + OutlierDetector.MAX_BACKOFF : 0);
            return;
        }
        long knownAt = Math.max(liveness.confirmedAt(), server.connections().connectFailedAt());
        boolean mayConfirm = !server.isPrimary() || liveness.wasEverConfirmed();
        if (observation.aliveAt() > knownAt && !server.ejection().isEjected() && mayConfirm) {
            liveness.confirmByPeer(observation.aliveAt());
        }
    }
}
