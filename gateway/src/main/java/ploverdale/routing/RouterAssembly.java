package ploverdale.routing;

import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import ploverdale.gossip.GossipProtocol;
import ploverdale.model.Event;
import ploverdale.model.Quota;
import ploverdale.quota.StaticQuota;
import ploverdale.state.SessionWrites;

/** Creates the objects of a router from the settings with which the gateway is started, and connects them. */
final class RouterAssembly {
    private final DecisionContext context;
    private final ServerDirectory directory;
    private final LocalHealth localHealth;
    private final SessionWrites sessionWrites;
    private final Event.Started started;
    private final Quota quota;
    private final RoutingSettings settings;
    private final RandomGenerator random;
    private final LatencyEstimates latencies;
    private final SlowStart slowStart;
    private final PeerGossip gossip;
    private final HealthChecker healthChecker;
    private final AttemptCanceller canceller;
    private final OutlierDetector outlierDetector;
    private final ConcurrencyLimiter limiter;
    private final RoleTracker roles;
    private final RetryPolicy retryPolicy;
    private final StalenessFilter stalenessFilter;

    /** @param sharedQuota the quota of the shared limits, or null if each gateway takes a fixed, equal part of them */
    RouterAssembly(
            DecisionContext context,
            ServerDirectory directory,
            LocalHealth localHealth,
            SessionWrites sessionWrites,
            Quota sharedQuota,
            Event.Started started) {
        this.context = context;
        this.directory = directory;
        this.localHealth = localHealth;
        this.sessionWrites = sessionWrites;
        this.started = started;
        random = new SplittableRandom(started.seed());
        quota = sharedQuota != null ? sharedQuota : new StaticQuota(started.tenants(), Math.max(1, started.gateways()));
        settings = new RoutingSettings(started, quota.limitsAttempts());
        latencies = new LatencyEstimates(settings.requestClasses());
        slowStart =
                new SlowStart(settings.guarantees(), settings.gateways(), settings.requestsPerOverloadWindow(), random);
        gossip = createGossip();
        healthChecker = new HealthChecker(context, settings, quota, gossip, random);
        canceller = new AttemptCanceller(context, settings.capabilities(), directory);
        outlierDetector = new OutlierDetector(context, directory, localHealth, healthChecker, gossip, canceller);
        limiter = new ConcurrencyLimiter(context, settings, quota, slowStart, random);
        roles = new RoleTracker(context, gossip);
        retryPolicy = new RetryPolicy(context, settings.capabilities(), quota);
        stalenessFilter = new StalenessFilter(settings, sessionWrites);
    }

    private PeerGossip createGossip() {
        if (!settings.capabilities().peerMessagesAllowed() || settings.gateways() < 2) {
            return new DisabledGossip();
        }
        GossipProtocol protocol = new GossipProtocol(
                started.gatewayIndex(),
                settings.gateways(),
                settings.agreedRequestsPerSecond(),
                settings.tightestBound(),
                new SplittableRandom(~started.seed()),
                id -> ServerObservations.observe(context, directory, slowStart, id));
        protocol.start(context.now());
        return new EnabledGossip(protocol);
    }

    /** Creates the event handler of the router and starts the periodic maintenance. */
    EventDecisions assemble() {
        EndpointRegistry endpoints = new EndpointRegistry(context, settings, directory, gossip, healthChecker, random);
        EndpointWatch endpointWatch = new EndpointWatch(context, random);
        ConnectionScarcity scarcity = new ConnectionScarcity();
        RequestDispatcher dispatcher = createDispatcher();
        Maintenance maintenance = new Maintenance(new Maintenance.Dependencies(
                context,
                directory,
                new MaintenanceTimer(context),
                endpointWatch,
                endpoints,
                localHealth,
                outlierDetector,
                healthChecker,
                dispatcher,
                gossip));
        if (started.listOnDemand()) {
            endpointWatch.begin();
        }
        maintenance.runIfDue();
        return new EventDecisions(new EventDecisions.Dependencies(
                context,
                directory,
                quota,
                gossip,
                sessionWrites,
                localHealth,
                endpoints,
                endpointWatch,
                roles,
                new ServerObservations(context, roles, endpoints),
                healthChecker,
                createHealthCheckEvaluator(scarcity),
                createAttemptEvaluator(),
                scarcity,
                retryPolicy,
                dispatcher,
                maintenance));
    }

    private RequestDispatcher createDispatcher() {
        return new RequestDispatcher(new RequestDispatcher.Dependencies(
                context,
                settings,
                directory,
                quota,
                latencies,
                stalenessFilter,
                createSelector(),
                new AdmissionController(settings),
                retryPolicy,
                slowStart,
                canceller));
    }

    private ServerSelector createSelector() {
        return new ServerSelector(new ServerSelector.Dependencies(
                context,
                settings,
                directory,
                stalenessFilter,
                limiter,
                slowStart,
                latencies,
                healthChecker,
                gossip,
                retryPolicy,
                random));
    }

    private AttemptEvaluator createAttemptEvaluator() {
        return new AttemptEvaluator(
                context, localHealth, healthChecker, outlierDetector, limiter, slowStart, roles, gossip);
    }

    private HealthCheckEvaluator createHealthCheckEvaluator(ConnectionScarcity scarcity) {
        return new HealthCheckEvaluator(
                context, directory, localHealth, healthChecker, outlierDetector, roles, slowStart, scarcity, gossip);
    }
}
