package ploverdale.clock;

import java.time.Instant;

/** The clocks of the operating system. Safe for use by several threads. */
final class SystemClock implements Clock {
    static final Clock INSTANCE = new SystemClock();

    private static final int MAX_READINGS = 10;
    private static final long SAME_MOMENT_NANOS = 20_000; // two readings within this count as one moment
    private static final long NANOS_PER_TENTH_MS = 100_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private final long unixNanosAtOrigin; // Unix time at monotonic time 0

    private SystemClock() {
        // The thread may be paused between the two readings; the closest pair of a few is taken.
        long closest = Long.MAX_VALUE;
        long origin = 0;
        for (int i = 0; i < MAX_READINGS && closest > SAME_MOMENT_NANOS; i++) {
            long before = System.nanoTime();
            Instant wall = Instant.now();
            long apart = System.nanoTime() - before;
            if (apart < closest) {
                closest = apart;
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
