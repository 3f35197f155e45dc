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
 * The router of one gateway among many database servers, in virtual time: groups of five whose first member is the primary,
 * clients that send requests to all groups evenly, servers that die without closing connections, and pauses of the servers or of all
 * machines at once. After a pause of the gateway its timers fire before it reads the responses that arrived meanwhile. Times in ms.
 */
final class VirtualFleet {
    static final int HEALTH_CHECK_LIMIT_MS = 250;
    private static final int GROUP_SIZE = 5;
    private static final int HEALTH_CHECK_MS = 2;
    private static final int REQUEST_MS = 10;
    private static final int RESUME_WITHIN_MS = 150; // of servers, one after the other, on a machine that was paused
    private static final int GATEWAYS = 6;
    private static final int TIMERS = 0;
    private static final int READS = 1;

    /** All machines, or those of the servers only, stand still in [from, until). */
    private record Pause(long from, long until, boolean gatewayToo) {}

    private record Due(long at, int order, long sequence, Runnable what) {}

    private final RouterDriver driver;
    private final Random random;
    private final int servers;
    private final List<Pause> pauses = new ArrayList<>();
    private final Map<String, Long> diesAt = new LinkedHashMap<>();
    private final PriorityQueue<Due> queue = new PriorityQueue<>(
            Comparator.comparingLong(Due::at).thenComparingInt(Due::order).thenComparingLong(Due::sequence));
    private final Set<String> pending = new HashSet<>(); // attempts and health checks that have not ended
    private final Map<String, Long> ejectedSince = new LinkedHashMap<>();
    private final Map<String, Long> firstEjectedAt = new LinkedHashMap<>();
    private final Map<RequestId, Integer> attempts = new LinkedHashMap<>();
    private final Map<String, ServerId> sentTo = new HashMap<>();
    private long sequence;
    private long lastReturn;
    private int healthChecksInFlight;
    private int mostHealthChecksInFlight;
    int succeeded;
    private int names;

    VirtualFleet(int servers, long seed) {
        this.servers = servers;
        random = new Random(seed);
        driver = new RouterDriver(new TestRouterSettings().gateways(GATEWAYS));
    }

    /** Pauses the servers for this time, and the gateway, too, where the flag is set. */
    VirtualFleet paused(long from, long lasts, boolean gatewayToo) {
        pauses.add(new Pause(start() + from, start() + from + lasts, gatewayToo));
        return this;
    }

    /** From this time on the servers with these numbers answer nothing. */
    VirtualFleet die(long at, int from, int until) {
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

    /** Lists all servers and plays for so long, with so many requests a second after the first health checks. */
    VirtualFleet play(long lasts, int requestsPerSecond) {
        for (Pause h : pauses) {
            if (h.gatewayToo) {
                schedule(h.until, -1, () -> deliver(new Event.LoopDelayed(h.from * 10, h.until * 10)));
            }
        }
        schedule(start(), READS, () -> {
            carryOut(List.copyOf(driver.actions)); // what the router did at its start
            deliver(new Event.EndpointUpdate(true, false, endpoints()));
        });
        long gap = requestsPerSecond == 0 ? lasts : 1000 / requestsPerSecond;
        for (long at = HEALTH_CHECK_LIMIT_MS; requestsPerSecond > 0 && at < lasts; at += gap) {
            gateway(start() + at, READS, this::arrival);
        }
        long end = start() + lasts;
        while (!queue.isEmpty() && queue.peek().at < end) {
            Due due = queue.poll();
            driver.nowMs = due.at;
            due.what.run();
        }
        return this;
    }

    private List<Endpoint> endpoints() {
        List<Endpoint> all = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            all.add(new Endpoint(
                    new ServerId(id(i)), group(i), new ZoneId(0), Endpoint.EndpointState.IN, isPrimary(i), 0));
        }
        return all;
    }

    private static GroupId group(int server) {
        return new GroupId(server / GROUP_SIZE);
    }

    private static boolean isPrimary(int server) {
        return server % GROUP_SIZE == 0;
    }

    private void arrival() {
        int type = List.of(
                        TestRouterSettings.BOUNDED_READ,
                        TestRouterSettings.UNBOUNDED_READ,
                        TestRouterSettings.UNBOUNDED_READ,
                        TestRouterSettings.WRITE)
                .get(random.nextInt(4));
        GroupId group = new GroupId(random.nextInt((servers + GROUP_SIZE - 1) / GROUP_SIZE));
        deliver(new Event.RequestArrived(
                new RequestId("op" + names++),
                new RequestClassId(type),
                new TenantId(0),
                group,
                null,
                driver.nowMs * 10 + 30_000,
                false,
                0,
                0));
    }

    private void deliver(Event event) {
        driver.actions.clear(); // which would otherwise keep all actions of the run
        carryOut(driver.deliver(event));
    }

    private void carryOut(List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Action.StartAttempt a) {
                int attempt = attempts.merge(a.request(), 1, Integer::sum) - 1;
                String name = "send " + a.request().value() + " " + attempt;
                sentTo.put(name, a.server());
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
                String name = "send " + a.request().value() + " " + a.attempt();
                if (pending.remove(name)) {
                    ServerId at = sentTo.get(name);
                    gateway(
                            driver.nowMs,
                            TIMERS,
                            () -> deliver(new Event.AttemptEnded(
                                    a.request(), a.attempt(), at, Outcome.CANCELLED, 0, false, null, null)));
                }
            } else if (action instanceof Action.CheckHealth a) {
                mostHealthChecksInFlight = Math.max(mostHealthChecksInFlight, ++healthChecksInFlight);
                exchange(a.server(), HEALTH_CHECK_MS, HEALTH_CHECK_LIMIT_MS, "check " + names++, (outcome, took) -> {
                    healthChecksInFlight--;
                    deliver(new Event.HealthCheckEnded(
                            a.server(), outcome, outcome == Outcome.SUCCEEDED ? report(a.server()) : null));
                });
            } else if (action instanceof Action.SetTimer a) {
                gateway((a.at() + 9) / 10, TIMERS, () -> deliver(new Event.TimerFired(a.mark())));
            } else if (action instanceof Action.LogLine a) {
                logged(a.text().split(" "));
            }
        }
    }

    private interface Ended {
        void with(Outcome outcome, long tookMs);
    }

    private void exchange(ServerId server, int work, long limit, String name, Ended ended) {
        long began = driver.nowMs;
        pending.add(name);
        gateway(began + Math.max(1, limit), TIMERS, () -> {
            if (pending.remove(name)) {
                ended.with(Outcome.TIMED_OUT, driver.nowMs - began);
            }
        });
        schedule(began + work, READS, () -> answer(server, name, began, ended));
    }

    /** At the server, which answers once its machine resumes. */
    private void answer(ServerId server, String name, long began, Ended ended) {
        if (driver.nowMs >= diesAt.getOrDefault(server.value(), Long.MAX_VALUE)) {
            return;
        }
        for (Pause h : pauses) {
            if (h.from <= driver.nowMs && driver.nowMs < h.until) {
                schedule(h.until + random.nextInt(RESUME_WITHIN_MS), READS, () -> answer(server, name, began, ended));
                return;
            }
        }
        gateway(driver.nowMs + 1, READS, () -> {
            if (pending.remove(name)) {
                ended.with(Outcome.SUCCEEDED, driver.nowMs - began);
            }
        });
    }

    private LoadReport report(ServerId server) {
        boolean primary = isPrimary(Integer.parseInt(server.value().substring(1)));
        return new LoadReport(primary ? Role.PRIMARY : Role.REPLICA, (driver.nowMs - 20) * 10);
    }

    /** In the gateway's process, which runs it once it resumes. */
    private void gateway(long at, int order, Runnable what) {
        long resumesAt = at;
        for (Pause h : pauses) {
            resumesAt = h.gatewayToo && h.from <= resumesAt && resumesAt < h.until ? h.until : resumesAt;
        }
        schedule(resumesAt, order, what);
    }

    private void schedule(long at, int order, Runnable what) {
        queue.add(new Due(at, order, sequence++, what));
    }

    private void logged(String[] words) {
        if (words[0].equals("server") && words[2].equals("silent:")) {
            ejectedSince.put(words[1], driver.nowMs - start());
            firstEjectedAt.putIfAbsent(words[1], driver.nowMs - start());
        } else if (words[0].equals("server") && words[2].equals("returns:")) {
            ejectedSince.remove(words[1]);
            lastReturn = driver.nowMs - start();
        }
    }

    /** When each server that was ever ejected was ejected first. */
    Map<String, Long> everEjected() {
        return firstEjectedAt;
    }

    /** Servers that are ejected now. */
    Set<String> ejected() {
        return ejectedSince.keySet();
    }

    /** When a server was last readmitted. */
    long lastReturn() {
        return lastReturn;
    }

    /** The most health checks that were in flight at once. */
    int mostHealthChecksInFlight() {
        return mostHealthChecksInFlight;
    }

    /** Time from the death of these servers to the ejection of the last of them. */
    long lastDetectedAfter(long death) {
        return firstEjectedAt.values().stream().mapToLong(Long::longValue).max().orElse(Long.MAX_VALUE) - death;
    }

    /** The same, on average. */
    double detectedAfter(long death) {
        return firstEjectedAt.values().stream()
                        .mapToLong(Long::longValue)
                        .average()
                        .orElse(Double.MAX_VALUE)
                - death;
    }
}
