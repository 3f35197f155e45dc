package ploverdale.routing;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import ploverdale.model.Endpoint;
import ploverdale.model.Endpoint.EndpointState;
import ploverdale.model.Event.EndpointUpdate;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ServerId;
import ploverdale.state.EndpointLifecycle;
import ploverdale.state.ServerState;

/**
 * Takes over the endpoint list: new servers, drains, removals and restarts. A drain that another gateway reported binds, too,
 * until the own list had time to name it. Where a removal without a drain does not bind, one in an update that skips revisions does:
 * the server may have drained in between.
 */
final class EndpointRegistry {
    private final DecisionContext context;
    private final RoutingSettings settings;
    private final ServerDirectory directory;
    private final PeerGossip gossip;
    private final HealthChecker healthChecker;
    private final RandomGenerator random;
    private long lastRevision = EndpointUpdate.UNKNOWN_REVISION;
    private boolean
            mayHideDrains; // whether a server that the update at hand removes may have drained since the one before

    EndpointRegistry(
            DecisionContext context,
            RoutingSettings settings,
            ServerDirectory directory,
            PeerGossip gossip,
            HealthChecker healthChecker,
            RandomGenerator random) {
        this.context = context;
        this.settings = settings;
        this.directory = directory;
        this.gossip = gossip;
        this.healthChecker = healthChecker;
        this.random = random;
    }

    /** Takes over the list, or its changes. */
    void update(EndpointUpdate update) {
        mayHideDrains = skipsRevisions(update.revision());
        lastRevision = update.revision();
        Set<ServerState> unlisted = new LinkedHashSet<>(update.complete() ? directory.servers() : List.of());
        for (Endpoint entry : update.endpoints()) {
            ServerState server = directory.find(entry.server()).orElseGet(() -> register(entry));
            unlisted.remove(server);
            updateServer(server, entry, update.revision());
        }
        unlisted.forEach(server -> transition(server, EndpointState.GONE, update.revision()));
    }

    /** An entry shows only the last change of its server, and no server changes twice in one revision. */
    private boolean skipsRevisions(long revision) {
        boolean areKnown =
                revision != EndpointUpdate.UNKNOWN_REVISION && lastRevision != EndpointUpdate.UNKNOWN_REVISION;
        return areKnown && revision != lastRevision && revision != lastRevision + 1;
    }

    private ServerState register(Endpoint entry) {
        ServerState server = directory.add(entry.server(), entry.group(), settings.initialLimit());
        if (entry.state() == EndpointState.IN && random.nextDouble() < settings.firstCheckProbability()) {
            healthChecker.checkWhenPossible(server);
        }
        return server;
    }

    private void updateServer(ServerState server, Endpoint entry, long revision) {
        EndpointLifecycle lifecycle = server.lifecycle();
        if (lifecycle.isOutdated(entry, revision)) {
            context.log("server " + server.id().value() + " stays " + lifecycle.state() + ": list revision " + revision
                    + " is not newer");
            return;
        }
        lifecycle.placeInZone(entry.zone());
        if (entry.state() != EndpointState.GONE) {
            gossip.serverListed(server.id());
        }
        lifecycle.recordListedState(entry.state(), context.now());
        EndpointState next = lifecycle.stateAfter(entry, context.now());
        transition(server, next, next == entry.state() ? revision : EndpointUpdate.UNKNOWN_REVISION);
        if (entry.primary()) {
            assumePrimary(server);
        }
        if (lifecycle.recordStart(entry.startedAt())) {
            server.slowStart().recordColdStart(entry.startedAt());
            server.load().forgetInflation();
        }
    }

    /** The list's word on who leads is a hint, used until a server itself reports its role. */
    private static void assumePrimary(ServerState server) {
        boolean nothingKnown =
                server.group().primary() == null && server.replication().role() == Role.UNKNOWN;
        if (nothingKnown && server.lifecycle().isActive()) {
            server.group().setPrimary(server);
        }
    }

    private void transition(ServerState server, EndpointState next, long revision) {
        boolean removalBinds = settings.guarantees().removalBinds() || mayHideDrains;
        if (server.lifecycle().moveTo(next, removalBinds, revision)) {
            context.log("server " + server.id().value() + " listed " + next);
        }
        if (server.lifecycle().isRemoved()) {
            gossip.serverRemoved(server.id());
        }
    }

    /** Another gateway's list named a drain of this server. */
    void learnReportedDrain(ServerState server, long reportedAt) {
        EndpointLifecycle lifecycle = server.lifecycle();
        if (reportedAt <= lifecycle.drainReportedAt() || !lifecycle.isActive()) {
            return;
        }
        lifecycle.recordReportedDrain(reportedAt);
        if (EndpointLifecycle.reportedDrainBinds(reportedAt, context.now())) {
            transition(server, EndpointState.DRAINING, EndpointUpdate.UNKNOWN_REVISION);
        }
    }

    /** Ends a drain that another gateway reported and that no list confirmed in time. */
    void endUnconfirmedDrain(ServerState server) {
        if (gossip.isEnabled() && server.lifecycle().isUnconfirmedDrainOver(context.now())) {
            transition(server, EndpointState.IN, EndpointUpdate.UNKNOWN_REVISION);
        }
    }

    /** The servers' wall clock has another offset: positions so far cannot be compared with later ones, and starts are dated anew. */
    void redate(Map<ServerId, Long> startedAt) {
        for (ServerState server : directory.servers()) {
            server.replication().forgetPosition();
            long before = server.lifecycle().startedAt();
            long start = startedAt.getOrDefault(server.id(), before);
            server.slowStart().redateColdStart(before, start);
            server.lifecycle().redateStart(start);
        }
    }
}
