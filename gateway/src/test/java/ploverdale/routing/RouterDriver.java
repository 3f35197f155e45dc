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
 * Delivers events to a {@link Router} and records its actions. Its clock moves only when a test advances it. Times are
 * in milliseconds, except in the events and actions themselves, which use {@link ploverdale.model.Ticks}.
 */
final class RouterDriver {
    final Router router = new Router(null);
    final List<Action> actions = new ArrayList<>();
    long nowMs = 100_000;
    private int requestCount;

    RouterDriver() {
        this(new TestRouterSettings());
    }

    RouterDriver(TestRouterSettings settings) {
        deliver(settings.started());
    }

    /** Creates a driver of gateway 0 of this number of gateways, which may gossip. */
    static RouterDriver withGossip(int gateways) {
        return new RouterDriver(new TestRouterSettings().gateways(gateways).gossip());
    }

    /**
     * Creates a driver with a primary p and replicas r1 and r2, all of which have passed a health check and are caught
     * up.
     */
    static RouterDriver withCaughtUpReplicas() {
        RouterDriver driver = new RouterDriver();
        driver.updateEndpoints(true, "p", "r1", "r2");
        driver.catchUp("p", "r1", "r2");
        return driver;
    }

    /** Delivers successful health checks of all these servers, with the current time as their position. */
    void catchUp(String primary, String... replicas) {
        healthCheckSucceeded(primary, Role.PRIMARY, nowMs);
        for (String replica : replicas) {
            healthCheckSucceeded(replica, Role.REPLICA, nowMs);
        }
    }

    /** Advances the clock; afterwards the primary is caught up and the replicas report their former position. */
    void replicasLagBy(long ms) {
        long formerMs = nowMs;
        nowMs += ms;
        healthCheckSucceeded("p", Role.PRIMARY, nowMs);
        healthCheckSucceeded("r1", Role.REPLICA, formerMs);
        healthCheckSucceeded("r2", Role.REPLICA, formerMs);
    }

    /** Delivers an event at the current time, records the actions it causes and returns them. */
    List<Action> deliver(Event event) {
        List<Action> caused = router.on(nowMs * 10, event);
        actions.addAll(caused);
        return caused;
    }

    /**
     * Delivers an endpoint update in which all these servers are in service: the complete list, or an addition to it.
     */
    void updateEndpoints(boolean complete, String... servers) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (String server : servers) {
            endpoints.add(endpoint(server, Endpoint.EndpointState.IN, 0));
        }
        deliver(new Event.EndpointUpdate(complete, false, endpoints));
    }

    /** Delivers an update of one endpoint; a start time of 0 is unknown. */
    void updateEndpoint(String server, Endpoint.EndpointState state, long startedMs) {
        deliver(new Event.EndpointUpdate(false, false, List.of(endpoint(server, state, startedMs))));
    }

    private static Endpoint endpoint(String server, Endpoint.EndpointState state, long startedMs) {
        return new Endpoint(
                new ServerId(server), new GroupId(1), new ZoneId(0), state, server.equals("p"), startedMs * 10);
    }

    /** Advances the clock with a timer event every 20 ms. */
    void advance(long ms) {
        for (long end = nowMs + ms; nowMs < end; ) {
            nowMs = Math.min(end, nowMs + 20);
            deliver(new Event.TimerFired(0));
        }
    }

    /** Delivers a successful health check whose load report has this role and position. */
    void healthCheckSucceeded(String server, Role role, long positionMs) {
        deliver(new Event.HealthCheckEnded(
                new ServerId(server), Outcome.SUCCEEDED, new LoadReport(role, positionMs * 10)));
    }

    /** Delivers a health check without an answer in time. */
    void healthCheckTimedOut(String server) {
        deliver(new Event.HealthCheckEnded(new ServerId(server), Outcome.TIMED_OUT, null));
    }

    /** Returns a load report of this role and position. */
    static LoadReport report(Role role, long positionMs) {
        return new LoadReport(role, positionMs * 10);
    }

    /** Delivers a request of a class of {@link TestRouterSettings}, without a session. */
    RequestId request(int requestClass) {
        return request(requestClass, null, 0);
    }

    /**
     * Delivers a request.
     *
     * @param session the session, or null
     * @param tokenAgeMs the age of the session token that the client carries; 0 for a zero token
     */
    RequestId request(int requestClass, String session, long tokenAgeMs) {
        RequestId request = new RequestId("op" + requestCount++);
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

    /** Delivers the end of an attempt; the load report is null if there was none with it. */
    void attemptEnded(RequestId request, int attempt, String server, Outcome outcome, LoadReport report) {
        boolean settled = outcome == Outcome.SUCCEEDED;
        deliver(new Event.AttemptEnded(request, attempt, new ServerId(server), outcome, 1000, settled, report, null));
    }

    /** Returns the servers of the request's attempts, in order. */
    List<String> attempts(RequestId request) {
        return actions.stream()
                .filter(a -> a instanceof Action.StartAttempt s && s.request().equals(request))
                .map(a -> ((Action.StartAttempt) a).server().value())
                .toList();
    }

    /** Returns how often the request was rejected: at most once by a correct router. */
    long rejections(RequestId request) {
        return actions.stream()
                .filter(a -> a instanceof Action.RejectRequest b && b.request().equals(request))
                .count();
    }

    /** Returns how often the request was failed: at most once by a correct router. */
    long failures(RequestId request) {
        return actions.stream()
                .filter(a -> a instanceof Action.FailRequest b && b.request().equals(request))
                .count();
    }

    /** Returns whether an attempt of the request was cancelled. */
    boolean cancelled(RequestId request) {
        return actions.stream()
                .anyMatch(
                        a -> a instanceof Action.CancelAttempt c && c.request().equals(request));
    }

    /** Returns how many health checks of the server were started. */
    long healthChecks(String server) {
        return actions.stream()
                .filter(a ->
                        a instanceof Action.CheckHealth p && p.server().value().equals(server))
                .count();
    }

    /** Returns whether a log line contains this text. */
    boolean logged(String text) {
        return actions.stream()
                .anyMatch(a -> a instanceof Action.LogLine l && l.text().contains(text));
    }
}
