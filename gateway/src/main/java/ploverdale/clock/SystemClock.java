package ploverdale.clock;

import java.time.Instant;

/** The clocks of the operating system. */
final class SystemClock implements Clock {
    static final Clock INSTANCE = new SystemClock();

    private static final int READINGS = 10;
    private static final long CLOSE_NANOS = 20_000; // two readings within this count as one moment
    private static final long NANOS_PER_TENTH = 100_000;

    private final long unixNanosAtOrigin; // Unix time at monotonic time 0

    private SystemClock() {
        // The thread may be held up between the two readings; the closest pair of a few is taken.
        long closest = Long.MAX_VALUE;
        long origin = 0;
        for (int i = 0; i < READINGS && closest > CLOSE_NANOS; i++) {
            long before = System.nanoTime();
            Instant wall = Instant.now();
            long apart = System.nanoTime() - before;
            if (apart < closest) {
                closest = apart;
                origin = wall.getEpochSecond() * 1_000_000_000 + wall.getNano() - before;
            }
        }
        unixNanosAtOrigin = origin;
    }

    @Override
    public long now() {
        return Math.floorDiv(unixNanosAtOrigin + System.nanoTime(), NANOS_PER_TENTH);
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
