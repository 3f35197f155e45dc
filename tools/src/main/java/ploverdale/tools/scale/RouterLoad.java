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
 * Measures the cost of the {@link Router} of one gateway on a simulated clock with simulated servers. Replica groups have
 * three servers; clients send reads of one request class with a staleness bound of a second; servers answer reads and health
 * checks within five milliseconds. The first half of a run is warm-up. Times are in tenths of a millisecond.
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
     * @param probes health checks that the router started
     * @param served reads that a server answered
     * @param refused reads that the router rejected
     */
    public record Cost(
            double cpuMs, double allocatedBytes, double events, double probes, double served, double refused) {}

    private static final long MS = 10;
    private static final int GROUP = 3;
    private static final int ZONES = 28;
    private static final long BOUND = 1000 * MS;
    private static final long ANSWERS_WITHIN = 5 * MS;
    private static final long REPLICA_LAG = 5 * MS;
    private static final long CLIENT_WAITS = 2000 * MS;

    /** Unix time at which a run begins. */
    private static final long START = 17_000_000_000_000L;

    private static final com.sun.management.ThreadMXBean THREADS =
            (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();

    private record Due(long at, long order, Event event) implements Comparable<Due> {
        @Override
        public int compareTo(Due o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    private final Router router = new Router(null);
    private final SplittableRandom random;
    private final int servers;
    private final Condition condition;
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private final Map<RequestId, Integer> sends = new HashMap<>();
    private final List<ServerId> ids = new ArrayList<>();
    private final Map<ServerId, Integer> numbers = new HashMap<>();
    private long order;
    private long now = START;
    private boolean zoneLost;
    private long cpuNanos;
    private long allocated;
    private int events;
    private int probes;
    private int served;
    private int refused;

    private RouterLoad(int servers, Condition condition, long seed) {
        this.servers = servers;
        this.condition = condition;
        random = new SplittableRandom(seed);
        for (int i = 0; i < servers; i++) {
            ids.add(new ServerId("s-" + i));
            numbers.put(ids.get(i), i);
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
        tell(started(readsPerSecond));
        tell(new Event.EndpointUpdate(true, false, endpoints()));
        scheduleReads(readsPerSecond, length);
        playUntil(START + length / 4);
        zoneLost = condition == Condition.ZONE_LOST;
        playUntil(START + length / 2);
        forgetCosts();
        playUntil(START + length);
        double measured = seconds / 2;
        return new Cost(
                cpuNanos / 1e6 / measured,
                allocated / measured,
                events / measured,
                probes / measured,
                served / measured,
                refused / measured);
    }

    private static Event.Started started(double readsPerSecond) {
        RequestClass read = new RequestClass(
                500 * MS,
                0,
                CLIENT_WAITS,
                Idempotence.IDEMPOTENT,
                RequestClass.Scope.GROUP,
                0,
                1,
                0,
                false,
                Consistency.BOUNDED,
                BOUND);
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
        List<Endpoint> all = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            all.add(new Endpoint(
                    ids.get(i),
                    new GroupId(i / GROUP),
                    new ZoneId(i % ZONES),
                    Endpoint.EndpointState.IN,
                    i % GROUP == 0,
                    0));
        }
        return all;
    }

    private void scheduleReads(double perSecond, long length) {
        int groups = (servers + GROUP - 1) / GROUP;
        int count = (int) (perSecond * length / (1000 * MS));
        for (int i = 0; i < count; i++) {
            long at = START + (long) (i * 1000 * MS / perSecond);
            add(
                    at,
                    new Event.RequestArrived(
                            new RequestId("r" + i),
                            new RequestClassId(0),
                            new TenantId(0),
                            new GroupId(random.nextInt(groups)),
                            null,
                            at + CLIENT_WAITS,
                            false,
                            0,
                            0));
        }
    }

    private void add(long at, Event event) {
        due.add(new Due(Math.max(at, now), order++, event));
    }

    private void playUntil(long end) {
        while (!due.isEmpty() && due.peek().at < end) {
            Due d = due.poll();
            now = d.at;
            tell(d.event);
        }
        now = end;
    }

    private void forgetCosts() {
        cpuNanos = 0;
        allocated = 0;
        events = 0;
        probes = 0;
        served = 0;
        refused = 0;
    }

    /** Passes one event to the router, adds up its cost, and carries out the resulting actions. */
    private void tell(Event event) {
        long thread = Thread.currentThread().getId();
        long bytesBefore = THREADS.getThreadAllocatedBytes(thread);
        long before = THREADS.getCurrentThreadCpuTime();
        List<Action> actions = router.on(now, event);
        cpuNanos += THREADS.getCurrentThreadCpuTime() - before;
        allocated += THREADS.getThreadAllocatedBytes(thread) - bytesBefore;
        events++;
        actions.forEach(this::carryOut);
    }

    private void carryOut(Action action) {
        if (action instanceof Action.StartAttempt send) {
            int number = sends.merge(send.request(), 1, Integer::sum) - 1;
            answer(send, number);
        } else if (action instanceof Action.CheckHealth probe) {
            probes++;
            long at = now + 1 + random.nextLong(ANSWERS_WITHIN);
            add(
                    at,
                    answers(probe.server())
                            ? new Event.HealthCheckEnded(probe.server(), Outcome.SUCCEEDED, report(probe.server(), at))
                            : new Event.HealthCheckEnded(probe.server(), Outcome.TIMED_OUT, null));
        } else if (action instanceof Action.SetTimer wake) {
            add(wake.at(), new Event.TimerFired(wake.mark()));
        } else if (action instanceof Action.RejectRequest reply) {
            refused++;
            sends.remove(reply.request());
        }
    }

    private void answer(Action.StartAttempt send, int number) {
        if (!answers(send.server())) {
            long at = now + send.timeLimit();
            add(
                    at,
                    new Event.AttemptEnded(
                            send.request(),
                            number,
                            send.server(),
                            Outcome.TIMED_OUT,
                            send.timeLimit(),
                            false,
                            null,
                            null));
            return;
        }
        long took = 1 + random.nextLong(ANSWERS_WITHIN);
        served++;
        sends.remove(send.request());
        LoadReport note = report(send.server(), now + took);
        add(
                now + took,
                new Event.AttemptEnded(
                        send.request(), number, send.server(), Outcome.SUCCEEDED, took, true, note, null));
    }

    private boolean answers(ServerId server) {
        return !zoneLost || numbers.get(server) % ZONES != 0;
    }

    private LoadReport report(ServerId server, long at) {
        boolean primary = numbers.get(server) % GROUP == 0;
        return new LoadReport(primary ? Role.PRIMARY : Role.REPLICA, primary ? at : at - REPLICA_LAG, 0.3);
    }
}
