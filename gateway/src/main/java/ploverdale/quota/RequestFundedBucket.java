package ploverdale.quota;

/**
 * A token bucket that is filled by requests instead of time, so that the tokens spent stay below a share of the load
 * (as the retry budget of Finagle and the retry throttling of gRPC's proposal A6 do). Not thread-safe.
 */
final class RequestFundedBucket {
    /** About the number of requests in flight at one server, which all need a retry when the server fails. */
    private static final double MAX_TOKENS = 40;

    private final double tokensPerRequest;
    private double tokens;

    /**
     * Creates a bucket.
     *
     * @param tokensPerRequest tokens that each request adds
     * @param tokens initial number of tokens, at most {@value #MAX_TOKENS}
     */
    RequestFundedBucket(double tokensPerRequest, double tokens) {
        this.tokensPerRequest = tokensPerRequest;
        this.tokens = tokens;
    }

    /** Creates a bucket that is full at the start. */
    static RequestFundedBucket full(double tokensPerRequest) {
        return new RequestFundedBucket(tokensPerRequest, MAX_TOKENS);
    }

    /** Called when a request has arrived. */
    void onRequest() {
        tokens = Math.min(MAX_TOKENS, tokens + tokensPerRequest);
    }

    /** Returns whether a token is left in addition to those reserved by others. */
    boolean hasToken(int reserved) {
        return tokens >= 1 + reserved;
    }

    /** Takes a token; returns false where none is left. */
    boolean tryTake() {
        if (!hasToken(0)) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /** Takes a token, or the rest of one: for operations that are counted but must not be rejected. */
    void takeUpToOne() {
        tokens = Math.max(0, tokens - 1);
    }
}
