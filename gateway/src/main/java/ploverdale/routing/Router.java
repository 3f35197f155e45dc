package ploverdale.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import ploverdale.gossip.GossipProtocol;
import ploverdale.gossip.ServerObservation;
import ploverdale.model.Action;
import ploverdale.model.Capabilities;
import ploverdale.model.Endpoint;
import ploverdale.model.Event;
import ploverdale.model.Event.Outcome;
import ploverdale.model.GroupId;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.Quota;
import ploverdale.model.Quota.HealthCheckReason;
import ploverdale.model.ReplicaGuarantees;
import ploverdale.model.RequestClass;
import ploverdale.model.RequestClass.Consistency;
import ploverdale.model.RequestClass.Idempotence;
import ploverdale.model.RequestId;
import ploverdale.model.ServerGuarantees;
import ploverdale.model.ServerId;
import ploverdale.model.Tenant;
import ploverdale.quota.StaticQuota;
import ploverdale.state.LatencyEstimate;
import ploverdale.state.PendingRequest;
import ploverdale.state.ReplicaGroup;
import ploverdale.state.ServerState;
import ploverdale.state.SessionWrites;

/**
 * All decisions of one gateway. The host hands each {@link Event} to {@link #on} with the clock and does
 * what the {@link Action}s say, in order. Both are in ploverdale.model, what is held in ploverdale.state, the
 * method in docs/design.md. Times are tenths of a millisecond.
 */
public final class Router {
    private static final long MS = 10;
    private static final long BEAT = 20 * MS; // looks round this often; short beside any latency target
    private static final long IDLE_BEAT = 200 * MS; // the same, while no op is held or out
    private static final long MARGIN = 10 * MS; // kept free before a limit, so that a tick does no harm
    private static final double FIRST_LIMIT = 24; // sends or first probes a server, over all gateways
    private static final double LEAST_LIMIT = 8; // the same, at the least; one or two a gateway
    private static final double EARLY = 0.02; // of an op timeout, for the answer's way and standstills
    private static final double COME_BACK = 0.25; // of the target; later, a second try would be in vain

    private RandomGenerator random;
    private GossipProtocol gossip; // null where gateways tell each other nothing
    private double firstLimit;
    private double leastLimit;
    private List<RequestClass> requestClasses;
    private double beyondShareValue;
    private ServerGuarantees guarantees;
    private Capabilities capabilities;
    private ReplicaGuarantees copies;
    private long tightestBound = Long.MAX_VALUE;
    private long probeEvery;

    private final Map<ServerId, ServerState> members = new LinkedHashMap<>();
    private final Map<GroupId, ReplicaGroup> groups = new LinkedHashMap<>();
    private final Map<RequestId, PendingRequest> requests = new LinkedHashMap<>();
    private final SessionWrites sessionWrites = new SessionWrites(50_000); // some megabytes
    private final List<LatencyEstimate> latencyEstimates = new ArrayList<>();
    private final LocalHealth localHealth = new LocalHealth();
    private final HealthCheckQueue healthChecks = new HealthCheckQueue();
    private SlowStart slowStart;
    private Quota quota;
    private double shedPrice;
    private int earlyTimeouts; // attempts out that end early for a retry, each of which has one reserved
    private long scarceUntil = LoadReport.UNKNOWN_TIME;
    private long nextBeat = Long.MIN_VALUE;
    private long watchEndpointsAt = Long.MAX_VALUE;

    private long now;
    private List<Action> out;

    /** @param quota of what all gateways share, or null: each takes its part of the whole */
    public Router(Quota quota) {
        this.quota = quota;
    }

    /** The one way in: takes what happened, returns what is to be done. */
    public List<Action> on(long time, Event h) {
        now = time;
        out = new ArrayList<>();
        if (h instanceof Event.RequestArrived a) {
            onRequestArrived(a);
        } else if (h instanceof Event.AttemptEnded e && members.containsKey(e.server())) {
            onAttemptEnded(e);
        } else if (h instanceof Event.TimerFired) {
            onTick();
        } else if (h instanceof Event.HealthCheckEnded e && members.containsKey(e.server())) {
            chargeProbe(members.get(e.server()), e.outcome());
            onHealthCheckEnded(e);
        } else if (h instanceof Event.LoopDelayed d) {
            localHealth.processDelayed(d.from(), d.until());
        } else if (h instanceof Event.EndpointUpdate l) {
            onEndpointUpdate(l);
        } else if (h instanceof Event.ClientDisconnected c && requests.containsKey(c.request())) {
            cancelAttempt(requests.remove(c.request()));
        } else if (h instanceof Event.GossipReceived p && gossip != null) {
            onGossip(p);
        } else if (h instanceof Event.ClockOffsetChanged c) {
            clockOffsetChanged(c);
        } else if (h instanceof Event.ShutdownBegun && gossip != null) {
            tell(gossip.leaves(now));
        } else if (h instanceof Event.ShutdownDeadline) {
            List.copyOf(requests.values()).forEach(this::endBeforeShutdown);
        } else if (h instanceof Event.Started s) {
            started(s);
        }
        return out;
    }

    /** Whether requests may still be written to this server: not once it is known to drain or to be gone. */
    public boolean mayReceive(ServerId server) {
        ServerState m = members.get(server);
        return m != null && m.isIn();
    }

    private void started(Event.Started s) {
        random = new SplittableRandom(s.seed());
        int gateways = Math.max(1, s.gateways());
        quota = quota != null ? quota : new StaticQuota(s.tenants(), gateways);
        leastLimit = quota.limitsAttempts() ? LEAST_LIMIT : Math.min(2, Math.max(1, LEAST_LIMIT / gateways));
        firstLimit = FIRST_LIMIT / gateways;
        requestClasses = s.requestClasses();
        beyondShareValue = s.beyondShareValue();
        guarantees = s.guarantees();
        capabilities = s.capabilities();
        copies = s.copies();
        slowStart = new SlowStart(guarantees, gateways, requestsPerWindow(s.tenants()), random);
        probeEvery = 1000 * MS; // where no read has a bound; roles only
        for (RequestClass t : requestClasses) {
            latencyEstimates.add(new LatencyEstimate(t.latencyTarget() / 5.0));
            if (t.needs() == Consistency.BOUNDED) {
                tightestBound = Math.min(tightestBound, t.stalenessBound());
                probeEvery = Math.min(probeEvery, t.stalenessBound() / 3); // the design's starting value
            }
        }
        watchEndpointsAt = s.listOnDemand() ? now : Long.MAX_VALUE;
        if (capabilities.peerMessages() && gateways > 1) {
            double requests =
                    s.tenants().stream().mapToDouble(Tenant::requestsPerSecond).sum();
            gossip = new GossipProtocol(
                    s.me(),
                    gateways,
                    requests,
                    tightestBound,
                    new SplittableRandom(~s.seed()),
                    id -> word(members.get(id)));
            gossip.starts(now);
        }
        onTick();
    }

    private void onEndpointUpdate(Event.EndpointUpdate told) {
        if (told.failed()) {
            watchEndpointsAt = now + 500 * MS + random.nextInt(1000) * MS; // by chance, so that gateways don't meet
            return;
        }
        List<ServerState> missing = new ArrayList<>(told.whole() ? members.values() : List.of());
        for (Endpoint l : told.endpoints()) {
            ServerState m = members.get(l.server());
            if (m == null) {
                m = new ServerState(
                        l.server(),
                        groups.computeIfAbsent(l.group(), ReplicaGroup::new),
                        Math.max(leastLimit, firstLimit));
                members.put(m.id, m);
                m.group.members.add(m);
                if (l.stage() == Endpoint.EndpointState.IN && random.nextDouble() < firstLimit) {
                    checkWhenDue(m);
                }
            }
            missing.remove(m);
            m.zone = l.zone();
            if (gossip != null && l.stage() != Endpoint.EndpointState.GONE) {
                gossip.listed(m.id);
            }
            boolean drained = m.listed == Endpoint.EndpointState.DRAINING; // by the list itself, which may undo it
            m.drainReportedAt = l.stage() == Endpoint.EndpointState.DRAINING
                    ? now
                    : drained ? LoadReport.UNKNOWN_TIME : m.drainReportedAt;
            m.listed = l.stage();
            // Guards against a list that does not know yet of a drain heard elsewhere: it does not undo it.
            stage(m, heardOfDrain(m) && l.startedAt() <= m.startedAt ? m.stage : l.stage());
            if (l.primary() && m.group.primary == null && m.role == Role.UNKNOWN && m.isIn()) {
                m.group.primary = m; // a hint, until the member itself is heard
            }
            if (l.startedAt() > m.startedAt) {
                m.startedAt = l.startedAt();
                m.coldSince = Math.max(m.coldSince, l.startedAt());
                m.stretch = 1;
            }
        }
        missing.forEach(m -> stage(m, Endpoint.EndpointState.GONE));
    }

    private boolean heardOfDrain(ServerState m) {
        return m.stage == Endpoint.EndpointState.DRAINING
                && m.listed == Endpoint.EndpointState.IN
                && now - m.drainReportedAt < DRAIN_HEARD_LASTS;
    }

    private void stage(ServerState m, Endpoint.EndpointState stage) {
        m.drainSeen |= stage == Endpoint.EndpointState.DRAINING;
        boolean binds = stage != Endpoint.EndpointState.GONE || guarantees.removalBinds() || m.drainSeen;
        if (binds && m.stage != stage) {
            m.stage = stage;
            m.drainSeen &= stage != Endpoint.EndpointState.IN;
            log("server " + m.id.text() + " listed " + stage);
        }
        if (gossip != null && m.stage == Endpoint.EndpointState.GONE) {
            gossip.forget(m.id);
        }
    }

    /** What others dated before cannot be compared with what they will; a session's last write is at most as late as now. */
    private void clockOffsetChanged(Event.ClockOffsetChanged c) {
        for (ServerState m : members.values()) {
            m.position = LoadReport.UNKNOWN_TIME;
            m.positionReportedAt = LoadReport.UNKNOWN_TIME;
            long startedAt = c.startedAt().getOrDefault(m.id, m.startedAt);
            m.coldSince = m.coldSince == m.startedAt ? startedAt : m.coldSince;
            m.startedAt = startedAt;
        }
        sessionWrites.allBy(now);
        requests.values()
                .forEach(request -> request.needPosition =
                        request.needPosition == LoadReport.UNKNOWN_TIME ? LoadReport.UNKNOWN_TIME : now);
        if (gossip != null) {
            gossip.forgetPositions();
        }
    }

    private void onRequestArrived(Event.RequestArrived a) {
        RequestClass type = requestClasses.get(a.type().index());
        long target = now
                + type.latencyTarget()
                + (long) (type.targetPerWork() * a.expectedWork())
                - (a.resubmitted() ? (long) (COME_BACK * type.latencyTarget()) : 0); // spent on the earlier try
        PendingRequest request = new PendingRequest(
                a, type, latencyEstimates.get(a.type().index()), now, Math.min(target, now + type.timeout()));
        request.needPosition = needPosition(a, type);
        request.beyondShare = !quota.tryAcquireRequest(now, a.tenant());
        requests.put(a.request(), request);
        wakeIn(BEAT);
        groups.computeIfAbsent(a.group(), ReplicaGroup::new).askedAt = now;
        if (gossip != null) {
            gossip.request();
        }
        dispatch(request);
    }

    /** A session's last write, as the position its reads must reach; others have none that stands still. */
    private long needPosition(Event.RequestArrived a, RequestClass type) {
        boolean none = type.needs() != Consistency.SESSION || copies.tokensCarried() && a.sessionWriteAge() == 0;
        return none
                ? LoadReport.UNKNOWN_TIME
                : copies.tokensCarried() ? now - a.sessionWriteAge() : sessionWrites.of(a.session());
    }

    private long worthUntil(PendingRequest request) {
        long target = request.type.lateShare() > 0 ? Long.MAX_VALUE : request.targetAt;
        return Math.min(answerBy(request), target) - MARGIN;
    }

    /** Guards against ops given up at the very end: the answer comes late, after a standstill never. */
    private long answerBy(PendingRequest request) {
        return request.asked.timeoutAt() - (long) (EARLY * (request.asked.timeoutAt() - request.arrivedAt));
    }

    // -- Where an op goes: role, freshness, drain/cold/health, spread, worth sending

    private static final double WORTH_SENDING = 0.5; // of usual latency must be left; many ops are shorter
    private static final double FEW_TAKE = 2.5; // times usual latency, which few ops of a good server take
    private static final double PRIMARY_BUSY = 0.95; // told busy part of its cores, with the same effect
    private static final double REPLICA_BUSY = 1.05; // the same for a replica; queues grow from 0.8 on
    private static final double BUSY_BAND = 0.25; // below these; over it ever fewer reads get in
    private static final long GUESS_AGAIN = 1000 * MS; // a turn-away costs a wait and a resend, and tells
    private static final double PRIMARY_READ_SHARE = 0.7; // of the primary's limit; the rest is for writes
    private static final double WRITE_SHARE = 2; // of the primary's limit; late writes still have a value
    private static final double AVOID_COST = 3; // times; where a send failed before, and a rank of long reads

    private static final ServerState WAIT = new ServerState(null, null, 0); // stands for a choice to wait

    private boolean dispatch(PendingRequest request) {
        ReplicaGroup g = groups.computeIfAbsent(request.asked.group(), ReplicaGroup::new);
        boolean may = request.sends < capabilities.attemptsPerRequest()
                && (!request.mayHaveRun
                        || request.type.repeats() != Idempotence.NOT_IDEMPOTENT && now < request.repeatUntil);
        boolean toPrimary = request.type.needs() == Consistency.WRITE || request.type.needs() == Consistency.FRESH;
        ServerState to = !may ? null : toPrimary ? choosePrimary(request, g) : chooseServer(request, g);
        if (to == WAIT && now < holdUntil(request)) {
            g.held.add(request);
            return false;
        }
        g.held.remove(request);
        boolean go = to != null
                && to != WAIT
                && !shed(request, to)
                && worthUntil(request) - now >= WORTH_SENDING * request.latency.usual * to.stretch
                && quota.tryAcquireAttempt(to.id, request.cold = slowStartFraction(to) < 1);
        shedPrice += request.sends > 0 ? 0 : NEWEST / 5 * ((go ? 0 : valuePerWork(request)) - shedPrice);
        if (go) {
            send(request, to);
        } else {
            finish(request);
        }
        return true;
    }

    /** Guards against long reads that age out replicas, or keep them so, while worthier ops are refused. */
    private boolean shed(PendingRequest request, ServerState m) {
        return request.sends == 0
                && longRead(request)
                && valuePerWork(request) < shedPrice
                && (now - m.position <= tightestBound || m.out.values().stream().anyMatch(this::longRead));
    }

    /** A tokened op that may have run goes only where its repeat is known. */
    private boolean knowsRepeat(PendingRequest request, ServerState m) {
        return !request.mayHaveRun
                || request.type.repeats() != Idempotence.WITH_IDEMPOTENCY_KEY
                || request.type.scope() == RequestClass.Scope.ALL
                || request.type.scope() == RequestClass.Scope.GROUP && m.group.equals(request.firstMaybeServer.group)
                || request.type.scope() == RequestClass.Scope.ZONE && m.zone.equals(request.firstMaybeServer.zone);
    }

    private long holdUntil(PendingRequest request) {
        long end = Math.min(worthUntil(request), request.repeatUntil);
        long half = request.mayHaveRun
                ? end
                : (request.arrivedAt + request.asked.timeoutAt()) / 2 - MARGIN; // no vain waits
        long hopeless = request.type.lateShare() > 0 ? 0 : (long) (FEW_TAKE * request.latency.usual);
        return Math.min(Math.min(end, half), Math.max(end - hopeless, request.arrivedAt + 2 * PATIENCE)) - BEAT;
    }

    private ServerState choosePrimary(PendingRequest request, ReplicaGroup g) {
        ServerState p = g.primary;
        boolean known = p != null && p.isIn() && !p.silent;
        if (!known || !heardLately(p)) {
            boolean told = askAgain() > ASK_AGAIN; // by others, where each member stands and whether it leads
            ask(g, m -> m == p || !known && (!told || now - m.positionReportedAt > askAgain()));
        }
        return known && heardLately(p) && knowsRepeat(request, p) && hasRoom(p, WRITE_SHARE) && coldAllows(p, request)
                ? p
                : WAIT;
    }

    private ServerState chooseServer(PendingRequest request, ReplicaGroup g) {
        ServerState best = spread(request, g, m -> admits(m, request));
        boolean checked = copies.checks() != ReplicaGuarantees.StalenessCheck.NONE;
        best = best == null && checked ? spread(request, g, m -> lagsALittle(m, request)) : best;
        if (best != null) {
            return best;
        }
        ServerState p = g.primary;
        if (ask(
                g,
                m -> !heardLately(m)
                        || !checked && m != p && !admits(m, request) && now - m.positionReportedAt > askAgain())) {
            return WAIT;
        }
        if (p != null
                && p.isIn()
                && !p.silent
                && heardLately(p)
                && hasRoom(p, PRIMARY_READ_SHARE)
                && stretchNow(p) <= FEW_TAKE
                && notTooBusy(p, PRIMARY_BUSY)
                && coldAllows(p, request)) {
            return p; // also while the admitted replicas are full
        }
        // Guards against old reports: where replicas check reads, one a second tries each, not a refusal.
        ServerState guess =
                checked ? spread(request, g, m -> m != request.at && now - m.misdirectedAt > GUESS_AGAIN) : null;
        if (guess != null) {
            guess.misdirectedAt = now; // until it answers
            return guess;
        }
        // Nobody was heard lately, and the health check that tells is on its way: perhaps on a second connection, where
        // a server
        // has forgotten the first while it was idle.
        if (g.members.stream().noneMatch(this::heardLately)
                && g.members.stream().anyMatch(m -> m.isPromising() && m.probeOut && now - m.probedAt < CHECK_WAIT)) {
            return WAIT;
        }
        // Waits for room, or for a replica little too old by a report that is old itself to be asked again.
        return g.members.stream()
                        .anyMatch(m -> m != p
                                && m.isIn()
                                && !m.silent
                                && heardLately(m)
                                && m.busy < REPLICA_BUSY - BUSY_BAND
                                && (admits(m, request)
                                        || request.type.needs() == Consistency.BOUNDED
                                                && !checked
                                                && now - m.position <= 2 * request.type.stalenessBound()))
                ? WAIT
                : null;
    }

    /** Guards against many gateways with few ops that crowd a server together; where own answers are old. */
    private boolean notTooBusy(ServerState m, double shut) {
        return now - m.stretchAt < REPORT_AGE || random.nextDouble() < (shut - m.busy) / BUSY_BAND;
    }

    private ServerState spread(PendingRequest request, ReplicaGroup g, Predicate<ServerState> letIn) {
        ServerState best = null;
        double least = Double.MAX_VALUE;
        for (ServerState m : g.members) {
            boolean may = m != g.primary
                    && m.isIn()
                    && !m.silent
                    && heardLately(m)
                    && knowsRepeat(request, m)
                    && hasRoom(m, 1)
                    && letIn.test(m)
                    && notTooBusy(m, REPLICA_BUSY)
                    && coldAllows(m, request);
            double cost = may ? cost(m, request) : Double.MAX_VALUE;
            if (cost < least) {
                best = m;
                least = cost;
            }
        }
        return best;
    }

    /** The filter: a replica answers only when its last known position fits; unknown is too stale. */
    private boolean admits(ServerState m, PendingRequest request) {
        Consistency needs = request.type.needs();
        return needs == Consistency.UNBOUNDED
                || needs == Consistency.BOUNDED && now - m.position <= request.type.stalenessBound()
                || needs == Consistency.SESSION && m.position >= request.needPosition;
    }

    /** Where replicas check reads, one that lags a little may go first, until it turns one away. */
    private boolean lagsALittle(ServerState m, PendingRequest request) {
        return m.misdirectedAt < m.positionReportedAt
                && m != request.at
                && now - m.positionReportedAt < NEWS_FADES_IN
                && m.positionReportedAt - m.position <= request.type.stalenessBound();
    }

    /** Counts only sends made since it last returned; older ones may be stuck. None where just found full. */
    private boolean hasRoom(ServerState m, double share) {
        return now - m.fullAt >= m.fullFor
                && m.outSinceReturn().size() < m.limit * share
                && quota.hasAttempt(m.id, slowStartFraction(m) < 1);
    }

    // Guards against reads longer than the tightest bound, which may stop a replica's apply: all gateways put
    // them on the same few replicas, so that the others stay fresh enough for bounded reads.
    private double cost(ServerState m, PendingRequest request) {
        double again = m == request.at ? AVOID_COST : 1;
        if (longRead(request)) { // rank by id, the same at every gateway
            again *= Math.pow(
                    AVOID_COST,
                    m.group.members.stream()
                            .filter(o -> o != m.group.primary
                                    && o.isIn()
                                    && !o.silent
                                    && o.id.text().compareTo(m.id.text()) < 0)
                            .count());
        }
        double room = now - m.stretchAt < REPORT_AGE ? 1 : Math.max(0.1, 1 - m.busy);
        return again
                * stretchNow(m)
                * (m.out.size() + 1)
                / room
                / slowStartFraction(m)
                * (1 + random.nextDouble() / 10);
    }

    private boolean longRead(PendingRequest request) {
        return request.type.needs() == Consistency.UNBOUNDED && request.latency.usual > tightestBound;
    }

    // -- Cold servers; how much of the requests they get is decided in ploverdale.routing.SlowStart

    private double requestsPerWindow(List<Tenant> tenants) {
        return tenants.stream().mapToDouble(Tenant::requestsPerSecond).sum()
                * guarantees.overloadWindow()
                / (1000 * MS);
    }

    private double slowStartFraction(ServerState m) {
        return slowStart.slowStartFraction(m, now);
    }

    private boolean coldAllows(ServerState m, PendingRequest request) {
        return slowStartFraction(m) >= 1
                || m.busy < REPLICA_BUSY - BUSY_BAND
                        && slowStart.admits(m, request.latency.usual, meanWork(), members.values(), now);
    }

    /** What a request usually takes, over the op types as often as they come. */
    private double meanWork() {
        double samples =
                latencyEstimates.stream().mapToDouble(p -> 1 + p.samples).sum();
        return latencyEstimates.stream()
                        .mapToDouble(p -> p.usual * (1 + p.samples))
                        .sum()
                / samples;
    }

    private double takenWork(ServerState m) {
        return slowStart.recentWork(m, now);
    }

    /** Only those answered: others may not have reached the server. */
    private void chargeProbe(ServerState m, Outcome outcome) {
        if (m.probeOut && outcome == Outcome.SUCCEEDED) {
            slowStart.probeAnswered(m, now - m.probedAt, now);
        }
    }

    // -- Sends and their ends

    private static final double LOST_SHARE = 0.12; // of answers; long ops alone miss one in twenty

    private void send(PendingRequest request, ServerState m) {
        long until = request.type.repeats() == Idempotence.IDEMPOTENT ? worthUntil(request) : answerBy(request);
        // Guards against servers whose answers get lost while they work: sends again in time.
        long early = now + (long) (FEW_TAKE * request.latency.usual * stretchNow(m));
        // Only where a retry may follow and can be paid for: an attempt without one has all the time that is left.
        boolean retryFollows = request.sends + 1 < capabilities.attemptsPerRequest() && quota.hasRetry(earlyTimeouts);
        request.hasEarlyTimeout = m.lostShare > LOST_SHARE
                && request.type.repeats() != Idempotence.NOT_IDEMPOTENT
                && retryFollows
                && worthUntil(request) - early > request.latency.usual * stretchNow(m);
        if (request.hasEarlyTimeout) {
            earlyTimeouts++;
            until = Math.min(until, early);
        }
        // Guards against positions that age while a connection is made; servers that check reads see to it.
        boolean ages = request.type.needs() == Consistency.BOUNDED
                && m != m.group.primary
                && copies.checks() == ReplicaGuarantees.StalenessCheck.NONE;
        long writeBy = ages ? m.position + request.type.stalenessBound() : Long.MAX_VALUE;
        out.add(new Action.StartAttempt(request.asked.request(), m.id, Math.max(1, until - now), writeBy));
        request.attemptInFlight = request.sends++;
        request.at = m;
        request.sentAt = now;
        request.calledOff = false;
        m.out.put(request.asked.request(), request);
        slowStart.attempted(m, request.latency.usual, now);
    }

    private void onAttemptEnded(Event.AttemptEnded e) {
        ServerState m = members.get(e.server());
        PendingRequest request = m.out.remove(e.request());
        learnRole(m, e.answerReport(), now);
        learnReport(m, e.loadReport());
        if (request != null) {
            quota.releaseAttempt(m.id, request.cold);
            learnHealth(m, request, e);
            earlyTimeouts -= request.hasEarlyTimeout ? 1 : 0;
            request.hasEarlyTimeout = false;
        }
        PendingRequest live = requests.get(e.request());
        if (e.outcome() == Outcome.SUCCEEDED && request != null && request.type.needs() == Consistency.WRITE) {
            boolean told = e.answerReport() != null && e.answerReport().position() != LoadReport.UNKNOWN_TIME;
            sessionWrites.put(request.asked.session(), told ? e.answerReport().position() : now);
        }
        if (live != null && e.requestSettled()) {
            requests.remove(e.request());
        } else if (live != null && live.attemptInFlight == e.attempt()) {
            live.attemptInFlight = -1;
            next(live, m, e.outcome());
        }
        release(m.group);
        if (now < scarceUntil && m.out.isEmpty()) {
            out.add(new Action.CloseIdleConnections(m.id));
        }
    }

    private void next(PendingRequest request, ServerState m, Outcome outcome) {
        if (!outcome.provesNotRun() && !request.mayHaveRun) {
            request.mayHaveRun = true;
            boolean tokened = request.type.repeats() == Idempotence.WITH_IDEMPOTENCY_KEY;
            request.repeatUntil = tokened ? request.sentAt + request.type.repeatWindow() - MARGIN : Long.MAX_VALUE;
            request.firstMaybeServer = m;
        }
        boolean wrongRole = outcome == Outcome.MISDIRECTED && request.type.needs() == Consistency.WRITE;
        if (wrongRole || quota.tryAcquireRetry()) {
            dispatch(request);
        } else {
            finish(request); // guards against storms: repeats stay a small part of all sends
        }
    }

    private void finish(PendingRequest request) {
        requests.remove(request.asked.request());
        boolean harmless = !request.mayHaveRun
                || request.type.repeats() == Idempotence.IDEMPOTENT
                || request.type.repeats() == Idempotence.WITH_IDEMPOTENCY_KEY
                        && request.type.scope() == RequestClass.Scope.ALL;
        long budget = request.beyondShare ? quota.retryAfter(now, request.asked.tenant()) : 0;
        long back = Math.max((long) (COME_BACK * request.type.latencyTarget()), budget);
        back = Math.min(back, capabilities.longestRetryAfter());
        out.add(
                harmless
                        ? new Action.RejectRequest(request.asked.request(), capabilities.retryAfterAllowed() ? back : 0)
                        : new Action.FailRequest(request.asked.request()));
    }

    private void endBeforeShutdown(PendingRequest request) {
        cancelAttempt(request);
        request.mayHaveRun |= request.attemptInFlight >= 0;
        finish(request);
    }

    private void cancelAttempt(PendingRequest request) {
        groups.get(request.asked.group()).held.remove(request);
        if (request.attemptInFlight >= 0 && capabilities.cancel() && !request.calledOff) {
            request.calledOff = true;
            out.add(new Action.CancelAttempt(request.asked.request(), request.attemptInFlight));
        }
    }

    /** Gives freed room to the ops with the most value per work, newest first. */
    private void release(ReplicaGroup g) {
        List<PendingRequest> order = g.held.stream()
                .sorted(Comparator.comparingDouble((PendingRequest o) -> -valuePerWork(o))
                        .thenComparing(o -> -o.arrivedAt))
                .toList();
        boolean[] stuck = new boolean[requestClasses.size()];
        for (PendingRequest request : order) {
            int type = request.asked.type().index();
            if (now >= holdUntil(request) || !stuck[type]) {
                stuck[type] |= !dispatch(request);
            }
        }
    }

    private double valuePerWork(PendingRequest request) {
        return request.type.value() * (request.beyondShare ? beyondShareValue : 1) / request.latency.usual;
    }

    // -- Roles, positions, probes

    private static final long HEARD_LASTS = 2000 * MS; // no op to a server not heard of for longer
    private static final long ASK_AGAIN = 150 * MS; // about how often reports are made anew
    private static final long SCARCE_LASTS = 10_000 * MS; // after a refused connect that a probe outlived
    private static final long CHECK_WAIT =
            250 * MS; // a health check on an idle connection, 100 ms in vain, and on a new one
    private static final long PATIENCE = 50 * MS; // what needs no work takes a few: probes, refused connects
    private static final long REPORT_AGE = 300 * MS; // of reports as they come; newer own latencies say more

    private boolean probe(ServerState m, HealthCheckReason why) {
        boolean may = capabilities.probes() && !m.probeOut && quota.tryAcquireHealthCheck(why);
        if (may) {
            healthChecks.sent(m);
            m.probeOut = true;
            m.probedAt = now;
            out.add(new Action.CheckHealth(m.id));
        }
        return may;
    }

    /** Has a server checked at once, or when fewer checks are out. */
    private void checkWhenDue(ServerState m) {
        healthChecks.add(m);
        checkNext();
    }

    private void checkNext() {
        for (ServerState m = healthChecks.next(); m != null; m = healthChecks.next()) {
            probe(m, HealthCheckReason.SUSPICION);
        }
    }

    /** Guards gateways with few ops against dead servers and listed ones that never were. */
    private boolean heardLately(ServerState m) {
        return now - m.heardAt <= HEARD_LASTS || !capabilities.probes();
    }

    /** Guards against probes dearer than ops: asks for an op in need; true while a word is awaited. */
    private boolean ask(ReplicaGroup g, Predicate<ServerState> who) {
        boolean met = g.members.stream().anyMatch(ServerState::isPromising);
        ServerState pick = null;
        int count = 0;
        for (ServerState m : g.members) {
            // A primary that others told of may never have been heard here.
            boolean told = !met || m == g.primary && !m.silent; // by others, perhaps never heard here
            boolean wanted = m.isIn() && who.test(m) && (told || m.isPromising());
            if (wanted && m.probeOut && now - m.probedAt < PATIENCE) {
                return true;
            }
            boolean due = now >= m.retryAt || !met && askAgain() == ASK_AGAIN;
            due &= !m.probeOut && now - m.probedAt > ASK_AGAIN;
            pick = wanted && due && random.nextInt(++count) == 0 ? m : pick;
        }
        return pick != null && probe(pick, HealthCheckReason.ON_DEMAND);
    }

    private void onHealthCheckEnded(Event.HealthCheckEnded e) {
        ServerState m = members.get(e.server());
        long heardBefore = Math.max(m.aliveAt, m.positionReportedAt); // by anyone; else the list's word does
        heardBefore = heardBefore == LoadReport.UNKNOWN_TIME ? now : Math.max(m.silentSince, heardBefore);
        if (m.probeOut) {
            healthChecks.ended();
        }
        m.probeOut = false;
        if (e.outcome() == Outcome.NEVER_SENT) { // a lack on this machine; says nothing about the server
            m.retryAt = Math.max(m.retryAt, now + ASK_AGAIN);
        } else if (e.outcome() == Outcome.SUCCEEDED || e.outcome() == Outcome.REJECTED) {
            m.deadSigns = 0;
            m.heardAt = m.aliveAt = now;
            answered(m);
            if (m.refusesConnects && now - m.connectFailedAt < BRIEF) {
                // Guards against servers that take few connections: idle ones are given up for others to use;
                // a handshake costs less than an op that finds none.
                scarceUntil = now + SCARCE_LASTS;
                log("connections scarce: " + m.id.text() + " answers probes but refuses connections");
            }
            learnReport(m, e.loadReport());
            if (m.silent && now >= m.retryAt) {
                returns(m, heardBefore, "answers probes");
            }
        } else {
            healthCheckMissed(m);
        }
        release(m.group);
        checkNext();
    }

    private void healthCheckMissed(ServerState m) {
        boolean waited = now - m.probedAt >= PATIENCE; // what fails at once is no silence
        m.checkMissedAt = waited ? now : m.checkMissedAt;
        if (m.silent) {
            if (!waited || !localHealth.inconclusive(m.probedAt, now)) {
                long longest = askAgain() == ASK_AGAIN ? PENALTY_MOST : 4 * PENALTY_MOST; // others would tell
                m.penalty = neverThere(m) ? longest : Math.min(PENALTY_MOST / 4, m.penalty * 2);
            }
            m.retryAt = now + m.penalty;
        } else if (now - m.answeredAt <= SILENCE_LEAST) {
            return; // answers to ops say more
        } else if (waited && isInconclusive(m)) {
            suspect(m);
        } else if (++m.deadSigns >= DEAD_SIGNS || m.heardAt == LoadReport.UNKNOWN_TIME && m.inconclusiveChecks == 0) {
            silent(m, "probes unanswered " + m.deadSigns);
        }
    }

    private void answered(ServerState m) {
        m.respondedAt = now;
        m.inconclusiveChecks = 0;
        m.inconclusiveWait = 0;
    }

    /** Where checks are inconclusive again and again, what they waited beyond that adds up to a verdict. */
    private boolean isInconclusive(ServerState m) {
        boolean inconclusive = localHealth.inconclusive(m.probedAt, now)
                || localHealth.commonSilence(now, m, m.probedAt, members.values());
        if (inconclusive) {
            m.inconclusiveChecks++;
            m.inconclusiveWait += now - m.probedAt - localHealth.explainedIn(m.probedAt, now);
        }
        return inconclusive && m.inconclusiveWait < SILENCE_LEAST;
    }

    /** No verdict: nothing new is sent there until a further health check is answered. */
    private void suspect(ServerState m) {
        if (now - m.respondedAt > ASK_AGAIN) {
            m.heardAt = Math.min(m.heardAt, now - HEARD_LASTS - 1);
        }
        if (now - Math.max(m.respondedAt, m.probedAt) > PATIENCE) {
            checkWhenDue(m);
        }
    }

    /** Guards against old reports that revive a lost role: a primary's position tells when it said so. */
    private void learnReport(ServerState m, LoadReport t) {
        boolean dated = t != null && t.role() == Role.PRIMARY && t.position() != LoadReport.UNKNOWN_TIME;
        learnRole(m, t, dated ? t.position() : now - REPORT_AGE);
    }

    /** Newest word wins; a position never goes back. */
    private void learnRole(ServerState m, LoadReport t, long toldAt) {
        if (t == null) {
            return;
        }
        m.busy = Double.isNaN(t.busy()) ? m.busy : t.busy();
        if (t.position() != LoadReport.UNKNOWN_TIME) {
            m.position = Math.max(m.position, t.position() - MS); // a write's commit is rounded up
            m.positionReportedAt = now;
            if (gossip != null) {
                gossip.placed(now, m.id);
            }
        }
        if (t.role() == Role.UNKNOWN || toldAt < m.roleReportedAt) {
            return;
        }
        m.role = t.role();
        m.roleReportedAt = toldAt;
        ReplicaGroup g = m.group;
        ServerState was = g.primary;
        boolean newer = was == null || was.role != Role.PRIMARY || was.roleReportedAt < toldAt;
        g.primary = m.role == Role.PRIMARY && newer ? m : m.role != Role.PRIMARY && was == m ? null : was;
        if (g.primary != was) {
            log("group " + g.id.number() + " primary " + (g.primary == m ? "" : "no longer ") + m.id.text());
        }
    }

    /** Looks round again soon, or later where nothing is out or held. */
    private void wakeIn(long time) {
        if (now + time < nextBeat) {
            nextBeat = now + time;
            out.add(new Action.SetTimer(nextBeat, 0));
        }
    }

    private void onTick() {
        if (now < nextBeat) {
            return; // an earlier look round made this one needless
        }
        nextBeat = Long.MAX_VALUE;
        wakeIn(requests.isEmpty() && (gossip == null || !gossip.wantsToTell(now)) ? IDLE_BEAT : BEAT);
        if (now >= watchEndpointsAt) {
            out.add(new Action.WatchEndpoints());
            watchEndpointsAt = Long.MAX_VALUE;
        }
        localHealth.observe(now, members.values());
        ServerState due = null;
        long oldest = now - (askAgain() > ASK_AGAIN ? askAgain() : probeEvery); // what others tell costs less
        for (ServerState m : members.values()) {
            lookForSilence(m);
            if (gossip != null) {
                gossip.learnt(now, m.id);
                if (m.stage == Endpoint.EndpointState.DRAINING
                        && m.listed == Endpoint.EndpointState.IN
                        && !heardOfDrain(m)) {
                    stage(m, Endpoint.EndpointState.IN); // no list knew of that drain
                }
            }
            // A position heard from others that is still fresh saves a probe.
            long toldAt = Math.max(m.positionReportedAt, gossip == null ? 0 : m.position + probeEvery);
            boolean inUse = m.isIn() && now - m.group.askedAt < probeEvery;
            if (inUse && !m.isPromising() && now >= m.retryAt) {
                checkWhenDue(m);
            } else if (inUse && Math.max(m.probedAt, toldAt) <= oldest) {
                due = m;
                oldest = Math.max(m.probedAt, toldAt);
            }
        }
        if (due != null) {
            probe(due, HealthCheckReason.PERIODIC);
        }
        groups.values().forEach(this::release);
        if (gossip != null) {
            tell(gossip.due(now));
        }
    }

    // -- What gateways tell each other; who is told what is decided in ploverdale.gossip

    private static final long DRAIN_HEARD_LASTS = 10_000 * MS; // longer than any list is late

    /** Where positions come round, asking tells no more than waiting. */
    private long askAgain() {
        return gossip != null && gossip.needsOthers() ? ASK_AGAIN + GossipProtocol.PLACES_EVERY : ASK_AGAIN;
    }

    private ServerObservation word(ServerState m) {
        return new ServerObservation(
                m.role,
                m.role == Role.UNKNOWN ? LoadReport.UNKNOWN_TIME : Math.min(now, m.roleReportedAt),
                m.position,
                m.positionReportedAt,
                m.aliveAt,
                m.silentAt,
                slowStartFraction(m) < 1 ? m.coldSince : LoadReport.UNKNOWN_TIME,
                m.stage == Endpoint.EndpointState.DRAINING ? m.drainReportedAt : LoadReport.UNKNOWN_TIME);
    }

    private void onGossip(Event.GossipReceived p) {
        GossipProtocol.ReceivedGossip h = gossip.hears(now, p.from(), p.bytes());
        h.words().forEach((id, w) -> mergeObservation(members.get(id), w));
        tell(h.letters());
        Optional.ofNullable(h.line()).ifPresent(this::log);
    }

    /** Own words win over others as old; nothing gets newer than it was at its source. */
    private void mergeObservation(ServerState m, ServerObservation w) {
        if (w.drainAt() > m.drainReportedAt && m.isIn()) {
            m.drainReportedAt = w.drainAt();
            stage(m, now - w.drainAt() < DRAIN_HEARD_LASTS ? Endpoint.EndpointState.DRAINING : m.stage);
        }
        m.coldSince = Math.max(m.coldSince, w.coldSince());
        m.position = Math.max(m.position, w.position());
        m.positionReportedAt = Math.max(m.positionReportedAt, w.positionAt());
        m.retryAt = m.silent && w.aliveAt() > m.silentSince ? Math.min(m.retryAt, now) : m.retryAt;
        m.silentAt = Math.max(m.silentAt, w.silentAt());
        m.aliveAt = Math.max(m.aliveAt, w.aliveAt());
        if (w.roleAt() > m.roleReportedAt) {
            learnRole(m, new LoadReport(w.role(), LoadReport.UNKNOWN_TIME), w.roleAt());
        }
        // A primary is heard by oneself once, before its first write: others may not know that it is silent.
        if (w.silentAt() > m.aliveAt) {
            m.heardAt = Math.min(m.heardAt, now - HEARD_LASTS - 1); // a probe tells, before the next op there
            m.retryAt = Math.max(m.retryAt, m.aliveAt == LoadReport.UNKNOWN_TIME ? w.silentAt() + PENALTY_MOST : 0);
        } else if (w.aliveAt() > Math.max(m.heardAt, m.connectFailedAt)
                && !m.silent
                && (m != m.group.primary || m.heardAt != LoadReport.UNKNOWN_TIME)) {
            m.heardAt = w.aliveAt();
        }
        release(m.group);
    }

    private void proved(ServerState m, PendingRequest request, boolean right) {
        if (gossip != null && request.type.needs() == Consistency.WRITE) {
            gossip.proved(now, m.id, right);
        }
    }

    private void tell(List<GossipProtocol.OutboundPacket> letters) {
        letters.forEach(l -> out.add(new Action.SendGossip(l.peer(), l.bytes())));
    }

    // -- Health

    private static final int DEAD_SIGNS = 2; // lost probes in a row; one may be chance
    private static final long SILENCE_LEAST = 400 * MS; // longer than short stalls
    private static final double ANSWERS_MISSED = 8; // by chance once in thousands of times
    private static final long PENALTY_FIRST = 300 * MS; // doubled at each failed trial
    private static final long PENALTY_MOST = 8000 * MS;
    private static final long BRIEF = 1500 * MS; // away less is no restart; back less, a failed trial
    private static final double FAIL_SHARE = 0.3; // of failures, beyond which a server is left out
    private static final long USUAL_RISES_IN = 60_000 * MS; // slow, so that trouble does not become usual
    private static final double NEWEST = 0.1; // weight of the newest answer; work varies as its mean
    private static final double LOST_BELOW = 1.5; // times usual that answers take; more is load, not loss
    private static final double STRETCH_MOST = 8; // one answer counts for no more
    private static final long NEWS_FADES_IN = 4000 * MS; // of slowness, and of having been level
    private static final double PRESSURE_WANTED = 0.35; // mean latency as part of the target; tails are long
    private static final double LIMIT_STEP = 0.2; // an answer; the limit moves by a fifth in a round trip

    private void learnHealth(ServerState m, PendingRequest request, Event.AttemptEnded e) {
        Outcome outcome = e.outcome();
        long took = Math.max(0, e.duration() - localHealth.explainedIn(request.sentAt, now));
        boolean inconclusive = outcome == Outcome.CONNECT_FAILED && localHealth.inconclusive(request.sentAt, now);
        if (outcome == Outcome.CONNECT_FAILED && !inconclusive) {
            learnConnectFailure(m, e.duration());
        }
        if (outcome.isConnectionFailure() && m.answeredAt < request.sentAt) {
            m.heardAt = Math.min(m.heardAt, now - HEARD_LASTS - 1); // dead, or no room; a health check tells
            probe(m, HealthCheckReason.SUSPICION);
        } else if (outcome.reportedByServer()) {
            learnAnswered(m);
        }
        if (outcome == Outcome.REJECTED) { // tried again ever more seldom, and not at the same time as by all others
            m.fullAt = now;
            m.fullFor = Math.min(HEARD_LASTS, 2 * m.fullFor + PATIENCE + random.nextLong(PATIENCE));
        }
        if (outcome == Outcome.REJECTED || outcome == Outcome.CONNECT_FAILED && m.cutAt == now) {
            m.limit = Math.max(leastLimit, Math.min(m.limit, m.out.size())); // what is open already is kept
        }
        switch (outcome) {
            case SUCCEEDED -> learnSuccess(m, request, took);
            case FAILED, CONNECTION_LOST, CONNECT_INTERRUPTED, CONNECT_FAILED -> learnFailure(m, outcome, inconclusive);
            case TIMED_OUT -> learnTimeout(m, request, took);
            case MISDIRECTED -> learnMisdirected(m, request);
            default -> {
                // REJECTED was handled above; CANCELLED and NEVER_SENT say nothing about the server.
            }
        }
    }

    /** Networks reset connections by chance: only refusals in a row, or slow failures, count against the server. */
    private void learnConnectFailure(ServerState m, long took) {
        m.refusesConnects = took < PATIENCE && now - m.connectFailedAt < BRIEF / 3;
        m.connectFailedAt = now;
        m.cutAt = m.refusesConnects || took >= PATIENCE ? now : m.cutAt;
    }

    private void learnAnswered(ServerState m) {
        m.answeredAt = now;
        m.heardAt = now;
        m.aliveAt = now;
        answered(m);
        m.deadSigns = 0;
        if (m.silent && m.failShare < FAIL_SHARE) {
            returns(m, now, "answers"); // to an attempt from before, so it has not restarted
        }
    }

    private void learnSuccess(ServerState m, PendingRequest request, long took) {
        proved(m, request, true);
        m.missedInARow = 0;
        m.fullFor = 0;
        m.takenWork = takenWork(m) + request.latency.usual;
        m.lostShare *= 1 - NEWEST;
        m.ackedStretch += NEWEST * (took / request.latency.usual - m.ackedStretch);
        learnPace(m, request, took, took);
        m.failShare *= 1 - NEWEST;
    }

    /**
     * A server that fails fast would draw traffic, so it is ejected, where its group has enough others left. What may be the
     * network's doing counts half.
     */
    private void learnFailure(ServerState m, Outcome outcome, boolean inconclusive) {
        double weight = outcome == Outcome.FAILED ? 1 : 0.5;
        double counted = inconclusive ? m.failShare : weight;
        m.failShare += NEWEST * (counted - m.failShare);
        long well = m.group.members.stream()
                .filter(o -> o != m && o.isIn() && !o.silent)
                .count();
        if (m.failShare >= FAIL_SHARE && m != m.group.primary && well * 2 >= m.group.members.size()) {
            silent(m, "fails " + Math.round(m.failShare * 100) + " %");
        }
    }

    /** An answer that does not come while the others come in time was lost rather than slow, and does not count as load. */
    private void learnTimeout(ServerState m, PendingRequest request, long took) {
        boolean lost = ++m.missedInARow <= 2 && m.ackedStretch < LOST_BELOW;
        m.lostShare += lost ? NEWEST * (1 - m.lostShare) : 0;
        double like = request.latency.usual * m.stretch;
        long waited = (long) Math.max(took, like);
        learnPace(m, request, waited, lost ? Math.min(waited, (long) (LOST_BELOW * like)) : waited);
    }

    private void learnMisdirected(ServerState m, PendingRequest request) {
        m.misdirectedAt = now;
        proved(m, request, false);
        if (request.type.needs() == Consistency.WRITE) {
            // A primary that hands over refuses writes while its answers still say that it is one.
            learnRole(m, new LoadReport(Role.REPLICA, LoadReport.UNKNOWN_TIME), now + ASK_AGAIN);
        }
    }

    /** Latency as a multiple of the op type's usual; load, as a part of the target, moves the limit. */
    private void learnPace(ServerState m, PendingRequest request, long took, long load) {
        LatencyEstimate p = request.latency;
        p.recent += Math.max(1.0 / ++p.samples, 0.02) * (took - p.recent);
        double slow = Math.min(1, (now - p.at) / (double) USUAL_RISES_IN);
        p.usual += (p.recent < p.usual || p.samples < 20 ? 0.1 : slow) * (p.recent - p.usual);
        p.at = now;

        m.stretch = stretchNow(m) + NEWEST * (Math.min(STRETCH_MOST, took / p.usual) - stretchNow(m));
        m.stretchAt = now;

        m.pressure += NEWEST * (Math.min(3, load / Math.max(1.0, request.targetAt - request.arrivedAt)) - m.pressure);
        if (m.pressure > PRESSURE_WANTED) {
            m.limit = Math.max(leastLimit, m.limit - LIMIT_STEP);
        } else if (m.out.size() + 1 >= m.limit * 0.7 && now - m.cutAt > HEARD_LASTS) {
            m.limit += LIMIT_STEP;
        }
    }

    private double stretchNow(ServerState m) {
        return 1 + (m.stretch - 1) * Math.exp(-(now - m.stretchAt) / (double) NEWS_FADES_IN);
    }

    /** Guards against dead, hung and cut-off servers alike: far fewer answers than the sends should bring. */
    private void lookForSilence(ServerState m) {
        List<PendingRequest> waiting = m.outSinceReturn();
        long quiet = now - Math.max(m.answeredAt, waiting.isEmpty() ? now : waiting.get(0).sentAt);
        double missing = waiting.stream()
                .mapToDouble(o -> Math.min(quiet, now - o.sentAt) / (o.latency.usual * Math.max(1, m.stretch)))
                .sum();
        // Guards against slow servers taken for dead by gateways with few ops, while others hear them.
        boolean heardSince = askAgain() > ASK_AGAIN && now - m.positionReportedAt < quiet;
        if (quiet >= SILENCE_LEAST && missing > ANSWERS_MISSED && heardSince && now - m.probedAt > quiet) {
            probe(m, HealthCheckReason.SUSPICION);
        } else if (quiet >= SILENCE_LEAST && missing > ANSWERS_MISSED && !heardSince) {
            if (quiet - localHealth.explainedIn(now - quiet, now) < SILENCE_LEAST
                    || localHealth.commonSilence(now, m, now - quiet, members.values())) {
                suspectQuiet(m, now - quiet);
            } else {
                silent(m, "quiet " + quiet / MS + " ms with " + m.out.size() + " out");
            }
        }
    }

    /** As {@link #suspect}; ops that may be repeated go where answers have come meanwhile. */
    private void suspectQuiet(ServerState m, long since) {
        suspect(m);
        m.deadSigns = Math.max(m.deadSigns, DEAD_SIGNS - 1); // missing answers and one more lost check are enough
        if (m.group.members.stream().anyMatch(o -> o != m && o.isPromising() && o.respondedAt >= since)) {
            callOffRetryable(m);
        }
    }

    private void callOffRetryable(ServerState m) {
        m.out.values().stream()
                .filter(o -> o.type.repeats() == Idempotence.IDEMPOTENT)
                .forEach(this::cancelAttempt);
    }

    /** Not so where nobody was heard: guards against a slow start, of this gateway or of all servers. */
    private boolean neverThere(ServerState m) {
        return m.heardAt == LoadReport.UNKNOWN_TIME
                && !localHealth.explainedLately(now)
                && members.values().stream().anyMatch(ServerState::isPromising);
    }

    private void silent(ServerState m, String why) {
        if (!m.silent) {
            log("server " + m.id.text() + " silent: " + why);
            m.silent = true;
            m.silentSince = m.silentAt = now;
            m.penalty = neverThere(m)
                    ? PENALTY_MOST
                    : now - m.returnedAt < BRIEF ? Math.min(PENALTY_MOST, m.penalty * 2) : PENALTY_FIRST;
            m.retryAt = now + m.penalty;
            callOffRetryable(m);
        }
    }

    // Guards against restarts not yet listed (long away is cold) and hangs: it returns with one op at a time.
    private void returns(ServerState m, long heardBefore, String why) {
        long away = now - m.silentSince;
        log("server " + m.id.text() + " returns: " + why + " after " + away / MS + " ms");
        m.silent = false;
        m.returnedAt = now;
        m.failShare = Math.min(m.failShare, FAIL_SHARE / 2);
        m.coldSince = now - heardBefore < BRIEF ? m.coldSince : now;
        m.limit = now == heardBefore && away < BRIEF ? m.limit : 1;
    }

    private void log(String text) {
        out.add(new Action.LogLine(text));
    }
}
