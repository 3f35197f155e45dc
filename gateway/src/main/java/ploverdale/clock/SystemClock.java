package ploverdale.clock;

import java.time.Instant;

/** The clocks of the operating system. Safe for use by several threads. */
final class SystemClock implements Clock {
    static final Clock INSTANCE = new SystemClock();

    private static final int MAX_READING_PAIRS = 10;
    private static final long MAX_GAP_NANOS = 20_000; // readings of the two clocks this close count as simultaneous
    private static final long NANOS_PER_TENTH_MS = 100_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private final long unixNanosAtOrigin; // Unix time at monotonic time 0

    private SystemClock() {
        // The thread may be paused between the readings of the two clocks, so the closest of several pairs is used.
        long closest = Long.MAX_VALUE;
        long origin = 0;
        for (int i = 0; i < MAX_READING_PAIRS && closest > MAX_GAP_NANOS; i++) {
            long before = System.nanoTime();
            Instant wall = Instant.now();
            long gap = System.nanoTime() - before;
            if (gap < closest) {
                closest = gap;
                origin = wall.getEpochSecond() * NANOS_PER_SECOND + wall.getNano() - before;
            }
        }
        unixNanosAtOrigin = origin;
    }

    @Override
    public long now() {
        return Math.floorDiv(unixNanosAtOrigin + System.nanoTime(), NANOS_PER_TENTH_MS);
    }

    @Override
    public long wallMs() {
        return System.currentTimeMillis();
    }

    @Override
    public long nanos() {
        return System.nanoTime();
    }
}
