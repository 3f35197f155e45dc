package ploverdale.tools.model;

import java.util.ArrayDeque;
import java.util.Deque;

/** One server of a {@link GroupModel}; all that is known of it is here. */
public final class ServerModel {
    /** What may be wrong with it. */
    public enum Fault {
        NONE,
        SILENT,
        REFUSING,
        SLOW,
        GARBLED
    }

    private static final double SLOWER = 8;
    private static final int QUEUE_PER_CORE = 20;

    private final String id;
    private final long[] coreFreeAt;
    private final Deque<Long> lately = new ArrayDeque<>(); // starts of ops in the window of the cold rule
    private Fault fault = Fault.NONE;
    private long faultSince = Long.MIN_VALUE / 4;
    private long startedAt;
    private boolean draining;
    private boolean fallen;
    private long placedAt; // what it had applied at placedOn
    private long placedOn;

    ServerModel(String id, int cores, long now) {
        this.id = id;
        coreFreeAt = new long[cores];
        placedAt = now;
        placedOn = now;
    }

    public String id() {
        return id;
    }

    public Fault fault() {
        return fallen ? Fault.REFUSING : fault;
    }

    /** Since when it has its fault, or has had none. */
    public long faultSince() {
        return faultSince;
    }

    /** When it last started, or 0 for long ago. */
    public long startedAt() {
        return startedAt;
    }

    public boolean draining() {
        return draining;
    }

    public boolean fallen() {
        return fallen;
    }

    boolean answers() {
        return !fallen && fault != Fault.SILENT && fault != Fault.REFUSING;
    }

    void fault(Fault f, long now, Plan plan, boolean restarted) {
        fault = f;
        faultSince = now;
        if (restarted) {
            startedAt = now;
            lately.clear();
            java.util.Arrays.fill(coreFreeAt, now);
        }
    }

    void drains() {
        draining = true;
    }

    /** Part of its capacity that it has now. */
    public double warmth(long now, Plan plan) {
        if (startedAt == 0) {
            return 1;
        }
        double share = (now - startedAt) / (double) Math.max(1, plan.coldFor());
        return Math.min(1, plan.coldFrom() + (1 - plan.coldFrom()) * Math.max(0, share));
    }

    /** Busy part of its cores. */
    public double busy(long now) {
        int busy = 0;
        for (long free : coreFreeAt) {
            busy += free > now ? 1 : 0;
        }
        return busy / (double) coreFreeAt.length;
    }

    /** When an op that comes now and takes so much work would end, or -1 where the queue is full. */
    long takes(long now, long work, Plan plan) {
        int first = 0;
        for (int i = 1; i < coreFreeAt.length; i++) {
            first = coreFreeAt[i] < coreFreeAt[first] ? i : first;
        }
        long start = Math.max(now, coreFreeAt[first]);
        if (start - now > QUEUE_PER_CORE * plan.meanWork()) {
            return -1;
        }
        double slower = (fault == Fault.SLOW ? SLOWER : 1) / warmth(now, plan);
        coreFreeAt[first] = start + Math.max(1, (long) (work * slower));
        return coreFreeAt[first];
    }

    /** Counts an op that was sent here; true when that pushes a cold server over. */
    boolean pushes(long now, Plan plan) {
        if (warmth(now, plan) >= 1 || fallen) {
            return false;
        }
        lately.addLast(now);
        while (lately.peekFirst() < now - plan.overloadFor()) {
            lately.pollFirst();
        }
        double capacity = warmth(now, plan) * plan.cores() * plan.overloadFor() / plan.meanWork();
        fallen = lately.size() > plan.overload() * Math.max(1, capacity);
        return fallen;
    }

    /** As primary it has applied all up to now. */
    void led(long now) {
        placedAt = now;
        placedOn = now;
    }

    /** The position it has applied, when the log has come as far as given; one that is behind catches up in time. */
    long position(long now, long log, Plan plan) {
        boolean stuck = !answers();
        long reach = stuck ? placedAt : placedAt + (long) ((now - placedOn) * plan.catchUp());
        long position = Math.max(placedAt, Math.min(log, reach));
        if (!stuck) {
            placedAt = position;
        }
        placedOn = now;
        return position;
    }
}
