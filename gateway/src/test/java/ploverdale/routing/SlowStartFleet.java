package ploverdale.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.SplittableRandom;
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

/**
 * A fleet of routers on one simulated clock, sending to the same simulated database servers, some of which restart and come
 * back cold. Adds up what reaches each cold server against the budget of the slow start rule. One seed, one course of events.
 * Times in tenths of a millisecond, work in requests of mean work.
 */
final class SlowStartFleet {
    /** Which servers restart, and what else goes wrong. */
    enum Scenario {
        PRIMARY_UNDER_WRITES(0.7, 0.3),
        ONE_REPLICA(0.7, 0.1),
        MOST_SERVERS(0.22, 0.2),
        ALL_SERVERS_AND_FAILURES(0.05, 0.18),
        QUIET_GROUP_THEN_BURST(0.52, 0.12);

        /** Floors of {@link Result#served} and {@link Result#coldServed} in the mean, for fleets of any size. */
        final double leastServed;

        final double leastColdServed;

        Scenario(double leastServed, double leastColdServed) {
            this.leastServed = leastServed;
            this.leastColdServed = leastColdServed;
        }
    }

    /** The contract of slow start, the cores of a server and its true capacity when warm, in requests per second. */
    record Deployment(
            String name,
            double startCapacity,
            long coldMs,
            double multiple,
            long windowMs,
            int cores,
            double capacity) {}

    /**
     * What one run showed.
     *
     * @param worstLoad the most that reached a cold server within a window, as a part of what the rule allows
     * @param served requests answered within their latency target after the restart, as a part of all
     * @param coldServed requests that the cold servers answered, as a part of what they could have
     */
    record Result(double worstLoad, double served, double coldServed) {}

    private static final long MS = 10;
    private static final long START = 17_000_000_000_000L; // a Unix time to begin with
    private static final long DOWN_AT = START + 2000 * MS;
    private static final long RESTARTED_AT = START + 3500 * MS;
    private static final long UP_AT = RESTARTED_AT + 100 * MS; // all gateways have been notified of the start by then
    private static final long BURST_AT = UP_AT + 2500 * MS;
    private static final long BURST_LASTS = 2000 * MS;
    private static final long END = START + 9500 * MS;
    private static final int GROUPS = 4;
    private static final int GROUP = 3;
    private static final int SERVERS = GROUPS * GROUP;
    private static final double RECOVERING_SPEED = 0.8; // of the mean server's, since servers differ
    private static final double LOAD = 0.6; // of the warm servers' capacity
    private static final double AGREED = 0.82; // of the same
    private static final double PROBE_WORK = 0.005;
    private static final double FAILURES = 0.15; // of attempts, where attempts fail at once
    private static final long BOUND = 1000 * MS;
    private static final int VIEW = 0;
    private static final int HISTORY = 1;
    private static final int SUBMIT = 2;

    private record Due(long at, long order, Runnable action) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private record Arrival(long at, double work) {}

    private static final class Attempt {
        final int gateway;
        final RequestId request;
        final int number;
        final Server server;
        final long sentAt;
        final double work;
        boolean ended;

        Attempt(int gateway, RequestId request, int number, Server server, long sentAt, double work) {
            this.gateway = gateway;
            this.request = request;
            this.number = number;
            this.server = server;
            this.sentAt = sentAt;
            this.work = work;
        }
    }

    private static final class Server {
        final ServerId id;
        final int number;
        final int cores;
        final Queue<Attempt> queue = new ArrayDeque<>();
        final List<Attempt> running = new ArrayList<>();
        final List<Arrival> coldArrivals = new ArrayList<>();
        boolean restarts;
        boolean up = true;
        boolean restarted;
        int life;
        double busy;
        long busyAt = START;
        double coldAnswers;

        Server(int number, int cores) {
            this.number = number;
            this.cores = cores;
            id = new ServerId("s" + number);
        }

        boolean primary() {
            return number % GROUP == 0;
        }

        void updateBusy(long now) {
            busy += (1 - Math.exp(-(now - busyAt) / (200.0 * MS))) * (running.size() / (double) cores - busy);
            busyAt = now;
        }
    }

    private record Request(int gateway, int type, int group, int tries, long targetAt) {}

    private final int gateways;
    private final Scenario scenario;
    private final boolean gossip;
    private final Deployment deployment;
    private final SplittableRandom random;
    private final List<Router> routers = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final Map<ServerId, Server> byId = new HashMap<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private final Map<RequestId, Request> requests = new HashMap<>();
    private final Map<RequestId, Integer> attempts = new HashMap<>();
    private final Map<RequestId, Attempt> out = new HashMap<>();
    private final double[] trafficUpTo;
    private long order;
    private long now = START;
    private int names;
    private int asked;
    private int served;

    private SlowStartFleet(int gateways, Scenario scenario, boolean gossip, Deployment deployment, long seed) {
        this.gateways = gateways;
        this.scenario = scenario;
        this.gossip = gossip;
        this.deployment = deployment;
        random = new SplittableRandom(seed);
        trafficUpTo = new double[gateways];
    }

    static Result run(int gateways, Scenario scenario, boolean gossip, Deployment deployment, long seed) {
        return new SlowStartFleet(gateways, scenario, gossip, deployment, seed).play();
    }

    private Result play() {
        createServers();
        createRouters();
        at(DOWN_AT, () -> restarting().forEach(this::goDown));
        at(RESTARTED_AT, this::notifyOfRestart);
        at(UP_AT, () -> restarting().forEach(this::comeUp));
        at(now, this::nextRequest);
        while (!due.isEmpty() && due.peek().at < END) {
            Due next = due.poll();
            now = next.at;
            next.action.run();
        }
        double worst = restarting().stream().mapToDouble(this::worstLoad).max().orElseThrow();
        double answers = restarting().stream().mapToDouble(s -> s.coldAnswers).sum();
        return new Result(
                worst, served / (double) asked, answers / (restarting().size() * possibleAnswers()));
    }

    private void createServers() {
        for (int i = 0; i < SERVERS; i++) {
            Server server = new Server(i, deployment.cores);
            server.restarts = switch (scenario) {
                case PRIMARY_UNDER_WRITES -> i == 0;
                case ONE_REPLICA -> i == 1;
                case QUIET_GROUP_THEN_BURST -> i < GROUP;
                case MOST_SERVERS -> i >= GROUP;
                case ALL_SERVERS_AND_FAILURES -> true;
            };
            servers.add(server);
            byId.put(server.id, server);
        }
    }

    private void createRouters() {
        double total = 0;
        for (int i = 0; i < gateways; i++) {
            total += 0.3 - Math.log(1 - random.nextDouble()); // some see several times the mean
            trafficUpTo[i] = total;
            Router router = new Router(null);
            routers.add(router);
            tell(i, started(i));
            tell(
                    i,
                    new Event.EndpointUpdate(
                            true,
                            false,
                            servers.stream().map(s -> listing(s, 0)).toList()));
        }
    }

    private Event.Started started(int gateway) {
        List<RequestClass> types = List.of(
                type(2000 * MS, Idempotence.IDEMPOTENT, 2, 0, Consistency.BOUNDED),
                type(1000 * MS, Idempotence.IDEMPOTENT, 1, 0, Consistency.UNBOUNDED),
                type(3000 * MS, Idempotence.NOT_IDEMPOTENT, 6, 0.5, Consistency.WRITE));
        ServerGuarantees guarantees = new ServerGuarantees(
                deployment.startCapacity,
                deployment.coldMs * MS,
                deployment.multiple,
                deployment.windowMs * MS,
                true,
                0);
        return new Event.Started(
                random.nextLong(),
                gateways,
                types,
                List.of(new Tenant(AGREED * SERVERS * deployment.capacity)),
                0.05,
                guarantees,
                new Capabilities(6, true, true, true, 1000 * MS, gossip),
                new ReplicaGuarantees(ReplicaGuarantees.StalenessCheck.NONE, 0, false),
                false,
                gateway);
    }

    private static RequestClass type(long timeout, Idempotence repeats, double value, double late, Consistency needs) {
        return new RequestClass(
                500 * MS, 0, timeout, repeats, RequestClass.Scope.GROUP, 0, value, late, false, needs, BOUND);
    }

    private static Endpoint listing(Server server, long startedAt) {
        return new Endpoint(
                server.id,
                new GroupId(server.number / GROUP),
                new ZoneId(0),
                Endpoint.EndpointState.IN,
                server.primary(),
                startedAt);
    }

    private List<Server> restarting() {
        return servers.stream().filter(s -> s.restarts).toList();
    }

    private void at(long time, Runnable action) {
        due.add(new Due(Math.max(now, time), order++, action));
    }

    // -- Clients

    private void nextRequest() {
        boolean bursting = now >= BURST_AT && now < BURST_AT + BURST_LASTS;
        double burst = bursting ? 1.5 : 1;
        double rate = burst * LOAD * SERVERS * deployment.capacity / (1000 * MS);
        double draw = random.nextDouble();
        int type = draw < 0.4 ? VIEW : draw < 0.6 ? HISTORY : SUBMIT;
        long targetAt = now + 500 * MS;
        asked += now >= UP_AT ? 1 : 0;
        send(new Request(pickGateway(), type, pickGroup(bursting), 0, targetAt));
        at(now + Math.max(1, (long) (-Math.log(1 - random.nextDouble()) / rate)), this::nextRequest);
    }

    private int pickGroup(boolean bursting) {
        double first = scenario != Scenario.QUIET_GROUP_THEN_BURST ? 1.0 / GROUPS : bursting ? 0.7 : 0.01;
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
        tell(
                request.gateway,
                new Event.RequestArrived(
                        id,
                        new RequestClassId(request.type),
                        new TenantId(0),
                        new GroupId(request.group),
                        new SessionId("c"),
                        now + timeout,
                        request.tries > 0,
                        0,
                        0));
    }

    private void refused(RequestId request) {
        Request r = requests.remove(request);
        attempts.remove(request);
        if (r != null && r.tries < 2 && random.nextDouble() < 0.6) {
            Request again = new Request(pickGateway(), r.type, r.group, r.tries + 1, r.targetAt);
            at(now + (100 + random.nextInt(300)) * MS, () -> send(again));
        }
    }

    // -- Routers

    private void tell(int gateway, Event event) {
        for (Action action : routers.get(gateway).on(now, event)) {
            carryOut(gateway, action);
        }
    }

    private void carryOut(int gateway, Action action) {
        if (action instanceof Action.StartAttempt send) {
            begin(gateway, send);
        } else if (action instanceof Action.CheckHealth probe) {
            at(now + 3 + random.nextInt(7), () -> probed(gateway, byId.get(probe.server())));
        } else if (action instanceof Action.SetTimer wake) {
            at(wake.at(), () -> tell(gateway, new Event.TimerFired(wake.mark())));
        } else if (action instanceof Action.SendGossip tell) {
            at(
                    now + (2 + random.nextInt(20)) * MS,
                    () -> tell(tell.peer(), new Event.GossipReceived(gateway, tell.bytes())));
        } else if (action instanceof Action.RejectRequest reply) {
            at(now, () -> refused(reply.request()));
        } else if (action instanceof Action.FailRequest reply) {
            requests.remove(reply.request());
            attempts.remove(reply.request());
        } else if (action instanceof Action.CancelAttempt cancel) {
            Attempt attempt = out.get(cancel.request());
            if (attempt != null && attempt.number == cancel.attempt()) {
                at(now, () -> end(attempt, Outcome.CANCELLED));
            }
        }
    }

    private void begin(int gateway, Action.StartAttempt send) {
        int number = attempts.merge(send.request(), 1, Integer::sum) - 1;
        double work = -(Math.log(1 - random.nextDouble()) + Math.log(1 - random.nextDouble())) / 2;
        Attempt attempt = new Attempt(gateway, send.request(), number, byId.get(send.server()), now, work);
        out.put(send.request(), attempt);
        at(now + 3 + random.nextInt(7), () -> arrive(attempt));
        at(now + send.timeLimit(), () -> end(attempt, Outcome.TIMED_OUT));
    }

    private void end(Attempt attempt, Outcome outcome) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempt.server.queue.remove(attempt);
        out.remove(attempt.request, attempt);
        boolean acked = outcome == Outcome.SUCCEEDED;
        Request request = requests.get(attempt.request);
        if (acked && request != null) {
            requests.remove(attempt.request);
            attempts.remove(attempt.request);
            served += now <= request.targetAt && request.targetAt - 500 * MS >= UP_AT ? 1 : 0;
        }
        boolean answered = acked || outcome == Outcome.FAILED;
        tell(
                attempt.gateway,
                new Event.AttemptEnded(
                        attempt.request,
                        attempt.number,
                        attempt.server.id,
                        outcome,
                        now - attempt.sentAt,
                        acked,
                        answered ? report(attempt.server) : null,
                        null));
    }

    // -- Servers

    private double warmth(Server server, long time) {
        double warmed = (time - RESTARTED_AT) / (double) (deployment.coldMs * MS);
        return server.restarted
                ? Math.min(1, deployment.startCapacity + (1 - deployment.startCapacity) * Math.max(0, warmed))
                : 1;
    }

    private double capacity(Server server) {
        return server.restarts ? RECOVERING_SPEED * deployment.capacity : deployment.capacity;
    }

    private void goDown(Server server) {
        server.up = false;
        server.life++;
        List<Attempt> lost = new ArrayList<>(server.running);
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
                    now + random.nextInt((int) (90 * MS)),
                    () -> tell(gateway, new Event.EndpointUpdate(false, false, restarted)));
        }
    }

    private void comeUp(Server server) {
        server.up = true;
        server.restarted = true;
    }

    private void arrive(Attempt attempt) {
        Server server = attempt.server;
        if (!server.up) {
            end(attempt, Outcome.CONNECT_FAILED);
            return;
        }
        count(server, attempt.work);
        if (attempt.ended) {
            return;
        }
        if (scenario == Scenario.ALL_SERVERS_AND_FAILURES && server.restarted && random.nextDouble() < FAILURES) {
            at(now + 3, () -> end(attempt, Outcome.FAILED));
            return;
        }
        server.queue.add(attempt);
        startNext(server);
    }

    private void startNext(Server server) {
        server.updateBusy(now);
        while (server.running.size() < deployment.cores && !server.queue.isEmpty()) {
            Attempt attempt = server.queue.remove();
            server.running.add(attempt);
            int life = server.life;
            double seconds = attempt.work * deployment.cores / (capacity(server) * warmth(server, now));
            at(now + Math.max(1, (long) (seconds * 1000 * MS)), () -> finish(attempt, life));
        }
    }

    private void finish(Attempt attempt, int life) {
        Server server = attempt.server;
        if (server.life != life) {
            return;
        }
        server.updateBusy(now);
        server.running.remove(attempt);
        server.coldAnswers += server.restarted && !attempt.ended ? attempt.work : 0;
        end(attempt, Outcome.SUCCEEDED);
        startNext(server);
    }

    private void probed(int gateway, Server server) {
        if (!server.up) {
            at(now + 250 * MS, () -> tell(gateway, new Event.HealthCheckEnded(server.id, Outcome.TIMED_OUT, null)));
            return;
        }
        count(server, PROBE_WORK);
        at(
                now + 10 + random.nextInt(20),
                () -> tell(gateway, new Event.HealthCheckEnded(server.id, Outcome.SUCCEEDED, report(server))));
    }

    private LoadReport report(Server server) {
        server.updateBusy(now);
        return new LoadReport(
                server.primary() ? Role.PRIMARY : Role.REPLICA, server.primary() ? now : now - 5 * MS, server.busy);
    }

    // -- The rule

    private void count(Server server, double work) {
        if (server.restarted) {
            server.coldArrivals.add(new Arrival(now, work));
        }
    }

    /** The most that reached the server in any window, as a part of what the rule allows then. */
    private double worstLoad(Server server) {
        long window = deployment.windowMs * MS;
        Queue<Arrival> within = new ArrayDeque<>();
        double sum = 0;
        double worst = 0;
        for (Arrival arrival : server.coldArrivals) {
            within.add(arrival);
            sum += arrival.work;
            while (within.peek().at <= arrival.at - window) {
                sum -= within.remove().work;
            }
            worst = Math.max(worst, sum / budget(capacity(server) * warmth(server, arrival.at - window / 2)));
        }
        return worst;
    }

    private double budget(double capacity) {
        double n = deployment.multiple * capacity * deployment.windowMs / 1000;
        return n < 30 ? n + 3 * Math.sqrt(n) + 3 : n + 2 * Math.sqrt(n) + 2;
    }

    private double possibleAnswers() {
        double seconds = (END - UP_AT) / (1000.0 * MS);
        double middle = (UP_AT + END) / 2 - RESTARTED_AT;
        double warmth = deployment.startCapacity + (1 - deployment.startCapacity) * middle / (deployment.coldMs * MS);
        return seconds * warmth * deployment.capacity * RECOVERING_SPEED;
    }
}
