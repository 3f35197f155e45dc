package ploverdale.tools.model;

import java.util.ArrayDeque;
import java.util.Deque;

/** The state of one server of a {@link GroupModel}. Times are in ticks (a tenth of a millisecond). */
public final class ServerModel {
    /** The faults of a server. Their names are written in fault schedules. */
    public enum Fault {
        NONE,
        /** Accepts connections, but answers nothing. */
        SILENT,
        /** Refuses connections. */
        REFUSING,
        /** Needs {@link #SLOW_FACTOR} times as long for each request. */
        SLOW,
        /** Sends corrupt answers. */
        GARBLED
    }

    private static final double SLOW_FACTOR = 8;

    /** The longest queue, in mean service times of a core. */
    private static final int MAX_QUEUE_PER_CORE = 20;

    private final String id;
    private final long[] coreFreeAt;
    private final Deque<Long> recentArrivals = new ArrayDeque<>(); // within the overload window, during slow start
    private Fault fault = Fault.NONE;
    private long faultSince = Long.MIN_VALUE / 4;
    private long startedAt;
    private boolean draining;
    private boolean crashed;
    private long appliedPosition; // as of appliedAsOf
    private long appliedAsOf;

    ServerModel(String id, int cores, long now) {
        this.id = id;
        coreFreeAt = new long[cores];
        appliedPosition = now;
        appliedAsOf = now;
    }

    public String id() {
        return id;
    }

    public Fault fault() {
        return crashed ? Fault.REFUSING : fault;
    }

    /** Returns when the fault last changed, also when it last ended. */
    public long faultSince() {
        return faultSince;
    }

    /** Returns when the server was last restarted, or 0 if never. */
    public long startedAt() {
        return startedAt;
    }

    public boolean isDraining() {
        return draining;
    }

    /** Returns whether the server crashed under too many requests in slow start; it then refuses connections for good. */
    public boolean hasCrashed() {
        return crashed;
    }

    /** Returns whether the server answers requests, slowly or with corrupt data included. */
    boolean answers() {
        return !crashed && fault != Fault.SILENT && fault != Fault.REFUSING;
    }

    void setFault(Fault newFault, long now, GroupParameters parameters, boolean restarted) {
        fault = newFault;
        faultSince = now;
        if (restarted) {
            startedAt = now;
            recentArrivals.clear();
            java.util.Arrays.fill(coreFreeAt, now);
        }
    }

    void drain() {
        draining = true;
    }

    /** Returns the share of the full capacity that the server has now: less than 1 in slow start. */
    public double capacityShare(long now, GroupParameters parameters) {
        if (startedAt == 0) {
            return 1;
        }
        double progress = (now - startedAt) / (double) Math.max(1, parameters.slowStartDuration());
        return Math.min(1, parameters.initialCapacity() + (1 - parameters.initialCapacity()) * Math.max(0, progress));
    }

    /** Returns the share of the cores that are busy. */
    public double utilization(long now) {
        int busy = 0;
        for (long freeAt : coreFreeAt) {
            busy += freeAt > now ? 1 : 0;
        }
        return busy / (double) coreFreeAt.length;
    }

    /**
     * Queues a request; returns when it will be done, or -1 if the queue is full.
     *
     * @param serviceTime of the request at full capacity and without a fault
     */
    long enqueue(long now, long serviceTime, GroupParameters parameters) {
        int firstFree = 0;
        for (int i = 1; i < coreFreeAt.length; i++) {
            firstFree = coreFreeAt[i] < coreFreeAt[firstFree] ? i : firstFree;
        }
        long start = Math.max(now, coreFreeAt[firstFree]);
        if (start - now > MAX_QUEUE_PER_CORE * parameters.meanServiceTime()) {
            return -1;
        }
        double slowdown = (fault == Fault.SLOW ? SLOW_FACTOR : 1) / capacityShare(now, parameters);
        coreFreeAt[firstFree] = start + Math.max(1, (long) (serviceTime * slowdown));
        return coreFreeAt[firstFree];
    }

    /** Counts a request that arrives; returns true if it makes the server crash, which happens only in slow start. */
    boolean recordArrival(long now, GroupParameters parameters) {
        if (capacityShare(now, parameters) >= 1 || crashed) {
            return false;
        }
        recentArrivals.addLast(now);
        while (recentArrivals.peekFirst() < now - parameters.overloadWindow()) {
            recentArrivals.pollFirst();
        }
        double capacity = capacityShare(now, parameters)
                * parameters.cores()
                * parameters.overloadWindow()
                / parameters.meanServiceTime();
        crashed = recentArrivals.size() > parameters.overloadFactor() * Math.max(1, capacity);
        return crashed;
    }

    /** Called on the loss of a primary, which has applied the whole log. */
    void markUpToDate(long now) {
        appliedPosition = now;
        appliedAsOf = now;
    }

    /**
     * Returns the log position that the server has applied as a replica. One that lags catches up at a limited rate; one that
     * does not answer applies nothing.
     *
     * @param log the log position that has reached the replicas
     */
    long position(long now, long log, GroupParameters parameters) {
        boolean stopped = !answers();
        long reachable =
                stopped ? appliedPosition : appliedPosition + (long) ((now - appliedAsOf) * parameters.catchUpRate());
        long position = Math.max(appliedPosition, Math.min(log, reachable));
        if (!stopped) {
            appliedPosition = position;
        }
        appliedAsOf = now;
        return position;
    }
}
