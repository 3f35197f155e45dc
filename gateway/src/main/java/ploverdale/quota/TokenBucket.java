package ploverdale.quota;

/**
 * A token bucket that fills at a constant rate and holds what accumulates in one second. It is full at the start. Not
 * thread-safe.
 */
final class TokenBucket {
    private static final double SECOND = 10_000; // times are tenths of a millisecond

    private final double tokensPerSecond;
    private double tokens;
    private long updatedAt;

    TokenBucket(double tokensPerSecond) {
        this.tokensPerSecond = tokensPerSecond;
        tokens = tokensPerSecond;
    }

    /** Takes a token; false where none is left. */
    boolean tryTake(long now) {
        tokens = Math.min(tokensPerSecond, tokens + tokensPerSecond * (now - updatedAt) / SECOND);
        updatedAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
