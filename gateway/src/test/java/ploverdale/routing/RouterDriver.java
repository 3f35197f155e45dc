package ploverdale.routing;

import java.util.ArrayList;
import java.util.List;
import ploverdale.model.Action;
import ploverdale.model.Capabilities;
import ploverdale.model.Endpoint;
import ploverdale.model.Event;
import ploverdale.model.Event.Outcome;
import ploverdale.model.GroupId;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ReplicaGuarantees;
import ploverdale.model.RequestClass;
import ploverdale.model.RequestClass.Consistency;
import ploverdale.model.RequestClass.Idempotence;
import ploverdale.model.RequestClassId;
import ploverdale.model.RequestId;
import ploverdale.model.ServerGuarantees;
import ploverdale.model.ServerId;
import ploverdale.model.SessionId;
import ploverdale.model.Tenant;
import ploverdale.model.TenantId;
import ploverdale.model.ZoneId;

/** Stands in for the surroundings of a {@link Router}; the clock moves only when a test says so. Times in milliseconds. */
final class RouterDriver {
    static final int VIEW = 0;
    static final int HISTORY = 1;
    static final int SUBMIT = 2;
    static final int WITH_IDEMPOTENCY_KEY = 3;
    static final int SESSION = 4;
    static final int FRESH = 5;
    static final int SCAN = 6;

    final Router router = new Router(null);
    final List<Action> acts = new ArrayList<>();
    long nowMs = 100_000;
    private int names;

    RouterDriver() {
        this(ReplicaGuarantees.StalenessCheck.NONE, false, true, 1);
    }

    RouterDriver(ReplicaGuarantees.StalenessCheck checks, boolean tokensCarried, boolean removalBinds, int gateways) {
        this(checks, tokensCarried, removalBinds, gateways, false);
    }

    /** A host whose gateway, number 0, may tell other gateways what it knows. */
    static RouterDriver talking(int gateways) {
        return new RouterDriver(ReplicaGuarantees.StalenessCheck.NONE, false, true, gateways, true);
    }

    private RouterDriver(
            ReplicaGuarantees.StalenessCheck checks,
            boolean tokensCarried,
            boolean removalBinds,
            int gateways,
            boolean talks) {
        List<RequestClass> types = List.of(
                type(Idempotence.IDEMPOTENT, Consistency.BOUNDED, 0),
                type(Idempotence.IDEMPOTENT, Consistency.UNBOUNDED, 0),
                type(Idempotence.NOT_IDEMPOTENT, Consistency.WRITE, 0.5),
                type(Idempotence.WITH_IDEMPOTENCY_KEY, Consistency.WRITE, 0.7),
                type(Idempotence.IDEMPOTENT, Consistency.SESSION, 0),
                type(Idempotence.IDEMPOTENT, Consistency.FRESH, 0),
                type(20_000, Idempotence.IDEMPOTENT, Consistency.UNBOUNDED, 0));
        tell(new Event.Started(
                6 + gateways,
                gateways,
                types,
                List.of(new Tenant(100)),
                0.05,
                new ServerGuarantees(0.2, 160_000, 2.5, 10_000, removalBinds, 0),
                new Capabilities(6, true, true, true, 10_000, talks),
                new ReplicaGuarantees(checks, 500, tokensCarried),
                false,
                0));
    }

    private static RequestClass type(Idempotence repeats, Consistency needs, double late) {
        return type(5000, repeats, needs, late);
    }

    private static RequestClass type(long target, Idempotence repeats, Consistency needs, double late) {
        return new RequestClass(
                target,
                0,
                30_000,
                repeats,
                RequestClass.Scope.GROUP,
                20_000,
                needs == Consistency.WRITE ? 6 : 2,
                late,
                false,
                needs,
                5000);
    }

    /** A host with a primary p and replicas r1, r2, all probed and level. */
    static RouterDriver settled() {
        RouterDriver h = new RouterDriver();
        h.list(true, "p", "r1", "r2");
        h.levelled("p", "r1", "r2");
        return h;
    }

    void levelled(String primary, String... replicas) {
        probed(primary, Role.PRIMARY, nowMs);
        for (String r : replicas) {
            probed(r, Role.REPLICA, nowMs);
        }
    }

    /** Lets this time pass, after which the primary is level and the replicas stand where they stood. */
    void lagging(long ms) {
        long was = nowMs;
        nowMs += ms;
        probed("p", Role.PRIMARY, nowMs);
        probed("r1", Role.REPLICA, was);
        probed("r2", Role.REPLICA, was);
    }

    List<Action> tell(Event h) {
        List<Action> now = router.on(nowMs * 10, h);
        acts.addAll(now);
        return now;
    }

    void list(boolean whole, String... servers) {
        List<Endpoint> rows = new ArrayList<>();
        for (String s : servers) {
            rows.add(row(s, Endpoint.EndpointState.IN, 0));
        }
        tell(new Event.EndpointUpdate(whole, false, rows));
    }

    void listed(String server, Endpoint.EndpointState stage, long startedMs) {
        tell(new Event.EndpointUpdate(false, false, List.of(row(server, stage, startedMs))));
    }

    private static Endpoint row(String server, Endpoint.EndpointState stage, long startedMs) {
        return new Endpoint(
                new ServerId(server), new GroupId(1), new ZoneId(0), stage, server.equals("p"), startedMs * 10);
    }

    /** Moves the clock, looking round every 20 ms as the module asked to. */
    void pass(long ms) {
        for (long end = nowMs + ms; nowMs < end; ) {
            nowMs = Math.min(end, nowMs + 20);
            tell(new Event.TimerFired(0));
        }
    }

    void probed(String server, Role role, long positionMs) {
        tell(new Event.HealthCheckEnded(
                new ServerId(server), Outcome.SUCCEEDED, new LoadReport(role, positionMs * 10)));
    }

    void unanswered(String server) {
        tell(new Event.HealthCheckEnded(new ServerId(server), Outcome.TIMED_OUT, null));
    }

    static LoadReport report(Role role, long positionMs) {
        return new LoadReport(role, positionMs * 10);
    }

    RequestId ask(int type) {
        return ask(type, null, 0);
    }

    RequestId ask(int type, String session, long tokenAgeMs) {
        RequestId request = new RequestId("op" + names++);
        tell(new Event.RequestArrived(
                request,
                new RequestClassId(type),
                new TenantId(0),
                new GroupId(1),
                session == null ? null : new SessionId(session),
                nowMs * 10 + 30_000,
                false,
                0,
                tokenAgeMs * 10));
        return request;
    }

    void ends(RequestId request, int send, String server, Outcome outcome, LoadReport note) {
        boolean settled = outcome == Outcome.SUCCEEDED;
        tell(new Event.AttemptEnded(request, send, new ServerId(server), outcome, 1000, settled, note, null));
    }

    /** Servers the op was sent to, in order. */
    List<String> sends(RequestId request) {
        return acts.stream()
                .filter(a -> a instanceof Action.StartAttempt s && s.request().equals(request))
                .map(a -> ((Action.StartAttempt) a).server().text())
                .toList();
    }

    long busyReplies(RequestId request) {
        return acts.stream()
                .filter(a -> a instanceof Action.RejectRequest b && b.request().equals(request))
                .count();
    }

    long errorReplies(RequestId request) {
        return acts.stream()
                .filter(a -> a instanceof Action.FailRequest b && b.request().equals(request))
                .count();
    }

    boolean calledOff(RequestId request) {
        return acts.stream()
                .anyMatch(
                        a -> a instanceof Action.CancelAttempt c && c.request().equals(request));
    }

    long probes(String server) {
        return acts.stream()
                .filter(a ->
                        a instanceof Action.CheckHealth p && p.server().text().equals(server))
                .count();
    }

    boolean logged(String part) {
        return acts.stream()
                .anyMatch(a -> a instanceof Action.LogLine l && l.text().contains(part));
    }
}
