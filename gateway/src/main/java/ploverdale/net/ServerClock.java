package ploverdale.net;

import ploverdale.clock.Clock;
import ploverdale.clock.WallClockOffset;
import ploverdale.log.Log;
import ploverdale.model.LoadReport;
import ploverdale.model.ServerId;

/**
 * Owns the conversion between service time and the wall clock that the database servers share: dates what servers,
 * discovery, clients and other gateways tell, and notices steps of this machine's wall clock. Used on the event loop
 * only. Must never decide about a request; while the offset is unknown it dates no position.
 */
public final class ServerClock {
    static final long LOOK_MS = 200;
    private static final long READ_WITHIN_NANOS = 5_000_000; // else a pause lay between the two readings
    private static final long STEP_LEAST_MS = 50; // of the wall clock; less is rounding, or slewing seen late

    private final Log log;
    private final Clock clock;
    private final WallClockOffset offset = new WallClockOffset();
    private Runnable changed = () -> {};
    private int changes;
    private long wallAhead; // of service time, in milliseconds, when last looked at

    public ServerClock(Log log, Clock clock) {
        this.log = log;
        this.clock = clock;
        wallAhead = wallAhead();
    }

    /** Called whenever what was dated so far has become void. */
    void whenChanged(Runnable changed) {
        this.changed = changed;
    }

    public Clock clock() {
        return clock;
    }

    /** Service time. */
    public long now() {
        return clock.now();
    }

    /** Now, on the servers' wall clock, in tenths of a millisecond. */
    long wallNow() {
        return offset.toWall(clock.now());
    }

    /** How often what was dated before has become void; what is held back compares it with an earlier reading. */
    int changes() {
        return changes;
    }

    boolean isKnown() {
        return offset.isKnown();
    }

    /** The servers' wall clock minus service time. */
    long offset() {
        return offset.offset();
    }

    long toWall(long serviceTime) {
        return offset.toWall(serviceTime);
    }

    long toServiceTime(long wall) {
        return offset.toServiceTime(wall);
    }

    /** A position as service time; untold while it cannot be dated. */
    long position(long wallPosition) {
        return wallPosition == LoadReport.UNKNOWN_TIME || !offset.isKnown()
                ? LoadReport.UNKNOWN_TIME
                : offset.toServiceTime(wallPosition);
    }

    /**
     * A server's start. What would lie in the future has begun just now: no server is listed before it starts, so the
     * clocks differ.
     *
     * @param wallStart on the servers' wall clock, or 0 for long ago
     */
    long start(long wallStart) {
        return wallStart <= 0 ? 0 : Math.max(1, Math.min(clock.now(), offset.toServiceTime(wallStart)));
    }

    /**
     * The age of a position that a session must reach, never 0, which stands for none. It is below 0 where the
     * servers' clock is a little ahead of the offset; what lies further ahead is no position.
     */
    public long tokenAge(long now, long wallPosition) {
        long age = Math.max(-WallClockOffset.AHEAD_MOST, now - offset.toServiceTime(wallPosition));
        return age == 0 ? -1 : age;
    }

    /** Whether a position is of the future, and so corrupt. */
    boolean isAhead(long wallPosition) {
        return offset.isAhead(wallPosition, clock.now());
    }

    /** A server told a position; see {@link WallClockOffset#heard}. To be called before that position is dated. */
    void heard(ServerId server, long wallPosition, long writtenAt, boolean present) {
        if (!offset.heard(server, wallPosition, writtenAt, clock.now(), present)) {
            return;
        }
        changes++;
        log.line(
                offset.isKnown()
                        ? "clock corrected: the servers' wall clock is " + offset.offset() / 10
                                + " ms ahead of service time"
                        : "clock in doubt: positions of servers contradict it, and count as unknown until a majority agrees");
        changed.run();
    }

    /** Looks for a step of this machine's wall clock. It changes nothing by itself: service time goes on. */
    void look() {
        long before = clock.nanos();
        long ahead = wallAhead();
        if (clock.nanos() - before > READ_WITHIN_NANOS) {
            return;
        }
        if (Math.abs(ahead - wallAhead) >= STEP_LEAST_MS) {
            log.line("wall clock stepped by " + (ahead - wallAhead) + " ms; service goes on by the monotonic clock");
        }
        wallAhead = ahead;
    }

    private long wallAhead() {
        return clock.wallMs() - Math.floorDiv(clock.now(), 10);
    }
}
