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
     * @param worstLoad the maximum load of a recovering server within a window, as a fraction of the load that is
     *     allowed
     * @param served the fraction of the requests after the restart that were answered within their latency objective
     * @param coldServed the work that the recovering servers answered, as a fraction of what they could have answered
     */
    record Result(double worstLoad, double served, double coldServed) {}

    private static final long MS = 10;
    private static final long START = 17_000_000_000_000L; // a Unix time
    private static final long DOWN_AT = START + 2000 * MS;
    private static final long RESTARTED_AT = START + 3500 * MS;
    private static final long UP_AT = RESTARTED_AT + 100 * MS; // when all gateways have been notified of the restart
    private static final long BURST_AT = UP_AT + 2500 * MS;
    private static final long BURST_LASTS = 2000 * MS;
    private static final long END = START + 9500 * MS;
    private static final int GROUPS = 4;
    private static final int GROUP = 3;
    static final int SERVERS = GROUPS * GROUP;
    /** The offered load, as a fraction of the full capacity of all servers. */
    private static final double LOAD = 0.6;
    private static final double HEALTH_CHECK_WORK = 0.005;
    /** Fraction of failed attempts at restarted servers in {@link SlowStartScenario#ALL_SERVERS_AND_FAILURES}. */
    private static final double FAILURES = 0.15;
    private static final int VIEW = 0;
    private static final int HISTORY = 1;
    private static final int SUBMIT = 2;

    private record Request(int gateway, int type, int group, int tries, long targetAt) {}

    private final int gateways;
    private final SlowStartScenario scenario;
    private final boolean gossip;
    private final SlowStartDeployment deployment;
    private final SplittableRandom random;
    private final List<Router> routers = new ArrayList<>();
    private final List<SimulatedServer> servers = new ArrayList<>();
    private final Map<ServerId, SimulatedServer> byId = new HashMap<>();
    private final VirtualTime time = new VirtualTime(START);
    private final SlowStartBudget budget;
    private final Map<RequestId, Request> requests = new HashMap<>();
    private final Map<RequestId, Integer> attempts = new HashMap<>();
    private final Map<RequestId, SimulatedAttempt> inFlight = new HashMap<>();
    private final double[] trafficUpTo;
    private int names;
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
        trafficUpTo = new double[gateways];
    }

    /** Runs the simulation and returns its results. */
    static Result run(
            int gateways, SlowStartScenario scenario, boolean gossip, SlowStartDeployment deployment, long seed) {
        return new SlowStartFleet(gateways, scenario, gossip, deployment, seed).play();
    }

    private Result play() {
        createServers();
        createRouters();
        at(DOWN_AT, () -> restarting().forEach(this::goDown));
        at(RESTARTED_AT, this::notifyOfRestart);
        at(UP_AT, () -> restarting().forEach(this::comeUp));
        at(time.now(), this::nextRequest);
        time.runUntil(END);
        double worst =
                restarting().stream().mapToDouble(budget::worstLoad).max().orElseThrow();
        double answers = restarting().stream().mapToDouble(s -> s.coldAnswers).sum();
        return new Result(
                worst,
                served / (double) requestsAfterRestart,
                answers / (restarting().size() * budget.possibleAnswers(UP_AT, END)));
    }

    private void createServers() {
        for (int i = 0; i < SERVERS; i++) {
            SimulatedServer server = new SimulatedServer(i, deployment.cores(), GROUP, START);
            server.restarts = scenario.restarts(i, GROUP);
            servers.add(server);
            byId.put(server.id, server);
        }
    }

    private void createRouters() {
        double total = 0;
        for (int i = 0; i < gateways; i++) {
            total += 0.3 - Math.log(1 - random.nextDouble()); // some gateways get several times the mean traffic
            trafficUpTo[i] = total;
            Router router = new Router(null);
            routers.add(router);
            deliver(i, SlowStartSettings.started(random.nextLong(), i, gateways, gossip, deployment));
            deliver(
                    i,
                    new Event.EndpointUpdate(
                            true,
                            false,
                            servers.stream().map(s -> listing(s, 0)).toList()));
        }
    }

    private static Endpoint listing(SimulatedServer server, long startedAt) {
        return new Endpoint(
                server.id,
                new GroupId(server.number / GROUP),
                new ZoneId(0),
                Endpoint.EndpointState.IN,
                server.primary(),
                startedAt);
    }

    private List<SimulatedServer> restarting() {
        return servers.stream().filter(s -> s.restarts).toList();
    }

    private void at(long at, Runnable action) {
        time.at(at, action);
    }

    // -- Clients

    private void nextRequest() {
        boolean bursting = time.now() >= BURST_AT && time.now() < BURST_AT + BURST_LASTS;
        double burst = bursting ? 1.5 : 1;
        double rate = burst * LOAD * SERVERS * deployment.capacity() / (1000 * MS);
        double draw = random.nextDouble();
        int type = draw < 0.4 ? VIEW : draw < 0.6 ? HISTORY : SUBMIT;
        long targetAt = time.now() + 500 * MS;
        requestsAfterRestart += time.now() >= UP_AT ? 1 : 0;
        send(new Request(pickGateway(), type, pickGroup(bursting), 0, targetAt));
        at(time.now() + Math.max(1, (long) (-Math.log(1 - random.nextDouble()) / rate)), this::nextRequest);
    }

    private int pickGroup(boolean bursting) {
        double first = scenario != SlowStartScenario.QUIET_GROUP_THEN_BURST ? 1.0 / GROUPS : bursting ? 0.7 : 0.01;
        return random.nextDouble() < first ? 0 : 1 + random.nextInt(GROUPS - 1);
    }

    private int pickGateway() {
        double draw = random.nextDouble() * trafficUpTo[gateways - 1];
        int gateway = 0;
        while (trafficUpTo[gateway] < draw) {
            gateway++;
        }
        return gateway;
    }

    private void send(Request request) {
        RequestId id = new RequestId("op" + names++);
        requests.put(id, request);
        long timeout = request.type == VIEW ? 2000 * MS : request.type == HISTORY ? 1000 * MS : 3000 * MS;
        deliver(
                request.gateway,
                new Event.RequestArrived(
                        id,
                        new RequestClassId(request.type),
                        new TenantId(0),
                        new GroupId(request.group),
                        new SessionId("c"),
                        time.now() + timeout,
                        request.tries > 0,
                        0,
                        0));
    }

    private void rejected(RequestId request) {
        Request r = requests.remove(request);
        attempts.remove(request);
        if (r != null && r.tries < 2 && random.nextDouble() < 0.6) {
            Request again = new Request(pickGateway(), r.type, r.group, r.tries + 1, r.targetAt);
            at(time.now() + (100 + random.nextInt(300)) * MS, () -> send(again));
        }
    }

    // -- Routers

    private void deliver(int gateway, Event event) {
        for (Action action : routers.get(gateway).on(time.now(), event)) {
            carryOut(gateway, action);
        }
    }

    private void carryOut(int gateway, Action action) {
        if (action instanceof Action.StartAttempt send) {
            begin(gateway, send);
        } else if (action instanceof Action.CheckHealth check) {
            at(time.now() + 3 + random.nextInt(7), () -> checkHealth(gateway, byId.get(check.server())));
        } else if (action instanceof Action.SetTimer timer) {
            at(timer.at(), () -> deliver(gateway, new Event.TimerFired(timer.mark())));
        } else if (action instanceof Action.SendGossip gossipSent) {
            at(
                    time.now() + (2 + random.nextInt(20)) * MS,
                    () -> deliver(gossipSent.peer(), new Event.GossipReceived(gateway, gossipSent.bytes())));
        } else if (action instanceof Action.RejectRequest reply) {
            at(time.now(), () -> rejected(reply.request()));
        } else if (action instanceof Action.FailRequest reply) {
            requests.remove(reply.request());
            attempts.remove(reply.request());
        } else if (action instanceof Action.CancelAttempt cancel) {
            SimulatedAttempt attempt = inFlight.get(cancel.request());
            if (attempt != null && attempt.number == cancel.attempt()) {
                at(time.now(), () -> end(attempt, Outcome.CANCELLED));
            }
        }
    }

    private void begin(int gateway, Action.StartAttempt send) {
        int number = attempts.merge(send.request(), 1, Integer::sum) - 1;
        double work = -(Math.log(1 - random.nextDouble()) + Math.log(1 - random.nextDouble())) / 2;
        SimulatedAttempt attempt =
                new SimulatedAttempt(gateway, send.request(), number, byId.get(send.server()), time.now(), work);
        inFlight.put(send.request(), attempt);
        at(time.now() + 3 + random.nextInt(7), () -> arrive(attempt));
        at(time.now() + send.timeLimit(), () -> end(attempt, Outcome.TIMED_OUT));
    }

    private void end(SimulatedAttempt attempt, Outcome outcome) {
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
            served += time.now() <= request.targetAt && request.targetAt - 500 * MS >= UP_AT ? 1 : 0;
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

    private void goDown(SimulatedServer server) {
        server.up = false;
        server.incarnation++;
        List<SimulatedAttempt> lost = new ArrayList<>(server.running);
        lost.addAll(server.queue);
        server.running.clear();
        server.queue.clear();
        lost.forEach(a -> end(a, Outcome.CONNECTION_LOST));
    }

    private void notifyOfRestart() {
        List<Endpoint> restarted =
                restarting().stream().map(s -> listing(s, RESTARTED_AT)).toList();
        for (int i = 0; i < gateways; i++) {
            int gateway = i;
            at(
                    time.now() + random.nextInt((int) (90 * MS)),
                    () -> deliver(gateway, new Event.EndpointUpdate(false, false, restarted)));
        }
    }

    private void comeUp(SimulatedServer server) {
        server.up = true;
        server.restarted = true;
    }

    private void arrive(SimulatedAttempt attempt) {
        SimulatedServer server = attempt.server;
        if (!server.up) {
            end(attempt, Outcome.CONNECT_FAILED);
            return;
        }
        count(server, attempt.work);
        if (attempt.ended) {
            return;
        }
        if (scenario == SlowStartScenario.ALL_SERVERS_AND_FAILURES
                && server.restarted
                && random.nextDouble() < FAILURES) {
            at(time.now() + 3, () -> end(attempt, Outcome.FAILED));
            return;
        }
        server.queue.add(attempt);
        startNext(server);
    }

    private void startNext(SimulatedServer server) {
        server.updateBusy(time.now());
        while (server.running.size() < deployment.cores() && !server.queue.isEmpty()) {
            SimulatedAttempt attempt = server.queue.remove();
            server.running.add(attempt);
            int incarnation = server.incarnation;
            double seconds =
                    attempt.work * deployment.cores() / (budget.capacity(server) * budget.warmth(server, time.now()));
            at(time.now() + Math.max(1, (long) (seconds * 1000 * MS)), () -> finish(attempt, incarnation));
        }
    }

    private void finish(SimulatedAttempt attempt, int incarnation) {
        SimulatedServer server = attempt.server;
        if (server.incarnation != incarnation) {
            return;
        }
        server.updateBusy(time.now());
        server.running.remove(attempt);
        server.coldAnswers += server.restarted && !attempt.ended ? attempt.work : 0;
        end(attempt, Outcome.SUCCEEDED);
        startNext(server);
    }

    private void checkHealth(int gateway, SimulatedServer server) {
        if (!server.up) {
            at(
                    time.now() + 250 * MS,
                    () -> deliver(gateway, new Event.HealthCheckEnded(server.id, Outcome.TIMED_OUT, null)));
            return;
        }
        count(server, HEALTH_CHECK_WORK);
        at(
                time.now() + 10 + random.nextInt(20),
                () -> deliver(gateway, new Event.HealthCheckEnded(server.id, Outcome.SUCCEEDED, report(server))));
    }

    private LoadReport report(SimulatedServer server) {
        server.updateBusy(time.now());
        return new LoadReport(
                server.primary() ? Role.PRIMARY : Role.REPLICA,
                server.primary() ? time.now() : time.now() - 5 * MS,
                server.busy);
    }

    private void count(SimulatedServer server, double work) {
        if (server.restarted) {
            server.coldArrivals.add(new SimulatedServer.Arrival(time.now(), work));
        }
    }
}
