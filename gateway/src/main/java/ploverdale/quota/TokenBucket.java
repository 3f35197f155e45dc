package ploverdale.quota;

/**
 * A token bucket that is filled at a constant rate and holds at most the tokens of one second. It is full at the
 * start. Not thread-safe.
 */
final class TokenBucket {
    private static final double TICKS_PER_SECOND = 10_000; // times are in tenths of a millisecond

    private final double tokensPerSecond;
    private double tokens;
    private long updatedAt;

    TokenBucket(double tokensPerSecond) {
        this.tokensPerSecond = tokensPerSecond;
        tokens = tokensPerSecond;
    }

    /** Takes a token; returns false where none is left. */
    boolean tryTake(long now) {
        tokens = Math.min(tokensPerSecond, tokens + tokensPerSecond * (now - updatedAt) / TICKS_PER_SECOND);
        updatedAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
