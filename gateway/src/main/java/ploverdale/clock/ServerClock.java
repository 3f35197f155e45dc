package ploverdale.clock;

import java.util.function.Consumer;
import ploverdale.model.LoadReport;
import ploverdale.model.ServerId;

/**
 * Converts between service time and the wall clock that the database servers share. It is used for the times and log
 * positions that servers, discovery, clients and other gateways report; while the offset between the two clocks is
 * unknown, no position is converted. Also detects steps of this machine's wall clock.
 *
 * <p>Not thread-safe: used on the event loop only. Times are tenths of a millisecond unless a name says otherwise.
 */
public final class ServerClock {
    /** How often {@link #checkForStep} is to be called, in milliseconds. */
    public static final long STEP_CHECK_INTERVAL_MS = 200;

    /** If reading both clocks takes longer, the thread was paused between them, and the readings are not compared. */
    private static final long MAX_READING_NANOS = 5_000_000;

    /** Smaller differences are rounding, or a gradual adjustment (slewing) that accumulated before a late check. */
    private static final long MIN_STEP_MS = 50;

    private static final long TICKS_PER_MS = 10;

    private final Consumer<String> log;
    private final Clock clock;
    private final WallClockOffset offset = new WallClockOffset();
    private Runnable changeListener = () -> {};
    private int offsetChanges;
    private long wallAheadMs; // this machine's wall clock minus service time, when last read

    /** @param log receives a line when the offset changes or becomes unknown, or this machine's wall clock steps */
    public ServerClock(Consumer<String> log, Clock clock) {
        this.log = log;
        this.clock = clock;
        wallAheadMs = readWallAheadMs();
    }

    /** Sets the listener that is run whenever times that were converted earlier have become invalid. */
    public void whenChanged(Runnable listener) {
        changeListener = listener;
    }

    /** Returns the clock of this machine. */
    public Clock clock() {
        return clock;
    }

    /** Returns the service time. */
    public long now() {
        return clock.now();
    }

    /** Returns the current time of the servers' wall clock. */
    public long wallNow() {
        return offset.toWall(clock.now());
    }

    /**
     * Returns how many times the offset has changed or become unknown, which invalidates times that were converted
     * earlier. A caller that keeps a converted time compares this count with the one at the conversion.
     */
    public int offsetChanges() {
        return offsetChanges;
    }

    /** Returns whether the offset is known, so that positions can be converted. */
    public boolean isKnown() {
        return offset.isKnown();
    }

    /** Returns the servers' wall clock minus service time; while it is unknown, the last known value. */
    public long offset() {
        return offset.offset();
    }

    /** Converts service time to a time of the servers' wall clock. */
    public long toWall(long serviceTime) {
        return offset.toWall(serviceTime);
    }

    /** Converts a time of the servers' wall clock to service time. */
    public long toServiceTime(long wall) {
        return offset.toServiceTime(wall);
    }

    /**
     * Converts a log position, which servers express as a time of their wall clock, to service time.
     *
     * @return {@link LoadReport#UNKNOWN_TIME} if the position or the offset is unknown
     */
    public long positionToServiceTime(long wallPosition) {
        return wallPosition == LoadReport.UNKNOWN_TIME || !offset.isKnown()
                ? LoadReport.UNKNOWN_TIME
                : offset.toServiceTime(wallPosition);
    }

    /**
     * Converts the start time of a server to service time. A start that would lie in the future is taken to be the
     * current time: no server is listed before it starts, so the clocks differ.
     *
     * @param wallStart on the servers' wall clock, or 0 for long ago
     * @return 0 for long ago, otherwise at least 1
     */
    public long serverStart(long wallStart) {
        return wallStart <= 0 ? 0 : Math.max(1, Math.min(clock.now(), offset.toServiceTime(wallStart)));
    }

    /**
     * Returns the age of a position that a session's reads must reach. It is never 0, which stands for no position. It
     * is negative if the servers' clock is slightly further ahead than the offset says, but never below minus
     * {@link WallClockOffset#MAX_AHEAD}: a position further ahead than that is corrupt.
     *
     * @param now service time
     * @param wallPosition on the servers' wall clock
     */
    public long tokenAge(long now, long wallPosition) {
        long age = Math.max(-WallClockOffset.MAX_AHEAD, now - offset.toServiceTime(wallPosition));
        return age == 0 ? -1 : age;
    }

    /** Returns whether a position lies in the future and so is corrupt; false while the offset is unknown. */
    public boolean isAhead(long wallPosition) {
        return offset.isAhead(wallPosition, clock.now());
    }

    /**
     * Corrects the offset by a position that a server reported, see {@link WallClockOffset#observe}. To be called
     * before that position is converted.
     */
    public void observePosition(ServerId server, long wallPosition, long writtenAt, boolean currentTime) {
        if (!offset.observe(server, wallPosition, writtenAt, clock.now(), currentTime)) {
            return;
        }
        offsetChanges++;
        log.accept(
                offset.isKnown()
                        ? "clock corrected: the servers' wall clock is " + offset.offset() / TICKS_PER_MS
                                + " ms ahead of service time"
                        : "clock in doubt: positions of servers contradict it, and count as unknown until a majority agrees");
        changeListener.run();
    }

    /** Logs a step of this machine's wall clock since the last call. Service time is not affected by it. */
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
        return clock.wallMs() - Math.floorDiv(clock.now(), TICKS_PER_MS);
    }
}
