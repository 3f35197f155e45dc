/** The clock that all stand-ins share: Unix milliseconds that advance with the monotonic clock. */
final class Clock {
    private static final double ZERO = System.currentTimeMillis() - System.nanoTime() / 1e6;

    private Clock() {}

    /** Returns the Unix time in milliseconds, with fractions. */
    static double now() {
        return ZERO + System.nanoTime() / 1e6;
    }

    static void sleep(double ms) {
        try {
            if (ms > 0) {
                Thread.sleep((long) ms, (int) ((ms - (long) ms) * 1e6));
            }
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    static void sleepUntil(double at) {
        sleep(at - now());
    }
}
