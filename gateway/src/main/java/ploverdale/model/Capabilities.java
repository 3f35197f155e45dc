package ploverdale.model;

/**
 * What the platform permits a gateway. Times are {@link Ticks}.
 *
 * @param attemptsPerRequest how many attempts a request may have in all
 * @param cancel whether attempts in flight may be cancelled
 * @param healthChecks whether servers may be sent health checks
 * @param retryAfterAllowed whether a rejection may say when to try again
 * @param longestRetryAfter the longest time that it may name
 * @param peerMessages whether gateways may send each other datagrams
 */
public record Capabilities(
        int attemptsPerRequest,
        boolean cancel,
        boolean healthChecks,
        boolean retryAfterAllowed,
        long longestRetryAfter,
        boolean peerMessages) {}
