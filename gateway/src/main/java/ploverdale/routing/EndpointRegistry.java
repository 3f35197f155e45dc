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
 * Applies the endpoint list: new servers, drains, removals and restarts. A drain reported by a peer also takes effect,
 * until this gateway's own list has had time to name it. Where the settings say that a removal without a preceding
 * drain does not take effect, it still does in an update that skips revisions, because the server may have drained in
 * one of them.
 */
final class EndpointRegistry {
    private final DecisionContext context;
    private final RoutingSettings settings;
    private final ServerDirectory directory;
    private final PeerGossip gossip;
    private final HealthChecker healthChecker;
    private final RandomGenerator random;
    private long lastRevision = EndpointUpdate.UNKNOWN_REVISION;
    /**
     * Whether the current update skips revisions, so that a server it removes may have drained since the previous
     * update.
     */
    private boolean mayHideDrains;

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

    /** Applies a complete endpoint list or an update of it. */
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

    /**
     * Returns whether revisions between the last update and this one were missed. An entry shows only the last change
     * of its server, and no server changes twice in one revision.
     */
    private boolean skipsRevisions(long revision) {
        boolean bothKnown =
                revision != EndpointUpdate.UNKNOWN_REVISION && lastRevision != EndpointUpdate.UNKNOWN_REVISION;
        return bothKnown && revision != lastRevision && revision != lastRevision + 1;
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
            server.slowStart().recordStart(entry.startedAt());
            server.load().forgetInflation();
        }
    }

    /** Uses the primary that the list names only as a hint, until a server reports its own role. */
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

    /**
     * Handles a peer's report that its endpoint list names a drain of this server.
     *
     * @param reportedAt when a list last named the drain, in ticks
     */
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

    /** Ends a drain that a peer reported and that no list has confirmed in time. */
    void endUnconfirmedDrain(ServerState server) {
        if (gossip.isEnabled() && server.lifecycle().isUnconfirmedDrainOver(context.now())) {
            transition(server, EndpointState.IN, EndpointUpdate.UNKNOWN_REVISION);
        }
    }

    /**
     * Handles a change of the servers' wall clock offset. Positions reported so far cannot be compared with later ones
     * and are forgotten; start times are replaced.
     *
     * @param startedAt the corrected start times in ticks; servers that are not in it keep theirs
     */
    void redate(Map<ServerId, Long> startedAt) {
        for (ServerState server : directory.servers()) {
            server.replication().forgetPosition();
            long before = server.lifecycle().startedAt();
            long start = startedAt.getOrDefault(server.id(), before);
            server.slowStart().redateStart(before, start);
            server.lifecycle().redateStart(start);
        }
    }
}
