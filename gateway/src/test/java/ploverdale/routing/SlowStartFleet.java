package ploverdale.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
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
 * Simulates a fleet of routers, with a simulated clock, that send requests to the same database servers. Some of the
 * servers restart and go through slow start. Compares the load of each of them with its budget. The same seed gives the
 * same run. Times are {@link ploverdale.model.Ticks}; the unit of work is the mean work of a request.
 */
final class SlowStartFleet {
    /**
     * The results of a run.
     *
     * @param maxLoad the maximum load of a recovering server within a window, as a fraction of the load that is
     *     allowed
     * @param served the fraction of the requests after the restart that were answered within their latency objective
     * @param usedCapacity the work that the recovering servers answered, as a fraction of what they could have answered
     */
    record Result(double maxLoad, double served, double usedCapacity) {}

    private static final long TICKS_PER_MS = 10;
    private static final long START = 17_000_000_000_000L; // a Unix time
    private static final long DOWN_AT = START + 2000 * TICKS_PER_MS;
    private static final long RESTARTED_AT = START + 3500 * TICKS_PER_MS;
    private static final long UP_AT = RESTARTED_AT + 100 * TICKS_PER_MS; // after all gateways were notified
    private static final long BURST_AT = UP_AT + 2500 * TICKS_PER_MS;
    private static final long BURST_DURATION = 2000 * TICKS_PER_MS;
    private static final long END_AT = START + 9500 * TICKS_PER_MS;
    private static final int GROUPS = 4;
    private static final int GROUP_SIZE = 3;
    static final int SERVERS = GROUPS * GROUP_SIZE;
    /** The offered load, as a fraction of the full capacity of all servers. */
    private static final double OFFERED_LOAD = 0.6;
    private static final double HEALTH_CHECK_WORK = 0.005;
    /** Fraction of failed attempts at restarted servers in {@link SlowStartScenario#ALL_SERVERS_AND_FAILURES}. */
    private static final double FAILURE_SHARE = 0.15;
    private static final int BOUNDED_READ = 0;
    private static final int UNBOUNDED_READ = 1;
    private static final int WRITE = 2;

    private record Request(int gateway, int requestClass, int group, int resubmissions, long objectiveAt) {}

    private final int gateways;
    private final SlowStartScenario scenario;
    private final boolean gossip;
    private final SlowStartDeployment deployment;
    private final SplittableRandom random;
    private final List<Router> routers = new ArrayList<>();
    private final List<SimulatedServer> servers = new ArrayList<>();
    private final Map<ServerId, SimulatedServer> serversById = new HashMap<>();
    private final VirtualTime time = new VirtualTime(START);
    private final SlowStartBudget budget;
    private final Map<RequestId, Request> requests = new HashMap<>();
    private final Map<RequestId, Integer> attempts = new HashMap<>();
    private final Map<RequestId, SimulatedAttempt> inFlight = new HashMap<>();
    private final double[] cumulativeTraffic;
    private int submissions;
    private int requestsAfterRestart;
    private int served;

    private SlowStartFleet(
            int gateways, SlowStartScenario scenario, boolean gossip, SlowStartDeployment deployment, long seed) {
        this.gateways = gateways;
        this.scenario = scenario;
        this.gossip = gossip;
        this.deployment = deployment;
        budget = new SlowStartBudget(deployment, RESTARTED_AT);
        random = new SplittableRandom(seed);
        cumulativeTraffic = new double[gateways];
    }

    /** Runs the simulation and returns its results. */
    static Result run(
            int gateways, SlowStartScenario scenario, boolean gossip, SlowStartDeployment deployment, long seed) {
        return new SlowStartFleet(gateways, scenario, gossip, deployment, seed).simulate();
    }

    private Result simulate() {
        createServers();
        createRouters();
        at(DOWN_AT, () -> restartingServers().forEach(this::stopServer));
        at(RESTARTED_AT, this::notifyOfRestart);
        at(UP_AT, () -> restartingServers().forEach(this::startServer));
        at(time.now(), this::submitNextRequest);
        time.runUntil(END_AT);
        double maxLoad =
                restartingServers().stream().mapToDouble(budget::maxLoad).max().orElseThrow();
        double answeredWork =
                restartingServers().stream().mapToDouble(server -> server.workAnsweredAfterRestart).sum();
        return new Result(
                maxLoad,
                served / (double) requestsAfterRestart,
                answeredWork / (restartingServers().size() * budget.possibleAnswers(UP_AT, END_AT)));
    }

    private void createServers() {
        for (int i = 0; i < SERVERS; i++) {
            SimulatedServer server = new SimulatedServer(i, deployment.cores(), GROUP_SIZE, START);
            server.restarts = scenario.restarts(i, GROUP_SIZE);
            servers.add(server);
            serversById.put(server.id, server);
        }
    }

    private void createRouters() {
        double totalTraffic = 0;
        for (int i = 0; i < gateways; i++) {
            totalTraffic += 0.3 - Math.log(1 - random.nextDouble()); // some gateways get several times the mean traffic
            cumulativeTraffic[i] = totalTraffic;
            Router router = new Router(null);
            routers.add(router);
            deliver(i, SlowStartSettings.started(random.nextLong(), i, gateways, gossip, deployment));
            deliver(
                    i,
                    new Event.EndpointUpdate(
                            true,
                            false,
                            servers.stream().map(server -> endpoint(server, 0)).toList()));
        }
    }

    private static Endpoint endpoint(SimulatedServer server, long startedAt) {
        return new Endpoint(
                server.id,
                new GroupId(server.number / GROUP_SIZE),
                new ZoneId(0),
                Endpoint.EndpointState.IN,
                server.primary(),
                startedAt);
    }

    private List<SimulatedServer> restartingServers() {
        return servers.stream().filter(server -> server.restarts).toList();
    }

    private void at(long at, Runnable action) {
        time.at(at, action);
    }

    // -- Clients

    private void submitNextRequest() {
        boolean bursting = time.now() >= BURST_AT && time.now() < BURST_AT + BURST_DURATION;
        double burst = bursting ? 1.5 : 1;
        double rate = burst * OFFERED_LOAD * SERVERS * deployment.capacity() / (1000 * TICKS_PER_MS);
        double sample = random.nextDouble();
        int requestClass = sample < 0.4 ? BOUNDED_READ : sample < 0.6 ? UNBOUNDED_READ : WRITE;
        long objectiveAt = time.now() + 500 * TICKS_PER_MS;
        requestsAfterRestart += time.now() >= UP_AT ? 1 : 0;
        submit(new Request(pickGateway(), requestClass, pickGroup(bursting), 0, objectiveAt));
        at(time.now() + Math.max(1, (long) (-Math.log(1 - random.nextDouble()) / rate)), this::submitNextRequest);
    }

    private int pickGroup(boolean bursting) {
        double firstGroupShare = scenario != SlowStartScenario.QUIET_GROUP_THEN_BURST ? 1.0 / GROUPS : bursting ? 0.7 : 0.01;
        return random.nextDouble() < firstGroupShare ? 0 : 1 + random.nextInt(GROUPS - 1);
    }

    private int pickGateway() {
        double sample = random.nextDouble() * cumulativeTraffic[gateways - 1];
        int gateway = 0;
        while (cumulativeTraffic[gateway] < sample) {
            gateway++;
        }
        return gateway;
    }

    private void submit(Request request) {
        RequestId id = new RequestId("op" + submissions++);
        requests.put(id, request);
        long timeout = request.requestClass == BOUNDED_READ ? 2000 * TICKS_PER_MS : request.requestClass == UNBOUNDED_READ ? 1000 * TICKS_PER_MS : 3000 * TICKS_PER_MS;
        deliver(
                request.gateway,
                new Event.RequestArrived(
                        id,
                        new RequestClassId(request.requestClass),
                        new TenantId(0),
                        new GroupId(request.group),
                        new SessionId("c"),
                        time.now() + timeout,
                        request.resubmissions > 0,
                        0,
                        0));
    }

    private void onRejected(RequestId id) {
        Request rejected = requests.remove(id);
        attempts.remove(id);
        if (rejected != null && rejected.resubmissions < 2 && random.nextDouble() < 0.6) {
            Request resubmitted =
                    new Request(pickGateway(), rejected.requestClass, rejected.group, rejected.resubmissions + 1, rejected.objectiveAt);
            at(time.now() + (100 + random.nextInt(300)) * TICKS_PER_MS, () -> submit(resubmitted));
        }
    }

    // -- Routers

    private void deliver(int gateway, Event event) {
        for (Action action : routers.get(gateway).on(time.now(), event)) {
            carryOut(gateway, action);
        }
    }

    private void carryOut(int gateway, Action action) {
        if (action instanceof Action.StartAttempt start) {
            startAttempt(gateway, start);
        } else if (action instanceof Action.CheckHealth check) {
            at(time.now() + 3 + random.nextInt(7), () -> checkHealth(gateway, serversById.get(check.server())));
        } else if (action instanceof Action.SetTimer timer) {
            at(timer.at(), () -> deliver(gateway, new Event.TimerFired(timer.mark())));
        } else if (action instanceof Action.SendGossip gossipSent) {
            at(
                    time.now() + (2 + random.nextInt(20)) * TICKS_PER_MS,
                    () -> deliver(gossipSent.peer(), new Event.GossipReceived(gateway, gossipSent.bytes())));
        } else if (action instanceof Action.RejectRequest rejection) {
            at(time.now(), () -> onRejected(rejection.request()));
        } else if (action instanceof Action.FailRequest failure) {
            requests.remove(failure.request());
            attempts.remove(failure.request());
        } else if (action instanceof Action.CancelAttempt cancel) {
            SimulatedAttempt attempt = inFlight.get(cancel.request());
            if (attempt != null && attempt.number == cancel.attempt()) {
                at(time.now(), () -> endAttempt(attempt, Outcome.CANCELLED));
            }
        }
    }

    private void startAttempt(int gateway, Action.StartAttempt start) {
        int number = attempts.merge(start.request(), 1, Integer::sum) - 1;
        double work = -(Math.log(1 - random.nextDouble()) + Math.log(1 - random.nextDouble())) / 2;
        SimulatedAttempt attempt =
                new SimulatedAttempt(gateway, start.request(), number, serversById.get(start.server()), time.now(), work);
        inFlight.put(start.request(), attempt);
        at(time.now() + 3 + random.nextInt(7), () -> deliverToServer(attempt));
        at(time.now() + start.timeLimit(), () -> endAttempt(attempt, Outcome.TIMED_OUT));
    }

    private void endAttempt(SimulatedAttempt attempt, Outcome outcome) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempt.server.queue.remove(attempt);
        inFlight.remove(attempt.request, attempt);
        boolean succeeded = outcome == Outcome.SUCCEEDED;
        Request request = requests.get(attempt.request);
        if (succeeded && request != null) {
            requests.remove(attempt.request);
            attempts.remove(attempt.request);
            served += time.now() <= request.objectiveAt && request.objectiveAt - 500 * TICKS_PER_MS >= UP_AT ? 1 : 0;
        }
        boolean answered = succeeded || outcome == Outcome.FAILED;
        deliver(
                attempt.gateway,
                new Event.AttemptEnded(
                        attempt.request,
                        attempt.number,
                        attempt.server.id,
                        outcome,
                        time.now() - attempt.sentAt,
                        succeeded,
                        answered ? report(attempt.server) : null,
                        null));
    }

    // -- Servers

    private void stopServer(SimulatedServer server) {
        server.up = false;
        server.incarnation++;
        List<SimulatedAttempt> lost = new ArrayList<>(server.running);
        lost.addAll(server.queue);
        server.running.clear();
        server.queue.clear();
        lost.forEach(attempt -> endAttempt(attempt, Outcome.CONNECTION_LOST));
    }

    private void notifyOfRestart() {
        List<Endpoint> restarted =
                restartingServers().stream().map(server -> endpoint(server, RESTARTED_AT)).toList();
        for (int i = 0; i < gateways; i++) {
            int gateway = i;
            at(
                    time.now() + random.nextInt((int) (90 * TICKS_PER_MS)),
                    () -> deliver(gateway, new Event.EndpointUpdate(false, false, restarted)));
        }
    }

    private void startServer(SimulatedServer server) {
        server.up = true;
        server.restarted = true;
    }

    private void deliverToServer(SimulatedAttempt attempt) {
        SimulatedServer server = attempt.server;
        if (!server.up) {
            endAttempt(attempt, Outcome.CONNECT_FAILED);
            return;
        }
        recordLoad(server, attempt.work);
        if (attempt.ended) {
            return;
        }
        if (scenario == SlowStartScenario.ALL_SERVERS_AND_FAILURES
                && server.restarted
                && random.nextDouble() < FAILURE_SHARE) {
            at(time.now() + 3, () -> endAttempt(attempt, Outcome.FAILED));
            return;
        }
        server.queue.add(attempt);
        startNext(server);
    }

    private void startNext(SimulatedServer server) {
        server.updateUtilization(time.now());
        while (server.running.size() < deployment.cores() && !server.queue.isEmpty()) {
            SimulatedAttempt attempt = server.queue.remove();
            server.running.add(attempt);
            int incarnation = server.incarnation;
            double seconds =
                    attempt.work * deployment.cores() / (budget.capacity(server) * budget.capacityFraction(server, time.now()));
            at(time.now() + Math.max(1, (long) (seconds * 1000 * TICKS_PER_MS)), () -> finish(attempt, incarnation));
        }
    }

    private void finish(SimulatedAttempt attempt, int incarnation) {
        SimulatedServer server = attempt.server;
        if (server.incarnation != incarnation) {
            return;
        }
        server.updateUtilization(time.now());
        server.running.remove(attempt);
        server.workAnsweredAfterRestart += server.restarted && !attempt.ended ? attempt.work : 0;
        endAttempt(attempt, Outcome.SUCCEEDED);
        startNext(server);
    }

    private void checkHealth(int gateway, SimulatedServer server) {
        if (!server.up) {
            at(
                    time.now() + 250 * TICKS_PER_MS,
                    () -> deliver(gateway, new Event.HealthCheckEnded(server.id, Outcome.TIMED_OUT, null)));
            return;
        }
        recordLoad(server, HEALTH_CHECK_WORK);
        at(
                time.now() + 10 + random.nextInt(20),
                () -> deliver(gateway, new Event.HealthCheckEnded(server.id, Outcome.SUCCEEDED, report(server))));
    }

    private LoadReport report(SimulatedServer server) {
        server.updateUtilization(time.now());
        return new LoadReport(
                server.primary() ? Role.PRIMARY : Role.REPLICA,
                server.primary() ? time.now() : time.now() - 5 * TICKS_PER_MS,
                server.utilization);
    }

    private void recordLoad(SimulatedServer server, double work) {
        if (server.restarted) {
            server.arrivalsAfterRestart.add(new SimulatedServer.Arrival(time.now(), work));
        }
    }
}
