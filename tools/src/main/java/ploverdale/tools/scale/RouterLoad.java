package ploverdale.tools.scale;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
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
import ploverdale.model.ReplicaGuarantees.StalenessCheck;
import ploverdale.model.RequestClass;
import ploverdale.model.RequestClass.Consistency;
import ploverdale.model.RequestClass.Idempotence;
import ploverdale.model.RequestClassId;
import ploverdale.model.RequestId;
import ploverdale.model.ServerGuarantees;
import ploverdale.model.ServerId;
import ploverdale.model.Tenant;
import ploverdale.model.TenantId;
import ploverdale.model.ZoneId;
import ploverdale.routing.Router;

/**
 * Measures the cost of the {@link Router} of one gateway on a simulated clock with simulated servers. Replica
 * groups have three servers; clients send reads of one request class with a staleness bound of a second; servers
 * answer reads and health checks within five milliseconds. The first half of a run is warm-up. Times are in tenths
 * of a millisecond.
 */
public final class RouterLoad {
    /** The conditions under which the cost is measured. */
    public enum Condition {
        /** Reads arrive at the given rate, and all servers respond. */
        SERVING,
        /** As above, but from the middle of the warm-up the servers of one zone do not respond. */
        ZONE_LOST
    }

    /**
     * The cost of a run, per second of simulated time.
     *
     * @param cpuMs CPU time of the router, in milliseconds
     * @param allocatedBytes bytes that the router allocated
     * @param events events that the router handled
     * @param healthChecks health checks that the router started
     * @param served reads that a server answered
     * @param rejected reads that the router rejected
     */
    public record Cost(
            double cpuMs, double allocatedBytes, double events, double healthChecks, double served, double rejected) {}

    private static final long MS = 10;
    private static final int GROUP_SIZE = 3;
    private static final int ZONE_COUNT = 28;
    private static final long STALENESS_BOUND = 1000 * MS;
    private static final long MAX_RESPONSE_TIME = 5 * MS;
    private static final long REPLICA_LAG = 5 * MS;
    private static final long CLIENT_TIMEOUT = 2000 * MS;

    /** Unix time at which a run begins. */
    private static final long START_TIME = 17_000_000_000_000L;

    private static final com.sun.management.ThreadMXBean THREADS =
            (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();

    private record ScheduledEvent(long at, long sequence, Event event) implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(sequence, o.sequence);
        }
    }

    private final Router router = new Router(null);
    private final SplittableRandom random;
    private final int servers;
    private final Condition condition;
    private final PriorityQueue<ScheduledEvent> queue = new PriorityQueue<>();
    private final Map<RequestId, Integer> attempts = new HashMap<>();
    private final List<ServerId> serverIds = new ArrayList<>();
    private final Map<ServerId, Integer> indexes = new HashMap<>();
    private long sequence;
    private long now = START_TIME;
    private boolean zoneLost;
    private long cpuNanos;
    private long allocated;
    private int events;
    private int healthChecks;
    private int served;
    private int rejected;

    private RouterLoad(int servers, Condition condition, long seed) {
        this.servers = servers;
        this.condition = condition;
        random = new SplittableRandom(seed);
        for (int i = 0; i < servers; i++) {
            serverIds.add(new ServerId("s-" + i));
            indexes.put(serverIds.get(i), i);
        }
    }

    /**
     * Runs the router and measures the second half of the run.
     *
     * @param seconds length of the run in simulated time
     */
    public static Cost measure(int servers, double readsPerSecond, Condition condition, double seconds, long seed) {
        return new RouterLoad(servers, condition, seed).run(readsPerSecond, seconds);
    }

    private Cost run(double readsPerSecond, double seconds) {
        long length = (long) (seconds * 1000 * MS);
        dispatch(started(readsPerSecond));
        dispatch(new Event.EndpointUpdate(true, false, endpoints()));
        scheduleReads(readsPerSecond, length);
        runUntil(START_TIME + length / 4);
        zoneLost = condition == Condition.ZONE_LOST;
        runUntil(START_TIME + length / 2);
        resetCounters();
        runUntil(START_TIME + length);
        double measuredSeconds = seconds / 2;
        return new Cost(
                cpuNanos / 1e6 / measuredSeconds,
                allocated / measuredSeconds,
                events / measuredSeconds,
                healthChecks / measuredSeconds,
                served / measuredSeconds,
                rejected / measuredSeconds);
    }

    private static Event.Started started(double readsPerSecond) {
        RequestClass read = new RequestClass(
                500 * MS,
                0,
                CLIENT_TIMEOUT,
                Idempotence.IDEMPOTENT,
                RequestClass.Scope.GROUP,
                0,
                1,
                0,
                false,
                Consistency.BOUNDED,
                STALENESS_BOUND);
        return new Event.Started(
                7,
                1,
                List.of(read),
                List.of(new Tenant(2 * readsPerSecond)),
                0.1,
                new ServerGuarantees(0.3, 6000 * MS, 2.5, 1000 * MS, true, 0),
                new Capabilities(6, true, true, true, 1000 * MS, false),
                new ReplicaGuarantees(StalenessCheck.NONE, 0, false),
                false,
                0);
    }

    private List<Endpoint> endpoints() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            endpoints.add(new Endpoint(
                    serverIds.get(i),
                    new GroupId(i / GROUP_SIZE),
                    new ZoneId(i % ZONE_COUNT),
                    Endpoint.EndpointState.IN,
                    i % GROUP_SIZE == 0,
                    0));
        }
        return endpoints;
    }

    private void scheduleReads(double perSecond, long length) {
        int groups = (servers + GROUP_SIZE - 1) / GROUP_SIZE;
        int count = (int) (perSecond * length / (1000 * MS));
        for (int i = 0; i < count; i++) {
            long at = START_TIME + (long) (i * 1000 * MS / perSecond);
            schedule(
                    at,
                    new Event.RequestArrived(
                            new RequestId("r" + i),
                            new RequestClassId(0),
                            new TenantId(0),
                            new GroupId(random.nextInt(groups)),
                            null,
                            at + CLIENT_TIMEOUT,
                            false,
                            0,
                            0));
        }
    }

    private void schedule(long at, Event event) {
        queue.add(new ScheduledEvent(Math.max(at, now), sequence++, event));
    }

    private void runUntil(long end) {
        while (!queue.isEmpty() && queue.peek().at < end) {
            ScheduledEvent next = queue.poll();
            now = next.at;
            dispatch(next.event);
        }
        now = end;
    }

    private void resetCounters() {
        cpuNanos = 0;
        allocated = 0;
        events = 0;
        healthChecks = 0;
        served = 0;
        rejected = 0;
    }

    /** Passes one event to the router, adds up its cost, and carries out the resulting actions. */
    private void dispatch(Event event) {
        long threadId = Thread.currentThread().getId();
        long bytesBefore = THREADS.getThreadAllocatedBytes(threadId);
        long cpuBefore = THREADS.getCurrentThreadCpuTime();
        List<Action> actions = router.on(now, event);
        cpuNanos += THREADS.getCurrentThreadCpuTime() - cpuBefore;
        allocated += THREADS.getThreadAllocatedBytes(threadId) - bytesBefore;
        events++;
        actions.forEach(this::execute);
    }

    private void execute(Action action) {
        if (action instanceof Action.StartAttempt attempt) {
            int attemptIndex = attempts.merge(attempt.request(), 1, Integer::sum) - 1;
            respond(attempt, attemptIndex);
        } else if (action instanceof Action.CheckHealth check) {
            healthChecks++;
            long at = now + 1 + random.nextLong(MAX_RESPONSE_TIME);
            schedule(
                    at,
                    isResponsive(check.server())
                            ? new Event.HealthCheckEnded(check.server(), Outcome.SUCCEEDED, report(check.server(), at))
                            : new Event.HealthCheckEnded(check.server(), Outcome.TIMED_OUT, null));
        } else if (action instanceof Action.SetTimer timer) {
            schedule(timer.at(), new Event.TimerFired(timer.mark()));
        } else if (action instanceof Action.RejectRequest rejection) {
            rejected++;
            attempts.remove(rejection.request());
        }
    }

    private void respond(Action.StartAttempt attempt, int attemptIndex) {
        if (!isResponsive(attempt.server())) {
            long at = now + attempt.timeLimit();
            schedule(
                    at,
                    new Event.AttemptEnded(
                            attempt.request(),
                            attemptIndex,
                            attempt.server(),
                            Outcome.TIMED_OUT,
                            attempt.timeLimit(),
                            false,
                            null,
                            null));
            return;
        }
        long responseTime = 1 + random.nextLong(MAX_RESPONSE_TIME);
        served++;
        attempts.remove(attempt.request());
        LoadReport loadReport = report(attempt.server(), now + responseTime);
        schedule(
                now + responseTime,
                new Event.AttemptEnded(
                        attempt.request(),
                        attemptIndex,
                        attempt.server(),
                        Outcome.SUCCEEDED,
                        responseTime,
                        true,
                        loadReport,
                        null));
    }

    private boolean isResponsive(ServerId server) {
        return !zoneLost || indexes.get(server) % ZONE_COUNT != 0;
    }

    private LoadReport report(ServerId server, long at) {
        boolean primary = indexes.get(server) % GROUP_SIZE == 0;
        return new LoadReport(primary ? Role.PRIMARY : Role.REPLICA, primary ? at : at - REPLICA_LAG, 0.3);
    }
}
