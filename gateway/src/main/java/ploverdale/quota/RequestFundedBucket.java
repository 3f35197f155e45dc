package ploverdale.quota;

/**
 * A token bucket that requests fill, in place of time: what is spent of it stays a share of the load (the retry budget of
 * Finagle, the retry throttling of gRPC's proposal A6). Not thread-safe.
 */
final class RequestFundedBucket {
    private static final double MAX_TOKENS = 40; // about the requests in flight at one server, all lost when it fails

    private final double tokensPerRequest;
    private double tokens;

    /** @param tokens in the bucket at the start, up to {@value #MAX_TOKENS} */
    RequestFundedBucket(double tokensPerRequest, double tokens) {
        this.tokensPerRequest = tokensPerRequest;
        this.tokens = tokens;
    }

    /** A bucket that is full at the start. */
    static RequestFundedBucket full(double tokensPerRequest) {
        return new RequestFundedBucket(tokensPerRequest, MAX_TOKENS);
    }

    /** A request has arrived. */
    void onRequest() {
        tokens = Math.min(MAX_TOKENS, tokens + tokensPerRequest);
    }

    /** Whether a token is left beside so many others that are reserved. */
    boolean hasToken(int reserved) {
        return tokens >= 1 + reserved;
    }

    /** Takes a token; false where none is left. */
    boolean tryTake() {
        if (!hasToken(0)) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /** Takes a token, or what is left of one: for what may not be rejected but counts. */
    void takeUpToOne() {
        tokens = Math.max(0, tokens - 1);
    }
}
