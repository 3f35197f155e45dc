package ploverdale.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
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
import ploverdale.model.TenantId;
import ploverdale.model.ZoneId;

/**
 * Simulates the router of one gateway and many database servers in virtual time: groups of five whose first member is
 * the primary, clients that send requests to all groups evenly, servers that die without closing connections, and
 * pauses of the servers or of all machines. After a pause of the gateway its timers fire before it reads the responses
 * that have arrived meanwhile. Times are in ms.
 */
final class VirtualFleet {
    static final int HEALTH_CHECK_LIMIT_MS = 250;
    private static final int GROUP_SIZE = 5;
    private static final int HEALTH_CHECK_MS = 2;
    private static final int REQUEST_MS = 10;
    /** After a pause, servers resume at random times within this span. */
    private static final int RESUME_WITHIN_MS = 150;

    private static final int GATEWAYS = 6;
    /** Order of timer events, which precede reads of the same time. */
    private static final int TIMER_ORDER = 0;
    /** Order of events that are read from connections. */
    private static final int READ_ORDER = 1;

    /** A pause of the servers in [from, until), and of the gateway as well if the flag is set. */
    private record Pause(long from, long until, boolean gatewayToo) {}

    /** A task of the simulation. Tasks of the same time run in the order of {@code order}, then of scheduling. */
    private record Task(long at, int order, long sequence, Runnable action) {}

    private final RouterDriver driver;
    private final Random random;
    private final int servers;
    private final List<Pause> pauses = new ArrayList<>();
    private final Map<String, Long> diesAt = new LinkedHashMap<>();
    private final PriorityQueue<Task> queue = new PriorityQueue<>(
            Comparator.comparingLong(Task::at).thenComparingInt(Task::order).thenComparingLong(Task::sequence));
    /** Names of the attempts and health checks that have not ended. */
    private final Set<String> pending = new HashSet<>();

    private final Map<String, Long> ejectedSince = new LinkedHashMap<>();
    private final Map<String, Long> firstEjectedAt = new LinkedHashMap<>();
    /** The number of attempts of each request. */
    private final Map<RequestId, Integer> attempts = new LinkedHashMap<>();
    /** The server of each attempt, by the attempt's name. */
    private final Map<String, ServerId> serverOfAttempt = new HashMap<>();

    private long sequence;
    private long lastReadmission;
    private int healthChecksInFlight;
    private int mostHealthChecksInFlight;
    int succeeded;
    private int nextId;

    VirtualFleet(int servers, long seed) {
        this.servers = servers;
        random = new Random(seed);
        driver = new RouterDriver(new TestRouterSettings().gateways(GATEWAYS));
    }

    /** Pauses the servers for this time, and the gateway as well if the flag is set. */
    VirtualFleet withPause(long from, long durationMs, boolean gatewayToo) {
        pauses.add(new Pause(start() + from, start() + from + durationMs, gatewayToo));
        return this;
    }

    /**
     * Makes the servers numbered from {@code from} up to but not including {@code until} stop answering at this time.
     */
    VirtualFleet kill(long at, int from, int until) {
        for (int i = from; i < until; i++) {
            diesAt.put(id(i), start() + at);
        }
        return this;
    }

    private long start() {
        return 100_000;
    }

    static String id(int number) {
        return String.format("s%03d", number);
    }

    /**
     * Lists all servers and runs the simulation.
     *
     * @param durationMs duration of the run
     * @param requestsPerSecond rate of requests after the first health checks; 0 for none
     */
    VirtualFleet simulate(long durationMs, int requestsPerSecond) {
        for (Pause pause : pauses) {
            if (pause.gatewayToo) {
                schedule(pause.until, -1, () -> deliver(new Event.LoopDelayed(pause.from * 10, pause.until * 10)));
            }
        }
        schedule(start(), READ_ORDER, () -> {
            execute(List.copyOf(driver.actions)); // actions that the router decided on at its start
            deliver(new Event.EndpointUpdate(true, false, endpoints()));
        });
        long gap = requestsPerSecond == 0 ? durationMs : 1000 / requestsPerSecond;
        for (long at = HEALTH_CHECK_LIMIT_MS; requestsPerSecond > 0 && at < durationMs; at += gap) {
            runInGateway(start() + at, READ_ORDER, this::requestArrives);
        }
        long end = start() + durationMs;
        while (!queue.isEmpty() && queue.peek().at < end) {
            Task task = queue.poll();
            driver.nowMs = task.at;
            task.action.run();
        }
        return this;
    }

    private List<Endpoint> endpoints() {
        List<Endpoint> listed = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            listed.add(new Endpoint(
                    new ServerId(id(i)), group(i), new ZoneId(0), Endpoint.EndpointState.IN, isPrimary(i), 0));
        }
        return listed;
    }

    private static GroupId group(int server) {
        return new GroupId(server / GROUP_SIZE);
    }

    private static boolean isPrimary(int server) {
        return server % GROUP_SIZE == 0;
    }

    private void requestArrives() {
        int requestClass = List.of(
                        TestRouterSettings.BOUNDED_READ,
                        TestRouterSettings.UNBOUNDED_READ,
                        TestRouterSettings.UNBOUNDED_READ,
                        TestRouterSettings.WRITE)
                .get(random.nextInt(4));
        GroupId group = new GroupId(random.nextInt((servers + GROUP_SIZE - 1) / GROUP_SIZE));
        deliver(new Event.RequestArrived(
                new RequestId("op" + nextId++),
                new RequestClassId(requestClass),
                new TenantId(0),
                group,
                null,
                driver.nowMs * 10 + 30_000,
                false,
                0,
                0));
    }

    private void deliver(Event event) {
        driver.actions.clear(); // otherwise all actions of the run would be kept
        execute(driver.deliver(event));
    }

    private void execute(List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Action.StartAttempt a) {
                int attempt = attempts.merge(a.request(), 1, Integer::sum) - 1;
                String name = "attempt " + a.request().value() + " " + attempt;
                serverOfAttempt.put(name, a.server());
                exchange(a.server(), REQUEST_MS, a.timeLimit() / 10, name, (outcome, took) -> {
                    succeeded += outcome == Outcome.SUCCEEDED ? 1 : 0;
                    deliver(new Event.AttemptEnded(
                            a.request(),
                            attempt,
                            a.server(),
                            outcome,
                            took * 10,
                            outcome == Outcome.SUCCEEDED,
                            null,
                            outcome == Outcome.SUCCEEDED ? report(a.server()) : null));
                });
            } else if (action instanceof Action.CancelAttempt a) {
                String name = "attempt " + a.request().value() + " " + a.attempt();
                if (pending.remove(name)) {
                    ServerId at = serverOfAttempt.get(name);
                    runInGateway(
                            driver.nowMs,
                            TIMER_ORDER,
                            () -> deliver(new Event.AttemptEnded(
                                    a.request(), a.attempt(), at, Outcome.CANCELLED, 0, false, null, null)));
                }
            } else if (action instanceof Action.CheckHealth a) {
                mostHealthChecksInFlight = Math.max(mostHealthChecksInFlight, ++healthChecksInFlight);
                exchange(a.server(), HEALTH_CHECK_MS, HEALTH_CHECK_LIMIT_MS, "check " + nextId++, (outcome, took) -> {
                    healthChecksInFlight--;
                    deliver(new Event.HealthCheckEnded(
                            a.server(), outcome, outcome == Outcome.SUCCEEDED ? report(a.server()) : null));
                });
            } else if (action instanceof Action.SetTimer a) {
                runInGateway((a.at() + 9) / 10, TIMER_ORDER, () -> deliver(new Event.TimerFired(a.mark())));
            } else if (action instanceof Action.LogLine a) {
                trackEjections(a.text().split(" "));
            }
        }
    }

    /** Receives the outcome of an attempt or a health check. */
    private interface Completion {
        void accept(Outcome outcome, long tookMs);
    }

    /**
     * Sends an attempt or a health check to a server, with a time limit.
     *
     * @param work how long the server takes to answer it
     * @param name identifies it until it has ended
     */
    private void exchange(ServerId server, int work, long limit, String name, Completion completion) {
        long began = driver.nowMs;
        pending.add(name);
        runInGateway(began + Math.max(1, limit), TIMER_ORDER, () -> {
            if (pending.remove(name)) {
                completion.accept(Outcome.TIMED_OUT, driver.nowMs - began);
            }
        });
        schedule(began + work, READ_ORDER, () -> answer(server, name, began, completion));
    }

    /** Runs at the server, which answers once its machine has resumed. A dead server never answers. */
    private void answer(ServerId server, String name, long began, Completion completion) {
        if (driver.nowMs >= diesAt.getOrDefault(server.value(), Long.MAX_VALUE)) {
            return;
        }
        for (Pause pause : pauses) {
            if (pause.from <= driver.nowMs && driver.nowMs < pause.until) {
                schedule(
                        pause.until + random.nextInt(RESUME_WITHIN_MS),
                        READ_ORDER,
                        () -> answer(server, name, began, completion));
                return;
            }
        }
        runInGateway(driver.nowMs + 1, READ_ORDER, () -> {
            if (pending.remove(name)) {
                completion.accept(Outcome.SUCCEEDED, driver.nowMs - began);
            }
        });
    }

    private LoadReport report(ServerId server) {
        boolean primary = isPrimary(Integer.parseInt(server.value().substring(1)));
        return new LoadReport(primary ? Role.PRIMARY : Role.REPLICA, (driver.nowMs - 20) * 10);
    }

    /** Runs a task in the process of the gateway, after its pause if it is paused. */
    private void runInGateway(long at, int order, Runnable action) {
        long resumesAt = at;
        for (Pause pause : pauses) {
            resumesAt =
                    pause.gatewayToo && pause.from <= resumesAt && resumesAt < pause.until ? pause.until : resumesAt;
        }
        schedule(resumesAt, order, action);
    }

    private void schedule(long at, int order, Runnable action) {
        queue.add(new Task(at, order, sequence++, action));
    }

    /** Tracks ejections and readmissions by the router's log lines. */
    private void trackEjections(String[] words) {
        if (words[0].equals("server") && words[2].equals("silent:")) {
            ejectedSince.put(words[1], driver.nowMs - start());
            firstEjectedAt.putIfAbsent(words[1], driver.nowMs - start());
        } else if (words[0].equals("server") && words[2].equals("returns:")) {
            ejectedSince.remove(words[1]);
            lastReadmission = driver.nowMs - start();
        }
    }

    /** Returns when each server that was ever ejected was first ejected, in ms from the start. */
    Map<String, Long> everEjected() {
        return firstEjectedAt;
    }

    /** Returns the servers that are currently ejected. */
    Set<String> ejected() {
        return ejectedSince.keySet();
    }

    /** Returns when a server was last readmitted, in ms from the start. */
    long lastReadmission() {
        return lastReadmission;
    }

    /** Returns the highest number of health checks that were in flight at once. */
    int mostHealthChecksInFlight() {
        return mostHealthChecksInFlight;
    }

    /** Returns the time from the death of the servers until the last of them was first ejected. */
    long lastDetectionTime(long death) {
        return firstEjectedAt.values().stream().mapToLong(Long::longValue).max().orElse(Long.MAX_VALUE) - death;
    }

    /** Returns the mean time from the death of the servers until each was first ejected. */
    double meanDetectionTime(long death) {
        return firstEjectedAt.values().stream()
                        .mapToLong(Long::longValue)
                        .average()
                        .orElse(Double.MAX_VALUE)
                - death;
    }
}
