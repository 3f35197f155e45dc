package ploverdale.clock;

import java.util.function.Consumer;
import ploverdale.model.LoadReport;
import ploverdale.model.ServerId;

/**
 * Converts between service time and the wall clock that the database servers share: dates what servers, discovery,
 * clients and other gateways report, and detects steps of this machine's wall clock. While the offset between the two
 * is unknown, it dates no position. Decides nothing about a request.
 *
 * <p>Not thread-safe: used on the event loop only. Times are tenths of a millisecond unless a name says otherwise.
 */
public final class ServerClock {
    /** How often {@link #checkForStep} is to be called, in milliseconds. */
    public static final long STEP_CHECK_INTERVAL_MS = 200;

    private static final long MAX_READING_NANOS = 5_000_000; // a longer one was interrupted between the two clocks
    private static final long MIN_STEP_MS = 50; // less is rounding, or gradual adjustment seen late
    private static final long TENTHS_PER_MS = 10;

    private final Consumer<String> log;
    private final Clock clock;
    private final WallClockOffset offset = new WallClockOffset();
    private Runnable changeListener = () -> {};
    private int changes;
    private long wallAheadMs; // of service time, at the last reading

    /** @param log receives a line when the offset changes or this machine's wall clock steps */
    public ServerClock(Consumer<String> log, Clock clock) {
        this.log = log;
        this.clock = clock;
        wallAheadMs = readWallAheadMs();
    }

    /** Sets what is run whenever all points in time that were converted so far have become void. */
    public void whenChanged(Runnable listener) {
        changeListener = listener;
    }

    /** The clock of this machine. */
    public Clock clock() {
        return clock;
    }

    /** Service time. */
    public long now() {
        return clock.now();
    }

    /** The present on the servers' wall clock. */
    public long wallNow() {
        return offset.toWall(clock.now());
    }

    /**
     * How often what was converted before has become void; whoever keeps a converted time compares it with an earlier
     * reading.
     */
    public int changes() {
        return changes;
    }

    /** Whether the offset is known, so that points in time can be converted. */
    public boolean isKnown() {
        return offset.isKnown();
    }

    /** The servers' wall clock minus service time. */
    public long offset() {
        return offset.offset();
    }

    /** Service time as a point in time on the servers' wall clock. */
    public long toWall(long serviceTime) {
        return offset.toWall(serviceTime);
    }

    /** A point in time on the servers' wall clock as service time. */
    public long toServiceTime(long wall) {
        return offset.toServiceTime(wall);
    }

    /** A position as service time; {@link LoadReport#UNKNOWN_TIME} where it is unknown or cannot be dated. */
    public long position(long wallPosition) {
        return wallPosition == LoadReport.UNKNOWN_TIME || !offset.isKnown()
                ? LoadReport.UNKNOWN_TIME
                : offset.toServiceTime(wallPosition);
    }

    /**
     * A server's start as service time. One that would lie in the future is taken as the present: no server is listed
     * before it starts, so the clocks differ.
     *
     * @param wallStart on the servers' wall clock, or 0 for long ago
     */
    public long start(long wallStart) {
        return wallStart <= 0 ? 0 : Math.max(1, Math.min(clock.now(), offset.toServiceTime(wallStart)));
    }

    /**
     * The age of a position that a session must reach, never 0, which stands for none. It is below 0 where the
     * servers' clock is a little ahead of the offset; what lies further ahead is no position.
     *
     * @param now service time
     */
    public long tokenAge(long now, long wallPosition) {
        long age = Math.max(-WallClockOffset.MAX_AHEAD, now - offset.toServiceTime(wallPosition));
        return age == 0 ? -1 : age;
    }

    /** Whether a position lies in the future, and so is corrupt. */
    public boolean isAhead(long wallPosition) {
        return offset.isAhead(wallPosition, clock.now());
    }

    /**
     * A server reported a position, see {@link WallClockOffset#observe}. To be called before that position is
     * converted.
     */
    public void observePosition(ServerId server, long wallPosition, long writtenAt, boolean present) {
        if (!offset.observe(server, wallPosition, writtenAt, clock.now(), present)) {
            return;
        }
        changes++;
        log.accept(
                offset.isKnown()
                        ? "clock corrected: the servers' wall clock is " + offset.offset() / TENTHS_PER_MS
                                + " ms ahead of service time"
                        : "clock in doubt: positions of servers contradict it, and count as unknown until a majority agrees");
        changeListener.run();
    }

    /** Logs a step of this machine's wall clock since the last call. It changes nothing else: service time goes on. */
    public void checkForStep() {
        long before = clock.nanos();
        long aheadMs = readWallAheadMs();
        if (clock.nanos() - before > MAX_READING_NANOS) {
            return;
        }
        long stepMs = aheadMs - wallAheadMs;
        if (Math.abs(stepMs) >= MIN_STEP_MS) {
            log.accept("wall clock stepped by " + stepMs + " ms; service goes on by the monotonic clock");
        }
        wallAheadMs = aheadMs;
    }

    private long readWallAheadMs() {
        return clock.wallMs() - Math.floorDiv(clock.now(), TENTHS_PER_MS);
    }
}
