package ploverdale.model;

/**
 * What the deployment's settings permit a gateway to do. Times are {@link Ticks}.
 *
 * @param attemptsPerRequest the maximum number of attempts of a request, the first included
 * @param cancelAllowed whether attempts in flight may be cancelled
 * @param healthChecksAllowed whether the gateway may send health checks to servers
 * @param retryAfterAllowed whether a rejection may state after what time to submit the request again
 * @param maxRetryAfter the longest time that a rejection may state
 * @param peerMessagesAllowed whether gateways may send each other datagrams
 */
public record Capabilities(
        int attemptsPerRequest,
        boolean cancelAllowed,
        boolean healthChecksAllowed,
        boolean retryAfterAllowed,
        long maxRetryAfter,
        boolean peerMessagesAllowed) {}
