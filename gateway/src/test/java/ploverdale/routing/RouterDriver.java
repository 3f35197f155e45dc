package ploverdale.routing;

import java.util.ArrayList;
import java.util.List;
import ploverdale.model.Action;
import ploverdale.model.Endpoint;
import ploverdale.model.Event;
import ploverdale.model.Event.Outcome;
import ploverdale.model.GroupId;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.RequestClassId;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;
import ploverdale.model.SessionId;
import ploverdale.model.TenantId;
import ploverdale.model.ZoneId;

/**
 * Delivers events to a {@link Router} and records its actions. Its clock moves only when a test advances it. Times in milliseconds,
 * but for the events and actions themselves ({@link ploverdale.model.Ticks}).
 */
final class RouterDriver {
    final Router router = new Router(null);
    final List<Action> actions = new ArrayList<>();
    long nowMs = 100_000;
    private int names;

    RouterDriver() {
        this(new TestRouterSettings());
    }

    RouterDriver(TestRouterSettings settings) {
        deliver(settings.started());
    }

    /** A driver of gateway 0 of so many, which may gossip. */
    static RouterDriver withGossip(int gateways) {
        return new RouterDriver(new TestRouterSettings().gateways(gateways).gossip());
    }

    /** A driver with a primary p and replicas r1 and r2, all of which passed a health check and are caught up. */
    static RouterDriver withCaughtUpReplicas() {
        RouterDriver driver = new RouterDriver();
        driver.updateEndpoints(true, "p", "r1", "r2");
        driver.catchUp("p", "r1", "r2");
        return driver;
    }

    /** Health checks of all these servers succeed, with the present as their position. */
    void catchUp(String primary, String... replicas) {
        healthCheckSucceeded(primary, Role.PRIMARY, nowMs);
        for (String replica : replicas) {
            healthCheckSucceeded(replica, Role.REPLICA, nowMs);
        }
    }

    /** Advances the clock by this time, after which the primary is caught up and the replicas report their former position. */
    void replicasLagBy(long ms) {
        long formerMs = nowMs;
        nowMs += ms;
        healthCheckSucceeded("p", Role.PRIMARY, nowMs);
        healthCheckSucceeded("r1", Role.REPLICA, formerMs);
        healthCheckSucceeded("r2", Role.REPLICA, formerMs);
    }

    /** Delivers an event now; returns the actions that it caused, which are recorded, too. */
    List<Action> deliver(Event event) {
        List<Action> caused = router.on(nowMs * 10, event);
        actions.addAll(caused);
        return caused;
    }

    /** Serving endpoints from discovery: the complete list, or an update that adds to it. */
    void updateEndpoints(boolean complete, String... servers) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (String server : servers) {
            endpoints.add(endpoint(server, Endpoint.EndpointState.IN, 0));
        }
        deliver(new Event.EndpointUpdate(complete, false, endpoints));
    }

    /** One endpoint changes; a start time of 0 is unknown. */
    void updateEndpoint(String server, Endpoint.EndpointState state, long startedMs) {
        deliver(new Event.EndpointUpdate(false, false, List.of(endpoint(server, state, startedMs))));
    }

    private static Endpoint endpoint(String server, Endpoint.EndpointState state, long startedMs) {
        return new Endpoint(
                new ServerId(server), new GroupId(1), new ZoneId(0), state, server.equals("p"), startedMs * 10);
    }

    /** Advances the clock, with a timer event every 20 ms. */
    void advance(long ms) {
        for (long end = nowMs + ms; nowMs < end; ) {
            nowMs = Math.min(end, nowMs + 20);
            deliver(new Event.TimerFired(0));
        }
    }

    /** A health check succeeds with a load report of this role and position. */
    void healthCheckSucceeded(String server, Role role, long positionMs) {
        deliver(new Event.HealthCheckEnded(
                new ServerId(server), Outcome.SUCCEEDED, new LoadReport(role, positionMs * 10)));
    }

    /** A health check gets no answer in time. */
    void healthCheckTimedOut(String server) {
        deliver(new Event.HealthCheckEnded(new ServerId(server), Outcome.TIMED_OUT, null));
    }

    /** A load report of this role and position. */
    static LoadReport report(Role role, long positionMs) {
        return new LoadReport(role, positionMs * 10);
    }

    /** A request of a class of {@link TestRouterSettings} arrives. */
    RequestId request(int requestClass) {
        return request(requestClass, null, 0);
    }

    /** The same, of a session unless null, with the age of the session token that the client carries, 0 for a zero token. */
    RequestId request(int requestClass, String session, long tokenAgeMs) {
        RequestId request = new RequestId("op" + names++);
        deliver(new Event.RequestArrived(
                request,
                new RequestClassId(requestClass),
                new TenantId(0),
                new GroupId(1),
                session == null ? null : new SessionId(session),
                nowMs * 10 + 30_000,
                false,
                0,
                tokenAgeMs * 10));
        return request;
    }

    /** An attempt ends; the load report is null where none came with it. */
    void attemptEnded(RequestId request, int attempt, String server, Outcome outcome, LoadReport report) {
        boolean settled = outcome == Outcome.SUCCEEDED;
        deliver(new Event.AttemptEnded(request, attempt, new ServerId(server), outcome, 1000, settled, report, null));
    }

    /** The servers of the request's attempts, in order. */
    List<String> attempts(RequestId request) {
        return actions.stream()
                .filter(a -> a instanceof Action.StartAttempt s && s.request().equals(request))
                .map(a -> ((Action.StartAttempt) a).server().value())
                .toList();
    }

    /** How often the request was rejected: 1 at most in a correct router. */
    long rejections(RequestId request) {
        return actions.stream()
                .filter(a -> a instanceof Action.RejectRequest b && b.request().equals(request))
                .count();
    }

    /** How often the request was failed: 1 at most in a correct router. */
    long failures(RequestId request) {
        return actions.stream()
                .filter(a -> a instanceof Action.FailRequest b && b.request().equals(request))
                .count();
    }

    /** Whether an attempt of the request was cancelled. */
    boolean cancelled(RequestId request) {
        return actions.stream()
                .anyMatch(
                        a -> a instanceof Action.CancelAttempt c && c.request().equals(request));
    }

    /** How many health checks of the server were started. */
    long healthChecks(String server) {
        return actions.stream()
                .filter(a ->
                        a instanceof Action.CheckHealth p && p.server().value().equals(server))
                .count();
    }

    /** Whether a log line contains this text. */
    boolean logged(String part) {
        return actions.stream()
                .anyMatch(a -> a instanceof Action.LogLine l && l.text().contains(part));
    }
}
