package ploverdale.model;

/** What a gateway may do here. */
public record Capabilities(
        int attemptsPerRequest,
        boolean cancel,
        boolean probes,
        boolean retryAfterAllowed,
        long longestRetryAfter,
        boolean peerMessages) {}
